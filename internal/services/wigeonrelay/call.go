package wigeonrelay

import (
	"context"
	"errors"
	"sync"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeondispatch"
	"wigeonshift/internal/services/wigeonroute"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
)

// Causes that end a call before its answer is whole.
var (
	errCallerGone = errors.New("caller has gone")
	errTimeUp     = errors.New("the request's time is up")
	errAbandoned  = errors.New("attempt abandoned")
)

const (
	// defaultTimeout is the time of a request whose caller and route name none.
	defaultTimeout = time.Minute
	// timeUpMargin lets an endpoint's own answer at the deadline come first.
	timeUpMargin = 60 * time.Millisecond
	// decisionBuffer holds the decisions that a call has not taken yet; there are never more.
	decisionBuffer = 4
)

// call is one request of a caller.
type call struct {
	service *Service
	http    *fasthttp.RequestCtx
	conn    *callerConn
	header  wigeonshift.CallHeader
	route   *wigeonshift.Route
	// version is the configuration's version that the call was routed by.
	version   uint64
	target    string
	job       *wigeondispatch.Job
	decisions chan decision
	// ctx ends when the caller leaves or the time is up.
	ctx    context.Context //nolint:containedctx // The call's own life.
	cancel context.CancelCauseFunc
	timer  *time.Timer

	mu sync.Mutex
	// stopAttempt ends the running attempt.
	stopAttempt context.CancelCauseFunc
	// stall runs while the endpoint is silent; nil while there is no bound on the silence.
	stall      *time.Timer
	stallAfter time.Duration

	// endpoint is the endpoint of the latest attempt, for the log.
	endpoint string
	attempts int
	waited   time.Duration
	firstAt  time.Duration
	once     sync.Once
}

// newCall returns a call whose request has been routed.
func (s *Service) newCall(
	ctx *fasthttp.RequestCtx, h wigeonshift.CallHeader, t *wigeonroute.Table, r *wigeonshift.Route,
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
		service:   s,
		http:      ctx,
		header:    h,
		route:     r,
		version:   t.Configuration.Version,
		target:    wigeonroute.Pick(r),
		decisions: make(chan decision, decisionBuffer),
	}
	c.conn, _ = ctx.Conn().(*callerConn)
	c.job = newJob(h, r, o, c.target, now, timeout)
	c.job.Elapsed = s.usual.elapsed(r.Name, h.Timeout)
	c.ctx, c.cancel = context.WithCancelCause(context.Background())
	c.timer = time.AfterFunc(timeout+timeUpMargin, c.timeUp)
	return c
}

func newJob(
	h wigeonshift.CallHeader, r *wigeonshift.Route, o *wigeonshift.RoutedOrganisation, target string,
	now, timeout time.Duration,
) *wigeondispatch.Job {
	j := &wigeondispatch.Job{
		RequestID:            h.RequestID,
		Service:              target,
		Route:                r.Name,
		Tier:                 r.Tier,
		RouteTier:            r.Tier,
		Kind:                 r.Kind,
		Resumable:            r.Resumable,
		Arrived:              now,
		Deadline:             now + timeout,
		Objective:            r.Objective,
		Patience:             patience(r, timeout),
		MaxAttempts:          r.MaxAttempts,
		HasTokens:            h.HasTokens,
		PromptTokens:         h.PromptTokens,
		AnswerTokens:         h.AnswerTokens,
		ExpectedAnswerTokens: h.AnswerTokens,
		Units:                1,
	}
	if h.ExpectedAnswerTokens > 0 {
		j.ExpectedAnswerTokens = min(h.ExpectedAnswerTokens, h.AnswerTokens)
	}
	if o == nil {
		return j
	}
	j.Organisation = o.Name
	if o.HasTier {
		j.Tier = o.Tier
	}
	if o.CountsTokens {
		j.Units = float64(o.PlainTokens)
		if h.HasTokens {
			j.Units = float64(h.PromptTokens + h.AnswerTokens)
		}
	}
	return j
}

// Callers of a stream leave after a gap of minPatience, of this many objectives or of this many allowed gaps, whichever
// is longest.
const (
	minPatience        = 2 * time.Second
	patienceObjectives = 4
	patienceGaps       = 8
)

