package wigeondispatch

import (
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonrollout"
)

// rolloutRun is the attempt of a request on a service with a rollout.
type rolloutRun struct {
	wigeonrollout.Attempt
	// revision is that of the order.
	revision uint64
}

// startRolloutRun counts a request that is sent to an endpoint of a service with a rollout.
func (s *State) startRolloutRun(e *endpoint, j *Job) {
	j.rolloutRun = nil
	r := s.rollouts.byService[e.pool.name]
	if r == nil || r.State().Final() {
		return
	}
	onTarget := e.record.Version == r.Order().Target
	r.Sent(onTarget)
	first, whole := e.pool.typicalTimes(j)
	j.rolloutRun = &rolloutRun{revision: r.Order().Revision, Attempt: wigeonrollout.Attempt{
		Route: j.Route, OnTarget: onTarget, Stage: r.Stage(), ExpectedFirst: first, Expected: whole, ExpectedEvent: e.pool.typicalEvent(j),
		IsExcused: onTarget && j.failedOnOthers,
	}}
}

// typicalTimes returns the times to the first event and to the end of the answer of a request that has its endpoint, with the mean
// timings. What the endpoint keeps of the prompt takes no time; a new version keeps nothing yet.
func (p *pool) typicalTimes(j *Job) (first, whole time.Duration) {
	typical := p.typicalTimings()
	if !j.HasTokens {
		return typical.plain, typical.plain
	}
	first = typical.prefill*time.Duration(j.unreadTokens()) + typical.decodeStep*time.Duration(p.eventTokens())
	return first, first + typical.decodeStep*time.Duration(j.ExpectedAnswerTokens)
}

// typicalEvent returns the time between two events of the answer of a request with the mean timings; zero if it isn't a stream of events.
func (p *pool) typicalEvent(j *Job) time.Duration {
	if !j.HasTokens || j.Kind != wigeonshift.RouteStreaming {
		return 0
	}
	return p.typicalTimings().decodeStep * time.Duration(p.eventTokens())
}

// rolloutOf returns the rollout to which the running attempt of a request belongs; nil if there is none.
func (s *State) rolloutOf(j *Job) *wigeonrollout.Rollout {
	if j.rolloutRun == nil {
		return nil
	}
	r := s.rollouts.byService[j.Service]
	if r == nil || r.Order().Revision != j.rolloutRun.revision {
		return nil
	}
	return r
}

// measureRollouts judges the attempts that run.
func (s *State) measureRollouts() {
	running := map[*wigeonrollout.Rollout][]wigeonrollout.Running{}
	for _, j := range s.jobs {
		r := s.rolloutOf(j)
		if r == nil || j.assignedEndpoint == nil {
			continue
		}
		running[r] = append(running[r], wigeonrollout.Running{
			Attempt: &j.rolloutRun.Attempt, Elapsed: s.now - j.dispatchedAt, HasBegun: j.firstEventLatency > 0, Events: j.events,
		})
	}
	for _, r := range s.rollouts.byService {
		if !r.State().Final() {
			r.MeasureRunning(running[r])
		}
	}
}

// FollowsEvents reports whether a Tick event is to tell how many events the running streams have had.
func (s *State) FollowsEvents() bool {
	for service := range s.rollouts.byService {
		if s.isRollingOut(service) {
			return true
		}
	}
	return false
}

// recordEvents records how many events the running streams have had.
func (s *State) recordEvents(events map[JobID]int) {
	for id, n := range events {
		if j := s.jobs[id]; j != nil && j.assignedEndpoint != nil && !j.isHedged() {
			j.events = n
		}
	}
}

// recordRolloutFirstEvent judges the time to the first event of an attempt.
func (s *State) recordRolloutFirstEvent(j *Job) {
	if r := s.rolloutOf(j); r != nil {
		r.Measure(&j.rolloutRun.Attempt, wigeonrollout.FirstEvent, j.firstEventLatency)
		r.Learn(&j.rolloutRun.Attempt, wigeonrollout.FirstEvent, j.firstEventLatency)
	}
}

// endRolloutRun counts the end of an attempt. An attempt that the endpoint never got, or didn't run, says nothing of its version.
func (s *State) endRolloutRun(e *endpoint, j *Job, ev AttemptEnded) {
	run, r := j.rolloutRun, s.rolloutOf(j)
	j.rolloutRun = nil
	if r == nil {
		return
	}
	outcome := wigeonrollout.Ended
	switch {
	case ev.Outcome == OutcomeDone && ev.Succeeded:
		outcome = wigeonrollout.Succeeded
	case ev.Outcome == OutcomeDone, ev.Outcome == OutcomeFailed:
		outcome = wigeonrollout.Failed
	case ev.Outcome == OutcomeLost:
		outcome = wigeonrollout.Lost
	case ev.Outcome != OutcomeAbandoned:
		return
	}
	r.End(&run.Attempt, outcome, s.now-j.dispatchedAt)
	if outcome == wigeonrollout.Failed || outcome == wigeonrollout.Lost {
		j.failedOnTarget = j.failedOnTarget || run.OnTarget
		j.failedOnOthers = j.failedOnOthers || !run.OnTarget
	}
	s.emit(RolloutAttempt{Service: e.pool.name, Version: e.record.Version, Outcome: ev.Outcome, Succeeded: ev.Succeeded})
}
