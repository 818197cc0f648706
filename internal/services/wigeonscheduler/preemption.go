package wigeonscheduler

import (
	"time"

	"wigeonshift"
)

// maxPausedFactor limits the paused jobs of an endpoint to a multiple of its concurrency limit, because each keeps its
// state in the engine's memory.
const maxPausedFactor = 2

// cancelVictimSeconds is the first-token budget below which a victim, a job chosen for preemption, is cancelled if it
// cannot be paused.
const cancelVictimSeconds = 1.0

// If more than backlogSeconds of work is queued at its tier or above, a job may preempt lower tiers on an endpoint with
// up to maxBackloggedLongPrefills long prefills, and no longer waits for a cached prefix.
const (
	backlogSeconds            = 1.0
	maxBackloggedLongPrefills = 2
)

// tryPreempt preempts work of lower tiers for a job and grants it. The victim is the job to pause or cancel. A free
// slot of another shard is used first, and if no lower tier runs here, a shard that runs one. A job that should wait
// for its prefix waits. With force, a victim that cannot be paused is cancelled and long prefills are not kept apart,
// because the job would be shed otherwise. It reports whether the job was granted or passed on.
func (s *Shard) tryPreempt(j *job, busy candidate, force bool) bool {
	if !s.runsLowerTier(j.rank()) {
		return s.spillTo(j, func(o *peerShard) bool { return o.summary.LowestPriorityRunning > j.rank() })
	}
	if s.spillTo(j, func(o *peerShard) bool { return o.summary.FreeSlots > 0 }) {
		return true
	}
	pc := s.placementContextOf(j)
	urgent := force || s.mustStartNow(j)
	mayCancel := urgent || s.firstTokenBudgetSeconds(j) < cancelVictimSeconds
	backlogged := s.expectedWaitSeconds(j) > backlogSeconds
	var best candidate
	var victim *job
	for _, e := range s.sortedEndpoints {
		v := s.victimFor(j, e, mayCancel, force)
		if v == nil {
			continue
		}
		c := s.estimateWithout(j, e, &pc, v.pendingTokens())
		if force && !c.inTime {
			c = s.estimateWithout(j, e, &pc, s.lowerTierPrefillTokens(e, j.rank()))
		}
		if !c.inTime && c.finishSeconds > s.remainingSeconds(j) || !s.canStart(j, c, urgent || backlogged && e.pendingLongPrefills < maxBackloggedLongPrefills) {
			continue
		}
		if victim == nil || s.preferredPreemption(&c, v, &best, victim) {
			best, victim = c, v
		}
	}
	if victim == nil || !mayCancel && !backlogged && s.shouldWaitForPrefix(j, best, busy) {
		return false
	}
	e := best.endpoint
	s.preempt(victim)
	if e.reservedFor != nil {
		s.dropReservation(e.reservedFor)
	}
	if force && !s.estimate(j, e, &pc).inTime {
		s.preemptPrefills(e, j.rank())
	}
	s.grant(j, best)
	return true
}

// blockedByReservation reports whether the endpoint is reserved for a suspect job. Force overrides a reservation whose
// job has no permit yet.
func (e *endpoint) blockedByReservation(force bool) bool {
	return e.reservedFor != nil && (!force || e.reservedFor.endpoint != nil)
}

// victimFor returns the job of an endpoint to preempt for j, nil for none. A job that cannot be paused is returned only
// if mayCancel is set, because a cancelled job loses the tokens computed for it.
func (s *Shard) victimFor(j *job, e *endpoint, mayCancel, force bool) *job {
	if !s.eligible(j, e) || e.blockedByReservation(force) || e.health != healthUp {
		return nil
	}
	v := s.victimOn(e, j.rank())
	if v == nil || !mayCancel && !s.pausable(v) {
		return nil
	}
	return v
}

// estimateWithout predicts a job's times on an endpoint as if some pending prompt tokens of other jobs there were gone.
// tryPreempt passes the tokens of the jobs it would preempt, to see whether the job would then be in time.
func (s *Shard) estimateWithout(j *job, e *endpoint, pc *placementContext, tokens int) candidate {
	e.pendingPrefillTokens -= tokens
	c := s.estimate(j, e, pc)
	e.pendingPrefillTokens += tokens
	return c
}

// pendingTokens is the number of a job's prompt tokens that count as pending at its endpoint.
func (j *job) pendingTokens() int {
	if !j.prefillPending {
		return 0
	}
	return j.uncachedTokens
}

