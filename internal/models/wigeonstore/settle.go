package wigeonstore

import (
	"context"
	"errors"
	"time"

	"wigeonshift"

	"github.com/cenkalti/backoff/v5"
	"github.com/samber/oops"
)

// CommitSettled commits a transaction and settles an unknown outcome by reading back.
//
// settle reports whether the transaction's effect is there. Its absence alone proves nothing, because the write may
// still be on its way: the transaction is then committed again. One of its conditions must be broken by its own
// effect, so that it can take effect only once and a failed condition without the effect proves that it never will.
//
// The revisions are nil when the effect was found by settle. The error wraps ErrOutcomeUnknown only when the context
// ended first; every other error means no effect.
func CommitSettled(ctx context.Context, table wigeonshift.Table, tx wigeonshift.Transaction,
	settle func(ctx context.Context) (bool, error),
) ([]uint64, error) {
	revisions, err := table.Commit(ctx, tx)
	if !errors.Is(err, wigeonshift.ErrOutcomeUnknown) {
		return revisions, err
	}
	pauses := newBackoff()
	for pause(ctx, pauses) {
		found, settleErr := settle(ctx)
		if settleErr != nil {
			continue
		}
		if found {
			return nil, nil
		}
		revisions, err = table.Commit(ctx, tx)
		if err == nil {
			return revisions, nil
		}
		if errors.Is(err, wigeonshift.ErrConditionFailed) {
			return settleFailed(ctx, pauses, settle)
		}
	}
	return nil, unknown(ctx)
}

// settleFailed decides a transaction with an unknown try whose condition has failed in a later one: either the
// unknown try broke the condition itself, or nothing will ever take effect.
func settleFailed(ctx context.Context, pauses backoff.BackOff, settle func(ctx context.Context) (bool, error)) ([]uint64, error) {
	for {
		found, err := settle(ctx)
		switch {
		case err == nil && found:
			return nil, nil
		case err == nil:
			return nil, oops.In("store").Wrap(wigeonshift.ErrConditionFailed)
		case !pause(ctx, pauses):
			return nil, unknown(ctx)
		}
	}
}

func unknown(ctx context.Context) error {
	return oops.In("store").Wrap(errors.Join(wigeonshift.ErrOutcomeUnknown, ctx.Err()))
}

// pause waits for the next backoff and reports whether the context is still alive.
func pause(ctx context.Context, b backoff.BackOff) bool {
	t := time.NewTimer(b.NextBackOff())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
