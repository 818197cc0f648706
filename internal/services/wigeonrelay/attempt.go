package wigeonrelay

import (
	"context"
	"errors"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonframing"
	"wigeonshift/internal/services/wigeondispatch"
	"wigeonshift/internal/services/wigeonupstream"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
)

const (
	// maxBufferedBodyBytes is the largest response body that is buffered. A buffered response is read completely before
	// the caller gets its first byte.
	maxBufferedBodyBytes = 256 << 10
	// streamBufferBytes is the largest read from a stream, including the first one, which shows that the stream has begun.
	streamBufferBytes = 2 << 10
	// protocolHTTP11 is the version of HTTP of the responses to callers.
	protocolHTTP11 = "HTTP/1.1"
)

// errUntrustedResponse reports a response that can't come from the endpoint itself.
var errUntrustedResponse = errors.New("response is unsigned, has an encoded body or does not continue the stream")

// errBodyTooLarge reports a response body that exceeds maxBufferedBodyBytes.
var errBodyTooLarge = errors.New("response body too large")

// startAttempt sends the request to an endpoint and returns the response once its header has been read. An attempt is
// one such sending; it has its own context, so that abandonAttempt can cancel it without ending the call. A nonempty
// lastEventID asks the endpoint to resume a stream after that event.
func (c *call) startAttempt(d wigeondispatch.Dispatch, lastEventID string) (*wigeonupstream.Response, error) {
	c.attempts = d.Attempt
	c.attemptEvents.Store(0)
	c.endpoint = d.EndpointID
	if c.queueTime == 0 {
		c.queueTime = d.QueueTime
	}
	ctx, cancel := context.WithCancelCause(c.ctx)
	c.mu.Lock()
	c.attemptCtx, c.cancelAttempt = ctx, cancel
	c.mu.Unlock()
	c.setStallTimeout(d.StallTimeout)
	c.service.log.WithFields(logrus.Fields{
		"request": c.header.RequestID, "endpoint": d.EndpointID, "attempt": d.Attempt, "running": d.Running,
		"keptTokens": d.KeptTokens, "home": d.IsHome, "crossesZones": d.CrossesZones,
		"waitedMs": d.QueueTime.Milliseconds(), "leftMs": d.Timeout.Milliseconds(), "resumeAfter": lastEventID,
		"organisation": c.job.Organisation, "units": c.job.Units, "fingerprint": c.job.Fingerprint.String(),
		"content": c.job.Shared.Content.String(),
	}).WithFields(c.resendFields()).WithFields(hedgeDispatchFields(c.isHedge, d)).WithFields(limitFields(d)).Info("request dispatched")
	c.countPlacement(d)
	request := c.newEndpointRequest(d, lastEventID)
	return c.send(ctx, wigeonupstream.Target{ID: d.EndpointID, Address: d.Address}, request, c.sendOptions(d)...)
}

// countPlacement counts what a placement costs and saves.
func (c *call) countPlacement(d wigeondispatch.Dispatch) {
	c.service.scope.Counter("promptTokensKept").Inc(int64(d.KeptTokens))
	if d.CrossesZones {
		c.service.scope.Counter("dispatchesAcrossZones").Inc(1)
	}
}

// send sends a request to an endpoint or a peer.
func (c *call) send(
	ctx context.Context, target wigeonupstream.Target, request *fasthttp.Request, opts ...wigeonupstream.SendOption,
) (*wigeonupstream.Response, error) {
	c.target = target
	response, err := c.service.pool.Send(ctx, target, c.header.RequestID, request, opts...)
	if errors.Is(err, wigeonupstream.ErrLost) && !errors.Is(context.Cause(ctx), errCallerDisconnected) && !c.hasLostRace() {
		// If the connection has fallen silent, the idle ones beside it have, too.
		c.service.pool.DropIdle(target)
	}
	return response, err
}

var (
	// errSendDelayed reports that a request was not sent because too much time had passed since the decision to send it.
	errSendDelayed = errors.New("too much time has passed since the decision to send the request")
	// errEndpointUnwilling reports that a request was not sent because its endpoint has left meanwhile, or wants no requests.
	errEndpointUnwilling = errors.New("endpoint has left or wants no requests")
)

// sendRecheckAge is the age of a decision from which it is checked again whether the endpoint may get the request.
const sendRecheckAge = 100 * time.Millisecond

