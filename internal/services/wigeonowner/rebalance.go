package wigeonowner

import (
	"math/rand/v2"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonlease"
)

// A shard moves to its first candidate after that instance has been the first candidate for rebalanceDelay plus a
// random part of rebalanceJitter. New instances thus get their share of the shards, and a wave of restarts doesn't move
// all shards at once.
const (
	rebalanceDelay  = 10 * time.Second
	rebalanceJitter = 5 * time.Second
)

// startRebalance starts the move of at most one owned shard whose first candidate has been another instance for long
// enough. Only one such move runs at a time.
func (m *Manager) startRebalance() {
	if m.isDraining() || !m.moveInProgress.CompareAndSwap(false, true) {
		return
	}
	live := m.members.Live()
	for _, s := range m.ownedShards() {
		first := wigeonlease.Candidates(s.id, live, 1)
		if len(first) == 0 || !s.shouldMoveTo(first[0]) {
			continue
		}
		r := &rebalance{handover{shard: s, ctx: m.ctx, candidates: first, requireAnswer: true}}
		m.wg.Go(r.run)
		return
	}
	m.moveInProgress.Store(false)
}

// rebalance is a handover to the first candidate outside a drain.
type rebalance struct {
	handover
}

func (r *rebalance) run() {
	defer r.shard.manager.moveInProgress.Store(false)
	r.handover.run()
	r.shard.resetMoveTimer()
	if r.err != nil {
		r.shard.manager.log.WithError(r.err).WithField("shard", r.shard.id).Warn("Failed to move shard to first candidate")
	}
}

// resetMoveTimer restarts the delay before the next move of the shard.
func (s *shard) resetMoveTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstCandidateID = ""
}

// shouldMoveTo reports whether the shard should move to the given first candidate now. It restarts the delay when the
// first candidate changes. The shard moves only while this instance holds the lease.
func (s *shard) shouldMoveTo(first wigeonshift.Instance) bool {
	_, held := s.elector.Held()
	s.mu.Lock()
	defer s.mu.Unlock()
	if first.ID == s.manager.network.Self().ID || s.handoverEpoch != 0 {
		s.firstCandidateID = ""
		return false
	}
	if s.firstCandidateID != first.ID {
		s.firstCandidateID = first.ID
		s.moveAt = time.Now().Add(rebalanceDelay + rand.N(rebalanceJitter))
	}
	return held && !time.Now().Before(s.moveAt)
}
