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

// lateGrace is the time after the deadline for which an answer is still waited for, so that late answers are seen.
const lateGrace = 5 * time.Second

// completionBody is the body of a completion or a chat.
type completionBody struct {
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

// completionAnswer is a whole answer or one frame of a stream.
type completionAnswer struct {
	Choices []struct {
		Text    string   `json:"text"`
		Message *message `json:"message"`
		Delta   *message `json:"delta"`
	} `json:"choices"`
	Error *refusal `json:"error"`
}

// text returns the answer's text, whatever its kind.
func (a *completionAnswer) text() string {
	if len(a.Choices) == 0 {
		return ""
	}
	switch c := a.Choices[0]; {
	case c.Message != nil:
		return c.Message.Content
	case c.Delta != nil:
		return c.Delta.Content
	default:
		return c.Text
	}
}

// enginePrompt returns the prompt that reaches the engine.
func enginePrompt(d *wigeonscenario.Request) string {
	if d.Class.Kind == wigeonscenario.KindChat {
		return "user: " + d.Prompt + "\nassistant:"
	}
	return d.Prompt
}

// send sends a request to the nodes' callers' API once.
func (b *balancer) send(d *wigeonscenario.Request, remaining time.Duration) outcome {
	for range b.nodes {
		n := b.pick()
		o, err := n.send(d, remaining)
		if !errors.Is(err, errDial) {
			return o
		}
		// Nothing was sent; the prober finds out when the node is back.
		n.ready.Store(false)
	}
	return outcome{ending: EndingUnreachable}
}

func (n *node) send(d *wigeonscenario.Request, remaining time.Duration) (outcome, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	n.fill(request, d, remaining)
	start := time.Now()
	if err := n.client.DoTimeout(request, response, remaining+lateGrace); err != nil {
		return outcome{ending: EndingBroken, detail: err.Error()}, err
	}
	defer response.CloseBodyStream() //nolint:errcheck // A stream that was read whole or broke has nothing left to say.
	if d.Class.Stream && response.StatusCode() == fasthttp.StatusOK {
		return readStream(response.BodyStream(), start).verify(d), nil
	}
	body, err := io.ReadAll(response.BodyStream())
	if err != nil {
		return outcome{ending: EndingBroken, detail: err.Error()}, nil
	}
	return readWhole(d, response.StatusCode(), body), nil
}

// fill writes the request.
func (n *node) fill(request *fasthttp.Request, d *wigeonscenario.Request, remaining time.Duration) {
	h := &request.Header
	h.SetHost(n.address)
	h.Set(fasthttp.HeaderAuthorization, "Bearer "+d.Class.APIKey)
	h.Set("Wigeon-Tier", d.Class.Tier)
	h.Set("Wigeon-Deadline-Ms", strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	if d.IdempotencyKey != "" {
		h.Set(wigeonprotocol.HeaderIdempotencyKey, d.IdempotencyKey)
	}
	if d.Class.Kind == wigeonscenario.KindCall {
		h.SetMethod(d.Class.Call.Method)
		h.SetRequestURI("/v1/services/" + d.Class.Call.Service + d.Path)
		if d.Body != "" {
			h.SetContentType("application/json")
			request.SetBodyString(d.Body)
		}
		return
	}
	body := completionBody{Model: d.Class.Model, MaxTokens: d.MaxTokens, Stream: d.Class.Stream}
	h.SetMethod(fasthttp.MethodPost)
	h.SetContentType("application/json")
	if d.Class.Kind == wigeonscenario.KindChat {
		h.SetRequestURI("/v1/chat/completions")
		body.Messages = []message{{Role: "user", Content: d.Prompt}}
	} else {
		h.SetRequestURI("/v1/completions")
		body.Prompt = d.Prompt
	}
	// Strings and numbers always marshal.
	document, _ := json.Marshal(body)
	request.SetBodyRaw(document)
}

// readWhole reads an answer that is not a stream.
func readWhole(d *wigeonscenario.Request, status int, body []byte) outcome {
	if status >= fasthttp.StatusBadRequest {
		var a completionAnswer
		if err := json.Unmarshal(body, &a); err == nil && a.Error != nil && a.Error.Reason != "" {
			return outcome{ending: EndingRefused, status: status, refusal: *a.Error}
		}
	}
	o := outcome{ending: EndingGood, status: status, text: string(body)}
	if d.Class.Kind != wigeonscenario.KindCall {
		var a completionAnswer
		if err := json.Unmarshal(body, &a); err != nil || status != fasthttp.StatusOK {
			return outcome{ending: EndingWrong, status: status, detail: "neither an answer nor a refusal"}
		}
		o.text = a.text()
	}
	return o.verify(d)
}

// readStream reads server-sent events up to the end marker.
func readStream(body io.Reader, start time.Time) outcome {
	o := outcome{ending: EndingBroken, status: fasthttp.StatusOK}
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
			o.ending, o.text = EndingGood, text.String()
			// Reading on to the end lets the connection be used again.
			_, _ = io.Copy(io.Discard, reader)
			return o
		}
		var a completionAnswer
		if err := json.Unmarshal(data, &a); err != nil {
			o.ending, o.detail = EndingWrong, "malformed frame"
			return o
		}
		if a.Error != nil {
			o.ending, o.refusal = EndingRefused, *a.Error
			return o
		}
		last = o.frame(a.text(), &text, start, last)
	}
}

// frame books one frame's text.
func (o *outcome) frame(part string, text *strings.Builder, start, last time.Time) time.Time {
	if part == "" {
		return last
	}
	now := time.Now()
	if text.Len() == 0 {
		o.firstToken = now.Sub(start)
	} else {
		o.gaps = append(o.gaps, gap{time: now.Sub(last), tokens: wigeonprompt.Tokens(part)})
	}
	text.WriteString(part)
	return now
}

// verify compares an answer with the one that the request must get.
func (o outcome) verify(d *wigeonscenario.Request) outcome {
	if o.ending != EndingGood {
		return o
	}
	want := o.text
	switch {
	case d.Class.Kind != wigeonscenario.KindCall:
		want = wigeonengine.Answer(d.Class.Model, enginePrompt(d), d.MaxTokens)
	case d.Class.Call.NonIdempotent:
		if !wigeonplain.IsReceipt(o.text, d.Path, d.Body) {
			want = ""
		}
	default:
		want = wigeonplain.ReadAnswer(d.Path)
	}
	if o.text != want {
		o.ending, o.detail = EndingWrong, "the answer is not this request's"
	}
	return o
}
