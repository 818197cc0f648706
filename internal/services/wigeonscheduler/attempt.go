package wigeonscheduler

import (
	"time"

	"wigeonshift"
)

// handleAttemptReported applies an entry's report on a permit. Reports may be late, repeated and out of order. One
// whose token differs from that of the job's permit concerns another attempt and is ignored.
func (s *Shard) handleAttemptReported(b AttemptReported) {
	r := b.Report
	j := s.jobs[r.Request]
	if j == nil || j.endpoint == nil || j.token != r.Token {
		return
	}
	j.tokensDone = max(j.tokensDone, r.TokensDone)
	j.started = j.started || r.State == wigeonshift.AttemptPaused || r.State == wigeonshift.AttemptResumed
	if r.State == wigeonshift.AttemptFirstToken || r.State == wigeonshift.AttemptFinished {
		j.endpoint.lastResponseAt = s.now
	}
	switch r.State {
	case wigeonshift.AttemptStarted:
		s.handleAttemptStarted(j)
	case wigeonshift.AttemptFirstToken:
		s.handleAttemptStarted(j)
		s.handleFirstToken(j, r)
	case wigeonshift.AttemptFinished:
		s.handleAttemptFinished(j, r)
	case wigeonshift.AttemptNotRun:
		s.handleAttemptNotRun(j, r)
	case wigeonshift.AttemptLost:
		s.handleAttemptLost(j)
		s.closeJob(j)
	case wigeonshift.AttemptFailed, wigeonshift.AttemptCancelled:
		s.closeJob(j)
	case wigeonshift.AttemptPaused:
		s.handleAttemptPaused(j)
	case wigeonshift.AttemptResumed:
		s.handleAttemptResumed(j)
	}
}

// handleAttemptStarted records that the entry has used the permit.
func (s *Shard) handleAttemptStarted(j *job) {
	j.started = true
	if j.state == jobGranted {
		j.state = jobPrefilling
	}
}

// handleFirstToken ends the prefill of an attempt and updates the endpoint's speed. It compares the cached tokens that
// the endpoint reports with the predicted ones, because placement relies on such predictions only as far as they prove
// right.
func (s *Shard) handleFirstToken(j *job, r wigeonshift.AttemptReport) {
	if !j.prefillPending {
		return
	}
	e := j.endpoint
	s.endPrefill(j)
	if j.state == jobPrefilling {
		j.state = jobDecoding
	}
	j.firstTokenLatency = r.Elapsed
	e.cache.updateTrust(j.cachedTokens, r.CachedTokens)
	s.observeFirstToken(j, r)
}

// observeFirstToken updates the prefill rate, health and capacity of an endpoint from a first-token latency. The rate
// is updated only if the endpoint is up and computed at least as many tokens for the job as for prompts ahead of it:
// how many of the latter fell into that time is only estimated, as half. The capacity grows if the endpoint is at its
// limit and the first token was hardly late.
func (s *Shard) observeFirstToken(j *job, r wigeonshift.AttemptReport) {
	e, seconds := j.endpoint, r.Elapsed.Seconds()
	computedTokens := j.request.PromptTokens - min(r.CachedTokens, j.request.PromptTokens)
	if e.health == healthUp && (j.tokensAhead == 0 || computedTokens >= j.tokensAhead) {
		e.speed.observeFirstToken(computedTokens+j.tokensAhead/2, seconds)
	}
	s.checkFirstToken(j, seconds)
	if e.running >= e.concurrencyLimit() && seconds <= j.expectedFirstTokenSeconds+s.settings.TokenPaceTarget.Seconds()*growthDelayFactor {
		s.growCapacity(e)
	}
}

// growthDelayFactor is the largest delay of a first token beyond its estimate at which an endpoint's capacity still
// grows, as a multiple of TokenPaceTarget.
const growthDelayFactor = 4

