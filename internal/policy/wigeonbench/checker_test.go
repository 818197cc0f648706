package wigeonbench

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonscheduler"
)

// requestState is the checker's state of one request.
type requestState struct {
	entry   string
	request wigeonshift.PermitRequest
	// permit is the last permit, or nil before the first.
	permit *wigeonshift.Permit
	// running is set while the permit may be in use at its endpoint.
	running            bool
	started            bool
	firstTokenReported bool
	paused             bool
	// revocationPending is set from an order to pause or cancel the attempt until the report that it is done.
	revocationPending bool
	// isolated is set if the request must run alone on its endpoint because an endpoint was lost with its fingerprint.
	isolated bool
	// outcomeCount counts the final answers and final reports of the current attempt.
	outcomeCount int
}

// Checker observes a shard's events and effects. It tracks requests independently of the reducer and records violations
// of the scheduling invariants.
type Checker struct {
	// Violations lists the violations in the order in which they were found.
	Violations []string
	// Status returns the owner's status. If it is nil, all endpoints are assumed to be up and fast enough.
	Status func() wigeonshift.ShardStatus
	// OutputShare is the share of MaxTokens that a response is expected to use.
	OutputShare float64

	now          time.Time
	epoch        uint64
	leaseHeld    bool
	draining     bool
	rebuildUntil time.Time
	endpoints    map[string]wigeonshift.EndpointSpec
	product      *wigeonshift.Product
	requests     map[wigeonshift.RequestID]*requestState
	// inFlight holds the requests with a permit in use, in the order of the grants.
	inFlight []*requestState
	// lossCounts counts the endpoint losses at which a fingerprint was in flight.
	lossCounts map[wigeonshift.Fingerprint]int
	// countedLossTokens holds the tokens of attempts that were in flight at a loss that has been counted.
	countedLossTokens map[wigeonshift.AttemptToken]bool
	quarantined       map[wigeonshift.Fingerprint]bool
}

// traceOutputShare is the mean share of MaxTokens that the responses of a trace use. It is ln 2 because the traces draw
// MaxTokens uniformly between one and two times the length of the response.
const traceOutputShare = 0.693

// NewChecker returns a checker for a fresh shard.
func NewChecker() *Checker {
	return &Checker{
		OutputShare: traceOutputShare,
		endpoints:   map[string]wigeonshift.EndpointSpec{}, requests: map[wigeonshift.RequestID]*requestState{},
		lossCounts: map[wigeonshift.Fingerprint]int{}, countedLossTokens: map[wigeonshift.AttemptToken]bool{}, quarantined: map[wigeonshift.Fingerprint]bool{},
	}
}

// Observe updates the state with an event and checks the event's effects.
func (c *Checker) Observe(ev wigeonscheduler.Event, effects []wigeonscheduler.Effect) {
	c.now = ev.At
	c.expirePermits()
	c.handleEvent(ev.Body)
	for _, ef := range effects {
		switch f := ef.(type) {
		case wigeonscheduler.AnswerPermit:
			c.checkAnswer(f)
		case wigeonscheduler.SendOrder:
			if !c.leaseHeld || f.Order.Fence != c.epoch {
				c.addViolation("order to %s without the lease or with fence %d in epoch %d", f.Endpoint, f.Order.Fence, c.epoch)
			}
		}
	}
}

// Finish checks that every request has had exactly one outcome. It must be called when no request is in flight.
func (c *Checker) Finish() {
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		if s := c.requests[id]; s.outcomeCount != 1 {
			c.addViolation("request %s ended in %d outcomes", id, s.outcomeCount)
		}
	}
}

