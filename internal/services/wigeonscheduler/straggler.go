package wigeonscheduler

import (
	"time"

	"wigeonshift"
)

// Bounds of the judgement on slow endpoints.
const (
	// overdueFactor and overdueSlack tell when a first token is overdue against its expectation, in seconds.
	overdueFactor = 3.0
	overdueSlack  = 0.75
	// boundInterval is the least time between two cuts of an endpoint's capacity. An overdue first token of a job that
	// found the endpoint full shows at first only that it runs fewer streams at once than was thought; jobs that are
	// overdue after the cut make a straggler.
	boundInterval = 5 * time.Second
	// slowRatio is how far the recent first tokens have to be above the usual against their expectation; recentGain and
	// typicalGain weigh a new one, maxRatio bounds the weight of a single one, ratioBase in seconds keeps tiny
	// expectations from counting.
	slowRatio   = 3.0
	recentGain  = 0.4
	typicalGain = 0.02
	maxRatio    = 5.0
	ratioBase   = 0.05
	// slowPace is the pace against the endpoint's typical one that makes it a straggler.
	slowPace = 4.0
	// minPaceTokens is the least length of an answer whose pace is judged: the prefill of one long prompt beside it slows
	// all of a shorter one.
	minPaceTokens = 32
	// recoveredFactor is the slowness against the typical speed up to which a probed endpoint is taken back.
	recoveredFactor = 2.0
	// probePromptTokens bounds the prompt of a request that probes a straggler.
	probePromptTokens = 1024
	// probeSlackFactor is how often a probing request's deadline must cover its expected time at a straggler.
	probeSlackFactor = 2.0
	// maxProbeInterval bounds the growing time between probes.
	maxProbeInterval = 16 * time.Second
)

// Reasons for which an endpoint counts as a straggler, as labels of its counter.
const (
	slowFirstToken = "firstToken"
	slowPaceReason = "pace"
	slowOverdue    = "overdue"
)

// judgeFirstToken compares a first token's time with its expectation.
func (s *Shard) judgeFirstToken(j *job, seconds float64) {
	e := j.endpoint
	ratio := (seconds + ratioBase) / (j.expectedFirst + ratioBase)
	if e.probe == j {
		if ratio > recoveredFactor*e.delay.usual() {
			s.judgeProbe(e, false)
		}
		return
	}
	if j.crowded && ratio > recoveredFactor && s.now.Sub(e.boundedAt) > boundInterval {
		e.boundedAt = s.now
		e.boundCapacity(e.running - e.yielding - 1)
		return
	}
	if e.health == healthUp && e.delay.observe(ratio) {
		s.markStraggler(e, slowFirstToken)
	}
}

// delayRatio compares first tokens with their expectation, lately and in the long run.
type delayRatio struct {
	recent, typical float64
}

// usual is the ratio of ordinary times.
func (d *delayRatio) usual() float64 {
	return max(1, d.typical)
}

// observe learns a ratio and reports whether the recent ones are far above the usual.
func (d *delayRatio) observe(ratio float64) bool {
	if d.typical == 0 {
		d.recent, d.typical = 1, 1
	}
	d.recent += recentGain * (min(ratio, maxRatio) - d.recent)
	if d.recent > slowRatio*d.usual() {
		d.recent = 1
		return true
	}
	d.typical += typicalGain * (ratio - d.typical)
	return false
}

// judgeProbeEnd takes a straggler back whose probe came to its end at an ordinary pace.
func (s *Shard) judgeProbeEnd(j *job, pace float64) {
	e := j.endpoint
	if e.probe != j {
		return
	}
	ordinary := max(recoveredFactor*e.speed.typicalPace, s.settings.TokenPaceTarget.Seconds())
	s.judgeProbe(e, e.speed.typicalPace == 0 || pace <= ordinary)
}

// judgePace compares a stream's pace with the endpoint's typical one. A pace within the target harms no caller, however
// far it is from the typical one.
func (s *Shard) judgePace(e *endpoint, pace float64) {
	if e.health != healthUp || e.speed.paceSamples < 3 || pace <= s.settings.TokenPaceTarget.Seconds() {
		return
	}
	if pace > slowPace*e.speed.typicalPace && pace > 2*s.peerPace(e) {
		s.markStraggler(e, slowPaceReason)
	}
}

