package wigeonrelay

import (
	"context"
	"errors"
	"sync"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeondispatch"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
)

// errOtherWon cancels an attempt because the other one of a hedged request has won.
var errOtherWon = errors.New("other attempt of a hedged request has won")

// race is the race of a first attempt with its hedge. The first response that begins whole wins, and the other attempt is
// cancelled at once. The goroutine of the race makes the hedge; the call waits for its end before it answers, because the hedge
// reads the caller's request.
type race struct {
	call  *call
	first wigeondispatch.Dispatch
	timer *time.Timer
	// isStopped is set once the timer was stopped before run began. Only the call's goroutine uses it.
	isStopped bool
	// ctx is the context of the hedge.
	ctx    context.Context //nolint:containedctx // The context has the lifetime of the race.
	cancel context.CancelCauseFunc
	// done is closed when run has returned.
	done chan struct{}
	// hedge is the call that makes the hedge; nil until it is sent. It has the same request and job, and never writes the caller's
	// response. The mutex of the call guards it until done is closed.
	hedge *call
	// effect is the reducer's decision to send the hedge; nil if there is none. Only run and what runs after done use it.
	effect *wigeondispatch.Hedge
	// response is the hedge's if it has won; it is set before done is closed.
	response *begunResponse

	mu sync.Mutex
	// sent is set once the hedge is sent, claimed once one of the attempts has won, and wonByHedge if that is the hedge.
	sent, claimed, wonByHedge bool
}

// begunResponse is a response that has begun whole: a stream with its first events, or a whole buffered response.
type begunResponse struct {
	stream *streamBody
	whole  *wholeResponse
}

// startRace starts the timer of the hedge of an attempt, if it has one.
func (c *call) startRace(d wigeondispatch.Dispatch) {
	if d.HedgeDelay <= 0 {
		return
	}
	r := &race{call: c, first: d, done: make(chan struct{})}
	r.ctx, r.cancel = context.WithCancelCause(c.ctx)
	c.setRace(r)
	r.timer = time.AfterFunc(d.HedgeDelay, r.run)
}

func (c *call) setRace(r *race) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.race = r
}

// addHedgeCall adds the call that makes the hedge.
func (r *race) addHedgeCall() {
	c := r.call
	c.mu.Lock()
	defer c.mu.Unlock()
	r.hedge = &call{
		service: c.service, httpCtx: c.httpCtx, header: c.header, route: c.route, version: c.version, versionAge: c.versionAge,
		targetService: c.targetService, job: c.job, queueTime: r.first.QueueTime, isHedge: true, ctx: r.ctx, cancel: r.cancel,
	}
}

// stop reports whether the hedge is not made, because the timer could be stopped before.
func (r *race) stop() bool {
	r.isStopped = r.isStopped || r.timer.Stop()
	return r.isStopped
}

// run asks the reducer for the hedge and makes it.
func (r *race) run() {
	defer close(r.done)
	dispatcher := r.call.service.dispatcher
	dispatcher.reduce(wigeondispatch.HedgeDue{At: dispatcher.MeasureNow(), Job: r.call.job.ID, DispatchedAt: r.first.DecidedAt})
	if r.effect == nil {
		return
	}
	r.addHedgeCall()
	r.mu.Lock()
	r.sent = true
	r.mu.Unlock()
	r.call.service.scope.Counter("hedges").Inc(1)
	d := r.effect.Dispatch
	d.StallTimeout = 0
	response := r.hedge.begin(d)
	switch {
	case response == nil:
		// The first attempt goes on alone, so that its silence counts from now on.
		r.call.resetStallTimer()
	case r.claim(true):
		r.response = response
		r.call.cancelForHedge()
	default:
		r.hedge.drop(response)
	}
}

// claim makes the hedge or the first attempt the winner, unless the other one is. It reports whether it has won.
func (r *race) claim(isHedge bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.claimed {
		r.claimed, r.wonByHedge = true, isHedge
	}
	return r.wonByHedge == isHedge
}

// begin sends the request and returns its response once it has begun whole. Otherwise it ends the attempt and returns nil.
func (c *call) begin(d wigeondispatch.Dispatch) *begunResponse {
	response, err := c.startAttempt(d, "")
	if err != nil {
		c.endAttemptWithError(c.errorOutcome(err), 0, true, err)
		return nil
	}
	status := response.HTTP.StatusCode()
	c.succeeded = status < fasthttp.StatusMultipleChoices
	switch {
	case response.Header.NotRun:
		c.handleNotRun(response)
	case status >= fasthttp.StatusInternalServerError:
		response.Close()
		c.endAttempt(wigeondispatch.OutcomeFailed, 0, true)
	case c.isUntrusted(response):
		response.Close()
		c.endAttemptWithError(wigeondispatch.OutcomeLost, 0, true, errUntrustedResponse)
	case c.route.Kind == wigeonshift.RouteStreaming && c.succeeded:
		if st := c.beginStream(response); st != nil {
			return &begunResponse{stream: st}
		}
	default:
		if whole, complete := c.takeResponse(response); complete {
			return &begunResponse{whole: whole}
		}
	}
	return nil
}