// patience is the time after which a caller leaves if nothing has come.
func patience(r *wigeonshift.Route, timeout time.Duration) time.Duration {
	if r.Kind != wigeonshift.RouteStreaming {
		return timeout
	}
	return min(timeout, max(minPatience, patienceObjectives*r.Objective, patienceGaps*r.MaxGap))
}

func (c *call) timeUp() { c.cancel(errTimeUp) }

func (c *call) callerGone() { c.cancel(errCallerGone) }

// abandon ends the running attempt; the reducer decides what comes next.
func (c *call) abandon() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopAttempt != nil {
		c.stopAttempt(errAbandoned)
	}
}

// watchStall bounds the endpoint's silence; zero ends the watch.
func (c *call) watchStall(after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stall != nil {
		c.stall.Stop()
		c.stall = nil
	}
	c.stallAfter = after
	if after > 0 {
		c.stall = time.AfterFunc(after, c.stalled)
	}
}

// stalled tells the reducer that the endpoint is silent.
func (c *call) stalled() {
	c.service.dispatcher.reduce(wigeondispatch.Stalled{At: c.service.dispatcher.Now(), Job: c.job.ID})
}

// progressed notes that the endpoint has sent something.
func (c *call) progressed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stall != nil {
		c.stall.Reset(c.stallAfter)
	}
}

// run carries the request to an answer or to the beginning of a streamed one.
func (c *call) run() {
	if c.conn != nil {
		c.conn.startWatch(c.callerGone)
	}
	c.service.dispatcher.submit(c)
	for {
		select {
		case d := <-c.decisions:
			if c.follow(d) {
				return
			}
		case <-c.ctx.Done():
			c.endWithoutAnswer()
			return
		}
	}
}

// follow carries out a decision and reports whether the caller's answer is set.
func (c *call) follow(d decision) bool {
	switch d := d.(type) {
	case wigeondispatch.Dispatch:
		return c.attempt(d)
	case wigeondispatch.Refuse:
		c.refuse(d)
	case wigeondispatch.Failure:
		c.fail(d.Reason)
	}
	return true
}

// endWithoutAnswer ends a call that was not sent to any endpoint, or whose attempt is over.
func (c *call) endWithoutAnswer() {
	if errors.Is(context.Cause(c.ctx), errCallerGone) {
		// A caller that closed only its sending half still reads.
		c.service.refusal(c.http, c.header.RequestID, fasthttp.StatusBadGateway, 0)
		c.http.SetConnectionClose()
		c.finish("callerGone", logrus.Fields{})
		return
	}
	if c.attempts == 0 {
		c.refuse(wigeondispatch.Refuse{Job: c.job.ID, Reason: wigeondispatch.ReasonDeadline})
		return
	}
	c.fail(wigeondispatch.ReasonLost)
}

// finish releases what the call holds and logs its outcome. It is called once the answer is over.
func (c *call) finish(outcome string, fields logrus.Fields) {
	c.once.Do(func() {
		c.timer.Stop()
		c.watchStall(0)
		c.cancel(nil)
		if c.conn != nil {
			c.conn.stopWatch()
		}
		c.service.dispatcher.forget(c)
		c.service.count(c, outcome)
		c.log(fields).WithField("outcome", outcome).Info("request ended")
	})
}

// log returns a log entry with the call's identity and times.
func (c *call) log(fields logrus.Fields) *logrus.Entry {
	entry := c.service.log.WithFields(logrus.Fields{
		"request":  c.header.RequestID,
		"route":    c.route.Name,
		"service":  c.target,
		"tier":     int(c.job.Tier),
		"rank":     int(c.job.RouteTier),
		"version":  c.version,
		"attempts": c.attempts,
		"endpoint": c.endpoint,
		"waitedMs": c.waited.Milliseconds(),
		"firstMs":  c.firstAt.Milliseconds(),
		"tookMs":   (c.service.dispatcher.Now() - c.job.Arrived).Milliseconds(),
	})
	return entry.WithFields(fields)
}
