package wigeondispatch

import (
	"time"

	"wigeonshift"
)

// minRetryAfter is the minimum retry delay in a refusal, unless the longest delay that callers follow is shorter.
const minRetryAfter = 200 * time.Millisecond

// retryAfterDivisor divides the time left until a request's deadline to get the longest retry delay that callers still
// follow.
const retryAfterDivisor = 3.2

// endAttempt records the end of an attempt, which is one try of a request on one endpoint. If the attempt gave no
// answer, it retries, refuses or fails the request. Then it dispatches queued requests, because a slot of the endpoint
// is free now.
func (s *State) endAttempt(ev AttemptEnded) {
	j := s.jobs[ev.Job]
	if j == nil || !j.selectAttempt(ev.Hedge) {
		return
	}
	e := j.assignedEndpoint
	e.endAttempt(j)
	j.assignedEndpoint, j.isHedge = nil, false
	s.recordOutcome(e, j, ev)
	s.endRolloutRun(e, j, ev)
	if ev.Outcome.answered() {
		s.recordResendArrival(j)
	}
	j.resendPending = false
	p := s.pool(j.Service)
	switch {
	case j.isHedged():
		j.endOneOfTwo(e, ev)
	case j.isOver, ev.Outcome == OutcomeDone, ev.Outcome == OutcomeAbandoned:
		s.forget(j)
	default:
		s.recover(j, e, ev)
	}
	s.dispatchWaiting(p, e)
}

// recordOutcome updates the timings and the failure state of an endpoint from the outcome of an attempt, so that later
// requests avoid slow and failing endpoints. A rejected or delayed attempt counts as neither success nor failure. An
// abandoned one was ended by this instance, so it counts as a failure only if the endpoint had sent nothing for the
// stall timeout. It may still be lost: an endpoint that crashes without closing its connections is silent, however long it
// was waited for.
func (s *State) recordOutcome(e *endpoint, j *Job, ev AttemptEnded) {
	elapsed := s.now - j.dispatchedAt
	switch {
	case ev.Outcome.answered():
		s.recordAlive(e, j)
		s.recordReachable(e.record.ID)
	case ev.Outcome == OutcomeLost && !j.answerStarted, ev.Outcome == OutcomeNotSent:
		s.recordSilence(e, j, ev.Outcome)
	}
	switch ev.Outcome {
	case OutcomeDone:
		if ev.Succeeded {
			s.recordAnswer(j)
		}
		e.recordSuccess()
		if j.firstEventLatency > 0 {
			e.recordStreamEnd(ev.Events, elapsed-j.firstEventLatency)
		}
		if e.pool.meanSlotTime == 0 {
			e.pool.meanSlotTime = elapsed
		}
		e.pool.meanSlotTime += (elapsed - e.pool.meanSlotTime) / slotTimeSamples
	case OutcomeRejected:
		s.recordRejection(e)
	case OutcomeMisplaced:
		s.recordMisplaced(e)
	case OutcomeDelayed:
	case OutcomeCancelled:
		s.recordCancelled(e, j, ev)
	case OutcomeAbandoned:
		if j.firstEventLatency > 0 || elapsed < s.stallTimeout(e, j) {
			s.recordLoss(e, j, lossUnverified, ev.Events)
			return
		}
		s.recordLoss(e, j, lossSilent, ev.Events)
		s.recordFailure(e)
	case OutcomeLost:
		// handleStall reserves the resend when it abandons the attempt on a silent endpoint.
		kind := lossBroken
		if j.resendReserved {
			kind = lossSilent
		}
		s.recordLoss(e, j, kind, ev.Events)
		s.recordFailure(e)
	case OutcomeFailed:
		if j.Fingerprint == 0 || e.failedRequest != j.Fingerprint {
			s.recordFailure(e)
		}
		e.failedRequest = j.Fingerprint
	default:
		s.recordFailure(e)
	}
}

// recordFailure counts a failure of an endpoint and reports it if the endpoint is paused.
func (s *State) recordFailure(e *endpoint) {
	if pause := e.recordFailure(s.now); pause > 0 {
		s.emit(Suspect{EndpointID: e.record.ID, Duration: pause, Failures: e.consecutiveFailures})
	}
}

// stallTimeout returns how long an endpoint may send nothing after a dispatch before its silence counts as a failure.
// It is a multiple of the expected time to the first event. It is at least a share of the time after which the caller
// of a stream disconnects, or a multiple of the latency objective of a plain answer (one that is not a stream).
func (s *State) stallTimeout(e *endpoint, j *Job) time.Duration {
	minSilence := stallObjectiveFactor * j.LatencyObjective
	if j.Kind == wigeonshift.RouteStreaming {
		minSilence = j.CallerPatience / stallPatienceDivisor
	}
	return max(stallFactor*s.estimate(e, j).firstEvent, minSilence)
}

