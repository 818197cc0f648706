package wigeonscheduler

import (
	"time"

	"wigeonshift"
)

// attemptReported applies what an entry tells about a permit. Reports may be late, repeated and out of order.
func (s *Shard) attemptReported(b AttemptReported) {
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
		s.attemptStarted(j)
	case wigeonshift.AttemptFirstToken:
		s.attemptStarted(j)
		s.attemptFirstToken(j, r)
	case wigeonshift.AttemptFinished:
		s.attemptFinished(j, r)
	case wigeonshift.AttemptNotRun:
		s.attemptNotRun(j, r)
	case wigeonshift.AttemptLost:
		s.endpointCrashed(j)
		s.closeJob(j)
	case wigeonshift.AttemptFailed, wigeonshift.AttemptCancelled:
		s.closeJob(j)
	case wigeonshift.AttemptPaused:
		s.attemptPaused(j)
	case wigeonshift.AttemptResumed:
		s.attemptResumed(j)
	}
}

// attemptStarted marks a permit as spent.
func (s *Shard) attemptStarted(j *job) {
	j.started = true
	if j.state == jobGranted {
		j.state = jobPrefilling
	}
}

// attemptFirstToken ends the prefill of an attempt and learns the endpoint's speed from it.
func (s *Shard) attemptFirstToken(j *job, r wigeonshift.AttemptReport) {
	if !j.prefill {
		return
	}
	e := j.endpoint
	s.endPrefill(j)
	if j.state == jobPrefilling {
		j.state = jobDecoding
	}
	j.firstToken = r.Elapsed
	e.cache.confirm(j.cached, r.CachedTokens)
	s.observeFirstToken(j, r)
}

// observeFirstToken learns the prefill rate and the capacity of an endpoint.
func (s *Shard) observeFirstToken(j *job, r wigeonshift.AttemptReport) {
	e, seconds := j.endpoint, r.Elapsed.Seconds()
	own := j.request.PromptTokens - min(r.CachedTokens, j.request.PromptTokens)
	if e.health == healthUp && (j.ahead == 0 || own >= j.ahead) {
		e.speed.observeFirstToken(own+j.ahead/2, seconds)
	}
	s.judgeFirstToken(j, seconds)
	if e.running >= e.limit() && seconds <= j.expectedFirst+s.settings.TokenPaceTarget.Seconds()*growthSlack {
		s.growCapacity(e)
	}
}

// growthSlack is the delay of a first token, in token times, up to which an endpoint's capacity grows.
const growthSlack = 4

// attemptFinished closes an attempt that answered in whole and learns from it.
func (s *Shard) attemptFinished(j *job, r wigeonshift.AttemptReport) {
	e := j.endpoint
	if j.prefill {
		j.firstToken = r.Elapsed
	}
	s.answers.observe(r.TokensDone, j.request.MaxTokens)
	pace := 0.0
	switch {
	case j.interrupted:
	case j.request.Model == "":
		pace = r.Elapsed.Seconds()
	case r.TokensDone > 1 && r.Elapsed > j.firstToken:
		pace = (r.Elapsed - j.firstToken).Seconds() / float64(r.TokensDone-1)
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

// observePace learns from the pace of a finished stream, or from the time of a plain call.
func (s *Shard) observePace(e *endpoint, pace float64) {
	if e.health == healthUp {
		e.speed.observePace(pace)
		s.adaptCapacity(e, pace)
	}
}

// attemptNotRun closes an attempt that proved not to have begun.
func (s *Shard) attemptNotRun(j *job, r wigeonshift.AttemptReport) {
	e := j.endpoint
	if len(j.request.Prefix) > 0 && j.prefill {
		e.cache.trust = max(minTrust, e.cache.trust*gapTrust)
	}
	if r.ConnectRefused {
		s.markDown(e)
	}
	s.closeJob(j)
}

// attemptPaused frees the slot of a paused attempt.
func (s *Shard) attemptPaused(j *job) {
	if j.state == jobPaused {
		return
	}
	s.endPrefill(j)
	s.releaseSlot(j)
	j.state, j.interrupted = jobPaused, true
	j.endpoint.paused++
	s.tierOf(j.rank()).paused++
}

// attemptResumed takes the slot of an attempt that runs again, or takes back a pause that failed.
func (s *Shard) attemptResumed(j *job) {
	switch j.state {
	case jobPaused:
		s.unpause(j)
	case jobPausing:
		// The engine did not pause; the stream goes on and is not asked again.
		j.endpoint.yielding--
		j.state, j.unpausable = jobDecoding, true
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

// closeJob forgets a job whose outcome its entry knows.
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
	s.dropOrganisation(j.organisation)
}

// permitCancelled forgets a request whose entry no longer wants it.
func (s *Shard) permitCancelled(b PermitCancelled) {
	j := s.jobs[b.Request]
	if j == nil || j.entry != b.Entry {
		return
	}
	if j.started {
		return
	}
	s.closeJob(j)
}

// entryLost forgets everything of an instance that is gone.
func (s *Shard) entryLost(b EntryLost) {
	for _, j := range s.sortedJobs(b.Entry) {
		s.closeJob(j)
	}
}

// voidGrant closes a grant that was not reported as started in time.
func (s *Shard) voidGrant(j *job) {
	s.count("voidGrants", "")
	s.closeJob(j)
}

// Bounds on the time for which a job is kept without news of it.
const (
	// orphanGrace follows the deadline; a running attempt without any report is forgotten after it.
	orphanGrace = 60 * time.Second
	// revokeResend is the time after which an unanswered revocation is sent again.
	revokeResend = time.Second
)
