package wigeonrelay

import (
	"context"
	"errors"
	"io"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeondispatch"
	"wigeonshift/internal/services/wigeonupstream"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
)

const (
	// wholeBodyBytes is the size up to which an answer is read whole before the caller gets its first byte.
	wholeBodyBytes = 256 << 10
	// firstPieceBytes is the size of the piece by which a stream's beginning is seen.
	firstPieceBytes = 2 << 10
)

// errUntrusted reports an answer that can't be the endpoint's own.
var errUntrusted = errors.New("success without signature or with an encoded body")

// errBodyTooLarge reports an answer that is longer than the relay reads into memory.
var errBodyTooLarge = errors.New("answer too large")

// send starts an attempt and returns the answer's header.
func (c *call) send(d wigeondispatch.Dispatch, lastEvent string) (*wigeonupstream.Response, error) {
	c.attempts = d.Attempt
	c.endpoint = d.EndpointID
	if c.waited == 0 {
		c.waited = d.Waited
	}
	ctx, cancel := context.WithCancelCause(c.ctx)
	c.mu.Lock()
	c.stopAttempt = cancel
	c.mu.Unlock()
	c.watchStall(d.StallAfter)
	c.service.log.WithFields(logrus.Fields{
		"request": c.header.RequestID, "endpoint": d.EndpointID, "attempt": d.Attempt, "running": d.Running,
		"waitedMs": d.Waited.Milliseconds(), "leftMs": d.Timeout.Milliseconds(), "resumeAfter": lastEvent,
		"organisation": c.job.Organisation, "units": c.job.Units,
	}).Info("request dispatched")
	request := c.request(d, lastEvent)
	target := wigeonupstream.Target{ID: d.EndpointID, Address: d.Address}
	return c.service.pool.Send(ctx, target, c.header.RequestID, request)
}

// request returns the request for an endpoint.
func (c *call) request(d wigeondispatch.Dispatch, lastEvent string) *fasthttp.Request {
	request := &fasthttp.Request{}
	c.http.Request.Header.CopyTo(&request.Header)
	c.service.dialect.WriteCall(&request.Header, wigeonshift.EndpointCall{
		EndpointID:   d.EndpointID,
		Organisation: c.job.Organisation,
		Timeout:      max(d.Timeout, time.Millisecond),
		LastEvent:    lastEvent,
	})
	request.Header.ResetConnectionClose()
	request.SetBodyRaw(c.http.Request.Body())
	return request
}

// attempt sends the request to an endpoint and reports whether the caller's answer is set.
func (c *call) attempt(d wigeondispatch.Dispatch) bool {
	answer, err := c.send(d, "")
	if err != nil {
		c.lost(outcomeOf(c.ctx, err), 0, true, err)
		return false
	}
	status := answer.HTTP.StatusCode()
	switch {
	case answer.Header.NotRun:
		return c.notRun(answer)
	case status >= fasthttp.StatusInternalServerError:
		return c.endpointFailed(answer)
	case c.untrusted(answer):
		answer.Close()
		c.lost(wigeondispatch.OutcomeLost, 0, true, errUntrusted)
		return false
	case c.route.Kind == wigeonshift.RouteStreaming && status < fasthttp.StatusMultipleChoices:
		return c.stream(answer)
	default:
		return c.whole(answer)
	}
}

// untrusted reports whether an answer can't be the endpoint's own: a success without signature, or an encoded body that
// nobody asked for.
func (c *call) untrusted(a *wigeonupstream.Response) bool {
	success := a.HTTP.StatusCode() < fasthttp.StatusMultipleChoices
	return success && !a.Header.Signed || len(a.HTTP.Header.ContentEncoding()) > 0
}

// notRun ends an attempt that the endpoint did not run.
func (c *call) notRun(a *wigeonupstream.Response) bool {
	outcome := wigeondispatch.OutcomeRejected
	if a.Header.Misplaced {
		outcome = wigeondispatch.OutcomeMisplaced
	}
	if _, err := readWhole(a); err == nil {
		a.MarkBodyRead()
	}
	a.Close()
	c.ended(outcome, 0, true)
	return false
}

