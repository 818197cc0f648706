package wigeondispatch

import (
	"sort"

	"wigeonshift/internal/services/wigeonbudget"
)

// dispatchAllWaiting dispatches the queued requests of all services. It is called when free slots may appear in any
// service. The services are sorted by name, so that the order of the effects doesn't depend on the map.
func (s *State) dispatchAllWaiting() {
	names := make([]string, 0, len(s.pools))
	for name := range s.pools {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		s.dispatchWaiting(s.pools[name], nil)
	}
}

// dispatchWaiting dispatches queued requests of a service in order of priority, and refuses those that have been
// queued for too long or that should rather be retried later. It gives up those whose resend the retry budget no longer
// allows. It never refuses a request that failed over (moved from
// an endpoint that may have run it), because a refusal says that the request did not run. freedEndpoint is the
// endpoint on which a request of this instance has just ended, or nil.
func (s *State) dispatchWaiting(p *pool, freedEndpoint *endpoint) {
	if len(p.queue.jobs) == 0 {
		return
	}
	jobsByPriority, own := p.jobsByPriority(s.now)
	round := placementRound{freedEndpoint: freedEndpoint, backlog: backlog{own: own, peers: s.peerWaiting(p.name)}}
	for _, j := range jobsByPriority {
		if s.refuseWaiting(p, j, &round) {
			continue
		}
		if s.waitsForTrial(j) || s.awaitsPeer(j) {
			continue
		}
		e := s.chooseEndpoint(p, j, round)
		if e == nil {
			round.skippedJob = true
			continue
		}
		s.dequeue(p, j, &round)
		if j.attempts > 0 && !s.useResend(j) {
			s.giveUp(p, j)
			continue
		}
		s.emit(s.startAttempt(e, j))
		if e == round.freedEndpoint && p.brittle != nil {
			// The request that ended has freed one slot, which is taken now.
			round.freedEndpoint = nil
		}
	}
}

// refuseWaiting refuses a queued request that must not be sent or should rather be tried again later, and reports whether it
// did. A request that failed over may only be refused because it is quarantined.
func (s *State) refuseWaiting(p *pool, j *Job, round *placementRound) bool {
	if s.mustRefuse(j) {
		s.dequeue(p, j, round)
		s.refuseQuarantined(j)
		return true
	}
	if j.failedOver {
		return false
	}
	if wait, refused := s.backoffRefusal(p, j); refused {
		s.dequeue(p, j, round)
		s.refuse(j, ReasonBackoff, wait)
		return true
	}
	if s.now-j.Arrived > s.maxWait(j) || s.shouldShedLate(p, j, round.backlog) {
		s.dequeue(p, j, round)
		s.refuse(j, ReasonDeadline, s.retryAfter(p, j, round.backlog))
		return true
	}
	return false
}

// dequeue removes a request from the queue and from the backlog of the round.
func (s *State) dequeue(p *pool, j *Job, round *placementRound) {
	p.queue.remove(j)
	round.own[p.priorityLevel(j, s.now)]--
}

// startAttempt adds a request to the load of an endpoint and returns the effect that sends it there. A request that can't be sent
// to another endpoint gets no stall timeout (the time after which a silent endpoint is reported), because nothing could be done
// about its silence.
func (s *State) startAttempt(e *endpoint, j *Job) Dispatch {
	running := e.running()
	stall := s.stallTimeout(e, j)
	j.lastEndpoint, j.keptTokens = e, e.kept.tokens(j, s.now)
	e.kept.record(j.promptKeys, s.now)
	e.startAttempt(j)
	s.startRolloutRun(e, j)
	j.assignedEndpoint, j.dispatchedAt, j.firstEventLatency, j.events = e, s.now, 0, 0
	j.attempts++
	if !j.canFailOver() {
		stall = 0
	}
	d := Dispatch{
		StallTimeout:    stall,
		Job:             j.ID,
		EndpointID:      e.record.ID,
		Address:         e.record.Address,
		StartedAtMillis: e.record.StartedAtMillis,
		Attempt:         j.attempts,
		Timeout:         j.Deadline - s.now,
		Running:         running,
		KeptTokens:      j.keptTokens,
		IsHome:          e == e.pool.home(j),
		CrossesZones:    s.crossesZones(e),
		QueueTime:       s.now - j.Arrived,
		DecidedAt:       s.now,
		LimitHolds:      j.limitHolds,
	}
	if j.attempts > 1 {
		d.Resend, d.MaxSendDelay = j.resend, wigeonbudget.MaxSendDelay
	}
	e.dispatchedAt, d.IsBrittle = s.now, e.pool.brittle != nil
	if e.isLimited() {
		s.countLimited(e)
		d.IsLimited, d.RequestsPerSecond = true, e.signals.limit.perSecond
	}
	d.HedgeDelay = s.hedgeDelay(j)
	return d
}

// handleFirstEvent records the first event of an attempt. It updates the endpoint's timings only if the endpoint runs
// no more requests than it has slots, because the time to the event may otherwise include a wait in the endpoint's own
// queue.
func (s *State) handleFirstEvent(ev FirstEventReceived) {
	j := s.jobs[ev.Job]
	if j == nil || !j.selectAttempt(ev.Hedge) || j.firstEventLatency > 0 {
		return
	}
	j.firstEventLatency = max(s.now-j.dispatchedAt, 1)
	s.recordHedgeSample(j, j.firstEventLatency)
	j.answerStarted = true
	s.recordReachable(j.assignedEndpoint.record.ID)
	s.recordResendArrival(j)
	e := j.assignedEndpoint
	e.answerStarted(j)
	s.recordRolloutFirstEvent(j)
	if e.running() <= e.slots() || e.isShared() {
		e.recordFirstEvent(j, j.firstEventLatency)
	}
}
