package wigeonlease

import (
	"context"
	"time"

	"wigeonshift"

	"github.com/samber/oops"
)

// Supersede notes what the new holder itself told: this instance's lease is over, whether the table can be read or
// not. It does not notify.
func (k *Keeper) Supersede(holder wigeonshift.Instance, epoch uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if epoch <= k.row.Epoch {
		return false
	}
	k.owned, k.lapsed, k.heldUntil = false, false, time.Time{}
	k.see(Row{Holder: holder, Epoch: epoch})
	return true
}

// Transfer hands the lease to a successor under the next epoch. The caller may go on granting until the successor
// has taken over, but gives no more fenced orders.
func (k *Keeper) Transfer(ctx context.Context, successor wigeonshift.Instance) (epoch uint64, err error) {
	k.busy <- struct{}{}
	defer func() { <-k.busy }()
	k.mu.Lock()
	row, owned := k.row, k.owned
	k.owned, k.heldUntil = false, time.Time{}
	k.mu.Unlock()
	if !owned {
		return 0, oops.In("lease").With("shard", k.shard).Wrap(wigeonshift.ErrNotOwner)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	handed, err := k.store.Acquire(ctx, k.shard, row, successor)
	if err != nil {
		return 0, err
	}
	k.mu.Lock()
	k.see(handed)
	k.mu.Unlock()
	return handed.Epoch, nil
}