// sendOptions returns the limits on the sending of an attempt, and passes on what the endpoint says of itself. A resend must
// not arrive long after the decision, because the retry budget counts it from then.
func (c *call) sendOptions(d wigeondispatch.Dispatch) []wigeonupstream.SendOption {
	check := func() error {
		age := c.service.dispatcher.MeasureNow() - d.DecidedAt
		c.recordSendDelay(age)
		if d.MaxSendDelay > 0 && age > d.MaxSendDelay {
			return errSendDelayed
		}
		if age > sendRecheckAge && !c.service.dispatcher.maySend(d) {
			return errEndpointUnwilling
		}
		return nil
	}
	observe := func(h wigeonshift.ResponseHeader, connectedAt time.Time) {
		if h.Misdirected {
			return
		}
		if h.RequestID != "" && h.RequestID != c.header.RequestID {
			h.Limit, h.Brittle = wigeonshift.EndpointLimit{Unreadable: true}, wigeonshift.EndpointLimit{Unreadable: true}
		}
		if h.Leaving || h.Backoff > 0 || h.Limit.Stated || h.Brittle.Stated || d.IsLimited || d.IsBrittle {
			c.reportSignal(d, h, connectedAt)
		}
	}
	return []wigeonupstream.SendOption{wigeonupstream.WithSendCheck(check), wigeonupstream.WithHeaderObserver(observe)}
}

// recordSendDelay records the time from the decision to send the running attempt to its first byte.
func (c *call) recordSendDelay(delay time.Duration) {
	c.sendDelay.Store(int64(delay))
	c.service.scope.Histogram("sendDelaySeconds", latencyBuckets).RecordDuration(delay)
}

// reportSignal reports what an endpoint says of itself to the reducer.
func (c *call) reportSignal(d wigeondispatch.Dispatch, h wigeonshift.ResponseHeader, connectedAt time.Time) {
	now := c.service.dispatcher.MeasureNow()
	c.service.dispatcher.reduce(wigeondispatch.EndpointSignalled{
		At: now, EndpointID: d.EndpointID, StartedAtMillis: d.StartedAtMillis, ConnectedAt: now - time.Since(connectedAt),
		RequestID: c.header.RequestID, Leaving: h.Leaving, Backoff: h.Backoff, Limit: h.Limit, Brittle: h.Brittle, DispatchedAt: d.DecidedAt,
	})
}

// newEndpointRequest returns the caller's request with the headers for an endpoint. These are added to a copy of the
// header, so that a later attempt can start from the caller's own.
func (c *call) newEndpointRequest(d wigeondispatch.Dispatch, lastEventID string) *fasthttp.Request {
	request := &fasthttp.Request{}
	c.httpCtx.Request.Header.CopyTo(&request.Header)
	c.service.dialect.WriteRequest(&request.Header, wigeonshift.EndpointCall{
		EndpointID:   d.EndpointID,
		Organisation: c.job.Organisation,
		Timeout:      max(d.Timeout, time.Millisecond),
		LastEventID:  lastEventID,
	})
	request.Header.ResetConnectionClose()
	request.SetBodyRaw(c.httpCtx.Request.Body())
	return request
}

// runAttempt sends the request to an endpoint, and a hedge to another one if it is due, and reports whether the caller's
// response is set. If it isn't, the attempts have been reported to the reducer, which decides whether the request is sent to
// another endpoint.
func (c *call) runAttempt(d wigeondispatch.Dispatch) bool {
	c.startRace(d)
	return c.endRace(c.runFirstAttempt(d))
}

// runFirstAttempt sends the request to an endpoint and reports whether the caller's response is set.
func (c *call) runFirstAttempt(d wigeondispatch.Dispatch) bool {
	response, err := c.startAttempt(d, "")
	if err != nil {
		c.endAttemptWithError(c.errorOutcome(err), 0, true, err)
		return false
	}
	status := response.HTTP.StatusCode()
	c.succeeded = status < fasthttp.StatusMultipleChoices
	switch {
	case response.Header.NotRun:
		return c.handleNotRun(response)
	case status >= fasthttp.StatusInternalServerError:
		return c.handleEndpointError(response)
	case c.isUntrusted(response):
		response.Close()
		c.endAttemptWithError(wigeondispatch.OutcomeLost, 0, true, errUntrustedResponse)
		return false
	case c.route.Kind == wigeonshift.RouteStreaming && status < fasthttp.StatusMultipleChoices:
		return c.forwardStream(response)
	default:
		return c.forwardBuffered(response)
	}
}