// lowerTierPrefillTokens is the number of pending prompt tokens of preemptible lower-tier jobs on an endpoint.
// tryPreempt uses it to see whether a job would be in time if all of them were preempted.
func (s *Shard) lowerTierPrefillTokens(e *endpoint, rank wigeonshift.TierRank) int {
	tokens := 0
	for _, j := range e.jobs {
		if j.rank() > rank && s.preemptible(j) {
			tokens += j.pendingTokens()
		}
	}
	return tokens
}

// preemptPrefills preempts the lower-tier jobs on an endpoint whose prompts are still being computed. It is used when
// preempting a single victim would still leave the higher-tier job late.
func (s *Shard) preemptPrefills(e *endpoint, rank wigeonshift.TierRank) {
	for _, j := range e.jobs {
		if j.prefillPending && j.rank() > rank && s.preemptible(j) {
			s.preempt(j)
		}
	}
}

// preferredPreemption reports whether one endpoint and its victim are preferred to another pair. Victims that keep
// their prefill go first, then the better placement, then the preferred victim.
func (s *Shard) preferredPreemption(c *candidate, v *job, best *candidate, victim *job) bool {
	if pv, pw := s.pausable(v), s.pausable(victim); pv != pw {
		return pv
	}
	if c.preferredTo(best) != best.preferredTo(c) {
		return c.preferredTo(best)
	}
	return s.preferredVictim(v, victim)
}

// runsLowerTier reports whether a job of a lower tier than rank runs in the shard.
func (s *Shard) runsLowerTier(rank wigeonshift.TierRank) bool {
	for i := len(s.tiers) - 1; i >= 0 && s.tiers[i].rank > rank; i-- {
		if s.tiers[i].running > 0 {
			return true
		}
	}
	return false
}

// victimOn returns the job of an endpoint to preempt first for a rank, nil for none.
func (s *Shard) victimOn(e *endpoint, rank wigeonshift.TierRank) *job {
	var victim *job
	for _, j := range e.jobs {
		if j.rank() <= rank || !s.preemptible(j) {
			continue
		}
		if victim == nil || s.preferredVictim(j, victim) {
			victim = j
		}
	}
	return victim
}

// preemptible reports whether a running job may be paused or cancelled.
func (s *Shard) preemptible(j *job) bool {
	return j.holdsSlot && j.state != jobPausing && j.state != jobCancelling && !j.request.NonIdempotent && (j.started || !s.now.After(j.grantExpiresAt))
}

// pausable reports whether a job can be paused, which keeps its prefill.
func (s *Shard) pausable(j *job) bool {
	e := j.endpoint
	return e.spec.CanPause && j.request.Model != "" && j.state == jobDecoding && !j.pauseFailed && !j.request.NonIdempotent && e.paused < maxPausedFactor*e.concurrencyLimit()
}

// preferredVictim reports whether a is preempted before b: pausable jobs first because they keep their prefill, then
// lower tiers, then the least work lost, then the later deadline.
func (s *Shard) preferredVictim(a, b *job) bool {
	pa, pb := s.pausable(a), s.pausable(b)
	if pa != pb {
		return pa
	}
	if a.rank() != b.rank() {
		return a.rank() > b.rank()
	}
	la, lb := discardedTokens(a), discardedTokens(b)
	if la != lb {
		return la < lb
	}
	return a.deadline.After(b.deadline)
}

// discardedTokens is the number of tokens computed for a job that are lost if it is cancelled.
func discardedTokens(j *job) int {
	if j.state == jobGranted {
		return 0
	}
	return j.uncachedTokens + j.tokensDone
}

// preempt asks a job to release its slot. The job is paused if possible, because that keeps its prefill, and cancelled
// otherwise. Its slot counts as free at once (releasingSlots), so that the next job can be granted it.
func (s *Shard) preempt(j *job) {
	action, reason, state := wigeonshift.RevokeCancel, "cancel", jobCancelling
	if s.pausable(j) {
		action, reason, state = wigeonshift.RevokePause, "pause", jobPausing
	}
	s.endPrefill(j)
	j.state, j.revokedAt = state, s.now
	j.endpoint.releasingSlots++
	s.sendRevocation(j, action)
	s.count("preemptions", reason)
}

// sendRevocation asks a job's entry to pause, cancel or resume the attempt.
func (s *Shard) sendRevocation(j *job, action wigeonshift.RevokeAction) {
	s.sendPermitAnswer(j, wigeonshift.PermitAnswer{Revoke: &wigeonshift.Revocation{
		Request: j.request.ID, Token: j.token, Epoch: s.epoch, Action: action,
	}})
}

