package wigeonowner

import (
	"slices"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonlease"
)

const (
	// successorCandidateCount is the number of instances asked whether they can take over a shard.
	successorCandidateCount = 3
	// successorAnswerTimeout limits the wait for their answers.
	successorAnswerTimeout = 500 * time.Millisecond
)

// successorCandidates returns the candidates for a shard except this instance, best first.
func (m *Manager) successorCandidates(id wigeonshift.ShardID) []wigeonshift.Instance {
	candidates := wigeonlease.Candidates(id, m.members.Live(), successorCandidateCount+1)
	return slices.DeleteFunc(candidates, func(i wigeonshift.Instance) bool { return i.ID == m.network.Self().ID })
}

// chooseSuccessor asks all candidates for the shard's owner and returns the best one that names this instance. Such an
// answer shows that the candidate is reachable and can read the lease. It returns the zero instance if none answers in
// time.
func (h *handover) chooseSuccessor() wigeonshift.Instance {
	s := h.shard
	s.discardOwnerConfirmations()
	for _, i := range h.candidates {
		s.manager.send(i, wigeonshift.OwnerAsk{Shard: s.id})
	}
	timer := time.NewTimer(successorAnswerTimeout)
	defer timer.Stop()
	answered := map[string]bool{}
	for len(h.candidates) > 0 && !answered[h.candidates[0].ID] {
		select {
		case id := <-s.ownerConfirmations:
			answered[id] = true
		case <-timer.C:
			return firstAnswered(h.candidates, answered)
		case <-h.ctx.Done():
			return firstAnswered(h.candidates, answered)
		}
	}
	return firstAnswered(h.candidates, answered)
}

// firstAnswered returns the best candidate that has answered, or the zero instance.
func firstAnswered(candidates []wigeonshift.Instance, answered map[string]bool) wigeonshift.Instance {
	for _, i := range candidates {
		if answered[i.ID] {
			return i
		}
	}
	return wigeonshift.Instance{}
}

// discardOwnerConfirmations drops answers to the questions of earlier handovers.
func (s *shard) discardOwnerConfirmations() {
	for {
		select {
		case <-s.ownerConfirmations:
		default:
			return
		}
	}
}

// handleOwnerConfirmation records that an instance knows this one as the shard's owner.
func (s *shard) handleOwnerConfirmation(id string) {
	select {
	case s.ownerConfirmations <- id:
	default:
	}
}
