package wigeonquarantine

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonclock"

	"github.com/sirupsen/logrus"
)

const (
	// batchDelay is the time for which changes are collected before they are written together.
	batchDelay = 50 * time.Millisecond
	// writeTimeout limits one write.
	writeTimeout = 2 * time.Second
	// lastWriteTimeout limits the write at a stop, which must not wait for a store that is down.
	lastWriteTimeout = 300 * time.Millisecond
	// retryDelay is the delay after a failed write.
	retryDelay = 500 * time.Millisecond
)

// CommitFunc writes rows in one transaction.
type CommitFunc func(ctx context.Context, writes []wigeonshift.Write) error

// Writer collects row changes and writes them in batches. The writes have no conditions, so that a write whose answer was
// lost can be repeated.
type Writer struct {
	commit CommitFunc
	log    logrus.FieldLogger
	// onFailure is called after each failed write.
	onFailure func()
	// failing is set while writes fail.
	failing bool
	// added holds a signal that there are pending changes.
	added chan struct{}

	mu sync.Mutex
	// pending holds the latest change of each row that has not been written.
	pending map[string]*wigeonshift.Write
}

// NewWriter returns a writer without pending changes.
func NewWriter(commit CommitFunc, log logrus.FieldLogger, onFailure func()) *Writer {
	return &Writer{
		commit: commit, log: log, onFailure: onFailure, added: make(chan struct{}, 1), pending: map[string]*wigeonshift.Write{},
	}
}

// Add collects a change for the next write, in place of an earlier change of the same row.
func (w *Writer) Add(change wigeonshift.Write) {
	w.mu.Lock()
	w.pending[change.Key] = &change
	w.mu.Unlock()
	select {
	case w.added <- struct{}{}:
	default:
	}
}

// Run writes collected changes until ctx is done, and then once more, so that a planned stop loses none.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			w.flush(context.WithoutCancel(ctx), lastWriteTimeout)
			return
		case <-w.added:
		}
		wigeonclock.Sleep(ctx, batchDelay)
		for w.flush(ctx, writeTimeout) && ctx.Err() == nil {
			if w.failing {
				wigeonclock.Sleep(ctx, retryDelay)
			}
		}
	}
}

// flush writes one batch and reports whether there was one. Changes that could not be written stay pending.
func (w *Writer) flush(ctx context.Context, timeout time.Duration) bool {
	batch := w.nextBatch()
	if len(batch) == 0 {
		return false
	}
	writes := make([]wigeonshift.Write, 0, len(batch))
	for _, change := range batch {
		writes = append(writes, *change)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := w.commit(ctx, writes)
	if err == nil {
		w.removeWritten(batch)
		w.log.WithField("rows", len(writes)).Info("crash rows written")
	} else {
		w.onFailure()
		if !w.failing {
			w.log.WithError(err).Warn("failed to write crash rows; retrying")
		}
	}
	w.failing = err != nil
	return true
}

// nextBatch returns the first pending changes in the order of their keys.
func (w *Writer) nextBatch() []*wigeonshift.Write {
	w.mu.Lock()
	defer w.mu.Unlock()
	keys := slices.Sorted(maps.Keys(w.pending))
	var batch []*wigeonshift.Write
	for _, key := range keys[:min(len(keys), MaxTransactionRows)] {
		batch = append(batch, w.pending[key])
	}
	return batch
}

// removeWritten removes the changes of a written batch, except those that were replaced since.
func (w *Writer) removeWritten(batch []*wigeonshift.Write) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, change := range batch {
		if w.pending[change.Key] == change {
			delete(w.pending, change.Key)
		}
	}
}
