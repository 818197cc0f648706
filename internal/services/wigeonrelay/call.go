package wigeonrelay

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonbudget"
	"wigeonshift/internal/services/wigeondispatch"
	"wigeonshift/internal/services/wigeonquarantine"
	"wigeonshift/internal/services/wigeonroute"
	"wigeonshift/internal/services/wigeonupstream"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
)

// Causes for cancelling a call or an attempt before the response is complete.
var (
	errCallerDisconnected = errors.New("caller closed the connection")
	errDeadlinePassed     = errors.New("request deadline passed")
	errInstanceStops      = errors.New("instance stops")
	errAbandoned          = errors.New("attempt abandoned")
)

const (
	// defaultTimeout applies to requests whose caller and route set no timeout.
	defaultTimeout = time.Minute
	// deadlineMargin delays the relay's own timeout, so that a response that the endpoint sends at the deadline still
	// arrives.
	deadlineMargin = 60 * time.Millisecond
	// decisionBufferSize is the largest number of decisions that a call can have pending.
	decisionBufferSize = 4
)

// call is one request of a caller and its state.
type call struct {
	service *Service
	httpCtx *fasthttp.RequestCtx
	conn    *callerConn
	header  wigeonshift.RequestHeader
	route   *wigeonshift.Route
	// version is the version of the configuration that routed the call.
	version uint64
	// versionAge is how long that version had been in force when the request arrived.
	versionAge    time.Duration
	targetService string
	job           *wigeondispatch.Job
	decisions     chan decision
	// ctx is cancelled when the caller disconnects or the deadline passes.
	ctx           context.Context //nolint:containedctx // The context has the lifetime of the call.
	cancel        context.CancelCauseFunc
	deadlineTimer *time.Timer

	mu sync.Mutex
	// attemptCtx is the context of the running attempt, which cancelAttempt cancels.
	attemptCtx    context.Context //nolint:containedctx // The context has the lifetime of the attempt.
	cancelAttempt context.CancelCauseFunc
	// race is the race of the running attempt with its hedge; nil if it may not be hedged.
	race *race
	// stallTimer fires when the endpoint has sent nothing for stallTimeout; nil if there is no stall timeout.
	stallTimer   *time.Timer
	stallTimeout time.Duration

	// endpoint is the ID of the endpoint of the latest attempt.
	endpoint string
	// target is the endpoint or the peer to which the request was last sent.
	target wigeonupstream.Target
	// succeeded is set if the latest response has a status of success.
	succeeded bool
	attempts  int
	// isHedge is set while the running attempt is a hedge: in the call that makes it, and in the caller's once it has won.
	isHedge bool
	// hedgeWon is set if the response is that of a hedge.
	hedgeWon bool
	// passedTo is the instance that has the request now; empty if none. passedOn is set if another instance has passed the request
	// on to this one.
	passedTo string
	passedOn bool
	// mayHaveRunAtPeer is set from the moment at which the request is sent to a peer, until the peer has proved that it wasn't run.
	mayHaveRunAtPeer bool
	// latestPeer is the instance to which the request was last passed on; empty if none.
	latestPeer string
	// resend is the latest decision of the retry budget, for the log; nil if there was none.
	resend *wigeonbudget.Decision
	// queueTime is the time from the arrival of the request to its first dispatch.
	queueTime time.Duration
	// sendDelay is the time from the latest decision to send the request to its first byte, in nanoseconds.
	sendDelay atomic.Int64
	// attemptEvents is the number of events of the running attempt's stream so far.
	attemptEvents atomic.Int64
	// firstByteLatency is the time from the arrival of the request to the first byte of a stream or to the end of a
	// buffered response; zero until then.
	firstByteLatency time.Duration
	finishOnce       sync.Once
}

// newCall returns the call for a routed request and starts its deadline. The caller's timeout applies (defaultTimeout
// if it gave none), but at most that of the route. The organisation o is nil if the route needs no API key.
func (s *Service) newCall(
	ctx *fasthttp.RequestCtx, h wigeonshift.RequestHeader, t *wigeonroute.Table, r *wigeonshift.Route,
	o *wigeonshift.RoutedOrganisation,
) *call {
	now := s.dispatcher.Now()
	timeout := defaultTimeout
	if h.Timeout > 0 {
		timeout = h.Timeout
	}
	if r.Timeout > 0 {
		timeout = min(timeout, r.Timeout)
	}
	c := &call{
		service:       s,
		httpCtx:       ctx,
		header:        h,
		route:         r,
		version:       t.Configuration.Version,
		versionAge:    time.Since(t.BuiltAt),
		targetService: wigeonroute.PickService(r),
		decisions:     make(chan decision, decisionBufferSize),
	}
	c.conn, _ = ctx.Conn().(*callerConn)
	c.job = newJob(h, r, o, c.targetService, now, timeout)
	c.job.Fingerprint, c.job.Shared = s.fingerprintsOf(&ctx.Request, c.job.Organisation)
	c.job.Features = featuresOf(h.PromptParts, c.targetService, c.job.Organisation)
	c.job.Elapsed = s.callerTimeouts.elapsed(c.job.Organisation, r.Name, h.Timeout)
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	c.deadlineTimer = time.AfterFunc(timeout+deadlineMargin, c.onDeadline)
	return c
}