// endpointFailed ends an attempt that the endpoint ran without success. Its answer is passed on if there is no other
// attempt.
func (c *call) endpointFailed(a *wigeonupstream.Response) bool {
	defer a.Close()
	body, whole := c.readAnswer(a)
	if !whole {
		return false
	}
	c.ended(wigeondispatch.OutcomeFailed, 0, true)
	select {
	case d := <-c.decisions:
		if f, ok := d.(wigeondispatch.Failure); ok && f.Reason == wigeondispatch.ReasonEndpointFailed {
			c.pass(a, body)
			return true
		}
		return c.follow(d)
	case <-c.ctx.Done():
		c.endWithoutAnswer()
		return true
	default:
		// The request waits for another endpoint.
		return false
	}
}

// whole passes an answer on after its last byte has been read.
func (c *call) whole(a *wigeonupstream.Response) bool {
	defer a.Close()
	body, whole := c.readAnswer(a)
	if !whole {
		return false
	}
	c.began()
	c.ended(wigeondispatch.OutcomeDone, 0, false)
	c.pass(a, body)
	return true
}

// readAnswer reads an answer's body and reports whether it was whole. If not, the attempt is over.
func (c *call) readAnswer(a *wigeonupstream.Response) ([]byte, bool) {
	body, err := readWhole(a)
	if err != nil {
		c.lost(c.breakOutcome(), 0, true, err)
		return nil, false
	}
	a.MarkBodyRead()
	return body, true
}

// pass sets the caller's answer to an endpoint's.
func (c *call) pass(a *wigeonupstream.Response, body []byte) {
	c.copyHeader(a)
	c.http.Response.SetBodyRaw(body)
	c.finish("answered", logrus.Fields{"status": a.HTTP.StatusCode()})
}

// copyHeader sets the caller's header to an endpoint's.
func (c *call) copyHeader(a *wigeonupstream.Response) {
	h := &c.http.Response.Header
	a.HTTP.Header.CopyTo(h)
	c.service.dialect.CleanAnswer(h)
	h.ResetConnectionClose()
	if c.service.draining.Load() {
		h.SetConnectionClose()
	}
}

// readWhole reads an answer's body to its end.
func readWhole(a *wigeonupstream.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body(), wholeBodyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > wholeBodyBytes {
		return nil, errBodyTooLarge
	}
	return body, nil
}

// began tells the reducer that the answer has begun.
func (c *call) began() {
	now := c.service.dispatcher.Now()
	if c.firstAt == 0 {
		c.firstAt = now - c.job.Arrived
	}
	c.service.dispatcher.reduce(wigeondispatch.Began{At: now, Job: c.job.ID})
}

// lost tells the reducer that an attempt ended by an error, and logs the error.
func (c *call) lost(outcome wigeondispatch.Outcome, events int, answerable bool, err error) {
	c.service.log.WithFields(logrus.Fields{
		"request": c.header.RequestID, "endpoint": c.endpoint, "attempt": c.attempts,
	}).WithError(err).Info("attempt broke off")
	c.ended(outcome, events, answerable)
}

// ended tells the reducer how an attempt ended.
func (c *call) ended(outcome wigeondispatch.Outcome, events int, answerable bool) {
	c.watchStall(0)
	c.service.scope.Tagged(map[string]string{"outcome": outcome.String()}).Counter("attempts").Inc(1)
	if outcome != wigeondispatch.OutcomeDone {
		c.log(logrus.Fields{"attemptOutcome": outcome.String(), "events": events}).Info("attempt ended")
	}
	c.service.dispatcher.reduce(wigeondispatch.Ended{
		At: c.service.dispatcher.Now(), Job: c.job.ID, Outcome: outcome, Events: events, Answerable: answerable,
	})
}

// outcomeOf classes the error of an exchange.
func outcomeOf(ctx context.Context, err error) wigeondispatch.Outcome {
	switch {
	case errors.Is(err, wigeonupstream.ErrNotSent) && ctx.Err() == nil:
		return wigeondispatch.OutcomeNotSent
	case ctx.Err() != nil:
		return wigeondispatch.OutcomeAbandoned
	default:
		return wigeondispatch.OutcomeLost
	}
}
