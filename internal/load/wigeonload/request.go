package wigeonload

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"wigeonshift/internal/load/wigeonscenario"
	"wigeonshift/internal/modules/wigeonprompt"
	"wigeonshift/internal/modules/wigeonprotocol"
	"wigeonshift/internal/standin/wigeonengine"
	"wigeonshift/internal/standin/wigeonplain"

	"github.com/valyala/fasthttp"
)

// lateResponseGrace is how long a response is awaited after its deadline, so that late responses are counted as such.
const lateResponseGrace = 5 * time.Second

// completionRequest is the body of a completion or chat request.
type completionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream,omitempty"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionResponse is the body of a complete response, or one frame of a stream.
type completionResponse struct {
	Choices []struct {
		Text    string   `json:"text"`
		Message *message `json:"message"`
		Delta   *message `json:"delta"`
	} `json:"choices"`
	Error *refusal `json:"error"`
}

// text returns the text of a completion, a chat message or a stream delta.
func (r *completionResponse) text() string {
	if len(r.Choices) == 0 {
		return ""
	}
	switch c := r.Choices[0]; {
	case c.Message != nil:
		return c.Message.Content
	case c.Delta != nil:
		return c.Delta.Content
	default:
		return c.Text
	}
}

// enginePrompt returns the prompt that the nodes send to the engine for a request.
func enginePrompt(req *wigeonscenario.Request) string {
	if req.Class.Kind == wigeonscenario.KindChat {
		return "user: " + req.Prompt + "\nassistant:"
	}
	return req.Prompt
}

// send sends a request once. If no connection to a node can be opened, it tries the next node.
func (b *balancer) send(req *wigeonscenario.Request, remaining time.Duration) outcome {
	for range b.nodes {
		n := b.pick()
		o, err := n.send(req, remaining)
		if !errors.Is(err, errDial) {
			return o
		}
		// Nothing was sent. The prober marks the node as ready again when it recovers.
		n.ready.Store(false)
	}
	return outcome{kind: OutcomeUnreachable}
}

func (n *node) send(req *wigeonscenario.Request, remaining time.Duration) (outcome, error) {
	httpRequest, httpResponse := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(httpRequest)
	defer fasthttp.ReleaseResponse(httpResponse)
	n.fillRequest(httpRequest, req, remaining)
	start := time.Now()
	if err := n.client.DoTimeout(httpRequest, httpResponse, remaining+lateResponseGrace); err != nil {
		return outcome{kind: OutcomeBroken, detail: err.Error()}, err
	}
	defer httpResponse.CloseBodyStream() //nolint:errcheck // A failed close does not change the outcome.
	if req.Class.Stream && httpResponse.StatusCode() == fasthttp.StatusOK {
		return readStream(httpResponse.BodyStream(), start).verify(req), nil
	}
	body, err := io.ReadAll(httpResponse.BodyStream())
	if err != nil {
		return outcome{kind: OutcomeBroken, detail: err.Error()}, nil
	}
	return parseBufferedResponse(req, httpResponse.StatusCode(), body), nil
}

