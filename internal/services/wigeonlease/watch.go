package wigeonlease

import (
	"context"
	"math/rand/v2"
	"time"
)

// watch reads the row and bids for the lease when nobody holds it.
func (k *Keeper) watch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := k.store.Read(ctx, k.shard)
	if err != nil {
		k.failed("read", err)
		return
	}
	k.mu.Lock()
	k.see(row)
	bid := k.bids()
	k.mu.Unlock()
	if !bid {
		return
	}
	if row.Holder.ID == k.self.ID {
		k.claimOwn(ctx, row)
		return
	}
	k.acquire(ctx, row)
}

// see notes a row that was read or written; the caller holds the lock.
func (k *Keeper) see(row Row) {
	now := time.Now()
	if !k.known || row.revision != k.row.revision || k.seenAt.IsZero() {
		k.seenAt = now
	}
	k.row, k.known = row, true
	k.nextAt = now.Add(k.watchPeriod())
	if k.rank >= 0 && row.Holder.ID != "" {
		if end := k.expiry(); end.After(now) && end.Before(k.nextAt) {
			k.nextAt = end
		}
	}
}

// watchPeriod returns the jittered time between reads for the keeper's rank.
func (k *Keeper) watchPeriod() time.Duration {
	period := WatchPeriod * time.Duration(max(1, k.rank))
	return period - period/10 + rand.N(period/10+1)
}

// expiry is the time at which the keeper may take the lease over.
func (k *Keeper) expiry() time.Time {
	return k.seenAt.Add(Duration + time.Duration(max(0, k.rank-1))*rankDelay)
}

// bids tells whether the keeper should write the row now; the caller holds the lock.
func (k *Keeper) bids() bool {
	switch {
	case k.rank < 0 && k.row.Holder.ID != k.self.ID:
		return false
	case k.row.Holder.ID == k.self.ID:
		return true
	case k.row.Holder.ID == "":
		// Nobody holds it: the first candidate bids at once, the others wait for it.
		return k.rank == 0 || time.Since(k.seenAt) >= time.Duration(k.rank)*rankDelay
	default:
		return !time.Now().Before(k.expiry())
	}
}

// claimOwn renews a row that names this instance: a hand-over, or a bid whose answer was lost.
func (k *Keeper) claimOwn(ctx context.Context, row Row) {
	sentAt := time.Now()
	renewed, err := k.store.Renew(ctx, k.shard, row)
	if err != nil {
		k.failed("renew", err)
		return
	}
	k.take(renewed, sentAt)
}

// acquire bids for the lease.
func (k *Keeper) acquire(ctx context.Context, row Row) {
	sentAt := time.Now()
	acquired, err := k.store.Acquire(ctx, k.shard, row, k.self)
	if err != nil {
		k.failed("acquire", err)
		return
	}
	k.take(acquired, sentAt)
}
