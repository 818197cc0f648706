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
	if bid {
		k.acquire(ctx, row)
	}
}

// see notes a row that was read or written; the caller holds the lock.
func (k *Keeper) see(row Row) {
	now := time.Now()
	if !k.known || row.revision != k.row.revision || k.seenAt.IsZero() {
		k.seenAt = now
	}
	k.row, k.known = row, true
	k.nextAt = now.Add(k.watchPeriod())
	if end := k.expiry(); k.rank >= 0 && end.After(now) && end.Before(k.nextAt) {
		k.nextAt = end
	}
}

// watchPeriod returns the jittered time between reads for the keeper's rank.
func (k *Keeper) watchPeriod() time.Duration {
	period := WatchPeriod * time.Duration(max(1, k.rank))
	return period - period/10 + rand.N(period/10+1)
}

// expiry is the time at which the keeper may take the lease over. A row without a holder is left to the first
// candidate for a moment.
func (k *Keeper) expiry() time.Time {
	if k.row.Holder.ID == "" {
		return k.seenAt.Add(time.Duration(max(0, k.rank)) * rankDelay)
	}
	return k.seenAt.Add(Duration + time.Duration(max(0, k.rank-1))*rankDelay)
}

// bids tells whether the keeper should write the row now; the caller holds the lock.
func (k *Keeper) bids() bool {
	switch {
	case k.rank < 0 && k.row.Holder.ID != k.self.ID:
		return false
	case k.row.Holder.ID == k.self.ID:
		return true
	default:
		return !time.Now().Before(k.expiry())
	}
}

// acquire bids for the lease. A row that names this instance (a hand-over, a bid with a lost answer, or a former
// process under the same id) is taken under a new epoch too, so that no two owners ever share one.
func (k *Keeper) acquire(ctx context.Context, row Row) {
	sentAt := time.Now()
	acquired, err := k.store.Acquire(ctx, k.shard, row, k.self)
	if err != nil {
		k.failed("acquire", err)
		return
	}
	k.take(acquired, sentAt)
}
