package wigeonowner

import (
	"context"
	"strings"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonquarantine"
	"wigeonshift/internal/services/wigeonscheduler"
)

const (
	// quarantinePageRows is the largest number of rows in one scan.
	quarantinePageRows = 500
	// quarantineTimeout limits one call to the table.
	quarantineTimeout = 2 * time.Second
	// quarantineRetryDelay is the delay before the retry of a failed read.
	quarantineRetryDelay = time.Second
)

// quarantinePrefix returns the key prefix for the rows of the shard's product.
func quarantinePrefix(id wigeonshift.ShardID) string {
	pool, _, _ := id.Pool()
	return "quarantine/" + pool.Product + "/"
}

// newQuarantineWriter returns the writer of crash rows.
func (m *Manager) newQuarantineWriter() *wigeonquarantine.Writer {
	return wigeonquarantine.NewWriter(m.commitCrashRows, m.log, func() { m.counters.add("quarantineWritesFailed", "", 1) })
}

func (m *Manager) commitCrashRows(ctx context.Context, writes []wigeonshift.Write) error {
	_, err := m.table.Commit(ctx, wigeonshift.Transaction{Writes: writes})
	return err
}

// runQuarantine writes crash rows until the manager stops.
func (m *Manager) runQuarantine() { m.quarantine.Run(m.ctx) }

// storeCrash writes the row of a crash without waiting for the result.
func (s *shard) storeCrash(c wigeonshift.Crash) {
	value, err := wigeonquarantine.EncodeRow(c)
	if err != nil {
		s.manager.log.WithError(err).Error("Failed to encode a crash row")
		return
	}
	s.manager.quarantine.Add(wigeonshift.Write{Key: quarantinePrefix(s.id) + wigeonquarantine.RowKey(c), Value: value})
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

// load scans all quarantine rows of the product. It removes the rows of crashes that have expired.
func (t quarantineLoadTask) load(ctx context.Context) (wigeonscheduler.QuarantineLoaded, error) {
	record := wigeonquarantine.NewRecord(wigeonscheduler.MaxCrashes)
	prefix, after := quarantinePrefix(t.shard.id), ""
	for {
		callCtx, cancel := context.WithTimeout(ctx, quarantineTimeout)
		rows, err := t.shard.manager.table.Scan(callCtx, prefix, after, quarantinePageRows)
		cancel()
		if err != nil {
			return wigeonscheduler.QuarantineLoaded{}, err
		}
		for _, r := range rows {
			after = r.Key
			c, err := wigeonquarantine.DecodeRow(strings.TrimPrefix(r.Key, prefix), r.Value)
			if err != nil {
				t.shard.manager.counters.add("quarantineRowsMalformed", "", 1)
				continue
			}
			record.Add(c)
		}
		if len(rows) < quarantinePageRows {
			break
		}
	}
	for _, c := range record.Expire(time.Now()) {
		t.shard.manager.quarantine.Add(wigeonshift.Write{Key: prefix + wigeonquarantine.RowKey(c), Delete: true})
	}
	return wigeonscheduler.QuarantineLoaded{Crashes: record.All()}, nil
}
