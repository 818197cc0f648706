package wigeonrelay

import (
	"errors"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonframing"
	"wigeonshift/internal/modules/wigeonstream"
	"wigeonshift/internal/services/wigeonupstream"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
)

// Reasons why a body whose framing has ended is not whole.
var (
	errEndInsideEvent = errors.New("event stream ended inside an event")
	errEmptyStream    = errors.New("event stream of unknown length ended before its first byte")
	errProcessEnded   = errors.New("endpoint's process ended with the connection that marks the end of the body")
)

// contentKind tells whether a body is an event stream.
type contentKind int

const (
	// contentUnknown means that the first bytes decide.
	contentUnknown contentKind = iota
	contentEvents
	contentOther
)

// responseContent follows the body of an endpoint's response, to decide whether it is whole at its end. The end of the
// framing doesn't show that: an endpoint whose run breaks off may still end its connection or its chunks properly.
type responseContent struct {
	call     *call
	response *wigeonupstream.Response
	framing  wigeonframing.Framing
	kind     contentKind
	// bytes is the number of bytes so far.
	bytes int
	// tracker follows the events, those of earlier attempts on the same stream included. It is only used for event streams.
	tracker wigeonstream.Tracker
}

// newContent returns the content of a response of which nothing has been read. A successful response on a streaming route
// is an event stream if its type or its first bytes say so, any other response only if its type does.
func (c *call) newContent(r *wigeonupstream.Response) *responseContent {
	content := &responseContent{call: c, response: r, framing: wigeonframing.FramingOf(r.HTTP), kind: contentOther}
	success := r.HTTP.StatusCode() < fasthttp.StatusMultipleChoices
	switch {
	case !wigeonframing.HasBody(r.HTTP):
	case wigeonstream.HasContentType(r.HTTP.Header.ContentType()):
		content.kind = contentEvents
	case success && c.route.Kind == wigeonshift.RouteStreaming:
		content.kind = contentUnknown
	}
	return content
}

// continued returns the content of a response that continues an event stream.
func (t *responseContent) continued(r *wigeonupstream.Response) *responseContent {
	next := &responseContent{
		call: t.call, response: r, framing: wigeonframing.FramingOf(r.HTTP), kind: contentEvents, tracker: t.tracker,
	}
	next.tracker.Restart()
	return next
}

func (t *responseContent) isEvents() bool { return t.kind == contentEvents }

// consume takes the next bytes and returns the number of bytes of p that end with a complete event, all for other content.
func (t *responseContent) consume(p []byte) int {
	t.bytes += len(p)
	if t.kind == contentUnknown && len(p) > 0 {
		t.kind = contentOther
		if wigeonstream.MayBeginStream(p) {
			t.kind = contentEvents
		}
	}
	if !t.isEvents() {
		return len(p)
	}
	return t.tracker.Consume(p)
}

// checkSize returns an error if the body exceeds a limit of streamed responses.
func (t *responseContent) checkSize() error {
	switch {
	case t.bytes > maxStreamBytes:
		return errStreamTooLong
	case t.isEvents() && t.tracker.BytesSinceEvent > maxEventBytes:
		return errEventTooLong
	default:
		return nil
	}
}

// checkEnd returns nil if the body is whole, now that its framing has ended, and otherwise the reason why it isn't.
func (t *responseContent) checkEnd() error {
	switch {
	case t.isEvents() && !t.tracker.Complete():
		return errEndInsideEvent
	case t.kind != contentOther && t.bytes == 0 && t.framing != wigeonframing.Length:
		return errEmptyStream
	case t.framing == wigeonframing.Connection && t.endedWithProcess():
		return errProcessEnded
	default:
		return nil
	}
}

// logFields returns the log fields of the content.
func (t *responseContent) logFields() logrus.Fields {
	fields := logrus.Fields{"framing": t.framing, "receivedBytes": t.bytes}
	if t.isEvents() {
		fields["insideEvent"] = !t.tracker.Complete()
		fields["maxTokens"] = t.call.job.AnswerTokens
	}
	return fields
}
