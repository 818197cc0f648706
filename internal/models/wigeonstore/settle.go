package wigeonstore

import (
	"context"
	"errors"
	"time"

	"wigeonshift"

	"github.com/cenkalti/backoff/v5"
	"github.com/samber/oops"
)

// CommitWithReadBack commits a transaction and resolves an unknown outcome by reading back.
//
// isApplied reports whether the effect of the transaction is visible. A missing effect alone proves nothing, because
// the write may still be in flight; the transaction is then committed again. The effect of the transaction must make
// one of its own conditions fail. It can then take effect only once, and a failed condition without the effect proves
// that it never will.
//
// The revisions are nil if isApplied found the effect. The error wraps ErrOutcomeUnknown only if the context ended
// first; every other error means that the transaction had no effect.
func CommitWithReadBack(ctx context.Context, table wigeonshift.Table, tx wigeonshift.Transaction,
	isApplied func(ctx context.Context) (bool, error),
) ([]uint64, error) {
	revisions, err := table.Commit(ctx, tx)
	if !errors.Is(err, wigeonshift.ErrOutcomeUnknown) {
		return revisions, err
	}
	retryBackoff := newBackoff()
	for waitBackoff(ctx, retryBackoff) {
		found, readErr := isApplied(ctx)
		if readErr != nil {
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
			return resolveConflict(ctx, retryBackoff, isApplied)
		}
	}
	return nil, outcomeUnknownError(ctx)
}

// resolveConflict resolves a transaction that had an unknown outcome and whose condition failed when it was committed
// again: either the first commit took effect, or the transaction never will.
func resolveConflict(ctx context.Context, retryBackoff backoff.BackOff, isApplied func(ctx context.Context) (bool, error)) ([]uint64, error) {
	for {
		found, err := isApplied(ctx)
		switch {
		case err == nil && found:
			return nil, nil
		case err == nil:
			return nil, oops.In("store").Wrap(wigeonshift.ErrConditionFailed)
		case !waitBackoff(ctx, retryBackoff):
			return nil, outcomeUnknownError(ctx)
		}
	}
}

func outcomeUnknownError(ctx context.Context) error {
	return oops.In("store").Wrap(errors.Join(wigeonshift.ErrOutcomeUnknown, ctx.Err()))
}

// waitBackoff waits for the next backoff interval. It returns false if the context ends first.
func waitBackoff(ctx context.Context, b backoff.BackOff) bool {
	t := time.NewTimer(b.NextBackOff())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