// handleStall abandons the attempt on a silent endpoint if another endpoint can accept the request at once. Otherwise
// the attempt goes on, because silence alone is no reason to end an answer. While handleStall looks for another
// endpoint, it marks the silent one as failed so that it isn't chosen again, and undoes this if the attempt goes on.
func (s *State) handleStall(id JobID) {
	j := s.jobs[id]
	if j == nil || j.assignedEndpoint == nil || j.isHedged() || !j.canFailOver() || j.Deadline-s.now < minResendTimeLeft {
		return
	}
	if j.resendReserved {
		// The attempt is being abandoned already.
		return
	}
	j.failedEndpoints = append(j.failedEndpoints, j.assignedEndpoint.record.ID)
	j.failedOver = true
	if s.chooseEndpoint(j.assignedEndpoint.pool, j, placementRound{}) == nil || !s.reserveResend(j) {
		j.failedEndpoints = j.failedEndpoints[:len(j.failedEndpoints)-1]
		j.failedOver = j.answerStarted && j.attempts > 1
		return
	}
	s.emit(Abandon{Job: id})
}

// canFailOver reports whether a request that an endpoint may have run can be sent to another endpoint.
func (j *Job) canFailOver() bool { return j.repeatable() && j.attempts < j.MaxAttempts }

const (
	// stallFactor multiplies the expected time to the first event to get the stall timeout.
	stallFactor = 4
	// stallPatienceDivisor divides the patience of a stream's caller to get the minimum stall timeout.
	stallPatienceDivisor = 2
	// stallObjectiveFactor multiplies the latency objective of a plain answer to get the minimum stall timeout.
	stallObjectiveFactor = 2
)

// slotTimeSamples is the number of requests over which the mean time in a slot is averaged.
const slotTimeSamples = 32

// recover queues a request whose attempt gave no answer for another attempt, or refuses or fails it. A request that
// may have run is queued again only if it may run twice and its caller can still be answered by another attempt;
// otherwise it fails. Only a request that never ran is refused, because a refusal tells the caller that it did not
// run. Sending a request again needs the retry budget, unless no endpoint has received it yet or handleStall has
// already reserved the resend.
func (s *State) recover(j *Job, e *endpoint, ev AttemptEnded) {
	p := s.pool(j.Service)
	possiblyRan := j.noteFailedAttempt(e, ev.Outcome)
	retry := j.attempts < j.MaxAttempts
	if possiblyRan {
		retry = j.canFailOver() && ev.Answerable
	}
	retry = retry && j.Deadline-s.now > minResendTimeLeft
	if retry && (j.attempts == 0 || j.resendReserved || s.reserveResend(j)) {
		j.failedOver = j.failedOver || possiblyRan
		if !s.passOnIfCutOff(j) {
			p.queue.add(j)
		}
		return
	}
	if ev.Outcome == OutcomeFailed {
		s.fail(j, ReasonEndpointFailed)
		return
	}
	s.giveUp(p, j)
}

// noteFailedAttempt records an attempt that gave no answer and reports whether the endpoint may have run the request.
func (j *Job) noteFailedAttempt(e *endpoint, o Outcome) bool {
	possiblyRan := o == OutcomeLost || o == OutcomeFailed || o == OutcomeCancelled
	j.mayHaveRun = j.mayHaveRun || possiblyRan
	if o == OutcomeNotSent || o == OutcomeDelayed {
		// The endpoint never received the request, so the attempt doesn't count.
		j.attempts--
	}
	if o != OutcomeDelayed && !j.hasFailedOn(e.record.ID) {
		j.failedEndpoints = append(j.failedEndpoints, e.record.ID)
	}
	return possiblyRan
}

// giveUp refuses or fails a request that can't be sent to another endpoint.
func (s *State) giveUp(p *pool, j *Job) {
	if j.attempts == 0 && s.passOnIfCutOff(j) {
		return
	}
	switch {
	case j.mayHaveRun || j.answerStarted:
		s.fail(j, ReasonLost)
	case j.attempts == 0:
		s.refuse(j, ReasonNoEndpoint, s.retryAfter(p, j, s.backlog(p)))
	default:
		s.refuse(j, ReasonAttempts, s.retryAfter(p, j, s.backlog(p)))
	}
}

// retryAfter returns the delay after which the caller of a refused request should retry. Callers follow a delay only
// up to a share of the time left until their deadline, so the delay never exceeds this share. If more requests of the
// same or a higher priority are queued than slots are free, the service is overloaded. Then the delay is between half
// of this share and all of it, whatever the expected wait; otherwise it is minRetryAfter. The delay differs by the job
// ID, so that callers don't all retry at once and those of earlier requests retry first.
func (s *State) retryAfter(p *pool, j *Job, b backlog) time.Duration {
	longest := time.Duration(float64(j.Deadline-s.now) / retryAfterDivisor)
	wait := s.expectedWait(p, j, b)
	if wait > 0 {
		jitter := retryJitterShare * float64(j.ID%retryJitterSteps) / retryJitterSteps
		wait = time.Duration(float64(longest) * (1 - retryJitterShare + jitter))
	}
	return min(max(wait, minRetryAfter), longest)
}

// The retry delays of different callers differ by up to retryJitterShare of the longest delay, in retryJitterSteps steps.
const (
	retryJitterShare = 0.5
	retryJitterSteps = 16
)
