package wigeonowner

import (
	"slices"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonlease"
)

const (
	// successorCandidates is the number of instances asked whether they can take a shard over.
	successorCandidates = 3
	// successorTimeout bounds the wait for their answers.
	successorTimeout = 500 * time.Millisecond
)

// successors returns the candidates for a shard except this instance, best first.
func (m *Manager) successors(id wigeonshift.ShardID) []wigeonshift.Instance {
	candidates := wigeonlease.Candidates(id, m.members.Live(), successorCandidates+1)
	return slices.DeleteFunc(candidates, func(i wigeonshift.Instance) bool { return i.ID == m.network.Self().ID })
}

// choose asks the candidates for the shard's owner and returns the best one that names this instance: it can be
// reached, and it reads the lease. The zero instance means that none did in time.
func (h *handOver) choose() wigeonshift.Instance {
	s := h.shard
	s.forgetWitnesses()
	for _, i := range h.candidates {
		s.m.send(i, wigeonshift.OwnerAsk{Shard: s.id})
	}
	timer := time.NewTimer(successorTimeout)
	defer timer.Stop()
	answered := map[string]bool{}
	for len(h.candidates) > 0 && !answered[h.candidates[0].ID] {
		select {
		case id := <-s.witnesses:
			answered[id] = true
		case <-timer.C:
			return firstOf(h.candidates, answered)
		case <-h.ctx.Done():
			return firstOf(h.candidates, answered)
		}
	}
	return firstOf(h.candidates, answered)
}

// firstOf returns the first candidate that answered.
func firstOf(candidates []wigeonshift.Instance, answered map[string]bool) wigeonshift.Instance {
	for _, i := range candidates {
		if answered[i.ID] {
			return i
		}
	}
	return wigeonshift.Instance{}
}

// forgetWitnesses drops answers to earlier questions.
func (s *shard) forgetWitnesses() {
	for {
		select {
		case <-s.witnesses:
		default:
			return
		}
	}
}

// witnessed notes that an instance names this one as the shard's owner.
func (s *shard) witnessed(id string) {
	select {
	case s.witnesses <- id:
	default:
	}
}