// resumeTier resumes paused jobs of a tier. If their endpoint has no free slot, it pauses lower-tier jobs there. On a
// straggler (a slow endpoint) it resumes no job below the highest running tier, so that jobs of that tier may still be
// on time.
func (s *Shard) resumeTier(t *tier) {
	if t.paused == 0 {
		return
	}
	for _, e := range s.sortedEndpoints {
		if e.paused == 0 || e.health == healthDown {
			continue
		}
		if top, ok := e.topRank(); ok && e.health == healthStraggler && top < t.rank {
			continue
		}
		for _, j := range e.jobs {
			if j.state != jobPaused || j.rank() != t.rank {
				continue
			}
			if e.freeSlots() <= 0 {
				v := s.victimOn(e, t.rank)
				if v == nil || !s.pausable(v) {
					break
				}
				s.preempt(v)
			}
			s.resume(j)
		}
	}
}

// resume continues a paused job.
func (s *Shard) resume(j *job) {
	s.unpause(j)
	s.sendRevocation(j, wigeonshift.RevokeResume)
	s.count("resumes", "")
}

// peerShard is the last known state of another shard of the pool.
type peerShard struct {
	summary    wigeonshift.ShardSummary
	receivedAt time.Time
}

// Limits for passing requests to other shards of the pool.
const (
	// summaryLifetime is the age above which the summary of another shard is ignored.
	summaryLifetime = 3 * time.Second
	// summaryPeriod is the time between two published summaries.
	summaryPeriod = time.Second
	// ownerMaxSpills is the number of earlier spills from which an owner no longer passes a request on.
	ownerMaxSpills = 2
)

// handleSummaryReceived stores the state of another shard of the pool, to which requests may be passed on. It ignores a
// summary of an older epoch, because that comes from a previous owner.
func (s *Shard) handleSummaryReceived(b SummaryReceived) {
	sum := b.Summary
	if sum.Shard == s.id {
		return
	}
	for i := range s.peers {
		if s.peers[i].summary.Shard == sum.Shard {
			if sum.Epoch >= s.peers[i].summary.Epoch {
				s.peers[i] = peerShard{summary: sum, receivedAt: s.now}
			}
			return
		}
	}
	s.peers = append(s.peers, peerShard{summary: sum, receivedAt: s.now})
	s.unblockLanes()
}

// spill passes a request to another shard that has a free slot or could preempt for it.
func (s *Shard) spill(j *job) bool {
	return s.spillTo(j, func(o *peerShard) bool {
		return o.summary.FreeSlots > 0 || o.summary.LowestPriorityRunning > j.rank()
	})
}

// spillTo passes a request to the first shard with a recent summary that fits, and reports whether there is one. It
// deducts the request from the stored summary, or ignores a summary without free slots until the next one, so that one
// summary does not attract too many requests.
func (s *Shard) spillTo(j *job, fits func(*peerShard) bool) bool {
	if j.request.SpillCount >= ownerMaxSpills {
		return false
	}
	for i := range s.peers {
		o := &s.peers[i]
		if s.now.Sub(o.receivedAt) > summaryLifetime || !fits(o) {
			continue
		}
		if o.summary.FreeSlots > 0 {
			o.summary.FreeSlots--
		} else {
			o.receivedAt = time.Time{}
		}
		id := o.summary.Shard
		s.sendPermitAnswer(j, wigeonshift.PermitAnswer{Spill: &id})
		s.count("spills", "")
		s.closed.add(&j.request)
		if j.flow != nil {
			s.closeJob(j)
		}
		return true
	}
	return false
}

// publishSummary tells the other shards the free slots and the lowest tiers of this one, once in summaryPeriod, so that
// they can pass requests on to it. A shard without an owner epoch and without peers publishes nothing.
func (s *Shard) publishSummary() {
	if len(s.peers) == 0 && s.epoch == 0 || s.now.Sub(s.lastSummaryAt) < summaryPeriod {
		return
	}
	s.lastSummaryAt = s.now
	sum := wigeonshift.ShardSummary{Shard: s.id, Epoch: s.epoch, LowestPriorityRunning: -1, LowestPriorityQueued: -1}
	for _, t := range s.tiers {
		if t.running > 0 {
			sum.LowestPriorityRunning = t.rank
		}
		if t.queued > 0 {
			sum.LowestPriorityQueued = t.rank
		}
	}
	for _, e := range s.sortedEndpoints {
		if e.acceptsWork() && e.health == healthUp {
			sum.FreeSlots += max(0, e.freeSlots())
		}
	}
	s.emit(PublishSummary{Summary: sum})
}
