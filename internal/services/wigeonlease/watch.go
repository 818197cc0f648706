package wigeonlease

import (
	"context"
	"math/rand/v2"
	"time"
)

// watch reads the row and acquires the lease if it is free, expired or assigned to this instance.
func (e *Elector) watch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := e.store.Read(ctx, e.shard)
	if err != nil {
		e.handleCallError("read", err)
		return
	}
	e.mu.Lock()
	e.recordRow(row)
	due := e.shouldAcquire()
	e.mu.Unlock()
	if due {
		e.acquire(ctx, row)
	}
}

// recordRow stores a row that was read or written and schedules the next step. The caller holds mu.
func (e *Elector) recordRow(row Row) {
	now := time.Now()
	if !e.rowKnown || row.revision != e.row.revision || e.revisionSeenAt.IsZero() {
		e.revisionSeenAt = now
	}
	e.row, e.rowKnown = row, true
	e.nextStepAt = now.Add(e.watchPeriod())
	if takeover := e.takeoverTime(); e.rank >= 0 && takeover.After(now) && takeover.Before(e.nextStepAt) {
		e.nextStepAt = takeover
	}
}

// watchPeriod returns the interval between reads for this instance's rank, shortened by up to a tenth as jitter.
func (e *Elector) watchPeriod() time.Duration {
	period := WatchPeriod * time.Duration(max(1, e.rank))
	return period - period/10 + rand.N(period/10+1)
}

// takeoverTime returns the time from which this instance may acquire the lease. It grows with the rank, also for a row
// without a holder, so that better-ranked candidates go first.
func (e *Elector) takeoverTime() time.Time {
	if e.row.Holder.ID == "" {
		return e.revisionSeenAt.Add(time.Duration(max(0, e.rank)) * rankDelay)
	}
	return e.revisionSeenAt.Add(Duration + time.Duration(max(0, e.rank-1))*rankDelay)
}

// shouldAcquire reports whether this instance should try to acquire the lease now. The caller holds mu.
func (e *Elector) shouldAcquire() bool {
	switch {
	case e.rank < 0 && e.row.Holder.ID != e.self.ID:
		return false
	case e.row.Holder.ID == e.self.ID:
		return true
	default:
		return !time.Now().Before(e.takeoverTime())
	}
}

// acquire tries to acquire the lease under the next epoch. It does so even if the row already names this instance
// (after a handover, an acquisition whose answer was lost, or a restart under the same id), because two owners must
// never share an epoch.
func (e *Elector) acquire(ctx context.Context, row Row) {
	sentAt := time.Now()
	acquired, err := e.store.Acquire(ctx, e.shard, row, e.self)
	if err != nil {
		e.handleCallError("acquire", err)
		return
	}
	e.markHeld(acquired, sentAt)
}
