// Package wigeonlease manages shard leases in the platform's table. Each shard has one row with its holder and epoch.
package wigeonlease

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"wigeonshift"

	"github.com/google/uuid"
	"github.com/samber/oops"
)

// keyPrefix is the prefix of lease row keys. The shard id follows it.
const keyPrefix = "lease/"

// Row is the value of a lease row.
type Row struct {
	// Holder is the zero instance if the lease was released without a successor.
	Holder wigeonshift.Instance `json:"holder,omitzero"`
	// Epoch is the fencing number. It increases with every acquisition and transfer and never decreases.
	Epoch uint64 `json:"epoch"`
	// Token is unique to each write. It shows whether a write whose answer was lost took effect.
	Token string `json:"token"`
	// Expires shows operators when the lease ends without a renewal. The code never reads it because the clocks of
	// instances differ.
	Expires time.Time `json:"expires"`

	// revision is the row's revision in the table, or 0 if the row doesn't exist.
	revision uint64
}

// Store reads and writes lease rows.
type Store struct {
	table wigeonshift.Table
}

// NewStore returns a store that keeps its rows in the given table.
func NewStore(table wigeonshift.Table) *Store {
	return &Store{table: table}
}

// Read returns the row of a shard, or the zero row if there is none.
func (s *Store) Read(ctx context.Context, shard wigeonshift.ShardID) (Row, error) {
	stored, err := s.table.Get(ctx, keyPrefix+string(shard))
	if errors.Is(err, wigeonshift.ErrNotFound) {
		return Row{}, nil
	}
	if err != nil {
		return Row{}, oops.In("lease").With("shard", shard).Wrap(err)
	}
	var row Row
	if err := json.Unmarshal(stored.Value, &row); err != nil {
		return Row{}, oops.In("lease").With("shard", shard).Wrap(err)
	}
	row.revision = stored.Revision
	return row, nil
}

// Acquire writes a new holder under the next epoch. It fails with ErrConditionFailed if the row has changed since old
// was read.
func (s *Store) Acquire(ctx context.Context, shard wigeonshift.ShardID, old Row, holder wigeonshift.Instance) (Row, error) {
	return s.write(ctx, shard, old, Row{Holder: holder, Epoch: old.Epoch + 1})
}

// Renew extends the lease under the same epoch. It fails with ErrConditionFailed if the row has changed since old was
// read.
func (s *Store) Renew(ctx context.Context, shard wigeonshift.ShardID, old Row) (Row, error) {
	return s.write(ctx, shard, old, Row{Holder: old.Holder, Epoch: old.Epoch})
}

// write replaces the row old. If the outcome is unknown, it reads the row back and compares the token.
func (s *Store) write(ctx context.Context, shard wigeonshift.ShardID, old, row Row) (Row, error) {
	row.Token = uuid.NewString()
	row.Expires = time.Now().Add(Duration).UTC()
	value, err := json.Marshal(row)
	if err != nil {
		return Row{}, oops.In("lease").Wrap(err)
	}
	key := keyPrefix + string(shard)
	revisions, err := s.table.Commit(ctx, wigeonshift.Transaction{
		Conditions: []wigeonshift.Condition{{Key: key, Revision: old.revision}},
		Writes:     []wigeonshift.Write{{Key: key, Value: value}},
	})
	switch {
	case err == nil:
		row.revision = revisions[0]
		return row, nil
	case errors.Is(err, wigeonshift.ErrOutcomeUnknown):
		return s.resolveUnknownOutcome(ctx, shard, row.Token, err)
	default:
		return Row{}, oops.In("lease").With("shard", shard).Wrap(err)
	}
}

// resolveUnknownOutcome reads the row to find out whether a write whose answer was lost took effect. The write may
// still take effect after this read. In that case the named holder finds itself in the row at its next read.
func (s *Store) resolveUnknownOutcome(ctx context.Context, shard wigeonshift.ShardID, token string, cause error) (Row, error) {
	row, err := s.Read(ctx, shard)
	if err == nil && row.Token == token {
		return row, nil
	}
	return Row{}, oops.In("lease").With("shard", shard).Wrap(cause)
}
