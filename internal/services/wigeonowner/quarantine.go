package wigeonowner

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonscheduler"

	"github.com/sirupsen/logrus"
)

const (
	// quarantineWritePeriod is the interval between writes of collected fingerprints.
	quarantineWritePeriod = 200 * time.Millisecond
	// quarantineBatchRows is the largest number of rows in one transaction.
	quarantineBatchRows = 64
	// quarantinePageRows is the largest number of rows in one scan.
	quarantinePageRows = 500
	// quarantineTimeout limits one call to the table.
	quarantineTimeout = 2 * time.Second
	// quarantineRetryDelay is the delay before the retry of a failed read.
	quarantineRetryDelay = time.Second
)

// quarantineRow is the value of a quarantine row. Its key contains the product and the fingerprint.
type quarantineRow struct {
	Crashes int       `json:"crashes"`
	At      time.Time `json:"at"`
}

// quarantinePrefix returns the key prefix for the rows of the shard's product.
func quarantinePrefix(id wigeonshift.ShardID) string {
	pool, _, _ := id.Pool()
	return "quarantine/" + pool.Product + "/"
}

// quarantineWriter collects fingerprints and writes them to the table in batches.
type quarantineWriter struct {
	table    wigeonshift.Table
	log      logrus.FieldLogger
	counters *counters

	mu      sync.Mutex
	pending map[string]quarantineRow
}

func newQuarantineWriter(table wigeonshift.Table, log logrus.FieldLogger, c *counters) *quarantineWriter {
	return &quarantineWriter{table: table, log: log, counters: c, pending: map[string]quarantineRow{}}
}

// add collects a fingerprint for the next write. It never replaces a pending row with a smaller crash count.
func (w *quarantineWriter) add(id wigeonshift.ShardID, f wigeonshift.Fingerprint, crashes int) {
	key := quarantinePrefix(id) + f.String()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending[key].Crashes <= crashes {
		w.pending[key] = quarantineRow{Crashes: crashes, At: time.Now().UTC()}
	}
}

// runQuarantine writes collected fingerprints until the manager stops.
func (m *Manager) runQuarantine() {
	ticker := time.NewTicker(quarantineWritePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-m.ctx.Done():
			return
		case <-ticker.C:
			m.quarantine.flush(m.ctx)
		}
	}
}

// flush writes one batch. The rows have no conditions, so a write can be repeated safely if its answer was lost.
func (w *quarantineWriter) flush(ctx context.Context) {
	w.mu.Lock()
	batch := map[string]quarantineRow{}
	for _, key := range sortedKeys(w.pending) {
		if len(batch) == quarantineBatchRows {
			break
		}
		batch[key] = w.pending[key]
	}
	w.mu.Unlock()
	if len(batch) == 0 {
		return
	}
	var tx wigeonshift.Transaction
	for _, key := range sortedKeys(batch) {
		value, err := json.Marshal(batch[key])
		if err == nil {
			tx.Writes = append(tx.Writes, wigeonshift.Write{Key: key, Value: value})
		}
	}
	ctx, cancel := context.WithTimeout(ctx, quarantineTimeout)
	defer cancel()
	if _, err := w.table.Commit(ctx, tx); err != nil {
		w.counters.add("quarantineWritesFailed", "", 1)
		w.log.WithError(err).Debug("Failed to write quarantined fingerprints")
		return
	}
	w.removeWritten(batch)
}

// removeWritten removes the rows of a written batch from the pending rows, except those that have changed since.
func (w *quarantineWriter) removeWritten(batch map[string]quarantineRow) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, row := range batch {
		if w.pending[key] == row {
			delete(w.pending, key)
		}
	}
}

// quarantineLoadTask reads the product's quarantined fingerprints for a new owner.
type quarantineLoadTask struct {
	shard *shard
}

func (t quarantineLoadTask) run(ctx context.Context) {
	for {
		loaded, err := t.load(ctx)
		if err == nil {
			t.shard.post(loaded)
			return
		}
		t.shard.manager.counters.add("quarantineReadsFailed", "", 1)
		timer := time.NewTimer(quarantineRetryDelay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// load scans all quarantine rows of the product.
func (t quarantineLoadTask) load(ctx context.Context) (wigeonscheduler.QuarantineLoaded, error) {
	var loaded wigeonscheduler.QuarantineLoaded
	prefix, after := quarantinePrefix(t.shard.id), ""
	for {
		callCtx, cancel := context.WithTimeout(ctx, quarantineTimeout)
		rows, err := t.shard.manager.table.Scan(callCtx, prefix, after, quarantinePageRows)
		cancel()
		if err != nil {
			return loaded, err
		}
		for _, r := range rows {
			after = r.Key
			if err := addQuarantineRow(&loaded, strings.TrimPrefix(r.Key, prefix), r.Value); err != nil {
				t.shard.manager.counters.add("quarantineRowsMalformed", "", 1)
			}
		}
		if len(rows) < quarantinePageRows {
			return loaded, nil
		}
	}
}

// addQuarantineRow parses one row. A fingerprint with more than one crash is quarantined; one with a single crash is a
// suspect.
func addQuarantineRow(loaded *wigeonscheduler.QuarantineLoaded, name string, value []byte) error {
	f, parseErr := strconv.ParseUint(name, 16, 64)
	var row quarantineRow
	if err := errors.Join(parseErr, json.Unmarshal(value, &row)); err != nil {
		return err
	}
	if row.Crashes > 1 {
		loaded.Fingerprints = append(loaded.Fingerprints, wigeonshift.Fingerprint(f))
	} else {
		loaded.Suspects = append(loaded.Suspects, wigeonshift.Fingerprint(f))
	}
	return nil
}
