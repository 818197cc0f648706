package wigeondispatch

import (
	"time"

	"wigeonshift/internal/services/wigeonforecast"
)

// handleArrival dispatches, queues or refuses a new request. It refuses at once if the quota is used up, if there is
// no endpoint, or if the expected wait is longer than the request may be queued, because the request would only be
// refused later.
func (s *State) handleArrival(j *Job) {
	s.jobs[j.ID] = j
	if s.endsAt > 0 {
		j.Deadline = min(j.Deadline, s.endsAt)
	}
	j.promptKeys = newPromptKeys(j)
	j.identifiers = newIdentifiers(j)
	if s.mustRefuse(j) {
		s.refuseQuarantined(j)
		return
	}
	if s.passOnIfCutOff(j) {
		return
	}
	s.countRequest(j)
	if !s.chargeQuota(j) {
		return
	}
	p := s.pool(j.Service)
	s.takeReservation(p, j)
	p.recordCost(j)
	p.recordLevelWork(j, s.now)
	if len(p.endpoints) == 0 {
		s.refuse(j, ReasonNoEndpoint, noEndpointRetryAfter)
		return
	}
	if wait, refused := s.backoffRefusal(p, j); refused {
		s.refuse(j, ReasonBackoff, wait)
		return
	}
	if b := s.backlog(p); !s.startsInTime(j, s.forecastStart(p, j, b).Wait) {
		s.refuseUntil(j, ReasonOverload, s.returnTime(p, j, b))
		if p.limited() > 0 {
			// A limit allows the next request at a time at which no other event may come.
			s.dispatchWaiting(p, nil)
		}
		return
	}
	p.queue.add(j)
	s.dispatchWaiting(p, nil)
}

// chargeQuota charges a request to its organisation's quota. If the quota doesn't allow it, chargeQuota refuses the
// request and returns false. The charge is remembered, so that it can be refunded if the request doesn't run. Requests
// of an organisation without a quota are always allowed. While the instances aren't known, no part of a quota is sure to add up
// with theirs.
func (s *State) chargeQuota(j *Job) bool {
	q := s.quotas[j.Organisation]
	if q == nil {
		return true
	}
	if s.settings.AwaitsList && !s.listIsComplete && q.Limited() {
		s.refuse(j, ReasonQuota, listRetryAfter)
		return false
	}
	if !q.TryConsume(j.Units, s.now) {
		s.refuse(j, ReasonQuota, q.WaitFor(j.Units, s.now))
		return false
	}
	j.quotaCharged = true
	return true
}

// backlog counts the requests that are queued for a service, at this instance and at the other instances of the group.
type backlog struct{ own, peers waitingCounts }

// backlog returns the current backlog of a service.
func (s *State) backlog(p *pool) backlog {
	return backlog{own: p.waitingCounts(s.now), peers: s.peerWaiting(p.name)}
}

// startsInTime reports whether a request that starts after a wait is worth serving: its first event comes before its caller
// disconnects, and its answer ends before its deadline.
func (s *State) startsInTime(j *Job, wait time.Duration) bool {
	return s.now+wait <= s.pool(j.Service).latestUsefulStart(j)
}

// mustRecheck reports whether it must be forecast again when the queued requests of a service start.
func (s *State) mustRecheck(p *pool) bool {
	if s.now < p.capacity.recheckedAt+wigeonforecast.Step {
		return false
	}
	p.capacity.recheckedAt = s.now
	return true
}

// sureWait returns the wait of a queued request that the forecast is sure of. A request that was queued isn't refused for a forecast that
// is only a little worse than the one before.
func (s *State) sureWait(p *pool, j *Job, b backlog) time.Duration {
	return time.Duration(sureWaitShare * float64(s.forecastStart(p, j, b).Wait))
}

// latestUsefulStart returns the latest time at which a request can start and be worth serving, on an endpoint with the mean
// timings. A request that is too large for these may start within minWaitShare of the time that it has.
func (p *pool) latestUsefulStart(j *Job) time.Duration {
	first := p.typicalFirstEvent(j)
	decode := time.Duration(0)
	if j.HasTokens {
		decode = p.typicalTimings().decodeStep * time.Duration(j.ExpectedAnswerTokens)
	}
	latest := min(j.CallerPatience-first, j.Deadline-j.Arrived-first-decode)
	atLeast := time.Duration(minWaitShare * float64(min(j.CallerPatience, j.Deadline-j.Arrived)))
	return j.Arrived + max(latest, atLeast)
}

// maxWait returns how long a request may be queued.
func (s *State) maxWait(j *Job) time.Duration {
	return s.pool(j.Service).latestUsefulStart(j) - j.Arrived
}

// withdrawWaiting removes a queued request whose caller has disconnected or whose deadline has passed. It ignores running
// requests, because the end of their attempt is reported by an AttemptEnded event.
func (s *State) withdrawWaiting(id JobID) {
	j := s.jobs[id]
	if j == nil || j.assignedEndpoint != nil {
		return
	}
	s.endPassing(j)
	p := s.pool(j.Service)
	if p.queue.remove(j) {
		s.refund(j)
	}
	s.forget(j)
}

// refuse answers a request that did not run and refunds its quota. It reports the queue, the free slots and the quota
// with the refusal.
func (s *State) refuse(j *Job, reason Reason, wait time.Duration) {
	s.refuseUntil(j, reason, returnTime{wait: wait})
}

// refuseUntil does the same with a return time.
func (s *State) refuseUntil(j *Job, reason Reason, back returnTime) {
	s.refund(j)
	s.forget(j)
	p := s.pool(j.Service)
	refuse := Refuse{
		Job: j.ID, Reason: reason, RetryAfter: back.wait, Waiting: len(p.queue.jobs), FreeSlots: s.freeSlots(p),
		Reserved: back.isReserved, Reservations: back.before, Crashes: s.crashesOf(j, reason), Resend: j.refusedResend(), LimitHolds: j.limitHolds, Limited: p.limited(),
	}
	if reason == ReasonQuarantined {
		refuse.Cause = s.causeAgainst(j)
	}
	if q := s.quotas[j.Organisation]; q != nil {
		left := q.Status(s.now)
		refuse.QuotaLeft, refuse.QuotaShare = left.Balance, left.Shares.Share
		refuse.QuotaGroupLeft, refuse.QuotaGroupFairShare = left.GroupBalance, left.Shares.GroupFairShare
		refuse.QuotaRoundLeft, refuse.QuotaRoundAge = left.RoundAllowance, left.RoundAge
		refuse.QuotaWindowUsed = left.WindowUsed
	}
	s.emit(refuse)
}

// refund returns the charged units of a request to its organisation's quota, because a request that did not run
// doesn't count. It does so only once.
func (s *State) refund(j *Job) {
	if q := s.quotas[j.Organisation]; q != nil && j.quotaCharged {
		q.Refund(j.Units, s.now)
		j.quotaCharged = false
	}
}

// fail answers a request that ran or may have run.
func (s *State) fail(j *Job, reason Reason) {
	s.forget(j)
	s.emit(Failure{Job: j.ID, Reason: reason, Resend: j.refusedResend()})
}
