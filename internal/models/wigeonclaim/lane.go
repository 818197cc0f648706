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

// operation is one row to be written if it still has a revision.
type operation struct {
	key      string
	revision uint64
	value    []byte
	// index is the key of the row's entry by expiry, written along; empty for none.
	index string
	// taken is set by whoever decides its fate first: the lane that writes it or the caller that gives up.
	taken atomic.Bool
	done  chan result
}

// result is what became of an operation.
type result struct {
	// revision is the row's new revision, 0 when it isn't known.
	revision uint64
	// current is the row that stands instead, with an error that wraps ErrConditionFailed; its revision is 0 when
	// there is none.
	current wigeonshift.Row
	err     error
}

// write queues an operation and waits for its result.
func (s *Store) write(ctx context.Context, o *operation) result {
	o.done = make(chan result, 1)
	select {
	case s.queue <- o:
	default:
		return result{err: oops.In("claim").Wrap(wigeonshift.ErrThrottled)}
	}
	select {
	case r := <-o.done:
		return r
	case <-ctx.Done():
	}
	if o.taken.CompareAndSwap(false, true) {
		return result{err: oops.In("claim").Wrap(errors.Join(wigeonshift.ErrUnavailable, ctx.Err()))}
	}
	return result{err: oops.In("claim").Wrap(errors.Join(wigeonshift.ErrOutcomeUnknown, ctx.Err()))}
}

// lane writes one batch after another.
type lane struct {
	store *Store
	// later is an operation on a key that the last batch already had.
	later *operation
}

func (l *lane) run(ctx context.Context) {
	for {
		batch := l.collect(ctx)
		if ctx.Err() != nil {
			l.refuse(batch)
			return
		}
		l.commit(ctx, batch)
	}
}

// collect takes the operations of one batch, which has each key only once.
func (l *lane) collect(ctx context.Context) []*operation {
	var batch []*operation
	keys := map[string]bool{}
	add := func(o *operation) (room bool) {
		if keys[o.key] {
			l.later = o
			return false
		}
		if o.taken.CompareAndSwap(false, true) {
			keys[o.key] = true
			batch = append(batch, o)
		}
		return len(batch) < maxBatch
	}
	if o := l.later; o != nil {
		l.later = nil
		add(o)
	}
	if len(batch) == 0 {
		select {
		case <-ctx.Done():
			return nil
		case o := <-l.store.queue:
			add(o)
		}
	}
	t := time.NewTimer(l.store.linger)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return batch
		case <-t.C:
			return batch
		case o := <-l.store.queue:
			if !add(o) {
				return batch
			}
		}
	}
}

// refuse ends operations that were never sent.
func (l *lane) refuse(batch []*operation) {
	for _, o := range batch {
		o.done <- result{err: oops.In("claim").Wrap(wigeonshift.ErrUnavailable)}
	}
}

// commit writes a batch in one transaction. When a condition fails, the operations that met another row end, and the
// others are written again.
func (l *lane) commit(ctx context.Context, batch []*operation) {
	if len(batch) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, l.store.timeout)
	defer cancel()
	l.store.scope.Counter("claimBatches").Inc(1)
	l.store.scope.Counter("claimBatchWrites").Inc(int64(len(batch)))
	for len(batch) > 0 {
		revisions, err := l.commitOnce(ctx, batch)
		switch {
		case err == nil:
			finish(batch, revisions)
			return
		case !errors.Is(err, wigeonshift.ErrConditionFailed):
			fail(batch, err)
			return
		}
		if batch, err = l.sift(ctx, batch); err != nil {
			fail(batch, err)
			return
		}
	}
}

// commitOnce writes a batch. A lost answer is settled by reading back one row: the transaction is atomic, and a value
// holds the attempt's token.
func (l *lane) commitOnce(ctx context.Context, batch []*operation) ([]uint64, error) {
	tx := wigeonshift.Transaction{}
	for _, o := range batch {
		tx.Conditions = append(tx.Conditions, wigeonshift.Condition{Key: o.key, Revision: o.revision})
		tx.Writes = append(tx.Writes, wigeonshift.Write{Key: o.key, Value: o.value})
	}
	// The entries by expiry come last: the revisions of the rows stand at the places of their operations.
	for _, o := range batch {
		if o.index != "" {
			tx.Writes = append(tx.Writes, wigeonshift.Write{Key: o.index})
		}
	}
	first := batch[0]
	return wigeonstore.CommitSettled(ctx, l.store.table, tx, func(ctx context.Context) (bool, error) {
		current, err := l.store.read(ctx, first.key)
		return bytes.Equal(current.Value, first.value), err
	})
}

// sift ends the operations whose row has another revision, and returns those that may still succeed. Its error proves
// that none of the returned has taken effect.
func (l *lane) sift(ctx context.Context, batch []*operation) ([]*operation, error) {
	var rest []*operation
	for i, o := range batch {
		current, err := l.store.read(ctx, o.key)
		if err != nil {
			return append(rest, batch[i:]...), oops.In("claim").Wrap(errors.Join(wigeonshift.ErrUnavailable, err))
		}
		if current.Revision == o.revision {
			rest = append(rest, o)
			continue
		}
		o.done <- result{current: current, err: oops.In("claim").Wrap(wigeonshift.ErrConditionFailed)}
	}
	return rest, nil
}

// read returns a row, and the zero row when there is none.
func (s *Store) read(ctx context.Context, key string) (wigeonshift.Row, error) {
	current, err := s.table.Get(ctx, key)
	if errors.Is(err, wigeonshift.ErrNotFound) {
		return wigeonshift.Row{}, nil
	}
	return current, err
}

func finish(batch []*operation, revisions []uint64) {
	for i, o := range batch {
		r := result{}
		if i < len(revisions) {
			r.revision = revisions[i]
		}
		o.done <- r
	}
}

func fail(batch []*operation, err error) {
	for _, o := range batch {
		o.done <- result{err: err}
	}
}
