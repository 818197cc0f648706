package wigeonplatform

import (
	"bytes"
	"context"
	"strings"

	"wigeonshift"

	"github.com/samber/oops"
)

// Limits of the table and the object store.
const (
	MaxTransactionWrites = 256
	MaxValueBytes        = 1 << 20
	MaxObjectBytes       = 64 << 20
	MaxListLength        = 1000
)

// Get returns a row.
func (c *Core) Get(ctx context.Context, key string) (wigeonshift.Row, error) {
	var row wigeonshift.Row
	err := c.call(ctx, storeRead, func() error {
		found, ok := c.rows.Get(wigeonshift.Row{Key: key})
		if !ok {
			return oops.In("platform").With("key", key).Wrap(wigeonshift.ErrNotFound)
		}
		row = cloneRow(found)
		return nil
	})
	return row, err
}

// Scan returns up to limit rows in key order whose keys start with prefix and are greater than after.
func (c *Core) Scan(ctx context.Context, prefix, after string, limit int) ([]wigeonshift.Row, error) {
	var rows []wigeonshift.Row
	limit = min(limit, MaxListLength)
	err := c.call(ctx, storeRead, func() error {
		c.rows.AscendGreaterOrEqual(wigeonshift.Row{Key: max(prefix, after)}, func(r wigeonshift.Row) bool {
			if len(rows) >= limit || !strings.HasPrefix(r.Key, prefix) {
				return false
			}
			if r.Key > after {
				rows = append(rows, cloneRow(r))
			}
			return true
		})
		return nil
	})
	return rows, err
}

// Commit applies a transaction if all its conditions hold.
func (c *Core) Commit(ctx context.Context, tx wigeonshift.Transaction) ([]uint64, error) {
	if err := validateTransaction(tx); err != nil {
		return nil, err
	}
	var revisions []uint64
	err := c.call(ctx, storeWrite, func() error {
		for _, d := range tx.Conditions {
			found, _ := c.rows.Get(wigeonshift.Row{Key: d.Key})
			if found.Revision != d.Revision {
				return oops.In("platform").With("key", d.Key).Wrap(wigeonshift.ErrConditionFailed)
			}
		}
		revisions = c.applyWrites(tx.Writes)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return revisions, nil
}

// applyWrites applies writes and returns their revisions. c.mu must be held.
func (c *Core) applyWrites(writes []wigeonshift.Write) []uint64 {
	revisions := make([]uint64, len(writes))
	for i, w := range writes {
		c.revision++
		revisions[i] = c.revision
		if w.Delete {
			c.rows.Delete(wigeonshift.Row{Key: w.Key})
			continue
		}
		c.rows.ReplaceOrInsert(wigeonshift.Row{Key: w.Key, Value: bytes.Clone(w.Value), Revision: c.revision})
	}
	return revisions
}

// errBadRequest refuses calls that a real platform would refuse, too. It proves that the call had no effect.
var errBadRequest = oops.In("platform").Errorf("malformed call")

func validateTransaction(tx wigeonshift.Transaction) error {
	if len(tx.Writes) > MaxTransactionWrites || len(tx.Conditions) > MaxTransactionWrites {
		return oops.In("platform").With("writes", len(tx.Writes)).Wrap(errBadRequest)
	}
	for _, w := range tx.Writes {
		if w.Key == "" || len(w.Value) > MaxValueBytes {
			return oops.In("platform").With("key", w.Key).Wrap(errBadRequest)
		}
	}
	return nil
}

func cloneRow(r wigeonshift.Row) wigeonshift.Row {
	r.Value = bytes.Clone(r.Value)
	return r
}