// handleAttemptFinished closes a completed attempt and updates the averages of answer length and pace (the time per
// token, or the whole duration for a plain service, which has no tokens). An interrupted stream gives no pace because
// the time includes the pause. A suspect (a request in flight at a crash) that ran alone to its end is cleared.
func (s *Shard) handleAttemptFinished(j *job, r wigeonshift.AttemptReport) {
	e := j.endpoint
	if j.prefillPending {
		j.firstTokenLatency = r.Elapsed
	}
	s.answerLengths.observe(r.TokensDone, j.request.MaxTokens)
	pace := 0.0
	switch {
	case j.interrupted:
	case j.request.Model == "":
		pace = r.Elapsed.Seconds()
	case r.TokensDone > 1 && r.Elapsed > j.firstTokenLatency:
		pace = (r.Elapsed - j.firstTokenLatency).Seconds() / float64(r.TokensDone-1)
	}
	if j.runsAlone {
		s.suspects.clearSuspect(j)
		s.requeueSuspects()
	}
	if pace > 0 {
		s.checkProbePace(j, pace)
	}
	s.closeJob(j)
	if pace > 0 {
		if j.request.Model == "" || r.TokensDone >= minPaceTokens {
			s.checkPace(e, pace)
		}
		s.observePace(e, pace)
	}
}

// observePace updates an endpoint's speed and capacity from the pace of a finished attempt; see speed for the term.
func (s *Shard) observePace(e *endpoint, pace float64) {
	if e.health == healthUp {
		e.speed.observePace(pace)
		s.reduceCapacityIfSlow(e, pace)
	}
}

// handleAttemptNotRun closes an attempt that is proved not to have started. The trust in the endpoint's predicted cache
// falls, because the prefix of the job was counted as cached at the grant. A refused connection marks the endpoint as
// down.
func (s *Shard) handleAttemptNotRun(j *job, r wigeonshift.AttemptReport) {
	e := j.endpoint
	if len(j.request.Prefix) > 0 && j.prefillPending {
		e.cache.trust = max(minTrust, e.cache.trust*gapTrustFactor)
	}
	if r.ConnectRefused {
		s.markDown(e)
	}
	s.closeJob(j)
}

// handleAttemptPaused frees the slot of an attempt whose engine has paused the stream. The owner asks for the pause to
// give the slot to a higher tier; the job stays at the endpoint, where the engine keeps its state. It is marked as
// interrupted, because the pause would count in its measured pace (the time per token).
func (s *Shard) handleAttemptPaused(j *job) {
	if j.state == jobPaused {
		return
	}
	s.endPrefill(j)
	s.releaseSlot(j)
	j.state, j.interrupted = jobPaused, true
	j.endpoint.paused++
	s.tierOf(j.rank()).paused++
}

// handleAttemptResumed takes a slot for an attempt that runs again, or reverts a pause that failed.
func (s *Shard) handleAttemptResumed(j *job) {
	switch j.state {
	case jobPaused:
		s.unpause(j)
	case jobPausing:
		// The engine did not pause. The stream continues and is not asked to pause again.
		j.endpoint.releasingSlots--
		j.state, j.pauseFailed = jobDecoding, true
		if j.prefillPending {
			j.state = jobPrefilling
		}
		s.unblockLanes()
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
// entry, which knows the outcome. The request is remembered so that late duplicates are ignored.
func (s *Shard) closeJob(j *job) {
	s.closed.add(&j.request)
	delete(s.jobs, j.request.ID)
	if j.endpoint != nil {
		s.abortProbe(j)
		s.suspects.removeJob(j)
		s.detach(j)
	} else if j.flow != nil {
		s.dequeue(j)
	}
	s.dropReservation(j)
	s.dropIdleOrganisation(j.organisation)
}

// handlePermitCancelled closes a request that its entry no longer needs. An attempt that has started keeps its slot
// until the entry reports its end.
func (s *Shard) handlePermitCancelled(b PermitCancelled) {
	j := s.jobs[b.Request]
	if j == nil || j.entry != b.Entry {
		return
	}
	if j.started {
		return
	}
	s.closeJob(j)
}

// handleEntryLost closes all jobs of an entry instance that is gone.
func (s *Shard) handleEntryLost(b EntryLost) {
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
	// orphanGrace is how long after its deadline an attempt is dropped if it was not reported as ended.
	orphanGrace = 60 * time.Second
	// revocationResendInterval is the time after which an unanswered revocation is sent again.
	revocationResendInterval = time.Second
)
