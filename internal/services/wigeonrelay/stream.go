package wigeonrelay

import (
	"cmp"
	"context"
	"errors"
	"io"

	"wigeonshift/internal/services/wigeondispatch"
	"wigeonshift/internal/services/wigeonupstream"

	"github.com/valyala/fasthttp"
)

// Limits of streamed responses. An endpoint that exceeds one has its connection closed.
const (
	// maxEventBytes is the largest number of bytes of a stream that follow each other without the end of an event. Up to so
	// many bytes are held back for each resumable stream.
	maxEventBytes = 64 << 10
	// maxStreamBytes is the largest streamed response.
	maxStreamBytes = 64 << 20
)

// Reasons why a stream whose connection still works is ended as broken.
var (
	errEventTooLong  = errors.New("event exceeds the largest size")
	errStreamTooLong = errors.New("streamed response exceeds the largest size")
)

// streamBody is the body of a streamed response. The HTTP library reads it after the handler has returned. An error of
// Read closes the caller's connection, so that a truncated response doesn't look complete.
type streamBody struct {
	call     *call
	response *wigeonupstream.Response
	// content follows the body of the running attempt.
	content *responseContent
	// began is set once the running attempt has sent something; eventsBefore is the number of events of earlier attempts.
	began        bool
	eventsBefore int
	// held is the incomplete event at the end of what a resumable stream has sent; at most maxEventBytes.
	held []byte
	// holdsMemory is set while maxEventBytes are reserved for held, because it is longer than freeBodyBytes.
	holdsMemory bool
	// pending holds bytes from the endpoint that Read has not returned yet.
	pending []byte
	buffer  []byte
	// err is the error that Read returns after pending, io.EOF at the end of a complete stream.
	err error
}

// forwardStream starts to forward a streamed response and reports whether the caller's response is set. It waits for
// the first bytes that can be forwarded: if the stream fails before them, it returns false and the request can still be
// sent to another endpoint. An event stream gets no content length, because it may break off inside an event or be
// continued by another endpoint.
func (c *call) forwardStream(r *wigeonupstream.Response) bool {
	st := c.beginStream(r)
	if st == nil {
		return false
	}
	if !c.claimAnswer() {
		st.cancel()
		return false
	}
	c.setStream(st)
	return true
}

// beginStream waits for the first bytes that can be forwarded. If the stream fails before them, it ends the attempt and returns nil.
func (c *call) beginStream(r *wigeonupstream.Response) *streamBody {
	st := &streamBody{call: c, response: r, content: c.newContent(r), buffer: make([]byte, streamBufferBytes)}
	st.fill()
	if len(st.pending) == 0 && st.err != nil && !errors.Is(st.err, io.EOF) {
		st.dropHeld()
		r.Close()
		c.endAttemptWithError(c.interruptedOutcome(), 0, true, st.err)
		return nil
	}
	return st
}

// cancel ends the attempt of a stream that has begun after the other attempt had won.
func (st *streamBody) cancel() {
	st.dropHeld()
	st.response.Close()
	st.call.endAttempt(wigeondispatch.OutcomeCancelled, st.attemptEvents(), true)
}

// setStream makes a stream that has begun the caller's response.
func (c *call) setStream(st *streamBody) {
	r := st.response
	c.copyHeader(&r.HTTP.Header)
	length := r.HTTP.Header.ContentLength()
	if length < 0 || st.content.isEvents() && st.content.bytes > 0 {
		length = -1
	}
	c.httpCtx.Response.SetBodyStream(st, length)
}

// interruptedOutcome returns the outcome of an attempt whose response was interrupted. If the call itself was
// cancelled, because the caller disconnected or the deadline passed, the attempt is abandoned rather than lost, since
// this instance ended it. So it has if the other attempt has won.
func (c *call) interruptedOutcome() wigeondispatch.Outcome {
	if c.hasLostRace() {
		return wigeondispatch.OutcomeCancelled
	}
	if c.ctx.Err() != nil {
		return wigeondispatch.OutcomeAbandoned
	}
	return wigeondispatch.OutcomeLost
}

// fill reads from the endpoint until there are bytes to forward or the stream ends.
func (st *streamBody) fill() {
	for len(st.pending) == 0 && st.err == nil {
		n, err := st.response.Body().Read(st.buffer)
		if n > 0 {
			st.receive(st.buffer[:n])
		}
		if errors.Is(err, io.EOF) {
			err = cmp.Or(st.content.checkEnd(), err)
		}
		if st.err == nil {
			st.err = err
		}
	}
}

// receive takes bytes from the endpoint. For a resumable stream it holds back the bytes of an incomplete event, so that
// another endpoint can resume the stream after the last complete one and the caller never has part of an event that is sent
// again.
func (st *streamBody) receive(p []byte) {
	c := st.call
	c.resetStallTimer()
	if !st.began {
		st.began = true
		c.reportBegan()
	}
	complete := st.content.consume(p)
	c.attemptEvents.Store(int64(st.attemptEvents()))
	st.err = st.content.checkSize()
	if !c.route.Resumable || !st.content.isEvents() {
		st.pending = p
		return
	}
	if complete > 0 {
		st.pending = append(st.held, p[:complete]...)
		st.dropHeld()
	}
	if st.err == nil {
		st.held = append(st.held, p[complete:]...)
		st.err = st.reserveHeld()
	}
}

// reserveHeld reserves memory for an incomplete event that has become long.
func (st *streamBody) reserveHeld() error {
	if st.holdsMemory || len(st.held) <= freeBodyBytes {
		return nil
	}
	if !st.call.service.bodyMemory.reserve(maxEventBytes) {
		return errBodyMemoryUsed
	}
	st.holdsMemory = true
	return nil
}

// dropHeld drops the incomplete event and gives its memory back.
func (st *streamBody) dropHeld() {
	st.held = nil
	if st.holdsMemory {
		st.holdsMemory = false
		st.call.service.bodyMemory.release(maxEventBytes)
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
// reports whether that succeeded. It needs the id of an event to resume after, and a call that has not been cancelled. A stream that a
// peer forwards isn't resumed here, since the peer does so.
// The reducer (the decision logic in wigeondispatch) picks the endpoint; resume tries each one that it picks until it
// gives up.
func (st *streamBody) resume() bool {
	c := st.call
	if st.response == nil {
		return false
	}
	resumable := c.route.Resumable && st.content.tracker.LastID != "" && c.ctx.Err() == nil && c.passedTo == ""
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
	r, err := c.startAttempt(d, st.content.tracker.LastID)
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
	st.response, st.err = r, nil
	st.began, st.eventsBefore = false, st.content.tracker.Events
	st.content = st.content.continued(r)
	st.dropHeld()
	return true
}

// attemptEvents returns the number of events of the running attempt.
func (st *streamBody) attemptEvents() int { return st.content.tracker.Events - st.eventsBefore }

// Close ends the call, whether or not the stream is complete. It reports the end of the attempt only if resume has not
// done so already, in which case response is nil. The attempt on an incomplete stream counts as abandoned, because
// forwarding ended before the endpoint's response did.
func (st *streamBody) Close() error {
	c := st.call
	st.dropHeld()
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
	fields := st.content.logFields()
	fields["events"], fields["lastEvent"] = st.content.tracker.Events, st.content.tracker.LastID
	c.finish(outcome, fields)
	return nil
}
