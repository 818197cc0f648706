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
	// defaultMaxTokens applies when a caller names no max_tokens.
	defaultMaxTokens = 256
	maxMaxTokens     = 1 << 20
)

// completionBody is the body of both kinds of completions.
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

func (s *Server) complete(c fiber.Ctx, chat bool) error {
	r, refused, err := s.newRequest(c)
	if refused {
		return err
	}
	var body completionBody
	if err := json.Unmarshal(c.Body(), &body); err != nil {
		return s.refuse(c, s.entry.Refuse(wigeonshift.ReasonBadRequest), "body: "+err.Error())
	}
	g, fault := body.generate(chat)
	if fault != "" {
		return s.refuse(c, s.entry.Refuse(wigeonshift.ReasonBadRequest), fault)
	}
	r.Generate = &g
	w := &answerWriter{model: g.Model, chat: chat, created: time.Now()}
	if body.Stream {
		return s.stream(c, r, w)
	}
	return s.whole(c, r, w)
}

// generate checks a body and returns what it asks for, or the fault.
func (b *completionBody) generate(chat bool) (g wigeonentry.Generate, fault string) {
	g = wigeonentry.Generate{Model: b.Model, MaxTokens: defaultMaxTokens}
	switch {
	case b.Model == "":
		return g, "model: missing"
	case chat && len(b.Messages) == 0:
		return g, "messages: missing"
	case !chat && b.Prompt == nil:
		return g, "prompt: missing"
	case b.MaxTokens != nil && (*b.MaxTokens < 1 || *b.MaxTokens > maxMaxTokens):
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

// chatPrompt joins the messages of a chat to one prompt.
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

// textSink collects a whole answer.
type textSink struct{ text strings.Builder }

// Write takes a piece of the answer.
func (t *textSink) Write(_ context.Context, text string) error {
	t.text.WriteString(text)
	return nil
}

// whole answers with one JSON object.
func (s *Server) whole(c fiber.Ctx, r wigeonentry.Request, w *answerWriter) error {
	var sink textSink
	result := s.do(c, r, &sink)
	if result.Refusal != nil {
		return s.refuse(c, result, "")
	}
	w.id = result.ID
	c.Set(headerRequestID, string(result.ID))
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	text := sink.text.String()
	return c.Send(w.appendWhole(make([]byte, 0, len(text)+512), text, result.Generated))
}

// do carries a request to its end while its caller is watched.
func (s *Server) do(c fiber.Ctx, r wigeonentry.Request, sink wigeonentry.Sink) wigeonentry.Result {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	w := s.watcher.add(c.RequestCtx().Conn(), cancel)
	defer s.watcher.remove(w)
	return s.entry.Do(ctx, r, sink)
}

// stream answers with server-sent events. The status is open until the first piece of the answer.
func (s *Server) stream(c fiber.Ctx, r wigeonentry.Request, w *answerWriter) error {
	ctx, cancel := context.WithCancel(context.Background())
	r.ID = s.entry.NextID()
	w.id = r.ID
	st := &stream{
		server:   s,
		writer:   w,
		request:  r,
		ctx:      ctx,
		cancel:   cancel,
		watch:    s.watcher.add(c.RequestCtx().Conn(), cancel),
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