// isUntrusted reports whether a response can't come from the endpoint itself, so that it must not be forwarded: a
// success without the endpoint's signature, or an encoded body, which was not requested.
func (c *call) isUntrusted(r *wigeonupstream.Response) bool {
	success := r.HTTP.StatusCode() < fasthttp.StatusMultipleChoices
	return success && !r.Header.Signed || len(r.HTTP.Header.ContentEncoding()) > 0
}

// handleNotRun ends an attempt whose response proves that the endpoint did not run the request, which may therefore be
// sent to another endpoint. It reads the body so that the connection can be reused. It returns false because the
// caller's response is not set.
func (c *call) handleNotRun(r *wigeonupstream.Response) bool {
	outcome := wigeondispatch.OutcomeRejected
	if r.Header.Misdirected {
		outcome = wigeondispatch.OutcomeMisplaced
	}
	if body, err := c.readBuffered(r); err == nil {
		body.release()
		r.MarkBodyRead()
	}
	r.Close()
	c.endAttempt(outcome, 0, true)
	return false
}

// handleEndpointError ends an attempt that the endpoint ran and answered with a server error. The error response is
// forwarded unless the request is sent to another endpoint. It reports whether the caller's response is set. endAttempt
// delivers the reducer's decision before it returns, so without a decision the request is queued for another endpoint.
func (c *call) handleEndpointError(r *wigeonupstream.Response) bool {
	whole, complete := c.takeResponse(r)
	if !complete {
		return false
	}
	c.endAttempt(wigeondispatch.OutcomeFailed, 0, true)
	select {
	case d := <-c.decisions:
		if f, ok := d.(wigeondispatch.Failure); ok && f.Reason == wigeondispatch.ReasonEndpointFailed {
			c.setResponse(whole)
			return true
		}
		whole.body.release()
		return c.applyDecision(d)
	case <-c.ctx.Done():
		whole.body.release()
		c.endWithoutResponse()
		return true
	default:
		// The request is queued for another endpoint.
		whole.body.release()
		return false
	}
}

// forwardBuffered reads the whole response and then forwards it. Until then the caller has received nothing, so that an
// interrupted response can still be replaced by that of another endpoint. It reports whether the caller's response is
// set.
func (c *call) forwardBuffered(r *wigeonupstream.Response) bool {
	whole, complete := c.takeResponse(r)
	if !complete {
		return false
	}
	if !c.claimAnswer() {
		whole.body.release()
		c.endAttempt(wigeondispatch.OutcomeCancelled, 0, true)
		return false
	}
	c.answerWhole(whole)
	return true
}

// answerWhole ends the attempt and makes its response the caller's.
func (c *call) answerWhole(whole *wholeResponse) {
	c.reportBegan()
	c.endAttempt(wigeondispatch.OutcomeDone, 0, false)
	c.setResponse(whole)
}

// wholeResponse is an endpoint's response that has been read completely.
type wholeResponse struct {
	header  fasthttp.ResponseHeader
	body    *heldBody
	framing wigeonframing.Framing
}

// takeResponse reads a whole response and returns the connection to its pool, which it can't do after the end of the call. It
// reports whether the response is complete, as readBody does.
func (c *call) takeResponse(r *wigeonupstream.Response) (*wholeResponse, bool) {
	defer r.Close()
	whole := &wholeResponse{framing: wigeonframing.FramingOf(r.HTTP)}
	// The HTTP library adds the fields of a trailer to the header once it has read the body.
	r.HTTP.Header.CopyTo(&whole.header)
	var complete bool
	whole.body, complete = c.readBody(r)
	if !complete {
		return nil, false
	}
	return whole, true
}

// readBody reads a response body and reports whether it is complete. If it isn't, readBody ends the attempt as
// answerable, because the caller has received nothing yet.
func (c *call) readBody(r *wigeonupstream.Response) (*heldBody, bool) {
	body, err := c.readBuffered(r)
	if err == nil {
		content := c.newContent(r)
		content.consume(body.data)
		if err = content.checkEnd(); err != nil {
			body.release()
		}
	}
	if err != nil {
		c.endAttemptWithError(c.interruptedOutcome(), 0, true, err)
		return nil, false
	}
	r.MarkBodyRead()
	return body, true
}

