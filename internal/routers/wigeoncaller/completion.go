package wigeoncaller

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonentry"

	"github.com/gofiber/fiber/v3"
)

const (
	// defaultMaxTokens is used if a request has no max_tokens.
	defaultMaxTokens = 256
	maxTokensLimit   = 1 << 20
)

// completionBody is the request body of completions and chat completions.
type completionBody struct {
	Model     string    `json:"model"`
	Prompt    *string   `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens *int      `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (s *Server) completions(c fiber.Ctx) error { return s.complete(c, false) }

func (s *Server) chatCompletions(c fiber.Ctx) error { return s.complete(c, true) }

// complete handles a completion request and sends the response whole or as a stream.
func (s *Server) complete(c fiber.Ctx, chat bool) error {
	r, refused, err := s.newRequest(c)
	if refused {
		return err
	}
	var body completionBody
	if err := json.Unmarshal(c.Body(), &body); err != nil {
		return s.refuse(c, s.entry.Refuse(wigeonshift.ReasonBadRequest), "body: "+err.Error())
	}
	g, fault := body.parse(chat)
	if fault != "" {
		return s.refuse(c, s.entry.Refuse(wigeonshift.ReasonBadRequest), fault)
	}
	r.Generate = &g
	e := &responseEncoder{model: g.Model, chat: chat, created: time.Now()}
	if body.Stream {
		return s.streamCompletion(c, r, e)
	}
	return s.sendCompletion(c, r, e)
}

// parse validates a request body and converts it to a Generate. fault is the error message for the caller; it is empty
// if the body is valid.
func (b *completionBody) parse(chat bool) (g wigeonentry.Generate, fault string) {
	g = wigeonentry.Generate{Model: b.Model, MaxTokens: defaultMaxTokens}
	switch {
	case b.Model == "":
		return g, "model: missing"
	case chat && len(b.Messages) == 0:
		return g, "messages: missing"
	case !chat && b.Prompt == nil:
		return g, "prompt: missing"
	case b.MaxTokens != nil && (*b.MaxTokens < 1 || *b.MaxTokens > maxTokensLimit):
		return g, "max_tokens: must be 1 to 1048576"
	}
	if b.MaxTokens != nil {
		g.MaxTokens = *b.MaxTokens
	}
	if chat {
		g.Prompt = chatPrompt(b.Messages)
	} else {
		g.Prompt = *b.Prompt
	}
	return g, ""
}

// chatPrompt joins chat messages into one prompt.
func chatPrompt(messages []message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	b.WriteString("assistant:")
	return b.String()
}

// textSink collects the text of a response.
type textSink struct{ text strings.Builder }

// Write appends a piece of the response.
func (t *textSink) Write(_ context.Context, text string) error {
	t.text.WriteString(text)
	return nil
}

// sendCompletion runs a request and sends the response as one JSON object.
func (s *Server) sendCompletion(c fiber.Ctx, r wigeonentry.Request, e *responseEncoder) error {
	var sink textSink
	result := s.runRequest(c, r, &sink)
	if result.Refusal != nil {
		return s.refuse(c, result, "")
	}
	e.id = result.ID
	c.Set(headerRequestID, string(result.ID))
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	text := sink.text.String()
	return c.Send(e.appendCompletion(make([]byte, 0, len(text)+512), text, result.Generated))
}

// runRequest runs a request and cancels it if the caller disconnects.
func (s *Server) runRequest(c fiber.Ctx, r wigeonentry.Request, sink wigeonentry.Sink) wigeonentry.Result {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := s.watcher.add(c.RequestCtx().Conn(), cancel)
	defer s.watcher.remove(w)
	return s.entry.Do(ctx, r, sink)
}

// streamCompletion runs a request and sends the response as server-sent events. It waits for the first piece of the
// response before it sends a status, so that a request without output is refused with its own status.
func (s *Server) streamCompletion(c fiber.Ctx, r wigeonentry.Request, e *responseEncoder) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.ID = s.entry.NextID()
	e.id = r.ID
	st := &stream{
		server:   s,
		encoder:  e,
		request:  r,
		ctx:      ctx,
		cancel:   cancel,
		conn:     s.watcher.add(c.RequestCtx().Conn(), cancel),
		started:  make(chan struct{}),
		readable: make(chan struct{}, 1),
		writable: make(chan struct{}, 1),
	}
	s.tasks.Go(st.run)
	<-st.started
	if refusal := st.refusal(); refusal != nil {
		_ = st.Close()
		return s.refuse(c, wigeonentry.Result{ID: r.ID, Refusal: refusal}, "")
	}
	c.Set(headerRequestID, string(r.ID))
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-store")
	c.RequestCtx().Response.SetBodyStream(st, -1)
	return nil
}
