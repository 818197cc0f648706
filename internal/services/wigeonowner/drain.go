package wigeonowner

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonscheduler"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc"
)

// takeoverTimeout limits the wait until a successor serves a shard that was handed over to it.
const takeoverTimeout = 3 * time.Second

// moveCheckPeriod is the interval at which a drain checks whether a running rebalance has ended.
const moveCheckPeriod = 20 * time.Millisecond

// handover is the planned move of one shard to another instance.
type handover struct {
	shard *shard
	ctx   context.Context //nolint:containedctx // The context of the drain or of the manager.
	// candidates are the possible successors, best first. The shard goes to the best one that answers.
	candidates []wigeonshift.Instance
	// requireAnswer cancels the handover if no candidate answers. Without it, the lease is then released.
	requireAnswer bool
	err           error
}

// Drain hands every owned shard over to its next candidate and stops this instance from acquiring others. This instance
// continues to grant permits for a shard until the successor serves it, so that no request is refused. A shard without
// another candidate is served until Stop.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	for _, s := range m.allShards() {
		s.elector.SetRank(-1)
	}
	if err := m.stopRebalancing(ctx); err != nil {
		return err
	}
	var handovers []*handover
	var wg conc.WaitGroup
	for _, s := range m.ownedShards() {
		h := &handover{shard: s, ctx: ctx, candidates: m.successorCandidates(s.id)}
		handovers = append(handovers, h)
		wg.Go(h.run)
	}
	wg.Wait()
	var errs []error
	for _, h := range handovers {
		errs = append(errs, h.err)
	}
	return oops.In("owner").Wrap(oops.Join(errs...))
}

// stopRebalancing waits for a running rebalance to end and prevents further ones.
func (m *Manager) stopRebalancing(ctx context.Context) error {
	ticker := time.NewTicker(moveCheckPeriod)
	defer ticker.Stop()
	for !m.moveInProgress.CompareAndSwap(false, true) {
		select {
		case <-ctx.Done():
			return oops.In("owner").Wrap(ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

func (h *handover) run() {
	s := h.shard
	if len(h.candidates) == 0 {
		// Without another candidate this instance serves the shard until Stop, so that queued requests are not refused.
		return
	}
	successor := h.chooseSuccessor()
	if successor.ID == "" && h.requireAnswer {
		return
	}
	epoch, err := s.elector.Transfer(h.ctx, successor)
	if err != nil {
		s.manager.counters.add("ownerHandOversFailed", "", 1)
		h.err = oops.In("owner").With("shard", s.id).Wrap(err)
		return
	}
	s.post(wigeonscheduler.LeaseExpired{})
	select {
	case <-s.successorNotices:
		// Discard a notice that belongs to an earlier handover.
	default:
	}
	s.mu.Lock()
	s.handoverEpoch = epoch
	s.mu.Unlock()
	if successor.ID != "" {
		s.manager.send(successor, wigeonshift.OwnerNotice{Shard: s.id, Epoch: epoch, Owner: successor, Release: true})
	}
	s.stopServing(h.waitForSuccessor(successor, epoch))
}

// waitForSuccessor waits until the successor or another instance serves the shard and returns that owner and its epoch.
// After a timeout it returns the planned successor.
func (h *handover) waitForSuccessor(successor wigeonshift.Instance, epoch uint64) (wigeonshift.Instance, uint64) {
	timer := time.NewTimer(takeoverTimeout)
	defer timer.Stop()
	select {
	case n := <-h.shard.successorNotices:
		h.shard.manager.counters.add("ownerHandOvers", "", 1)
		return n.Owner, n.Epoch
	case <-timer.C:
	case <-h.ctx.Done():
	}
	h.shard.manager.counters.add("ownerHandOversUnanswered", "", 1)
	return successor, epoch
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