// setResponse makes an endpoint's response the caller's response and finishes the call.
func (c *call) setResponse(r *wholeResponse) {
	c.copyHeader(&r.header)
	length := len(r.body.data)
	if r.body.reserved > 0 {
		c.httpCtx.Response.SetBodyStream(r.body.reader(), length)
	} else {
		c.httpCtx.Response.SetBodyRaw(r.body.data)
	}
	c.finish("answered", logrus.Fields{
		"status": r.header.StatusCode(), "framing": r.framing, "receivedBytes": length,
	})
}

// copyHeader copies the header of an endpoint's response to the caller's response, without the headers that concern
// only the endpoint's connection, and with the relay's version of HTTP, because the relay frames the body itself. While
// the relay drains, it adds Connection: close, so that the caller reconnects to another instance.
func (c *call) copyHeader(from *fasthttp.ResponseHeader) {
	h := &c.httpCtx.Response.Header
	from.CopyTo(h)
	h.SetProtocol([]byte(protocolHTTP11))
	c.service.dialect.RemoveHopByHopHeaders(h)
	h.ResetConnectionClose()
	if c.service.draining.Load() {
		h.SetConnectionClose()
	}
}

// reportBegan reports to the reducer that the response has begun. It keeps the latency of the first byte that the
// caller gets, also if a later attempt resumes the stream.
func (c *call) reportBegan() {
	now := c.service.dispatcher.Now()
	if c.firstByteLatency == 0 {
		c.firstByteLatency = now - c.job.Arrived
	}
	if c.passedTo != "" {
		return
	}
	c.service.dispatcher.reduce(wigeondispatch.FirstEventReceived{At: now, Job: c.job.ID, Hedge: c.isHedge})
}

// endAttemptWithError logs an error and ends the attempt with the given outcome; see endAttempt for events and
// answerable.
func (c *call) endAttemptWithError(outcome wigeondispatch.Outcome, events int, answerable bool, err error) {
	c.service.log.WithFields(logrus.Fields{
		"request": c.header.RequestID, "endpoint": c.endpoint, "attempt": c.attempts,
	}).WithError(err).Info("attempt failed")
	c.endAttempt(outcome, events, answerable)
}

// endAttempt logs and counts the outcome of an attempt and reports it to the reducer, which decides whether the request
// is sent again. events is the number of complete events of a stream. answerable means that another attempt can still
// answer the caller, because it has received nothing or the stream can be resumed.
func (c *call) endAttempt(outcome wigeondispatch.Outcome, events int, answerable bool) {
	if c.passedTo != "" {
		c.endPass(outcome, answerable)
		return
	}
	c.setStallTimeout(0)
	c.service.scope.Tagged(map[string]string{"outcome": outcome.String()}).Counter("attempts").Inc(1)
	if outcome != wigeondispatch.OutcomeDone {
		c.logEntry(logrus.Fields{"attemptOutcome": outcome.String(), "events": events}).Info("attempt ended")
	}
	c.service.dispatcher.reduce(wigeondispatch.AttemptEnded{
		At: c.service.dispatcher.MeasureNow(), Job: c.job.ID, Outcome: outcome, Hedge: c.isHedge, Events: events,
		Answerable: answerable, Succeeded: outcome == wigeondispatch.OutcomeDone && c.succeeded,
	})
	c.isHedge = false
}

// errorOutcome returns the outcome of the running attempt, whose exchange failed with err.
func (c *call) errorOutcome(err error) wigeondispatch.Outcome {
	if c.hasLostRace() {
		return wigeondispatch.OutcomeCancelled
	}
	return classifyError(c.ctx, err)
}

// classifyError returns the outcome of an attempt whose exchange failed with err. ctx is the context of the call. Once
// it is done, the attempt counts as abandoned, because this instance ended it. OutcomeNotSent and OutcomeLost differ in
// whether the endpoint may have run the request.
func classifyError(ctx context.Context, err error) wigeondispatch.Outcome {
	switch {
	case (errors.Is(err, errSendDelayed) || errors.Is(err, errEndpointUnwilling)) && ctx.Err() == nil:
		return wigeondispatch.OutcomeDelayed
	case errors.Is(err, wigeonupstream.ErrNotSent) && ctx.Err() == nil:
		return wigeondispatch.OutcomeNotSent
	case ctx.Err() != nil:
		return wigeondispatch.OutcomeAbandoned
	default:
		return wigeondispatch.OutcomeLost
	}
}
