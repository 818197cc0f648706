package wigeonclaim

import (
	"bytes"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonstore"

	"github.com/samber/oops"
)

// conditionalWrite is a queued write of one row that succeeds only if the row still has a given revision.
type conditionalWrite struct {
	key string
	// revision is the revision that the row must have; 0 means that the row must not exist.
	revision uint64
	value    []byte
	// indexKey is the key of the expiry index entry written in the same transaction; empty if none is needed.
	indexKey string
	// decided is set once: by the batch writer that picks up the write or by the caller whose context ends first.
	decided atomic.Bool
	done    chan writeResult
}

// writeResult is the result of a conditionalWrite.
type writeResult struct {
	// revision is the new revision of the row; 0 if it is not known.
	revision uint64
	// current is the stored row that caused an error wrapping ErrConditionFailed. Its revision is 0 if the row does
	// not exist.
	current wigeonshift.Row
	err     error
}

// write queues a write and waits for its result. It returns ErrThrottled if the queue is full. If ctx ends first, the
// error is ErrUnavailable if the write was not picked up yet and ErrOutcomeUnknown otherwise.
func (s *Store) write(ctx context.Context, o *conditionalWrite) writeResult {
	o.done = make(chan writeResult, 1)
	select {
	case s.queue <- o:
	default:
		return writeResult{err: oops.In("claim").Wrap(wigeonshift.ErrThrottled)}
	}
	select {
	case r := <-o.done:
		return r
	case <-ctx.Done():
	}
	if o.decided.CompareAndSwap(false, true) {
		return writeResult{err: oops.In("claim").Wrap(errors.Join(wigeonshift.ErrUnavailable, ctx.Err()))}
	}
	return writeResult{err: oops.In("claim").Wrap(errors.Join(wigeonshift.ErrOutcomeUnknown, ctx.Err()))}
}

// batchWriter collects queued writes and commits them one batch at a time.
type batchWriter struct {
	store *Store
	// deferred is a write whose key was already in the previous batch.
	deferred *conditionalWrite
}

func (b *batchWriter) run(ctx context.Context) {
	for {
		batch := b.collectBatch(ctx)
		if ctx.Err() != nil {
			b.failUnsent(batch)
			return
		}
		b.commitBatch(ctx, batch)
	}
}

// collectBatch waits for queued writes and returns them as one batch, which contains each key at most once.
func (b *batchWriter) collectBatch(ctx context.Context) []*conditionalWrite {
	var batch []*conditionalWrite
	keys := map[string]bool{}
	add := func(o *conditionalWrite) (hasRoom bool) {
		if keys[o.key] {
			b.deferred = o
			return false
		}
		if o.decided.CompareAndSwap(false, true) {
			keys[o.key] = true
			batch = append(batch, o)
		}
		return len(batch) < maxBatchSize
	}
	if o := b.deferred; o != nil {
		b.deferred = nil
		add(o)
	}
	if len(batch) == 0 {
		select {
		case <-ctx.Done():
			return nil
		case o := <-b.store.queue:
			add(o)
		}
	}
	t := time.NewTimer(b.store.batchDelay)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return batch
		case <-t.C:
			return batch
		case o := <-b.store.queue:
			if !add(o) {
				return batch
			}
		}
	}
}

// failUnsent completes writes that were never sent with ErrUnavailable.
func (b *batchWriter) failUnsent(batch []*conditionalWrite) {
	for _, o := range batch {
		o.done <- writeResult{err: oops.In("claim").Wrap(wigeonshift.ErrUnavailable)}
	}
}

// commitBatch writes a batch in one transaction. If a condition fails, the writes whose rows have changed are completed
// with an error and the others are retried.
func (b *batchWriter) commitBatch(ctx context.Context, batch []*conditionalWrite) {
	if len(batch) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, b.store.batchTimeout)
	defer cancel()
	b.store.scope.Counter("claimBatches").Inc(1)
	b.store.scope.Counter("claimBatchWrites").Inc(int64(len(batch)))
	for len(batch) > 0 {
		revisions, err := b.commitOnce(ctx, batch)
		switch {
		case err == nil:
			completeAll(batch, revisions)
			return
		case !errors.Is(err, wigeonshift.ErrConditionFailed):
			failAll(batch, err)
			return
		}
		if batch, err = b.dropConflicts(ctx, batch); err != nil {
			failAll(batch, err)
			return
		}
	}
}

// commitOnce commits a batch in one transaction. If the response is lost, it reads back one row to find out whether the
// transaction took effect. One row is enough because the transaction is atomic and each value contains the token of
// its attempt.
func (b *batchWriter) commitOnce(ctx context.Context, batch []*conditionalWrite) ([]uint64, error) {
	tx := wigeonshift.Transaction{}
	for _, o := range batch {
		tx.Conditions = append(tx.Conditions, wigeonshift.Condition{Key: o.key, Revision: o.revision})
		tx.Writes = append(tx.Writes, wigeonshift.Write{Key: o.key, Value: o.value})
	}
	// Index entries come last so that the revisions returned for the rows have the same positions as in the batch.
	for _, o := range batch {
		if o.indexKey != "" {
			tx.Writes = append(tx.Writes, wigeonshift.Write{Key: o.indexKey})
		}
	}
	first := batch[0]
	return wigeonstore.CommitWithReadBack(ctx, b.store.table, tx, func(ctx context.Context) (bool, error) {
		current, err := b.store.read(ctx, first.key)
		return bytes.Equal(current.Value, first.value), err
	})
}

// dropConflicts completes the writes whose rows have another revision with ErrConditionFailed and returns the rest. If
// it returns an error, none of the returned writes has taken effect.
func (b *batchWriter) dropConflicts(ctx context.Context, batch []*conditionalWrite) ([]*conditionalWrite, error) {
	var remaining []*conditionalWrite
	for i, o := range batch {
		current, err := b.store.read(ctx, o.key)
		if err != nil {
			return append(remaining, batch[i:]...), oops.In("claim").Wrap(errors.Join(wigeonshift.ErrUnavailable, err))
		}
		if current.Revision == o.revision {
			remaining = append(remaining, o)
			continue
		}
		o.done <- writeResult{current: current, err: oops.In("claim").Wrap(wigeonshift.ErrConditionFailed)}
	}
	return remaining, nil
}

// read returns a row, or the zero row if it does not exist.
func (s *Store) read(ctx context.Context, key string) (wigeonshift.Row, error) {
	current, err := s.table.Get(ctx, key)
	if errors.Is(err, wigeonshift.ErrNotFound) {
		return wigeonshift.Row{}, nil
	}
	return current, err
}

func completeAll(batch []*conditionalWrite, revisions []uint64) {
	for i, o := range batch {
		r := writeResult{}
		if i < len(revisions) {
			r.revision = revisions[i]
		}
		o.done <- r
	}
}

func failAll(batch []*conditionalWrite, err error) {
	for _, o := range batch {
		o.done <- writeResult{err: err}
	}
}
