package wigeonplatform

import (
	"bytes"
	"context"
	"strings"
	"time"

	"wigeonshift"

	"github.com/samber/oops"
)

// PutObject stores an object.
func (c *Core) PutObject(ctx context.Context, key string, value []byte) error {
	if key == "" || len(value) > MaxObjectBytes {
		return oops.In("platform").With("key", key).Wrap(errBadRequest)
	}
	return c.call(ctx, storeWrite, func() error {
		c.objects.ReplaceOrInsert(object{key: key, value: bytes.Clone(value)})
		return nil
	})
}

// GetObject returns an object.
func (c *Core) GetObject(ctx context.Context, key string) ([]byte, error) {
	var value []byte
	err := c.call(ctx, storeRead, func() error {
		found, ok := c.objects.Get(object{key: key})
		if !ok {
			return oops.In("platform").With("key", key).Wrap(wigeonshift.ErrNotFound)
		}
		value = bytes.Clone(found.value)
		return nil
	})
	return value, err
}

// ListObjects returns up to limit keys in order that start with prefix and are greater than after.
func (c *Core) ListObjects(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	var keys []string
	limit = min(limit, MaxListLength)
	err := c.call(ctx, storeRead, func() error {
		c.objects.AscendGreaterOrEqual(object{key: max(prefix, after)}, func(o object) bool {
			if len(keys) >= limit || !strings.HasPrefix(o.key, prefix) {
				return false
			}
			if o.key > after {
				keys = append(keys, o.key)
			}
			return true
		})
		return nil
	})
	return keys, err
}

// DeleteObject removes an object.
func (c *Core) DeleteObject(ctx context.Context, key string) error {
	return c.call(ctx, storeWrite, func() error {
		c.objects.Delete(object{key: key})
		return nil
	})
}

// Reserve requests a slot to load a model's weights. It returns 0 if it grants the slot, or else the time until one is
// free. All models share the slots, which become free at a fixed rate.
func (c *Core) Reserve(ctx context.Context, _ string) (time.Duration, error) {
	var delay time.Duration
	err := c.call(ctx, slotWrite, func() error {
		now := time.Now()
		r := c.weightSlots.ReserveN(now, 1)
		delay = r.DelayFrom(now)
		if delay > 0 {
			r.CancelAt(now)
		}
		return nil
	})
	return delay, err
}
