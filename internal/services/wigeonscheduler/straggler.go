package wigeonscheduler

import (
	"time"

	"wigeonshift"
)

// Thresholds for the detection of slow endpoints (stragglers).
const (
	// A first token is overdue after overdueFactor times its expected latency plus overdueSlackSeconds.
	overdueFactor       = 3.0
	overdueSlackSeconds = 0.75
	// minCapacityCutInterval is the minimum time between two cuts of an endpoint's capacity. An overdue first token of a
	// job granted near the limit may only mean that the endpoint runs fewer streams at once than assumed, so the
	// capacity is cut first. If a job granted after the cut is overdue, the endpoint is a straggler.
	minCapacityCutInterval = 5 * time.Second
	// slowDelayRatio is the factor over the baseline at which the recent delay ratio marks a straggler. recentGain and
	// longTermGain are the weights of a new ratio in the averages, and maxDelayRatio caps a single one in the recent
	// average. ratioOffsetSeconds is added to both latencies so that very short expected ones do not give large ratios.
	slowDelayRatio     = 3.0
	recentGain         = 0.4
	longTermGain       = 0.02
	maxDelayRatio      = 5.0
	ratioOffsetSeconds = 0.05
	// slowPaceFactor is the factor over the endpoint's typical pace above which an attempt is slow.
	// peerPaceFactor is the same for the mean of the other endpoints; both must be exceeded.
	slowPaceFactor = 4.0
	peerPaceFactor = 2
	// minPaceSamples is the number of observations that an endpoint needs before an attempt is compared with its typical
	// pace.
	minPaceSamples = 3
	// minPaceTokens is the minimum length of an answer whose pace is checked. The prefill of one long prompt on
	// the same endpoint would slow down the whole of a shorter answer.
	minPaceTokens = 32
	// recoveredFactor is the factor over the typical latency or pace up to which a probed endpoint counts as
	// recovered. The capacity is cut if the first token of a job granted near the limit exceeds it.
	recoveredFactor = 2.0
	// maxProbePromptTokens bounds the prompt of a request that probes a straggler.
	maxProbePromptTokens = 1024
	// probeDeadlineFactor and overdueFactor multiply a probing request's expected time at a straggler; the product must
	// fit before its deadline.
	probeDeadlineFactor = 2.0
	// maxProbeInterval bounds the exponential backoff between probes.
	maxProbeInterval = 16 * time.Second
)

// Reasons for marking an endpoint as a straggler; they are labels of the counter "stragglers".
const (
	stragglerFirstToken = "firstToken"
	stragglerPace       = "pace"
	stragglerOverdue    = "overdue"
)

// checkFirstToken compares the latency of a first token in seconds with the expected one. A late first token can fail a
// probe (a request that tests a slow endpoint) or mark the endpoint as a straggler. If the job was granted near the
// limit, the capacity is cut first, because the engine may only run fewer streams at once than assumed.
func (s *Shard) checkFirstToken(j *job, seconds float64) {
	e := j.endpoint
	ratio := (seconds + ratioOffsetSeconds) / (j.expectedFirstTokenSeconds + ratioOffsetSeconds)
	if e.probeJob == j {
		if ratio > recoveredFactor*e.firstTokenDelayRatio.baseline() {
			s.finishProbe(e, false)
		}
		return
	}
	if j.grantedNearLimit && ratio > recoveredFactor && s.now.Sub(e.capacityCutAt) > minCapacityCutInterval {
		e.capacityCutAt = s.now
		e.limitCapacity(e.running - e.releasingSlots - 1)
		return
	}
	if e.health == healthUp && e.firstTokenDelayRatio.observe(ratio) {
		s.markStraggler(e, stragglerFirstToken)
	}
}

// delayRatio averages the ratio of actual to expected first-token latency, over recent requests and over the long term.
type delayRatio struct {
	recent, longTerm float64
}

// baseline returns the long-term average, but at least 1.
func (d *delayRatio) baseline() float64 {
	return max(1, d.longTerm)
}

// observe adds a ratio and reports whether the recent average is far above the long-term one. Comparing the two means
// that an endpoint whose estimates are always too low is not taken for one that became slow.
func (d *delayRatio) observe(ratio float64) bool {
	if d.longTerm == 0 {
		d.recent, d.longTerm = 1, 1
	}
	d.recent += recentGain * (min(ratio, maxDelayRatio) - d.recent)
	if d.recent > slowDelayRatio*d.baseline() {
		d.recent = 1
		return true
	}
	d.longTerm += longTermGain * (ratio - d.longTerm)
	return false
}

