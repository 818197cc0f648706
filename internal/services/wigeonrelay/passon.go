package wigeonrelay

import (
	"context"
	"errors"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeondispatch"
	"wigeonshift/internal/services/wigeonupstream"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
)

// Headers between instances. They are removed before anything reaches an endpoint or a caller.
const (
	// headerPassedOn marks a request that another instance has passed on. It must not be passed on again.
	headerPassedOn = "Wigeonshift-Passed-On"
	// headerCutOff marks the refusal of an instance that reaches no endpoint itself.
	headerCutOff = "Wigeonshift-Cut-Off"
)

var (
	// errPeerCutOff reports that the peer reaches no endpoint either.
	errPeerCutOff = errors.New("peer reaches no endpoint")
	// errPeerRefused reports that the peer has refused a request which an endpoint of this instance may have run.
	errPeerRefused = errors.New("peer refused a request that may have run before")
)

// takePassedOn reports whether another instance has passed a request on, and removes the mark.
func takePassedOn(h *fasthttp.RequestHeader) bool {
	passedOn := len(h.Peek(headerPassedOn)) > 0
	h.Del(headerPassedOn)
	return passedOn
}

// runPassOn passes the request on to another instance and reports whether the caller's response is set. The other instance's
// answer is the caller's, whatever its status.
func (c *call) runPassOn(x wigeondispatch.PassOn) bool {
	c.passedTo, c.latestPeer = x.Peer, x.Peer
	if c.queueTime == 0 {
		c.queueTime = x.QueueTime
	}
	c.service.scope.Counter("requestsPassedOn").Inc(1)
	c.service.log.WithFields(logrus.Fields{
		"request": c.header.RequestID, "peer": x.Peer, "attempt": x.Attempt, "waitedMs": x.QueueTime.Milliseconds(),
		"leftMs": x.Timeout.Milliseconds(),
	}).Info("request passed on to a peer")
	ranBefore := c.mayHaveRunAtPeer
	c.mayHaveRunAtPeer = true
	response, err := c.sendToPeer(x)
	if err == nil && len(response.HTTP.Header.Peek(headerCutOff)) > 0 {
		response.Close()
		err = errPeerCutOff
	}
	if err == nil && x.MayHaveRun && promisesNotRun(response.HTTP.StatusCode()) {
		response.Close()
		err = errPeerRefused
	}
	if err != nil {
		provesNotRun := errors.Is(err, wigeonupstream.ErrNotSent) || errors.Is(err, errPeerCutOff) || errors.Is(err, errPeerRefused)
		c.mayHaveRunAtPeer = ranBefore || !provesNotRun
		c.endPassWithError(passOutcome(c.ctx, err), err)
		return false
	}
	status := response.HTTP.StatusCode()
	if status < fasthttp.StatusMultipleChoices && c.isUntrusted(response) {
		response.Close()
		c.endPassWithError(wigeondispatch.OutcomeLost, errUntrustedResponse)
		return false
	}
	if status < fasthttp.StatusMultipleChoices && c.streams() {
		return c.forwardStream(response)
	}
	return c.forwardBuffered(response)
}

// streams reports whether the answer of the call is forwarded as it arrives.
func (c *call) streams() bool { return c.route.Kind == wigeonshift.RouteStreaming }

// sendToPeer sends the caller's request to a peer.
func (c *call) sendToPeer(x wigeondispatch.PassOn) (*wigeonupstream.Response, error) {
	address, known := c.service.dispatcher.peerAddress(x.Peer)
	if !known {
		return nil, wigeonupstream.ErrNotSent
	}
	ctx, cancel := context.WithCancelCause(c.ctx)
	c.mu.Lock()
	c.cancelAttempt = cancel
	c.mu.Unlock()
	request := c.service.newPassedOnRequest(&c.httpCtx.Request, x.Timeout)
	return c.send(ctx, wigeonupstream.Target{ID: x.Peer, Address: address}, request)
}

// newPassedOnRequest returns a caller's request for a peer. It has the same fingerprints there.
func (s *Service) newPassedOnRequest(from *fasthttp.Request, timeout time.Duration) *fasthttp.Request {
	request := &fasthttp.Request{}
	from.Header.CopyTo(&request.Header)
	s.dialect.WritePassedOn(&request.Header, max(timeout, time.Millisecond))
	request.Header.SetNoDefaultContentType(true)
	request.Header.ResetConnectionClose()
	request.Header.Set(headerPassedOn, "1")
	request.SetBodyRaw(from.Body())
	return request
}

// passOutcome returns the outcome of a request that was passed on and failed with err.
func passOutcome(ctx context.Context, err error) wigeondispatch.Outcome {
	switch {
	case errors.Is(err, errPeerCutOff):
		return wigeondispatch.OutcomeMisplaced
	case errors.Is(err, errPeerRefused):
		return wigeondispatch.OutcomeRejected
	default:
		return classifyError(ctx, err)
	}
}

// promisesNotRun reports whether a status says that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable, fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// endPassWithError logs an error and ends the passing on of the request. The reducer decides what becomes of the request.
func (c *call) endPassWithError(outcome wigeondispatch.Outcome, err error) {
	c.service.log.WithFields(logrus.Fields{"request": c.header.RequestID, "peer": c.passedTo}).WithError(err).
		Info("request came back from a peer")
	c.endPass(outcome, true)
}

// endPass reports the end of the passing on to the reducer.
func (c *call) endPass(outcome wigeondispatch.Outcome, answerable bool) {
	c.passedTo = ""
	c.service.scope.Tagged(map[string]string{"outcome": outcome.String()}).Counter("passes").Inc(1)
	c.service.dispatcher.reduce(wigeondispatch.PassEnded{
		At: c.service.dispatcher.MeasureNow(), Job: c.job.ID, Outcome: outcome, Answerable: answerable,
	})
}

// endpointProbe opens a new connection to an endpoint to see whether it can be reached.
type endpointProbe struct {
	service *Service
	effect  wigeondispatch.ProbeEndpoint
}

// startProbe starts a probe of an endpoint.
func (s *Service) startProbe(x wigeondispatch.ProbeEndpoint) {
	p := &endpointProbe{service: s, effect: x}
	s.tasks.Go(p.run)
}

// run probes the endpoint and reports the result to the reducer. The pool limits the time of a probe.
func (p *endpointProbe) run() {
	target := wigeonupstream.Target{ID: p.effect.EndpointID, Address: p.effect.Address}
	err := p.service.pool.Probe(context.Background(), target)
	p.service.scope.Counter("endpointProbes").Inc(1)
	p.service.dispatcher.reduce(wigeondispatch.EndpointProbed{
		At: p.service.dispatcher.Now(), EndpointID: target.ID, Reached: err == nil,
	})
}
