package wigeonquarantine

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"wigeonshift"

	"github.com/sirupsen/logrus"
)

const (
	// writeInterval is the interval between writes of collected rows.
	writeInterval = 200 * time.Millisecond
	// batchRows is the largest number of rows in one transaction.
	batchRows = 64
	// writeTimeout limits one write.
	writeTimeout = 2 * time.Second
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

	mu sync.Mutex
	// pending holds the latest change of each row that has not been written.
	pending map[string]*wigeonshift.Write
}

// NewWriter returns a writer without pending changes.
func NewWriter(commit CommitFunc, log logrus.FieldLogger, onFailure func()) *Writer {
	return &Writer{commit: commit, log: log, onFailure: onFailure, pending: map[string]*wigeonshift.Write{}}
}

// Add collects a change for the next write, in place of an earlier change of the same row.
func (w *Writer) Add(change wigeonshift.Write) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending[change.Key] = &change
}

// Pending reports whether a change of a row has not been written.
func (w *Writer) Pending(key string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.pending[key] != nil
}

// Run writes collected changes until ctx is done, and then once more, so that a planned stop loses none.
func (w *Writer) Run(ctx context.Context) {
	ticker := time.NewTicker(writeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			w.flush(context.WithoutCancel(ctx))
			return
		case <-ticker.C:
			w.flush(ctx)
		}
	}
}

// flush writes one batch. Changes that could not be written stay pending.
func (w *Writer) flush(ctx context.Context) {
	batch := w.nextBatch()
	if len(batch) == 0 {
		return
	}
	writes := make([]wigeonshift.Write, 0, len(batch))
	for _, change := range batch {
		writes = append(writes, *change)
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := w.commit(ctx, writes); err != nil {
		w.onFailure()
		w.log.WithError(err).WithField("rows", len(writes)).Warn("failed to write crash rows; retrying")
		return
	}
	w.removeWritten(batch)
}

// nextBatch returns the first pending changes in the order of their keys.
func (w *Writer) nextBatch() []*wigeonshift.Write {
	w.mu.Lock()
	defer w.mu.Unlock()
	keys := slices.Sorted(maps.Keys(w.pending))
	var batch []*wigeonshift.Write
	for _, key := range keys[:min(len(keys), batchRows)] {
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
