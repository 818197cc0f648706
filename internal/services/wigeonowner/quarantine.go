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
	// quarantinePeriod is the time between writes of collected fingerprints.
	quarantinePeriod = 200 * time.Millisecond
	// quarantineBatch bounds the rows of one transaction.
	quarantineBatch = 64
	// quarantinePage is the number of rows of one scan.
	quarantinePage = 500
	// quarantineTimeout bounds one call to the table.
	quarantineTimeout = 2 * time.Second
	// quarantineRetry is the time to the next try to load the rows.
	quarantineRetry = time.Second
)

// quarantineRow is the value of a row; the key names product and fingerprint.
type quarantineRow struct {
	Crashes int       `json:"crashes"`
	At      time.Time `json:"at"`
}

// quarantinePrefix starts the keys of a shard's product.
func quarantinePrefix(id wigeonshift.ShardID) string {
	pool, _, _ := id.Pool()
	return "quarantine/" + pool.Product + "/"
}

// quarantineWriter writes fingerprints behind to the table.
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

// add collects a fingerprint for the next write. The larger number of crashes stays.
func (w *quarantineWriter) add(id wigeonshift.ShardID, f wigeonshift.Fingerprint, crashes int) {
	key := quarantinePrefix(id) + strconv.FormatUint(uint64(f), 16)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending[key].Crashes <= crashes {
		w.pending[key] = quarantineRow{Crashes: crashes, At: time.Now().UTC()}
	}
}

// runQuarantine writes collected fingerprints until the manager stops.
func (m *Manager) runQuarantine() {
	ticker := time.NewTicker(quarantinePeriod)
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

// flush writes one batch. The rows carry no conditions: repeating a write after a lost answer changes nothing.
func (w *quarantineWriter) flush(ctx context.Context) {
	w.mu.Lock()
	batch := map[string]quarantineRow{}
	for _, key := range sortedKeys(w.pending) {
		if len(batch) == quarantineBatch {
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
		w.log.WithError(err).Debug("Quarantine can't be written")
		return
	}
	w.written(batch)
}

// written forgets what a write has stored.
func (w *quarantineWriter) written(batch map[string]quarantineRow) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for key, row := range batch {
		if w.pending[key] == row {
			delete(w.pending, key)
		}
	}
}

// quarantineLoad reads the product's fingerprints for a new owner.
type quarantineLoad struct {
	shard *shard
}

func (t quarantineLoad) run(ctx context.Context) {
	for {
		loaded, err := t.load(ctx)
		if err == nil {
			t.shard.post(loaded)
			return
		}
		t.shard.m.counters.add("quarantineReadsFailed", "", 1)
		timer := time.NewTimer(quarantineRetry)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// load scans all rows of the product.
func (t quarantineLoad) load(ctx context.Context) (wigeonscheduler.QuarantineLoaded, error) {
	var loaded wigeonscheduler.QuarantineLoaded
	prefix, after := quarantinePrefix(t.shard.id), ""
	for {
		callCtx, cancel := context.WithTimeout(ctx, quarantineTimeout)
		rows, err := t.shard.m.table.Scan(callCtx, prefix, after, quarantinePage)
		cancel()
		if err != nil {
			return loaded, err
		}
		for _, r := range rows {
			after = r.Key
			if err := collect(&loaded, strings.TrimPrefix(r.Key, prefix), r.Value); err != nil {
				t.shard.m.counters.add("quarantineRowsMalformed", "", 1)
			}
		}
		if len(rows) < quarantinePage {
			return loaded, nil
		}
	}
}

// collect adds one row.
func collect(loaded *wigeonscheduler.QuarantineLoaded, name string, value []byte) error {
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