// addViolation records a violation, up to a maximum number.
func (c *Checker) addViolation(format string, args ...any) {
	const maxViolations = 100
	if len(c.Violations) < maxViolations {
		c.Violations = append(c.Violations, c.now.Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// preemptionWindow is the time before its latest possible start in which a request preempts lower tiers.
const preemptionWindow = 500 * time.Millisecond

// Times after which a permit without a report counts as expired.
const (
	// permitExpiryGrace is added to ExpiresAt of a permit whose attempt has not started.
	permitExpiryGrace = 2 * time.Second
	// orphanedAttemptGrace is added to the deadline of the request.
	orphanedAttemptGrace = 60 * time.Second
)

// expirePermits ends attempts that have not started before their permit expired, and attempts long past their deadline.
func (c *Checker) expirePermits() {
	for _, s := range slices.Clone(c.inFlight) {
		expired := !s.started && c.now.After(s.permit.ExpiresAt.Add(permitExpiryGrace))
		if expired || c.now.Sub(s.request.Deadline) > orphanedAttemptGrace {
			c.recordOutcome(s)
		}
	}
}

// handleCancellation ends a request that its entry has cancelled. It records a violation if the request had no answer by
// its deadline.
func (c *Checker) handleCancellation(b wigeonscheduler.PermitCancelled) {
	s := c.requests[b.Request]
	if s == nil || s.outcomeCount > 0 || s.started {
		return
	}
	if s.permit == nil && !c.now.Before(s.request.Deadline) {
		c.addViolation("request %s had no answer by its deadline", b.Request)
	}
	c.recordOutcome(s)
}

// handleEntryReport ends the started attempts of an entry that its report does not list. It adds the listed attempts
// that were granted by another owner or whose permit counted as expired.
func (c *Checker) handleEntryReport(b wigeonscheduler.EntryReported) {
	known := map[wigeonshift.AttemptToken]bool{}
	for i := range b.Attempts {
		a := &b.Attempts[i]
		known[a.Token] = true
		if s := c.requests[a.Request.ID]; s != nil && s.permit != nil && s.permit.Token == a.Token && s.outcomeCount > 0 {
			s.outcomeCount, s.running, s.paused = 0, !a.Paused, a.Paused
			c.inFlight = append(c.inFlight, s)
		}
		if c.requests[a.Request.ID] == nil {
			s := &requestState{entry: b.Entry, request: a.Request, running: !a.Paused, paused: a.Paused, started: true}
			s.permit = &wigeonshift.Permit{Request: a.Request.ID, Token: a.Token, Endpoint: a.Endpoint, ExpiresAt: a.Request.Deadline}
			c.requests[a.Request.ID] = s
			c.inFlight = append(c.inFlight, s)
		}
	}
	for _, s := range slices.Clone(c.inFlight) {
		switch {
		case known[s.permit.Token]:
			s.started = true
		case s.entry == b.Entry && s.started:
			c.recordOutcome(s)
		}
	}
}

// handleEvent updates the state with an event.
func (c *Checker) handleEvent(body wigeonscheduler.EventBody) {
	switch b := body.(type) {
	case wigeonscheduler.PermitRequested:
		c.handlePermitRequest(b)
	case wigeonscheduler.PermitCancelled:
		c.handleCancellation(b)
	case wigeonscheduler.AttemptReported:
		c.handleAttemptReport(b.Report)
	case wigeonscheduler.EntryReported:
		c.handleEntryReport(b)
	case wigeonscheduler.EntryLost:
		for _, s := range c.requests {
			if s.outcomeCount == 0 && s.entry == b.Entry {
				c.recordOutcome(s)
			}
		}
	case wigeonscheduler.ConfigurationChanged:
		c.endpoints, c.product = b.Endpoints, b.Product
	case wigeonscheduler.LeaseAcquired:
		if b.Epoch >= c.epoch {
			c.epoch, c.rebuildUntil, c.leaseHeld, c.draining = b.Epoch, b.RebuildUntil, true, false
		}
	case wigeonscheduler.LeaseExpired:
		c.leaseHeld = false
	case wigeonscheduler.DrainStarted:
		c.draining = true
	case wigeonscheduler.QuarantineLoaded:
		crashes := map[wigeonshift.Fingerprint]int{}
		for _, crash := range b.Crashes {
			crashes[crash.Fingerprint]++
			c.quarantined[crash.Fingerprint] = c.quarantined[crash.Fingerprint] || crashes[crash.Fingerprint] >= 2
		}
	}
}

// recordOutcome counts an outcome of a request and removes it from the requests in flight.
func (c *Checker) recordOutcome(s *requestState) {
	s.outcomeCount++
	s.running, s.paused, s.revocationPending = false, false, false
	if i := slices.Index(c.inFlight, s); i >= 0 {
		c.inFlight = slices.Delete(c.inFlight, i, i+1)
	}
}

// handlePermitRequest adds a new request. A request that has ended starts again if its arrival number is higher.
func (c *Checker) handlePermitRequest(b wigeonscheduler.PermitRequested) {
	s := c.requests[b.Request.ID]
	if s == nil || s.outcomeCount > 0 && arrivalNumber(&b.Request) > arrivalNumber(&s.request) {
		c.requests[b.Request.ID] = &requestState{entry: b.Entry, request: b.Request}
	}
}

// handleAttemptReport updates a request with a report on its current permit. It ignores reports on other permits.
func (c *Checker) handleAttemptReport(r wigeonshift.AttemptReport) {
	s := c.requests[r.Request]
	if s == nil || s.permit == nil || s.permit.Token != r.Token || s.outcomeCount > 0 {
		return
	}
	switch r.State {
	case wigeonshift.AttemptStarted, wigeonshift.AttemptFirstToken:
		s.started = true
		s.firstTokenReported = s.firstTokenReported || r.State == wigeonshift.AttemptFirstToken
	case wigeonshift.AttemptPaused:
		s.paused, s.revocationPending, s.running = true, false, false
	case wigeonshift.AttemptResumed:
		s.paused, s.running = false, true
	case wigeonshift.AttemptLost:
		c.countLoss(s)
		c.recordOutcome(s)
	case wigeonshift.AttemptFinished:
		if s.isolated {
			delete(c.lossCounts, s.request.Fingerprint)
		}
		c.recordOutcome(s)
	case wigeonshift.AttemptNotRun, wigeonshift.AttemptFailed, wigeonshift.AttemptCancelled:
		c.recordOutcome(s)
	}
}

// countLoss counts the loss of an endpoint once for each fingerprint in flight on it, although each attempt reports it.
func (c *Checker) countLoss(s *requestState) {
	if c.countedLossTokens[s.permit.Token] {
		return
	}
	seen := map[wigeonshift.Fingerprint]bool{}
	for _, o := range c.inFlight {
		if o.permit.Endpoint != s.permit.Endpoint {
			continue
		}
		c.countedLossTokens[o.permit.Token] = true
		if f := o.request.Fingerprint; f != 0 && !seen[f] {
			seen[f] = true
			c.lossCounts[f]++
		}
	}
}
