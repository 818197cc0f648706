package wigeonowner

import (
	"math/rand/v2"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonlease"
)

// A shard moves back to its first candidate once that one has been first for balanceAfter, spread by balanceSpread, so
// that new instances get their share of the shards, and a wave of restarts does not move them all at once.
const (
	balanceAfter  = 10 * time.Second
	balanceSpread = 5 * time.Second
)

// balance hands one shard that is owned here to its first candidate, if that is another instance for long enough.
func (m *Manager) balance() {
	if m.isDraining() || !m.moving.CompareAndSwap(false, true) {
		return
	}
	live := m.members.Live()
	for _, s := range m.owned() {
		first := wigeonlease.Candidates(s.id, live, 1)
		if len(first) == 0 || !s.dueTo(first[0]) {
			continue
		}
		move := &rebalance{handOver{shard: s, ctx: m.ctx, candidates: first, onlyIfAnswered: true}}
		m.wg.Go(move.run)
		return
	}
	m.moving.Store(false)
}

// rebalance is a hand-over without a drain.
type rebalance struct {
	handOver
}

func (r *rebalance) run() {
	defer r.shard.m.moving.Store(false)
	r.handOver.run()
	r.shard.postponeMove()
	if r.err != nil {
		r.shard.m.log.WithError(r.err).WithField("shard", r.shard.id).Warn("Shard can't be moved to its first candidate")
	}
}

// postponeMove starts the wait for the next move anew.
func (s *shard) postponeMove() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.firstID = ""
}

// dueTo tells whether the shard is to move to its first candidate now.
func (s *shard) dueTo(first wigeonshift.Instance) bool {
	_, held := s.keeper.Held()
	s.mu.Lock()
	defer s.mu.Unlock()
	if first.ID == s.m.network.Self().ID || s.handingOver != 0 {
		s.firstID = ""
		return false
	}
	if s.firstID != first.ID {
		s.firstID = first.ID
		s.moveAt = time.Now().Add(balanceAfter + rand.N(balanceSpread))
	}
	return held && !time.Now().Before(s.moveAt)
}
