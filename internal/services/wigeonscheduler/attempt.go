package wigeonscheduler

import (
	"time"

	"wigeonshift"
)

// onAttemptReported applies an entry's report on a permit. Reports may be late, repeated and out of order.
func (s *Shard) onAttemptReported(b AttemptReported) {
	r := b.Report
	j := s.jobs[r.Request]
	if j == nil || j.endpoint == nil || j.token != r.Token {
		return
	}
	j.tokensDone = max(j.tokensDone, r.TokensDone)
	j.started = j.started || r.State == wigeonshift.AttemptPaused || r.State == wigeonshift.AttemptResumed
	if r.State == wigeonshift.AttemptFirstToken || r.State == wigeonshift.AttemptFinished {
		j.endpoint.heardAt = s.now
	}
	switch r.State {
	case wigeonshift.AttemptStarted:
		s.onAttemptStarted(j)
	case wigeonshift.AttemptFirstToken:
		s.onAttemptStarted(j)
		s.onFirstToken(j, r)
	case wigeonshift.AttemptFinished:
		s.onAttemptFinished(j, r)
	case wigeonshift.AttemptNotRun:
		s.onAttemptNotRun(j, r)
	case wigeonshift.AttemptLost:
		s.endpointCrashed(j)
		s.closeJob(j)
	case wigeonshift.AttemptFailed, wigeonshift.AttemptCancelled:
		s.closeJob(j)
	case wigeonshift.AttemptPaused:
		s.onAttemptPaused(j)
	case wigeonshift.AttemptResumed:
		s.onAttemptResumed(j)
	}
}

// onAttemptStarted records that the entry has used the permit.
func (s *Shard) onAttemptStarted(j *job) {
	j.started = true
	if j.state == jobGranted {
		j.state = jobPrefilling
	}
}

// onFirstToken ends the prefill of an attempt and updates the endpoint's speed.
func (s *Shard) onFirstToken(j *job, r wigeonshift.AttemptReport) {
	if !j.prefill {
		return
	}
	e := j.endpoint
	s.endPrefill(j)
	if j.state == jobPrefilling {
		j.state = jobDecoding
	}
	j.firstTokenLatency = r.Elapsed
	e.cache.confirm(j.cachedTokens, r.CachedTokens)
	s.observeFirstToken(j, r)
}

// observeFirstToken updates the prefill rate, health and capacity of an endpoint from a first-token latency.
func (s *Shard) observeFirstToken(j *job, r wigeonshift.AttemptReport) {
	e, seconds := j.endpoint, r.Elapsed.Seconds()
	own := j.request.PromptTokens - min(r.CachedTokens, j.request.PromptTokens)
	if e.health == healthUp && (j.tokensAhead == 0 || own >= j.tokensAhead) {
		e.speed.observeFirstToken(own+j.tokensAhead/2, seconds)
	}
	s.judgeFirstToken(j, seconds)
	if e.running >= e.concurrencyLimit() && seconds <= j.expectedFirst+s.settings.TokenPaceTarget.Seconds()*growthDelayFactor {
		s.growCapacity(e)
	}
}

// growthDelayFactor is the largest delay of a first token beyond its estimate at which an endpoint's capacity still
// grows, as a multiple of TokenPaceTarget.
const growthDelayFactor = 4

// onAttemptFinished closes an attempt that completed and learns from its length and pace.
func (s *Shard) onAttemptFinished(j *job, r wigeonshift.AttemptReport) {
	e := j.endpoint
	if j.prefill {
		j.firstTokenLatency = r.Elapsed
	}
	s.answers.observe(r.TokensDone, j.request.MaxTokens)
	pace := 0.0
	switch {
	case j.interrupted:
	case j.request.Model == "":
		pace = r.Elapsed.Seconds()
	case r.TokensDone > 1 && r.Elapsed > j.firstTokenLatency:
		pace = (r.Elapsed - j.firstTokenLatency).Seconds() / float64(r.TokensDone-1)
	}
	if j.alone {
		s.suspects.clear(j)
		s.requeueSuspects()
	}
	if pace > 0 {
		s.judgeProbeEnd(j, pace)
	}
	s.closeJob(j)
	if pace > 0 {
		if j.request.Model == "" || r.TokensDone >= minPaceTokens {
			s.judgePace(e, pace)
		}
		s.observePace(e, pace)
	}
}

// observePace updates an endpoint's speed and capacity from the pace of a finished stream, or from the duration of a
// call to a plain service.
func (s *Shard) observePace(e *endpoint, pace float64) {
	if e.health == healthUp {
		e.speed.observePace(pace)
		s.reduceCapacityIfSlow(e, pace)
	}
}

// onAttemptNotRun closes an attempt that is proved not to have started.
func (s *Shard) onAttemptNotRun(j *job, r wigeonshift.AttemptReport) {
	e := j.endpoint
	if len(j.request.Prefix) > 0 && j.prefill {
		e.cache.trust = max(minTrust, e.cache.trust*gapTrust)
	}
	if r.ConnectRefused {
		s.markDown(e)
	}
	s.closeJob(j)
}

// onAttemptPaused frees the slot of a paused attempt.
func (s *Shard) onAttemptPaused(j *job) {
	if j.state == jobPaused {
		return
	}
	s.endPrefill(j)
	s.releaseSlot(j)
	j.state, j.interrupted = jobPaused, true
	j.endpoint.paused++
	s.tierOf(j.rank()).paused++
}

// onAttemptResumed takes a slot for an attempt that runs again, or reverts a pause that failed.
func (s *Shard) onAttemptResumed(j *job) {
	switch j.state {
	case jobPaused:
		s.unpause(j)
	case jobPausing:
		// The engine did not pause. The stream continues and is not asked to pause again.
		j.endpoint.yielding--
		j.state, j.pauseFailed = jobDecoding, true
		if j.prefill {
			j.state = jobPrefilling
		}
		s.unblock()
	}
}

// unpause counts a paused job as running.
func (s *Shard) unpause(j *job) {
	j.endpoint.paused--
	s.tierOf(j.rank()).paused--
	j.state = jobDecoding
	s.takeSlot(j)
}

// closeJob removes a job and releases its slot, its reservation or its place in the queue. It sends nothing to the
// entry.
func (s *Shard) closeJob(j *job) {
	s.closed.add(&j.request)
	delete(s.jobs, j.request.ID)
	if j.endpoint != nil {
		s.leaveProbe(j)
		s.suspects.leave(j)
		s.detach(j)
	} else if j.flow != nil {
		s.dequeue(j)
	}
	s.dropReservation(j)
	s.dropIdleOrganisation(j.organisation)
}

// onPermitCancelled closes a request that its entry no longer needs, unless the attempt has started.
func (s *Shard) onPermitCancelled(b PermitCancelled) {
	j := s.jobs[b.Request]
	if j == nil || j.entry != b.Entry {
		return
	}
	if j.started {
		return
	}
	s.closeJob(j)
}

// onEntryLost closes all jobs of an entry instance that is gone.
func (s *Shard) onEntryLost(b EntryLost) {
	for _, j := range s.sortedJobs(b.Entry) {
		s.closeJob(j)
	}
}

// expireGrant closes a job whose grant was not reported as started in time.
func (s *Shard) expireGrant(j *job) {
	s.count("voidGrants", "")
	s.closeJob(j)
}

// Timeouts for jobs without reports.
const (
	// orphanGrace is the time after its deadline when an attempt that was not reported as ended is dropped.
	orphanGrace = 60 * time.Second
	// revocationResendInterval is the time after which an unanswered revocation is sent again.
	revocationResendInterval = time.Second
)
