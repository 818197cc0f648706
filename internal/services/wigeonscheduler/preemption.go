package wigeonscheduler

import (
	"time"

	"wigeonshift"
)

// maxPausedShare bounds the paused jobs of an endpoint against its limit; each keeps its state in the engine's memory.
const maxPausedShare = 2

// pressingSeconds is the time left for a first token below which a victim that cannot pause is cancelled.
const pressingSeconds = 1.0

// With more than backlogSeconds of work queued at its tier a job takes the place of lower tiers without regard to long
// prompts before it, up to maxShortLong of them, or to its prefix.
const (
	backlogSeconds = 1.0
	maxShortLong   = 2
)

// makeRoom lets work of lower tiers give way to a job and grants it. Another shard with a free slot goes first, and a
// wait for the endpoint that holds the prefix where it is worth while. With force a victim that cannot pause is
// cancelled and long prompts are not kept apart: the job would be shed otherwise.
func (s *Shard) makeRoom(j *job, waiting candidate, force bool) bool {
	if !s.lowerRuns(j.rank()) {
		return s.spillTo(j, func(o *peerShard) bool { return o.summary.LowestRunning > j.rank() })
	}
	if s.spillTo(j, func(o *peerShard) bool { return o.summary.FreeSlots > 0 }) {
		return true
	}
	o := s.outlookOf(j)
	urgent := force || s.urgent(j)
	pressing := urgent || s.firstTokenBudget(j) < pressingSeconds
	short := s.expectedWait(j) > backlogSeconds
	var best candidate
	var victim *job
	for _, e := range s.ordered {
		v := s.victimFor(j, e, pressing, force)
		if v == nil {
			continue
		}
		c := s.estimateWithout(j, e, &o, v.pendingTokens())
		if force && !c.inTime {
			c = s.estimateWithout(j, e, &o, s.lowerPrefill(e, j.rank()))
		}
		if !c.inTime && c.finish > s.remaining(j) || !s.admits(j, c, urgent || short && e.pendingLong < maxShortLong) {
			continue
		}
		if victim == nil || s.roomBefore(&c, v, &best, victim) {
			best, victim = c, v
		}
	}
	if victim == nil || !pressing && !short && s.worthWaiting(j, best, waiting) {
		return false
	}
	e := best.endpoint
	s.preempt(victim)
	if e.reserved != nil {
		s.dropReservation(e.reserved)
	}
	if force && !s.estimate(j, e, &o).inTime {
		s.preemptPrefills(e, j.rank())
	}
	s.grant(j, best)
	return true
}

// kept reports whether the endpoint is kept for a suspect request; one that only waits for it gives way to force.
func (e *endpoint) kept(force bool) bool {
	return e.reserved != nil && (!force || e.reserved.endpoint != nil)
}

// victimFor returns the job of an endpoint that would give way to another, nil for none; one that cannot pause only
// when the other is pressing.
func (s *Shard) victimFor(j *job, e *endpoint, pressing, force bool) *job {
	if !s.mayTake(j, e) || e.kept(force) || e.health != healthUp {
		return nil
	}
	v := s.victimOn(e, j.rank())
	if v == nil || !pressing && !s.pausable(v) {
		return nil
	}
	return v
}

// estimateWithout predicts how a job would fare on an endpoint once a number of prompt tokens has left it.
func (s *Shard) estimateWithout(j *job, e *endpoint, o *outlook, tokens int) candidate {
	e.pendingPrefill -= tokens
	c := s.estimate(j, e, o)
	e.pendingPrefill += tokens
	return c
}

// pendingTokens is the number of prompt tokens that the endpoint still computes for a job.
func (j *job) pendingTokens() int {
	if !j.prefill {
		return 0
	}
	return j.uncached
}

// lowerPrefill is the number of prompt tokens of lower tiers that an endpoint would not compute if they gave way.
func (s *Shard) lowerPrefill(e *endpoint, rank wigeonshift.TierRank) int {
	tokens := 0
	for _, j := range e.jobs {
		if j.rank() > rank && s.mayGiveWay(j) {
			tokens += j.pendingTokens()
		}
	}
	return tokens
}

// preemptPrefills lets the prompts of lower tiers at an endpoint give way.
func (s *Shard) preemptPrefills(e *endpoint, rank wigeonshift.TierRank) {
	for _, j := range e.jobs {
		if j.prefill && j.rank() > rank && s.mayGiveWay(j) {
			s.preempt(j)
		}
	}
}

// roomBefore reports whether one endpoint and its victim are preferred to another pair: a victim that keeps its prefill
// first, then the better placement, then the victim that gives way first.
func (s *Shard) roomBefore(c *candidate, v *job, best *candidate, victim *job) bool {
	if pv, pw := s.pausable(v), s.pausable(victim); pv != pw {
		return pv
	}
	if c.before(best) != best.before(c) {
		return c.before(best)
	}
	return s.gives(v, victim)
}

// lowerRuns reports whether anything of a lower tier than a rank runs in the shard.
func (s *Shard) lowerRuns(rank wigeonshift.TierRank) bool {
	for i := len(s.tiers) - 1; i >= 0 && s.tiers[i].rank > rank; i-- {
		if s.tiers[i].running > 0 {
			return true
		}
	}
	return false
}

