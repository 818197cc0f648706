package wigeonrelay

import (
	"context"
	"errors"
	"io"

	"wigeonshift/internal/services/wigeondispatch"
	"wigeonshift/internal/services/wigeonupstream"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
)

// stream is a streamed answer. The HTTP library reads it piece by piece after the handler has returned; an error of
// Read closes the caller's connection, so that the answer doesn't look complete.
type stream struct {
	call   *call
	answer *wigeonupstream.Response
	events eventReader
	// pending is read from the endpoint and not yet taken by the caller.
	pending []byte
	buffer  []byte
	// err ends the stream once pending is taken.
	err error
}

// stream begins to pass a stream on and reports whether the caller's answer is set.
func (c *call) stream(a *wigeonupstream.Response) bool {
	st := &stream{call: c, answer: a, buffer: make([]byte, firstPieceBytes)}
	st.events.wholeOnly = c.route.Resumable
	st.fill()
	if len(st.pending) == 0 && st.err != nil && !errors.Is(st.err, io.EOF) {
		a.Close()
		c.lost(c.breakOutcome(), 0, true, st.err)
		return false
	}
	c.copyHeader(a)
	length := a.HTTP.Header.ContentLength()
	if length < 0 || st.events.wholeOnly {
		length = -1
	}
	c.http.Response.SetBodyStream(st, length)
	return true
}

// breakOutcome classes an answer that broke off.
func (c *call) breakOutcome() wigeondispatch.Outcome {
	if c.ctx.Err() != nil {
		return wigeondispatch.OutcomeAbandoned
	}
	return wigeondispatch.OutcomeLost
}

// fill reads on until there is something to pass on or the stream ends.
func (st *stream) fill() {
	for len(st.pending) == 0 && st.err == nil {
		n, err := st.answer.Body().Read(st.buffer)
		if n > 0 {
			st.call.progressed()
			if st.events.count == 0 && st.events.held == 0 {
				st.call.began()
			}
			st.pending = st.events.take(st.buffer[:n])
		}
		if err != nil {
			st.err = err
			if errors.Is(err, io.EOF) {
				st.pending = append(st.pending, st.events.rest()...)
			}
		}
	}
}

// Read returns the next piece.
func (st *stream) Read(p []byte) (int, error) {
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

// resume goes on at another endpoint after the last whole event and reports whether it does.
func (st *stream) resume() bool {
	c := st.call
	if st.answer == nil {
		return false
	}
	resumable := c.route.Resumable && st.events.lastID != "" && c.ctx.Err() == nil
	st.answer.Close()
	st.answer = nil
	c.lost(c.breakOutcome(), st.events.count, resumable, st.err)
	for resumable {
		select {
		case d := <-c.decisions:
			next, ok := d.(wigeondispatch.Dispatch)
			if !ok {
				return false
			}
			if st.reopen(next) {
				return true
			}
		case <-c.ctx.Done():
			return false
		}
	}
	return false
}

// reopen sends the request on to another endpoint and reports whether its stream goes on.
func (st *stream) reopen(d wigeondispatch.Dispatch) bool {
	c := st.call
	a, err := c.send(d, st.events.lastID)
	if err != nil {
		c.lost(outcomeOf(c.ctx, err), 0, true, err)
		return false
	}
	if a.Header.NotRun {
		c.notRun(a)
		return false
	}
	if c.untrusted(a) || a.HTTP.StatusCode() >= fasthttp.StatusMultipleChoices {
		a.Close()
		c.lost(wigeondispatch.OutcomeLost, 0, true, errUntrusted)
		return false
	}
	st.answer, st.err = a, nil
	st.events.restart()
	return true
}

// Close ends the stream, whole or not.
func (st *stream) Close() error {
	c := st.call
	whole := errors.Is(st.err, io.EOF) && len(st.pending) == 0
	outcome := "answered"
	if st.answer != nil {
		if whole {
			st.answer.MarkBodyRead()
		}
		st.answer.Close()
		if whole {
			c.ended(wigeondispatch.OutcomeDone, st.events.count, false)
		} else {
			c.ended(wigeondispatch.OutcomeAbandoned, st.events.count, false)
		}
	}
	if !whole {
		outcome = "streamBroken"
		if errors.Is(context.Cause(c.ctx), errCallerGone) {
			outcome = "callerGone"
		}
	}
	c.finish(outcome, logrus.Fields{"events": st.events.count, "lastEvent": st.events.lastID})
	return nil
}
