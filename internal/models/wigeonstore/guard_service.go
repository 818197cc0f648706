package wigeonstore

import (
	"context"
	"time"

	"wigeonshift"
)

// Get returns a row.
func (g *Guard) Get(ctx context.Context, key string) (wigeonshift.Row, error) {
	return guarded(ctx, g, g.table, g.reads, func(ctx context.Context) (wigeonshift.Row, error) {
		return g.backend.Get(ctx, key)
	})
}

// Scan returns rows in key order.
func (g *Guard) Scan(ctx context.Context, prefix, after string, limit int) ([]wigeonshift.Row, error) {
	return guarded(ctx, g, g.table, g.reads, func(ctx context.Context) ([]wigeonshift.Row, error) {
		return g.backend.Scan(ctx, prefix, after, limit)
	})
}

// Commit applies a transaction.
func (g *Guard) Commit(ctx context.Context, tx wigeonshift.Transaction) ([]uint64, error) {
	return guarded(ctx, g, g.table, g.writes, func(ctx context.Context) ([]uint64, error) {
		return g.backend.Commit(ctx, tx)
	})
}

// PutObject stores an object.
func (g *Guard) PutObject(ctx context.Context, key string, value []byte) error {
	_, err := guarded(ctx, g, g.objects, g.writes, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, g.backend.PutObject(ctx, key, value)
	})
	return err
}

// GetObject returns an object.
func (g *Guard) GetObject(ctx context.Context, key string) ([]byte, error) {
	return guarded(ctx, g, g.objects, g.reads, func(ctx context.Context) ([]byte, error) {
		return g.backend.GetObject(ctx, key)
	})
}

// ListObjects returns keys in order.
func (g *Guard) ListObjects(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	return guarded(ctx, g, g.objects, g.reads, func(ctx context.Context) ([]string, error) {
		return g.backend.ListObjects(ctx, prefix, after, limit)
	})
}

// DeleteObject removes an object.
func (g *Guard) DeleteObject(ctx context.Context, key string) error {
	_, err := guarded(ctx, g, g.objects, g.writes, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, g.backend.DeleteObject(ctx, key)
	})
	return err
}

// Instances returns the platform's lagging list.
func (g *Guard) Instances(ctx context.Context) ([]wigeonshift.Instance, error) {
	return guarded(ctx, g, g.list, g.reads, g.backend.Instances)
}

// Reserve asks for a weight slot.
func (g *Guard) Reserve(ctx context.Context, model string) (time.Duration, error) {
	return guarded(ctx, g, g.weights, g.writes, func(ctx context.Context) (time.Duration, error) {
		return g.backend.Reserve(ctx, model)
	})
}
