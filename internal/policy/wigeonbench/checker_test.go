package wigeonbench

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonscheduler"
)

// shadow is what the checker knows of one request.
type shadow struct {
	entry   string
	request wigeonshift.PermitRequest
	// permit is the last grant, nil before the first.
	permit *wigeonshift.Permit
	// running tells whether the permit may be in use at its endpoint.
	running bool
	started bool
	// answering is set with the first token.
	answering bool
	paused    bool
	yielding  bool
	alone     bool
	// outcomes counts final answers and final reports of the present attempt.
	outcomes int
}

// Checker follows a shard's events and effects with a model of its own and records where a promise is broken.
type Checker struct {
	// Violations lists the broken promises in the order found.
	Violations []string
	// Status returns the owner's view; nil counts all endpoints as up and fast enough.
	Status func() wigeonshift.ShardStatus
	// AnswerShare is the part of its bound that an answer is expected to use.
	AnswerShare float64

	now       time.Time
	epoch     uint64
	leaseHeld bool
	draining  bool
	rebuild   time.Time
	endpoints map[string]wigeonshift.EndpointSpec
	product   *wigeonshift.Product
	requests  map[wigeonshift.RequestID]*shadow
	// live holds the requests that are at an endpoint, in the order of their grants.
	live []*shadow
	// losses names the endpoints lost with a fingerprint in flight, counted once for each loss.
	losses map[wigeonshift.Fingerprint]int
	// lostPermits are the tokens whose loss is part of a loss counted already.
	lostPermits map[wigeonshift.AttemptToken]bool
	loaded      map[wigeonshift.Fingerprint]bool
}

// traceAnswerShare is the mean part of its bound that an answer uses when bounds are drawn evenly between one and two
// times the answer, as the traces draw them: the logarithm of two.
const traceAnswerShare = 0.693

// NewChecker returns a checker for a fresh shard.
func NewChecker() *Checker {
	return &Checker{
		AnswerShare: traceAnswerShare,
		endpoints:   map[string]wigeonshift.EndpointSpec{}, requests: map[wigeonshift.RequestID]*shadow{},
		losses: map[wigeonshift.Fingerprint]int{}, lostPermits: map[wigeonshift.AttemptToken]bool{}, loaded: map[wigeonshift.Fingerprint]bool{},
	}
}

// Observe takes one event with its effects.
func (c *Checker) Observe(ev wigeonscheduler.Event, effects []wigeonscheduler.Effect) {
	c.now = ev.At
	c.expire()
	c.event(ev.Body)
	for _, ef := range effects {
		switch f := ef.(type) {
		case wigeonscheduler.AnswerPermit:
			c.answer(f)
		case wigeonscheduler.SendOrder:
			if !c.leaseHeld || f.Order.Fence != c.epoch {
				c.fail("order to %s without the lease or with fence %d in epoch %d", f.Endpoint, f.Order.Fence, c.epoch)
			}
		}
	}
}

// Finish checks what must hold once nothing is in flight any more.
func (c *Checker) Finish() {
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		if s := c.requests[id]; s.outcomes != 1 {
			c.fail("request %s ended in %d outcomes", id, s.outcomes)
		}
	}
}