// peerPace is the mean pace of the other endpoints.
func (s *Shard) peerPace(e *endpoint) float64 {
	sum, n := 0.0, 0
	for _, o := range s.ordered {
		if o != e && o.speed.tokenPace > 0 {
			sum += o.speed.tokenPace
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// markStraggler takes an endpoint out of ordinary placement.
func (s *Shard) markStraggler(e *endpoint, reason string) {
	if e.health != healthUp {
		return
	}
	e.health = healthStraggler
	e.probeEvery = s.settings.ProbeInterval
	e.probeAt = s.now.Add(e.probeEvery)
	s.count("stragglers", reason)
	s.relieve(e)
}

// relieve pauses what runs below the highest tier on a straggler and can wait, so that the highest may still be on time.
func (s *Shard) relieve(e *endpoint) {
	top, ok := e.topRank()
	if !ok {
		return
	}
	for _, j := range e.jobs {
		if j.rank() > top && !s.interactive(j) && s.mayGiveWay(j) && s.pausable(j) {
			s.preempt(j)
		}
	}
}

// topRank is the highest tier with a running job on the endpoint.
func (e *endpoint) topRank() (rank wigeonshift.TierRank, ok bool) {
	for _, j := range e.jobs {
		if j.slot && j.state != jobPausing && (!ok || j.rank() < rank) {
			rank, ok = j.rank(), true
		}
	}
	return rank, ok
}

// watchOverdue marks endpoints whose oldest prefill is overdue. It needs no report from them.
func (s *Shard) watchOverdue(e *endpoint) {
	if e.health != healthUp {
		return
	}
	crowded, overdue, silent := 0, 0, false
	for _, j := range e.jobs {
		if !j.prefill || j.state != jobPrefilling || s.now.Sub(j.granted).Seconds() <= overdueFactor*j.expectedFirst+overdueSlack {
			continue
		}
		silent = silent || e.heardAt.Before(j.granted)
		if j.crowded && (e.boundedAt.IsZero() || j.granted.Before(e.boundedAt)) {
			crowded++
		} else {
			overdue++
		}
	}
	switch {
	case silent || overdue > 0:
		s.markStraggler(e, slowOverdue)
	case crowded > 0 && (e.boundedAt.IsZero() || s.now.Sub(e.boundedAt) > boundInterval):
		e.boundedAt = s.now
		e.boundCapacity(e.running - e.yielding - crowded)
	}
}

// boundCapacity takes a number of streams for the most that an endpoint runs at once.
func (e *endpoint) boundCapacity(n int) {
	if e.spec.MaxConcurrent > 0 {
		return
	}
	e.batchLimit = max(minCapacity, float64(n))
	e.capacity = min(e.capacity, e.batchLimit)
}

// lastResort tells whether no quicker endpoint is there for a job, so that stragglers get ordinary work.
func (s *Shard) lastResort(j *job) bool {
	for _, e := range s.ordered {
		if e.health == healthUp && s.mayTake(j, e) {
			return false
		}
	}
	return true
}

// admitsProbe tells whether a job may probe a straggler: a short prompt with time enough even if it is still slow.
func (s *Shard) admitsProbe(j *job, e *endpoint) bool {
	if e.probe != nil || s.now.Before(e.probeAt) || j.request.NonIdempotent || j.request.PromptTokens > probePromptTokens {
		return false
	}
	slow := float64(e.pendingPrefill+j.request.PromptTokens)/e.speed.rate() + s.expectedTokens(j)*e.speed.pace()
	return slow*overdueFactor*probeSlackFactor < s.remaining(j)
}

// markProbe remembers that a granted job probes its endpoint.
func (s *Shard) markProbe(j *job, e *endpoint) {
	if e.health == healthStraggler && e.probe == nil {
		e.probe = j
	}
}

// leaveProbe ends a probe whose job is closed.
func (s *Shard) leaveProbe(j *job) {
	e := j.endpoint
	if e.probe == j {
		s.judgeProbe(e, false)
	}
}

// judgeProbe takes an endpoint back or probes it later again.
func (s *Shard) judgeProbe(e *endpoint, recovered bool) {
	e.probe = nil
	if recovered {
		e.health = healthUp
		s.count("recoveries", "")
		s.unblock()
		return
	}
	e.probeEvery = min(2*e.probeEvery, maxProbeInterval)
	e.probeAt = s.now.Add(e.probeEvery)
}

// markDown takes an endpoint out until a probe succeeds.
func (s *Shard) markDown(e *endpoint) {
	if e.health == healthDown {
		return
	}
	e.health = healthDown
	e.probeEvery = s.settings.ProbeInterval
	e.probeAt = s.now.Add(s.settings.ProbeInterval / 4)
	s.count("endpointsDown", "")
}

// probeDown sends probes to endpoints that are down.
func (s *Shard) probeDown(e *endpoint) {
	if e.health != healthDown || e.probing && s.now.Before(e.probeAt) || s.now.Before(e.probeAt) {
		return
	}
	e.probing = true
	e.probeAt = s.now.Add(e.probeEvery)
	e.probeEvery = min(2*e.probeEvery, maxProbeInterval)
	s.emit(ProbeEndpoint{Endpoint: e.name, Address: e.spec.Address})
}

// probeAnswered takes an endpoint back that answers its probe.
func (s *Shard) probeAnswered(b ProbeAnswered) {
	e := s.endpoints[b.Endpoint]
	if e == nil {
		return
	}
	e.probing = false
	if e.health != healthDown || !b.Healthy {
		return
	}
	e.health = healthUp
	s.count("recoveries", "")
	s.unblock()
}

// probesPending reports whether an endpoint waits for a probe.
func (s *Shard) probesPending() bool {
	for _, e := range s.ordered {
		if e.health == healthDown {
			return true
		}
	}
	return false
}

// noteIncarnation clears what was known of an engine that restarted.
func (s *Shard) noteIncarnation(e *endpoint, r wigeonshift.LoadReport) {
	if e.incarnation == r.Incarnation {
		if e.lostIncarnation == r.Incarnation {
			s.acquit(e, r.TakenAt)
		}
		return
	}
	if e.incarnation != "" {
		e.cache.clear()
		e.models = nil
		e.batchLimit = 0
	}
	e.incarnation = r.Incarnation
	if e.health == healthDown {
		e.probeAt = s.now
	}
}
