package wigeonrelay

import (
	"context"
	"errors"
	"io"

	"wigeonshift/internal/modules/wigeonstream"
	"wigeonshift/internal/services/wigeondispatch"
	"wigeonshift/internal/services/wigeonupstream"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
)

// streamBody is the body of a streamed response. The HTTP library reads it after the handler has returned. An error of
// Read closes the caller's connection, so that a truncated response doesn't look complete.
type streamBody struct {
	call     *call
	response *wigeonupstream.Response
	events   eventTracker
	// received follows all bytes of the running attempt, for the log; receivedBytes counts them.
	received      wigeonstream.Tracker
	receivedBytes int
	framing       wigeonupstream.Framing
	// began is set once the running attempt has sent something; eventsBefore is the number of events of earlier attempts.
	began        bool
	eventsBefore int
	// pending holds bytes from the endpoint that Read has not returned yet.
	pending []byte
	buffer  []byte
	// err is the error that Read returns after pending, io.EOF at the end of a complete stream.
	err error
}

// forwardStream starts to forward a streamed response and reports whether the caller's response is set. It waits for
// the first bytes that can be forwarded: if the stream fails before them, it returns false and the request can still be
// sent to another endpoint. A resumable stream gets no content length, because its rest may come from another endpoint.
func (c *call) forwardStream(r *wigeonupstream.Response) bool {
	st := &streamBody{call: c, response: r, framing: r.Framing(), buffer: make([]byte, streamBufferBytes)}
	st.events.wholeEventsOnly = c.route.Resumable
	st.fill()
	if len(st.pending) == 0 && st.err != nil && !errors.Is(st.err, io.EOF) {
		r.Close()
		c.endAttemptWithError(c.interruptedOutcome(), 0, true, st.err)
		return false
	}
	c.copyHeader(r)
	length := r.HTTP.Header.ContentLength()
	if length < 0 || st.events.wholeEventsOnly {
		length = -1
	}
	c.httpCtx.Response.SetBodyStream(st, length)
	return true
}

// interruptedOutcome returns the outcome of an attempt whose response was interrupted. If the call itself was
// cancelled, because the caller disconnected or the deadline passed, the attempt is abandoned rather than lost, since
// this instance ended it.
func (c *call) interruptedOutcome() wigeondispatch.Outcome {
	if c.ctx.Err() != nil {
		return wigeondispatch.OutcomeAbandoned
	}
	return wigeondispatch.OutcomeLost
}

// fill reads from the endpoint until there are bytes to forward or the stream ends. For a resumable stream, consume
// holds back the bytes of an incomplete event, so that another endpoint can resume the stream after the last complete
// one. They are forwarded only at io.EOF, the end of a complete stream; after an interruption the resumed stream sends
// them again.
func (st *streamBody) fill() {
	for len(st.pending) == 0 && st.err == nil {
		n, err := st.response.Body().Read(st.buffer)
		if n > 0 {
			st.call.resetStallTimer()
			if !st.began {
				st.began = true
				st.call.reportBegan()
			}
			st.received.Consume(st.buffer[:n])
			st.receivedBytes += n
			st.pending = st.events.consume(st.buffer[:n])
		}
		if err != nil {
			st.err = err
			if errors.Is(err, io.EOF) {
				st.pending = append(st.pending, st.events.flushPartial()...)
			}
		}
	}
}

// Read returns the next bytes of the stream. If the stream is interrupted, Read resumes it at another endpoint where
// possible. Otherwise it returns the error, so that the HTTP library closes the caller's connection.
func (st *streamBody) Read(p []byte) (int, error) {
	for {
		st.fill()
		if len(st.pending) > 0 {
			n := copy(p, st.pending)
			st.pending = st.pending[n:]
			return n, nil
		}
		if errors.Is(st.err, io.EOF) {
			return 0, io.EOF
		}
		if !st.resume() {
			return 0, st.err
		}
	}
}

// resume ends the interrupted attempt, continues the stream at another endpoint after the last complete event and
// reports whether that succeeded. It needs the id of an event to resume after, and a call that has not been cancelled.
// The reducer (the decision logic in wigeondispatch) picks the endpoint; resume tries each one that it picks until it
// gives up.
func (st *streamBody) resume() bool {
	c := st.call
	if st.response == nil {
		return false
	}
	resumable := c.route.Resumable && st.events.lastID != "" && c.ctx.Err() == nil
	st.response.Close()
	st.response = nil
	c.endAttemptWithError(c.interruptedOutcome(), st.attemptEvents(), resumable, st.err)
	for resumable {
		select {
		case d := <-c.decisions:
			next, ok := d.(wigeondispatch.Dispatch)
			if !ok {
				return false
			}
			c.recordResend(next.Resend)
			if st.reopen(next) {
				return true
			}
		case <-c.ctx.Done():
			return false
		}
	}
	return false
}

// reopen sends the request to another endpoint and reports whether its response continues the stream. Only a signed
// success does: the caller already has the status and the first events, so an error response can't be forwarded any
// more. The incomplete event of the interrupted response is dropped, because the new response sends it again.
func (st *streamBody) reopen(d wigeondispatch.Dispatch) bool {
	c := st.call
	r, err := c.startAttempt(d, st.events.lastID)
	if err != nil {
		c.endAttemptWithError(classifyError(c.ctx, err), 0, true, err)
		return false
	}
	if r.Header.NotRun {
		c.handleNotRun(r)
		return false
	}
	if c.isUntrusted(r) || r.HTTP.StatusCode() >= fasthttp.StatusMultipleChoices {
		r.Close()
		c.endAttemptWithError(wigeondispatch.OutcomeLost, 0, true, errUntrustedResponse)
		return false
	}
	st.response, st.err, st.framing = r, nil, r.Framing()
	st.received, st.receivedBytes = wigeonstream.Tracker{}, 0
	st.began, st.eventsBefore = false, st.events.count
	st.events.dropPartial()
	return true
}

// attemptEvents returns the number of events of the running attempt.
func (st *streamBody) attemptEvents() int { return st.events.count - st.eventsBefore }

// Close ends the call, whether or not the stream is complete. It reports the end of the attempt only if resume has not
// done so already, in which case response is nil. The attempt on an incomplete stream counts as abandoned, because
// forwarding ended before the endpoint's response did.
func (st *streamBody) Close() error {
	c := st.call
	complete := errors.Is(st.err, io.EOF) && len(st.pending) == 0
	outcome := "answered"
	if st.response != nil {
		if complete {
			st.response.MarkBodyRead()
		}
		st.response.Close()
		if complete {
			c.endAttempt(wigeondispatch.OutcomeDone, st.attemptEvents(), false)
		} else {
			c.endAttempt(wigeondispatch.OutcomeAbandoned, st.attemptEvents(), false)
		}
	}
	if !complete {
		outcome = "streamBroken"
		if errors.Is(context.Cause(c.ctx), errCallerDisconnected) {
			outcome = "callerGone"
		}
	}
	c.finish(outcome, logrus.Fields{
		"events": st.events.count, "lastEvent": st.events.lastID, "framing": st.framing,
		"receivedBytes": st.receivedBytes, "insideEvent": !st.received.Complete(),
	})
	return nil
}