// drop ends the attempt of a response that has lost.
func (c *call) drop(b *begunResponse) {
	if b.stream != nil {
		b.stream.cancel()
		return
	}
	b.whole.body.release()
	c.endAttempt(wigeondispatch.OutcomeCancelled, 0, true)
}

// claimAnswer makes the running attempt the one that answers the caller, and cancels its hedge. It reports false if the hedge has won.
func (c *call) claimAnswer() bool {
	if c.race == nil {
		return true
	}
	if !c.race.claim(false) {
		return false
	}
	c.race.stop()
	c.race.cancel(errOtherWon)
	return true
}

// cancelForHedge cancels the first attempt because its hedge has won.
func (c *call) cancelForHedge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelAttempt != nil {
		c.cancelAttempt(errOtherWon)
	}
}

// hasLostRace reports whether the attempt was cancelled because the other one has won.
func (c *call) hasLostRace() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attemptCtx != nil && errors.Is(context.Cause(c.attemptCtx), errOtherWon)
}

// abandonHedge cancels the hedge because the reducer has abandoned the attempts.
// The caller must hold the mutex of the call.
func (r *race) abandonHedge() {
	if r.hedge != nil {
		r.hedge.abandonAttempt()
	}
}

// endRace ends the race after the end of the first attempt and reports whether the caller's response is set. isSet tells whether it was
// set from the first attempt. If it wasn't, the hedge may still set it.
func (c *call) endRace(isSet bool) bool {
	r := c.race
	if r == nil {
		return isSet
	}
	if isSet {
		c.claimAnswer()
	}
	if !r.stop() {
		<-r.done
	}
	c.setRace(nil)
	switch {
	case r.response == nil:
		return isSet
	case isSet:
		r.hedge.drop(r.response)
		return true
	default:
		c.adoptHedge(r)
		return true
	}
}

// adoptHedge makes the response of the hedge, which has won, the caller's. The hedge is the running attempt from now on.
func (c *call) adoptHedge(r *race) {
	h := r.hedge
	c.service.scope.Counter("hedgesWon").Inc(1)
	c.mu.Lock()
	c.attemptCtx, c.cancelAttempt = h.attemptCtx, h.cancelAttempt
	c.mu.Unlock()
	c.endpoint, c.target, c.succeeded, c.attempts, c.isHedge = h.endpoint, h.target, h.succeeded, h.attempts, true
	c.firstByteLatency = h.firstByteLatency
	c.hedgeWon = true
	if r.response.whole != nil {
		c.answerWhole(r.response.whole)
		return
	}
	st := r.response.stream
	st.call, st.content.call = c, c
	c.setStallTimeout(r.effect.StallTimeout)
	c.setStream(st)
}

// hedgeDispatchFields returns the log fields of the dispatch of a hedge; none for any other.
func hedgeDispatchFields(isHedge bool, d wigeondispatch.Dispatch) logrus.Fields {
	if !isHedge {
		return nil
	}
	return logrus.Fields{"hedge": true, "resends": d.Resend.Resends, "resendLimit": d.Resend.Limit}
}

// hedgeFields returns the log fields of a hedged request; none for any other.
func (c *call) hedgeFields() logrus.Fields {
	if c.hedgeWon {
		return logrus.Fields{"hedge": "won"}
	}
	if c.race == nil {
		return nil
	}
	c.race.mu.Lock()
	defer c.race.mu.Unlock()
	if !c.race.sent {
		return nil
	}
	return logrus.Fields{"hedge": "sent", "hedgeDelayMs": c.race.first.HedgeDelay.Milliseconds()}
}

// grantHedge passes the decision to send a hedge to its race, and gives the hedge back if the race is over. The caller must hold mu;
// it is the goroutine of the race.
func (d *Dispatcher) grantHedge(x wigeondispatch.Hedge) {
	if c := d.calls[x.Job]; c != nil && c.race != nil {
		c.race.effect = &x
		return
	}
	d.apply(wigeondispatch.AttemptEnded{At: d.Now(), Job: x.Job, Outcome: wigeondispatch.OutcomeDelayed, Hedge: true})
}

// logHedgeRefused logs and counts that a request that was due for a hedge got none.
func (d *Dispatcher) logHedgeRefused(x wigeondispatch.HedgeRefused) {
	d.scope.Tagged(map[string]string{"obstacle": string(x.Obstacle)}).Counter("hedgesRefused").Inc(1)
	entry := d.log.WithField("obstacle", string(x.Obstacle))
	if c := d.calls[x.Job]; c != nil {
		entry = entry.WithField("request", c.header.RequestID)
	}
	entry.Info("request not hedged")
}