// newJob describes a request to the reducer. Requests of organisations that count tokens use quota by their prompt
// tokens and maximum response tokens, or DefaultTokens if they state none; all others use one unit. The tier of the
// organisation takes precedence over that of the route.
func newJob(
	h wigeonshift.RequestHeader, r *wigeonshift.Route, o *wigeonshift.RoutedOrganisation, targetService string,
	now, timeout time.Duration,
) *wigeondispatch.Job {
	j := &wigeondispatch.Job{
		RequestID:            h.RequestID,
		Service:              targetService,
		Route:                r.Name,
		Tier:                 r.Tier,
		RouteTier:            r.Tier,
		Kind:                 r.Kind,
		Resumable:            r.Resumable,
		Arrived:              now,
		Deadline:             now + timeout,
		LatencyObjective:     r.LatencyObjective,
		CallerPatience:       patience(r, timeout),
		MaxAttempts:          r.MaxAttempts,
		HasTokens:            h.HasTokens,
		PromptTokens:         h.PromptTokens,
		PromptParts:          h.PromptParts,
		AnswerTokens:         h.MaxResponseTokens,
		ExpectedAnswerTokens: h.MaxResponseTokens,
		Units:                1,
	}
	if h.ExpectedResponseTokens > 0 {
		j.ExpectedAnswerTokens = min(h.ExpectedResponseTokens, h.MaxResponseTokens)
	}
	if o == nil {
		return j
	}
	j.Organisation = o.Name
	if o.HasTier {
		j.Tier = o.Tier
	}
	if o.CountsTokens {
		j.Units = float64(o.DefaultTokens)
		if h.HasTokens {
			j.Units = float64(h.PromptTokens + h.MaxResponseTokens)
		}
	}
	return j
}

// A caller of a stream is expected to disconnect when nothing arrives for minPatience, for patienceObjectiveFactor
// times the route's objective or for patienceGapFactor times its allowed gap, whichever is longest.
const (
	minPatience             = 2 * time.Second
	patienceObjectiveFactor = 4
	patienceGapFactor       = 8
)

// patience returns how long a caller is expected to wait without receiving anything before it disconnects. The caller
// of a buffered response receives nothing until the end, so it waits for the whole timeout.
func patience(r *wigeonshift.Route, timeout time.Duration) time.Duration {
	if r.Kind != wigeonshift.RouteStreaming {
		return timeout
	}
	return min(timeout, max(minPatience, patienceObjectiveFactor*r.LatencyObjective, patienceGapFactor*r.EventGapTarget))
}

func (c *call) onDeadline() { c.cancel(errDeadlinePassed) }

// onStop ends the call shortly before the instance ends, so that it still gets an answer.
func (c *call) onStop() { c.cancel(errInstanceStops) }

func (c *call) onCallerDisconnect() { c.cancel(errCallerDisconnected) }

// abandonAttempt cancels the running attempt, and its hedge if there is one. The reducer then decides whether the request is sent to another endpoint.
func (c *call) abandonAttempt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelAttempt != nil {
		c.cancelAttempt(errAbandoned)
	}
	if c.race != nil {
		c.race.abandonHedge()
	}
}

// setStallTimeout restarts the stall timer, which reports an endpoint that sends nothing, so that the reducer can move
// the request to another endpoint. A zero timeout stops it.
func (c *call) setStallTimeout(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stallTimer != nil {
		c.stallTimer.Stop()
		c.stallTimer = nil
	}
	c.stallTimeout = timeout
	if timeout > 0 {
		c.stallTimer = time.AfterFunc(timeout, c.reportStall)
	}
}

// stallRecheckInterval is the time between two reports of an endpoint that goes on being silent. Another endpoint may have room
// later than at the first.
const stallRecheckInterval = 250 * time.Millisecond

// reportStall reports to the reducer that the endpoint has sent nothing for the stall timeout, again and again until the silence or
// the attempt ends.
func (c *call) reportStall() {
	c.service.dispatcher.reduce(wigeondispatch.AttemptStalled{At: c.service.dispatcher.Now(), Job: c.job.ID})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stallTimer != nil {
		c.stallTimer.Reset(stallRecheckInterval)
	}
}

// resetStallTimer restarts the stall timer after the endpoint has sent something, since only a silent endpoint is
// stalled.
func (c *call) resetStallTimer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stallTimer != nil {
		c.stallTimer.Reset(c.stallTimeout)
	}
}