// fillRequest sets the method, path, headers and body of the HTTP request.
func (n *node) fillRequest(httpRequest *fasthttp.Request, req *wigeonscenario.Request, remaining time.Duration) {
	h := &httpRequest.Header
	h.SetHost(n.address)
	h.Set(fasthttp.HeaderAuthorization, "Bearer "+req.Class.APIKey)
	h.Set("Wigeon-Tier", req.Class.Tier)
	h.Set("Wigeon-Deadline-Ms", strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	if req.IdempotencyKey != "" {
		h.Set(wigeonprotocol.HeaderIdempotencyKey, req.IdempotencyKey)
	}
	if req.Class.Kind == wigeonscenario.KindCall {
		h.SetMethod(req.Class.Call.Method)
		h.SetRequestURI("/v1/services/" + req.Class.Call.Service + req.Path)
		if req.Body != "" {
			h.SetContentType("application/json")
			httpRequest.SetBodyString(req.Body)
		}
		return
	}
	body := completionRequest{Model: req.Class.Model, MaxTokens: req.MaxTokens, Stream: req.Class.Stream}
	h.SetMethod(fasthttp.MethodPost)
	h.SetContentType("application/json")
	if req.Class.Kind == wigeonscenario.KindChat {
		h.SetRequestURI("/v1/chat/completions")
		body.Messages = []message{{Role: "user", Content: req.Prompt}}
	} else {
		h.SetRequestURI("/v1/completions")
		body.Prompt = req.Prompt
	}
	// Marshalling cannot fail because the body has only strings, numbers and booleans.
	document, _ := json.Marshal(body)
	httpRequest.SetBodyRaw(document)
}

// parseBufferedResponse returns the outcome of a response that is not a stream.
func parseBufferedResponse(req *wigeonscenario.Request, status int, body []byte) outcome {
	if status >= fasthttp.StatusBadRequest {
		var response completionResponse
		if err := json.Unmarshal(body, &response); err == nil && response.Error != nil && response.Error.Reason != "" {
			return outcome{kind: OutcomeRefused, status: status, refusal: *response.Error}
		}
	}
	o := outcome{kind: OutcomeGood, status: status, text: string(body)}
	if req.Class.Kind != wigeonscenario.KindCall {
		var response completionResponse
		if err := json.Unmarshal(body, &response); err != nil || status != fasthttp.StatusOK {
			return outcome{kind: OutcomeWrong, status: status, detail: "neither an answer nor a refusal"}
		}
		o.text = response.text()
	}
	return o.verify(req)
}

// readStream reads server-sent events up to the end marker. A stream that ends without the marker is broken.
func readStream(body io.Reader, start time.Time) outcome {
	o := outcome{kind: OutcomeBroken, status: fasthttp.StatusOK}
	var text strings.Builder
	reader := bufio.NewReaderSize(body, readBufferBytes)
	last := start
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			o.detail = err.Error()
			return o
		}
		data, found := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !found {
			continue
		}
		if string(data) == "[DONE]" {
			o.kind, o.text = OutcomeGood, text.String()
			// The connection can be reused only after the body was read to its end.
			_, _ = io.Copy(io.Discard, reader)
			return o
		}
		var frame completionResponse
		if err := json.Unmarshal(data, &frame); err != nil {
			o.kind, o.detail = OutcomeWrong, "malformed frame"
			return o
		}
		if frame.Error != nil {
			o.kind, o.refusal = OutcomeRefused, *frame.Error
			return o
		}
		last = o.recordFrame(frame.text(), &text, start, last)
	}
}

// recordFrame adds the text of one frame and records its latency. It returns the time of the last frame with text.
func (o *outcome) recordFrame(frameText string, text *strings.Builder, start, last time.Time) time.Time {
	if frameText == "" {
		return last
	}
	now := time.Now()
	if text.Len() == 0 {
		o.firstToken = now.Sub(start)
	} else {
		o.frameGaps = append(o.frameGaps, frameGap{duration: now.Sub(last), tokens: wigeonprompt.Tokens(frameText)})
	}
	text.WriteString(frameText)
	return now
}

// verify compares the response with the one expected for the request, and sets the kind to OutcomeWrong if they differ.
func (o outcome) verify(req *wigeonscenario.Request) outcome {
	if o.kind != OutcomeGood {
		return o
	}
	want := o.text
	switch {
	case req.Class.Kind != wigeonscenario.KindCall:
		want = wigeonengine.CompletionText(req.Class.Model, enginePrompt(req), req.MaxTokens)
	case req.Class.Call.NonIdempotent:
		if !wigeonplain.IsReceipt(o.text, req.Path, req.Body) {
			want = ""
		}
	default:
		want = wigeonplain.ReadResponse(req.Path)
	}
	if o.text != want {
		o.kind, o.detail = OutcomeWrong, "the answer is not this request's"
	}
	return o
}