// victimOn returns the job of an endpoint that gives way first to a rank, nil when none may.
func (s *Shard) victimOn(e *endpoint, rank wigeonshift.TierRank) *job {
	var victim *job
	for _, j := range e.jobs {
		if j.rank() <= rank || !s.mayGiveWay(j) {
			continue
		}
		if victim == nil || s.gives(j, victim) {
			victim = j
		}
	}
	return victim
}

// mayGiveWay reports whether a running job may be paused or cancelled.
func (s *Shard) mayGiveWay(j *job) bool {
	return j.slot && j.state != jobPausing && j.state != jobCancelling && !j.request.NonIdempotent && (j.started || !s.now.After(j.voidAt))
}

// pausable reports whether a job can stop without losing its prefill.
func (s *Shard) pausable(j *job) bool {
	e := j.endpoint
	return e.spec.CanPause && j.request.Model != "" && j.state == jobDecoding && !j.unpausable && !j.request.NonIdempotent && e.paused < maxPausedShare*e.limit()
}

// gives reports whether a gives way before b: pausable before not, lower tiers first, then the least work to lose.
func (s *Shard) gives(a, b *job) bool {
	pa, pb := s.pausable(a), s.pausable(b)
	if pa != pb {
		return pa
	}
	if a.rank() != b.rank() {
		return a.rank() > b.rank()
	}
	la, lb := loss(a), loss(b)
	if la != lb {
		return la < lb
	}
	return a.deadline.After(b.deadline)
}

// loss is the number of tokens computed for a job that a cancel throws away.
func loss(j *job) int {
	if j.state == jobGranted {
		return 0
	}
	return j.uncached + j.tokensDone
}

// preempt asks a job to give up its slot.
func (s *Shard) preempt(j *job) {
	action, reason, state := wigeonshift.RevokeCancel, "cancel", jobCancelling
	if s.pausable(j) {
		action, reason, state = wigeonshift.RevokePause, "pause", jobPausing
	}
	s.endPrefill(j)
	j.state, j.revoked = state, s.now
	j.endpoint.yielding++
	s.sendRevocation(j, action)
	s.count("preemptions", reason)
}

// sendRevocation tells a job's entry to change the attempt's fate.
func (s *Shard) sendRevocation(j *job, action wigeonshift.RevokeAction) {
	s.answer(j, wigeonshift.PermitAnswer{Revoke: &wigeonshift.Revocation{
		Request: j.request.ID, Token: j.token, Epoch: s.epoch, Action: action,
	}})
}

// resumeTier continues paused jobs of a tier; lower tiers give way to them on their endpoint.
func (s *Shard) resumeTier(t *tier) {
	if t.paused == 0 {
		return
	}
	for _, e := range s.ordered {
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
			if e.free() <= 0 {
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

// resume continues a paused job where it stopped.
func (s *Shard) resume(j *job) {
	s.unpause(j)
	s.sendRevocation(j, wigeonshift.RevokeResume)
	s.count("resumes", "")
}

// peerShard is what is known of another shard of the pool.
type peerShard struct {
	summary wigeonshift.ShardSummary
	at      time.Time
}

// Bounds on passing requests to other shards of the pool.
const (
	summaryLifetime = 3 * time.Second
	summaryPeriod   = time.Second
	maxSpills       = 2
)

// summaryReceived keeps another shard's state.
func (s *Shard) summaryReceived(b SummaryReceived) {
	sum := b.Summary
	if sum.Shard == s.id {
		return
	}
	for i := range s.peers {
		if s.peers[i].summary.Shard == sum.Shard {
			if sum.Epoch >= s.peers[i].summary.Epoch {
				s.peers[i] = peerShard{summary: sum, at: s.now}
			}
			return
		}
	}
	s.peers = append(s.peers, peerShard{summary: sum, at: s.now})
	s.unblock()
}

// spill passes a refused request on to a shard that could take it.
func (s *Shard) spill(j *job) bool {
	return s.spillTo(j, func(o *peerShard) bool {
		return o.summary.FreeSlots > 0 || o.summary.LowestRunning > j.rank()
	})
}

// spillTo passes a request on to the first fresh shard that fits.
func (s *Shard) spillTo(j *job, fits func(*peerShard) bool) bool {
	if j.request.Spills >= maxSpills {
		return false
	}
	for i := range s.peers {
		o := &s.peers[i]
		if s.now.Sub(o.at) > summaryLifetime || !fits(o) {
			continue
		}
		if o.summary.FreeSlots > 0 {
			o.summary.FreeSlots--
		} else {
			o.at = time.Time{}
		}
		id := o.summary.Shard
		s.answer(j, wigeonshift.PermitAnswer{Spill: &id})
		s.count("spills", "")
		s.closed.add(&j.request)
		if j.flow != nil {
			s.closeJob(j)
		}
		return true
	}
	return false
}

// summarise tells the other shards what could give way here.
func (s *Shard) summarise() {
	if len(s.peers) == 0 && s.epoch == 0 || s.now.Sub(s.summaryAt) < summaryPeriod {
		return
	}
	s.summaryAt = s.now
	sum := wigeonshift.ShardSummary{Shard: s.id, Epoch: s.epoch, LowestRunning: -1, LowestQueued: -1}
	for _, t := range s.tiers {
		if t.running > 0 {
			sum.LowestRunning = t.rank
		}
		if t.queued > 0 {
			sum.LowestQueued = t.rank
		}
	}
	for _, e := range s.ordered {
		if e.open() && e.health == healthUp {
			sum.FreeSlots += max(0, e.free())
		}
	}
	s.emit(PublishSummary{Summary: sum})
}