// run serves the call until its response is set: it submits the request to the reducer and carries out the decisions.
// The response of a stream is set once the stream has begun; the HTTP library then reads the rest from streamBody.
func (c *call) run() {
	if c.conn != nil {
		c.conn.startWatch(c.onCallerDisconnect)
	}
	c.service.dispatcher.submit(c)
	for {
		select {
		case d := <-c.decisions:
			if c.applyDecision(d) {
				return
			}
		case <-c.ctx.Done():
			c.endWithoutResponse()
			return
		}
	}
}

// applyDecision carries out a decision of the reducer and reports whether the caller's response is set. It isn't after
// an attempt that gave no response; another decision or the end of the call then follows.
func (c *call) applyDecision(d decision) bool {
	switch d := d.(type) {
	case wigeondispatch.Dispatch:
		c.recordResend(d.Resend)
		return c.runAttempt(d)
	case wigeondispatch.PassOn:
		return c.runPassOn(d)
	case wigeondispatch.Refuse:
		c.recordResend(d.Resend)
		c.refuse(d)
	case wigeondispatch.Failure:
		c.recordResend(d.Resend)
		c.fail(d.Reason)
	}
	return true
}

// recordResend counts a decision of the retry budget and keeps it for the log.
func (c *call) recordResend(d *wigeonbudget.Decision) {
	if d == nil || d == c.resend {
		return
	}
	c.resend = d
	if d.Allowed {
		c.service.scope.Counter("resends").Inc(1)
	} else {
		c.service.scope.Counter("resendsRefused").Inc(1)
	}
}

// endWithoutResponse ends a cancelled call that has no running attempt. If the caller is still connected, the request
// is refused if it was never sent to an endpoint, and fails otherwise because an endpoint may have run it.
func (c *call) endWithoutResponse() {
	if errors.Is(context.Cause(c.ctx), errCallerDisconnected) {
		// The caller may have closed only the sending half of its connection and still read the response.
		c.service.setRefusal(c.httpCtx, c.header.RequestID, fasthttp.StatusBadGateway, 0)
		c.httpCtx.SetConnectionClose()
		c.finish("callerGone", logrus.Fields{})
		return
	}
	notRun := c.attempts == 0 && !c.mayHaveRunAtPeer
	if notRun && errors.Is(context.Cause(c.ctx), errInstanceStops) {
		c.refuse(wigeondispatch.Refuse{Job: c.job.ID, Reason: wigeondispatch.ReasonStopping, RetryAfter: stoppingRetryAfter})
		return
	}
	if notRun {
		c.refuse(wigeondispatch.Refuse{Job: c.job.ID, Reason: wigeondispatch.ReasonDeadline})
		return
	}
	c.fail(wigeondispatch.ReasonLost)
}

// finish releases the call's resources, withdraws the request from the reducer and logs its outcome. Only the first
// call of finish has an effect.
func (c *call) finish(outcome string, fields logrus.Fields) {
	c.finishOnce.Do(func() {
		c.deadlineTimer.Stop()
		c.setStallTimeout(0)
		c.cancel(nil)
		if c.conn != nil {
			c.conn.stopWatch()
		}
		c.service.dispatcher.remove(c)
		c.service.countRequest(c, outcome)
		c.logEntry(fields).WithField("outcome", outcome).Info("request ended")
	})
}

// logEntry returns a log entry with the call's identity, its times and fields.
func (c *call) logEntry(fields logrus.Fields) *logrus.Entry {
	entry := c.service.log.WithFields(logrus.Fields{
		"request":      c.header.RequestID,
		"fingerprint":  c.job.Fingerprint.String(),
		"content":      c.job.Shared.Content.String(),
		"features":     wigeonquarantine.FingerprintTexts(c.job.Features),
		"route":        c.route.Name,
		"service":      c.targetService,
		"tier":         int(c.job.Tier),
		"rank":         int(c.job.RouteTier),
		"version":      c.version,
		"versionAgeMs": c.versionAge.Milliseconds(),
		"attempts":     c.attempts,
		"endpoint":     c.endpoint,
		"passedTo":     c.latestPeer,
		"passedOn":     c.passedOn,
		"waitedMs":     c.queueTime.Milliseconds(),
		"sendDelayMs":  time.Duration(c.sendDelay.Load()).Milliseconds(),
		"firstMs":      c.firstByteLatency.Milliseconds(),
		"tookMs":       (c.service.dispatcher.Now() - c.job.Arrived).Milliseconds(),
	})
	return entry.WithFields(c.resendFields()).WithFields(c.hedgeFields()).WithFields(fields)
}

// resendFields returns the log fields of the latest decision of the retry budget; none if there was no decision.
func (c *call) resendFields() logrus.Fields {
	if c.resend == nil {
		return nil
	}
	return logrus.Fields{
		"resendAllowed": c.resend.Allowed, "resends": c.resend.Resends, "resendLimit": c.resend.Limit, "resendSlack": c.resend.Slack,
	}
}
