package wigeondispatch

import "time"

// retryFloor is the least advice to come back later.
const retryFloor = 200 * time.Millisecond

// retryShare is the part of the time left, as a divisor, up to which callers follow the advice.
const retryShare = 3.2

// end books the end of an attempt and decides what becomes of the request.
func (s *State) end(ev Ended) {
	j := s.jobs[ev.Job]
	if j == nil || j.placed == nil {
		return
	}
	e := j.placed
	e.end(j)
	j.placed = nil
	s.learn(e, j, ev)
	p := s.pool(j.Service)
	switch ev.Outcome {
	case OutcomeDone, OutcomeAbandoned:
		delete(s.jobs, j.ID)
	default:
		s.recover(j, e, ev)
	}
	s.fill(p, e)
}

// learn takes what an attempt tells of its endpoint.
func (s *State) learn(e *endpoint, j *Job, ev Ended) {
	span := s.now - j.sentAt
	switch ev.Outcome {
	case OutcomeDone:
		e.succeeded()
		if j.firstAfter > 0 {
			e.learnStep(ev.Events, span-j.firstAfter)
		}
		if e.pool.meanTime == 0 {
			e.pool.meanTime = span
		}
		e.pool.meanTime += (span - e.pool.meanTime) / meanTimeSamples
	case OutcomeAbandoned, OutcomeRejected, OutcomeMisplaced:
	default:
		if pause := e.failedAt(s.now); pause > 0 {
			s.emit(Suspect{EndpointID: e.record.ID, For: pause, Failures: e.failures})
		}
	}
}

// meanTimeSamples is the number of requests over which the mean time in a slot is taken.
const meanTimeSamples = 32

// recover decides what becomes of a request whose attempt gave no answer.
func (s *State) recover(j *Job, e *endpoint, ev Ended) {
	ran := ev.Outcome == OutcomeLost || ev.Outcome == OutcomeFailed
	if ev.Outcome == OutcomeNotSent {
		// The endpoint never saw the request.
		j.attempts--
	}
	j.failed = append(j.failed, e.record.ID)
	again := j.attempts < j.MaxAttempts && j.Deadline-s.now > minTimeout
	if ran {
		again = again && j.repeatable() && ev.Answerable
	}
	if again && (j.attempts == 0 || s.mayResend(j)) {
		s.pool(j.Service).queue.add(j)
		return
	}
	switch {
	case ev.Outcome == OutcomeFailed:
		s.fail(j, ReasonEndpointFailed)
	case ran || j.began:
		s.fail(j, ReasonLost)
	case j.attempts == 0:
		s.refuse(j, ReasonNoEndpoint, s.retryAdvice(s.pool(j.Service), j))
	default:
		s.refuse(j, ReasonAttempts, s.retryAdvice(s.pool(j.Service), j))
	}
}

// retryAdvice is the time after which a refused request may find a place. It is the longest that callers follow when the
// service is overloaded, spread so that they don't come back together: those in front of the queue first.
func (s *State) retryAdvice(p *pool, j *Job) time.Duration {
	longest := time.Duration(float64(j.Deadline-s.now) / retryShare)
	wait := s.expectedWait(p, j)
	if wait > 0 {
		spread := retrySpread * float64(j.ID%retrySteps) / retrySteps
		wait = time.Duration(float64(longest) * (1 - retrySpread + spread))
	}
	return min(max(wait, retryFloor), longest)
}

// retrySpread is the part of the advice that differs between callers, in retrySteps steps.
const (
	retrySpread = 0.5
	retrySteps  = 16
)
