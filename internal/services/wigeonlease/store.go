// Package wigeonlease keeps the leases of shards in the platform's table: one row a shard, with holder and epoch.
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

// keyPrefix starts the keys of lease rows; the shard's id follows.
const keyPrefix = "lease/"

// Row is the value of a lease row.
type Row struct {
	// Holder is the zero instance after a release without a successor.
	Holder wigeonshift.Instance `json:"holder,omitzero"`
	// Epoch is the fencing number. It grows with every change of the holder and never falls.
	Epoch uint64 `json:"epoch"`
	// Token is unique for each write; it settles a write whose answer was lost.
	Token string `json:"token"`
	// Expires tells operators when the lease ends without a renewal. Nothing decides by it: clocks of
	// instances differ.
	Expires time.Time `json:"expires"`

	// revision is the row's revision in the table, 0 for a row that does not exist.
	revision uint64
}

// Store reads and writes lease rows.
type Store struct {
	table wigeonshift.Table
}

// NewStore returns a store on a table.
func NewStore(table wigeonshift.Table) *Store {
	return &Store{table: table}
}

// Read returns the row of a shard, the zero row when there is none.
func (s *Store) Read(ctx context.Context, shard wigeonshift.ShardID) (Row, error) {
	found, err := s.table.Get(ctx, keyPrefix+string(shard))
	if errors.Is(err, wigeonshift.ErrNotFound) {
		return Row{}, nil
	}
	if err != nil {
		return Row{}, oops.In("lease").With("shard", shard).Wrap(err)
	}
	var row Row
	if err := json.Unmarshal(found.Value, &row); err != nil {
		return Row{}, oops.In("lease").With("shard", shard).Wrap(err)
	}
	row.revision = found.Revision
	return row, nil
}

// Acquire writes a new holder under the next epoch, if the row is still as it was read.
func (s *Store) Acquire(ctx context.Context, shard wigeonshift.ShardID, old Row, holder wigeonshift.Instance) (Row, error) {
	return s.write(ctx, shard, old, Row{Holder: holder, Epoch: old.Epoch + 1})
}

// Renew prolongs the lease under the same epoch, if the row is still as it was read.
func (s *Store) Renew(ctx context.Context, shard wigeonshift.ShardID, old Row) (Row, error) {
	return s.write(ctx, shard, old, Row{Holder: old.Holder, Epoch: old.Epoch})
}

// write replaces a row. An outcome that is unknown is settled by reading the token back.
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
		return s.settle(ctx, shard, row.Token, err)
	default:
		return Row{}, oops.In("lease").With("shard", shard).Wrap(err)
	}
}

// settle finds out whether a write with a lost answer took effect. A late effect can still follow a reading
// that did not show it; the row's holder then finds its own name in it.
func (s *Store) settle(ctx context.Context, shard wigeonshift.ShardID, token string, cause error) (Row, error) {
	row, err := s.Read(ctx, shard)
	if err == nil && row.Token == token {
		return row, nil
	}
	return Row{}, oops.In("lease").With("shard", shard).Wrap(cause)
}
