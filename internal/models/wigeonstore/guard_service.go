package wigeonstore

import (
	"context"
	"time"

	"wigeonshift"
)

// Get returns a row.
func (g *Guard) Get(ctx context.Context, key string) (wigeonshift.Row, error) {
	return callWithRetries(ctx, g, g.table, g.readLimiter, func(ctx context.Context) (wigeonshift.Row, error) {
		return g.backend.Get(ctx, key)
	})
}

// Scan returns the rows with a key prefix in key order.
func (g *Guard) Scan(ctx context.Context, prefix, after string, limit int) ([]wigeonshift.Row, error) {
	return callWithRetries(ctx, g, g.table, g.readLimiter, func(ctx context.Context) ([]wigeonshift.Row, error) {
		return g.backend.Scan(ctx, prefix, after, limit)
	})
}

// Commit applies a transaction.
func (g *Guard) Commit(ctx context.Context, tx wigeonshift.Transaction) ([]uint64, error) {
	return callWithRetries(ctx, g, g.table, g.writeLimiter, func(ctx context.Context) ([]uint64, error) {
		return g.backend.Commit(ctx, tx)
	})
}

// PutObject stores an object.
func (g *Guard) PutObject(ctx context.Context, key string, value []byte) error {
	_, err := callWithRetries(ctx, g, g.objects, g.writeLimiter, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, g.backend.PutObject(ctx, key, value)
	})
	return err
}

// GetObject returns an object.
func (g *Guard) GetObject(ctx context.Context, key string) ([]byte, error) {
	return callWithRetries(ctx, g, g.objects, g.readLimiter, func(ctx context.Context) ([]byte, error) {
		return g.backend.GetObject(ctx, key)
	})
}

// ListObjects returns object keys in order.
func (g *Guard) ListObjects(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	return callWithRetries(ctx, g, g.objects, g.readLimiter, func(ctx context.Context) ([]string, error) {
		return g.backend.ListObjects(ctx, prefix, after, limit)
	})
}

// DeleteObject removes an object.
func (g *Guard) DeleteObject(ctx context.Context, key string) error {
	_, err := callWithRetries(ctx, g, g.objects, g.writeLimiter, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, g.backend.DeleteObject(ctx, key)
	})
	return err
}

// Instances returns the platform's list of instances, which may be out of date.
func (g *Guard) Instances(ctx context.Context) ([]wigeonshift.Instance, error) {
	return callWithRetries(ctx, g, g.instances, g.readLimiter, g.backend.Instances)
}

// Reserve requests a slot to load the weights of a model.
func (g *Guard) Reserve(ctx context.Context, model string) (time.Duration, error) {
	return callWithRetries(ctx, g, g.weights, g.writeLimiter, func(ctx context.Context) (time.Duration, error) {
		return g.backend.Reserve(ctx, model)
	})
}
