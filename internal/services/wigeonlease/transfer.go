package wigeonlease

import (
	"context"
	"time"

	"wigeonshift"

	"github.com/samber/oops"
)

// Supersede ends this instance's lease because the new holder announced itself under a later epoch. It doesn't need the
// table and reports no event. It returns false if the epoch isn't newer than the known one.
func (e *Elector) Supersede(holder wigeonshift.Instance, epoch uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if epoch <= e.row.Epoch {
		return false
	}
	e.owned, e.expired, e.heldUntil = false, false, time.Time{}
	e.recordRow(Row{Holder: holder, Epoch: epoch})
	return true
}

// Transfer writes the successor into the row as the holder of the next epoch. The caller may continue to grant permits
// until the successor has taken over, but must not give fenced orders any more. A zero successor releases the lease.
func (e *Elector) Transfer(ctx context.Context, successor wigeonshift.Instance) (epoch uint64, err error) {
	e.rowLock <- struct{}{}
	defer func() { <-e.rowLock }()
	e.mu.Lock()
	row, owned := e.row, e.owned
	e.owned, e.heldUntil = false, time.Time{}
	e.mu.Unlock()
	if !owned {
		return 0, oops.In("lease").With("shard", e.shard).Wrap(wigeonshift.ErrNotOwner)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	transferred, err := e.store.Acquire(ctx, e.shard, row, successor)
	if err != nil {
		return 0, err
	}
	e.mu.Lock()
	e.recordRow(transferred)
	e.mu.Unlock()
	return transferred.Epoch, nil
}
