package wigeondispatch

import (
	"time"
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
	p.recordCost(j)
	if len(p.endpoints) == 0 {
		s.refuse(j, ReasonNoEndpoint, noEndpointRetryAfter)
		return
	}
	if wait, refused := s.backoffRefusal(p, j); refused {
		s.refuse(j, ReasonBackoff, wait)
		return
	}
	if b := s.backlog(p); s.expectedWait(p, j, b) > s.maxWait(j) {
		s.refuse(j, ReasonOverload, s.retryAfter(p, j, b))
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

// expectedWait returns the expected time until a slot is free for a request, given the requests of the same or a
// higher priority that are queued here and at the other instances of the group. A request with too long a wait is
// refused instead of queued.
func (s *State) expectedWait(p *pool, j *Job, b backlog) time.Duration {
	level := p.priorityLevel(j, s.now)
	ahead := b.own.countUpTo(level) + b.peers.countUpTo(level) - s.freeSlots(p)
	if ahead <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / max(s.throughput(p), 1) * float64(time.Second))
}

// shouldShedLate reports whether a request will miss its latency objective and has so many others queued before it
// that its caller should rather retry later. A late request loses priority and would be queued behind most others,
// while the caller's retry gets a higher priority than a late request. A request that may still meet its objective
// isn't shed for this reason. A caller's retry is always late and may be the caller's last, so it is shed only if the
// wait is long: in a short burst it is served.
func (s *State) shouldShedLate(p *pool, j *Job, b backlog) bool {
	if j.LatencyObjective <= 0 || s.now <= j.latestStart(p.typicalFirstEvent(j)) {
		return false
	}
	limit := maxLateWait
	if j.isCallerRetry() {
		limit = max(limit, time.Duration(callerRetryWaitShare*float64(s.maxWait(j))))
	}
	return s.expectedWait(p, j, b) > limit
}

// maxWait returns how long a request may be queued: a share of the time until its deadline or, if shorter, of the time
// after which its caller disconnects.
func (s *State) maxWait(j *Job) time.Duration {
	return time.Duration(maxWaitShare * float64(min(j.CallerPatience, j.Deadline-j.Arrived)))
}

// refuse answers a request that did not run and refunds its quota. It reports the queue, the free slots and the quota
// with the refusal.
func (s *State) refuse(j *Job, reason Reason, wait time.Duration) {
	s.refund(j)
	s.forget(j)
	p := s.pool(j.Service)
	refuse := Refuse{
		Job: j.ID, Reason: reason, RetryAfter: wait, Waiting: len(p.queue.jobs), FreeSlots: s.freeSlots(p),
		Crashes: s.crashesOf(j, reason), Resend: j.refusedResend(), LimitHolds: j.limitHolds, Limited: p.limited(),
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