// checkProbePace ends the probe of a straggler when the probing request has finished. The endpoint has recovered if the
// pace (time per token) was ordinary, compared with its typical pace or the target.
func (s *Shard) checkProbePace(j *job, pace float64) {
	e := j.endpoint
	if e.probeJob != j {
		return
	}
	ordinary := max(recoveredFactor*e.speed.typicalSecondsPerToken, s.settings.TokenPaceTarget.Seconds())
	s.finishProbe(e, e.speed.typicalSecondsPerToken == 0 || pace <= ordinary)
}

// checkPace marks an endpoint as a straggler if the pace of an attempt is far above the endpoint's typical one and that
// of the other endpoints. A pace within TokenPaceTarget harms no caller, so it is ignored.
func (s *Shard) checkPace(e *endpoint, pace float64) {
	if e.health != healthUp || e.speed.paceSamples < minPaceSamples || pace <= s.settings.TokenPaceTarget.Seconds() {
		return
	}
	if pace > slowPaceFactor*e.speed.typicalSecondsPerToken && pace > peerPaceFactor*s.meanPeerPace(e) {
		s.markStraggler(e, stragglerPace)
	}
}

// meanPeerPace returns the mean pace (time per token) of the other endpoints, 0 if none is known. checkPace compares a
// slow attempt with it.
func (s *Shard) meanPeerPace(e *endpoint) float64 {
	sum, n := 0.0, 0
	for _, o := range s.sortedEndpoints {
		if o != e && o.speed.secondsPerToken > 0 {
			sum += o.speed.secondsPerToken
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// markStraggler excludes a slow endpoint from ordinary placement until a probe shows that it has recovered. It pauses
// lower-tier jobs there, so that those of the highest tier may still be on time.
func (s *Shard) markStraggler(e *endpoint, reason string) {
	if e.health != healthUp {
		return
	}
	e.health = healthStraggler
	e.probeBackoff = s.settings.ProbeInterval
	e.probeAt = s.now.Add(e.probeBackoff)
	s.count("stragglers", reason)
	s.preemptLowerTiers(e)
}

// preemptLowerTiers pauses the non-interactive jobs of a straggler that run below its highest tier, so that jobs of the
// highest tier may still be on time.
func (s *Shard) preemptLowerTiers(e *endpoint) {
	top, ok := e.topRank()
	if !ok {
		return
	}
	for _, j := range e.jobs {
		if j.rank() > top && !s.interactive(j) && s.preemptible(j) && s.pausable(j) {
			s.preempt(j)
		}
	}
}

// topRank returns the rank of the highest tier with a running job on the endpoint; ok is false if none runs.
func (e *endpoint) topRank() (rank wigeonshift.TierRank, ok bool) {
	for _, j := range e.jobs {
		if j.holdsSlot && j.state != jobPausing && (!ok || j.rank() < rank) {
			rank, ok = j.rank(), true
		}
	}
	return rank, ok
}

// checkOverduePrefills marks an endpoint with an overdue first token as a straggler. It cuts the capacity instead if
// only jobs granted near the limit are overdue and the endpoint has answered since, because it may only run fewer
// streams at once than assumed. It needs no report from the endpoint, so it also notices one that no longer answers.
func (s *Shard) checkOverduePrefills(e *endpoint) {
	if e.health != healthUp {
		return
	}
	overdueNearLimit, overdue, silent := 0, 0, false
	for _, j := range e.jobs {
		if !j.prefillPending || j.state != jobPrefilling || s.now.Sub(j.grantedAt).Seconds() <= overdueFactor*j.expectedFirstTokenSeconds+overdueSlackSeconds {
			continue
		}
		silent = silent || e.lastResponseAt.Before(j.grantedAt)
		if j.grantedNearLimit && (e.capacityCutAt.IsZero() || j.grantedAt.Before(e.capacityCutAt)) {
			overdueNearLimit++
		} else {
			overdue++
		}
	}
	switch {
	case silent || overdue > 0:
		s.markStraggler(e, stragglerOverdue)
	case overdueNearLimit > 0 && (e.capacityCutAt.IsZero() || s.now.Sub(e.capacityCutAt) > minCapacityCutInterval):
		e.capacityCutAt = s.now
		e.limitCapacity(e.running - e.releasingSlots - overdueNearLimit)
	}
}

// limitCapacity sets the maximum number of streams that an endpoint is assumed to run at once, unless that number is
// configured. Late first tokens lower it, because they may mean that the engine runs fewer at once than assumed.
func (e *endpoint) limitCapacity(n int) {
	if e.spec.MaxConcurrent > 0 {
		return
	}
	e.batchLimit = max(minCapacity, float64(n))
	e.capacity = min(e.capacity, e.batchLimit)
}

// onlyStragglersLeft reports whether no endpoint that is up can serve a job, so that stragglers get ordinary work.
func (s *Shard) onlyStragglersLeft(j *job) bool {
	for _, e := range s.sortedEndpoints {
		if e.health == healthUp && s.eligible(j, e) {
			return false
		}
	}
	return true
}

// mayProbe reports whether a job may probe a straggler, that is, test whether it is still slow. The job must be
// idempotent and have a short prompt, and enough time even if the endpoint is still slow.
func (s *Shard) mayProbe(j *job, e *endpoint) bool {
	if e.probeJob != nil || s.now.Before(e.probeAt) || j.request.NonIdempotent || j.request.PromptTokens > maxProbePromptTokens {
		return false
	}
	slow := float64(e.pendingPrefillTokens+j.request.PromptTokens)/e.speed.expectedPrefillRate() + s.expectedTokens(j)*e.speed.expectedSecondsPerToken()
	return slow*overdueFactor*probeDeadlineFactor < s.remainingSeconds(j)
}

// startProbe makes a granted job the probe of its endpoint if that is a straggler without a probe.
func (s *Shard) startProbe(j *job, e *endpoint) {
	if e.health == healthStraggler && e.probeJob == nil {
		e.probeJob = j
	}
}

// abortProbe fails a probe whose job is closed without a result.
func (s *Shard) abortProbe(j *job) {
	e := j.endpoint
	if e.probeJob == j {
		s.finishProbe(e, false)
	}
}

// finishProbe marks a straggler as up if it has recovered, and otherwise doubles the time to the next probe, up to
// maxProbeInterval.
func (s *Shard) finishProbe(e *endpoint, recovered bool) {
	e.probeJob = nil
	if recovered {
		e.health = healthUp
		s.count("recoveries", "")
		s.unblockLanes()
		return
	}
	e.probeBackoff = min(2*e.probeBackoff, maxProbeInterval)
	e.probeAt = s.now.Add(e.probeBackoff)
}

// markDown stops all placement on an endpoint until a health probe succeeds.
func (s *Shard) markDown(e *endpoint) {
	if e.health == healthDown {
		return
	}
	e.health = healthDown
	e.probeBackoff = s.settings.ProbeInterval
	e.probeAt = s.now.Add(s.settings.ProbeInterval / 4)
	s.count("endpointsDown", "")
}

// probeIfDown requests a health probe of an endpoint that is down when the next one is due, because no jobs are placed
// there that would show its recovery. The interval doubles up to maxProbeInterval.
func (s *Shard) probeIfDown(e *endpoint) {
	if e.health != healthDown || e.healthProbePending && s.now.Before(e.probeAt) || s.now.Before(e.probeAt) {
		return
	}
	e.healthProbePending = true
	e.probeAt = s.now.Add(e.probeBackoff)
	e.probeBackoff = min(2*e.probeBackoff, maxProbeInterval)
	s.emit(ProbeEndpoint{Endpoint: e.name, Address: e.spec.Address})
}

// handleProbeAnswered marks an endpoint that was down as up if its health probe succeeded.
func (s *Shard) handleProbeAnswered(b ProbeAnswered) {
	e := s.endpoints[b.Endpoint]
	if e == nil {
		return
	}
	e.healthProbePending = false
	if e.health != healthDown || !b.Healthy {
		return
	}
	e.health = healthUp
	s.count("recoveries", "")
	s.unblockLanes()
}

// anyEndpointDown reports whether any endpoint is down and so needs health probes.
func (s *Shard) anyEndpointDown() bool {
	for _, e := range s.sortedEndpoints {
		if e.health == healthDown {
			return true
		}
	}
	return false
}

// updateIncarnation discards the cache, models and batch limit learned about an engine that has restarted, as its new
// incarnation (the ID of the engine process) shows. If it reports the same incarnation as before an assumed crash, only
// the connection broke and the suspects of that crash are cleared. An endpoint that is down is probed at once after a
// restart.
func (s *Shard) updateIncarnation(e *endpoint, r wigeonshift.LoadReport) {
	if e.incarnation == r.Incarnation {
		if e.crashedIncarnation == r.Incarnation {
			s.clearFalseCrash(e, r.TakenAt)
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