// fail records a broken promise.
func (c *Checker) fail(format string, args ...any) {
	const maxViolations = 100
	if len(c.Violations) < maxViolations {
		c.Violations = append(c.Violations, c.now.Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// lastChance is the time before its latest start in which a request lets lower tiers give way.
const lastChance = 500 * time.Millisecond

// Bounds after which a permit without any news counts as void.
const (
	permitGrace = 2 * time.Second
	orphanGrace = 60 * time.Second
)

// expire ends permits that were not spent in time and attempts long past their deadline.
func (c *Checker) expire() {
	for _, s := range slices.Clone(c.live) {
		unspent := !s.started && c.now.After(s.permit.UseBefore.Add(permitGrace))
		if unspent || c.now.Sub(s.request.Deadline) > orphanGrace {
			c.end(s)
		}
	}
}

// cancelled follows the end of a request at its entry. A caller that waited to its deadline must have had an answer.
func (c *Checker) cancelled(b wigeonscheduler.PermitCancelled) {
	s := c.requests[b.Request]
	if s == nil || s.outcomes > 0 || s.started {
		return
	}
	if s.permit == nil && !c.now.Before(s.request.Deadline) {
		c.fail("request %s had no answer by its deadline", b.Request)
	}
	c.end(s)
}

// entryReported ends the started attempts that an entry no longer knows and takes over those of another owner, and
// those whose permit counted as void.
func (c *Checker) entryReported(b wigeonscheduler.EntryReported) {
	known := map[wigeonshift.AttemptToken]bool{}
	for i := range b.Attempts {
		a := &b.Attempts[i]
		known[a.Token] = true
		if s := c.requests[a.Request.ID]; s != nil && s.permit != nil && s.permit.Token == a.Token && s.outcomes > 0 {
			s.outcomes, s.running, s.paused = 0, !a.Paused, a.Paused
			c.live = append(c.live, s)
		}
		if c.requests[a.Request.ID] == nil {
			s := &shadow{entry: b.Entry, request: a.Request, running: !a.Paused, paused: a.Paused, started: true}
			s.permit = &wigeonshift.Permit{Request: a.Request.ID, Token: a.Token, Endpoint: a.Endpoint, UseBefore: a.Request.Deadline}
			c.requests[a.Request.ID] = s
			c.live = append(c.live, s)
		}
	}
	for _, s := range slices.Clone(c.live) {
		switch {
		case known[s.permit.Token]:
			s.started = true
		case s.entry == b.Entry && s.started:
			c.end(s)
		}
	}
}

// event follows one event.
func (c *Checker) event(body wigeonscheduler.Body) {
	switch b := body.(type) {
	case wigeonscheduler.PermitRequested:
		c.requested(b)
	case wigeonscheduler.PermitCancelled:
		c.cancelled(b)
	case wigeonscheduler.AttemptReported:
		c.reported(b.Report)
	case wigeonscheduler.EntryReported:
		c.entryReported(b)
	case wigeonscheduler.EntryLost:
		for _, s := range c.requests {
			if s.outcomes == 0 && s.entry == b.Entry {
				c.end(s)
			}
		}
	case wigeonscheduler.ConfigurationChanged:
		c.endpoints, c.product = b.Endpoints, b.Product
	case wigeonscheduler.LeaseAcquired:
		if b.Epoch >= c.epoch {
			c.epoch, c.rebuild, c.leaseHeld, c.draining = b.Epoch, b.RebuildUntil, true, false
		}
	case wigeonscheduler.LeaseLapsed:
		c.leaseHeld = false
	case wigeonscheduler.DrainStarted:
		c.draining = true
	case wigeonscheduler.QuarantineLoaded:
		for _, f := range b.Fingerprints {
			c.loaded[f] = true
		}
	}
}

// end counts an outcome and takes the request off its endpoint.
func (c *Checker) end(s *shadow) {
	s.outcomes++
	s.running, s.paused, s.yielding = false, false, false
	if i := slices.Index(c.live, s); i >= 0 {
		c.live = slices.Delete(c.live, i, i+1)
	}
}

// requested follows a question; a question with a higher attempt number opens the request again.
func (c *Checker) requested(b wigeonscheduler.PermitRequested) {
	s := c.requests[b.Request.ID]
	if s == nil || s.outcomes > 0 && visitOf(&b.Request) > visitOf(&s.request) {
		c.requests[b.Request.ID] = &shadow{entry: b.Entry, request: b.Request}
	}
}

// reported follows a report on the present permit.
func (c *Checker) reported(r wigeonshift.AttemptReport) {
	s := c.requests[r.Request]
	if s == nil || s.permit == nil || s.permit.Token != r.Token || s.outcomes > 0 {
		return
	}
	switch r.State {
	case wigeonshift.AttemptStarted, wigeonshift.AttemptFirstToken:
		s.started = true
		s.answering = s.answering || r.State == wigeonshift.AttemptFirstToken
	case wigeonshift.AttemptPaused:
		s.paused, s.yielding, s.running = true, false, false
	case wigeonshift.AttemptResumed:
		s.paused, s.running = false, true
	case wigeonshift.AttemptLost:
		c.lost(s)
		c.end(s)
	case wigeonshift.AttemptFinished:
		if s.alone {
			delete(c.losses, s.request.Fingerprint)
		}
		c.end(s)
	case wigeonshift.AttemptNotRun, wigeonshift.AttemptFailed, wigeonshift.AttemptCancelled:
		c.end(s)
	}
}

// lost counts the loss of an endpoint for each fingerprint in flight on it, once.
func (c *Checker) lost(s *shadow) {
	if c.lostPermits[s.permit.Token] {
		return
	}
	seen := map[wigeonshift.Fingerprint]bool{}
	for _, o := range c.live {
		if o.permit.Endpoint != s.permit.Endpoint {
			continue
		}
		c.lostPermits[o.permit.Token] = true
		if f := o.request.Fingerprint; f != 0 && !seen[f] {
			seen[f] = true
			c.losses[f]++
		}
	}
}
