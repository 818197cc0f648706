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

// successionTimeout bounds the wait for a successor to serve a shard that was handed to it.
const successionTimeout = 3 * time.Second

// moveCheckPeriod is the time between looks at a move that a drain waits for.
const moveCheckPeriod = 20 * time.Millisecond

// handOver is the planned move of one shard to another instance.
type handOver struct {
	shard *shard
	ctx   context.Context //nolint:containedctx // The drain's own context.
	// candidates may take over; the best one that answers does.
	candidates []wigeonshift.Instance
	// onlyIfAnswered gives the move up when no candidate answers.
	onlyIfAnswered bool
	err            error
}

// Drain hands every owned shard to its next candidate and bids for no other. A shard without another candidate is
// served until Stop. Until the successor serves a shard,
// this instance goes on granting, so that no request is refused.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	for _, s := range m.all() {
		s.keeper.SetRank(-1)
	}
	if err := m.awaitMove(ctx); err != nil {
		return err
	}
	var moves []*handOver
	var wg conc.WaitGroup
	for _, s := range m.owned() {
		h := &handOver{shard: s, ctx: ctx, candidates: m.successors(s.id)}
		moves = append(moves, h)
		wg.Go(h.run)
	}
	wg.Wait()
	var errs []error
	for _, h := range moves {
		errs = append(errs, h.err)
	}
	return oops.In("owner").Wrap(oops.Join(errs...))
}

// awaitMove waits for the end of a move to a first candidate and lets no other begin.
func (m *Manager) awaitMove(ctx context.Context) error {
	ticker := time.NewTicker(moveCheckPeriod)
	defer ticker.Stop()
	for !m.moving.CompareAndSwap(false, true) {
		select {
		case <-ctx.Done():
			return oops.In("owner").Wrap(ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

// run moves the shard.
func (h *handOver) run() {
	s := h.shard
	if len(h.candidates) == 0 {
		// Alone: the shard is served until the stop, so that what waits is not refused.
		return
	}
	successor := h.choose()
	if successor.ID == "" && h.onlyIfAnswered {
		return
	}
	epoch, err := s.keeper.Transfer(h.ctx, successor)
	if err != nil {
		s.m.counters.add("ownerHandOversFailed", "", 1)
		h.err = oops.In("owner").With("shard", s.id).Wrap(err)
		return
	}
	s.post(wigeonscheduler.LeaseLapsed{})
	select {
	case <-s.successor:
		// An answer to an earlier move counts no more.
	default:
	}
	s.mu.Lock()
	s.handingOver = epoch
	s.mu.Unlock()
	if successor.ID != "" {
		s.m.send(successor, wigeonshift.OwnerNotice{Shard: s.id, Epoch: epoch, Owner: successor, Release: true})
	}
	s.abdicate(h.await(successor, epoch))
}

// await waits until the successor or another instance serves the shard.
func (h *handOver) await(successor wigeonshift.Instance, epoch uint64) (wigeonshift.Instance, uint64) {
	timer := time.NewTimer(successionTimeout)
	defer timer.Stop()
	select {
	case n := <-h.shard.successor:
		h.shard.m.counters.add("ownerHandOvers", "", 1)
		return n.Owner, n.Epoch
	case <-timer.C:
	case <-h.ctx.Done():
	}
	h.shard.m.counters.add("ownerHandOversUnanswered", "", 1)
	return successor, epoch
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
