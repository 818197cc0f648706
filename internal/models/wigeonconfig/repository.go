package wigeonconfig

import (
	"context"
	"sync"

	"wigeonshift"

	"github.com/samber/oops"
)

// DefaultSnapshotPeriod is the number of changes between two snapshots.
const DefaultSnapshotPeriod = 100

// Repository keeps the configuration in the platform's table and object store.
type Repository struct {
	table   wigeonshift.Table
	objects wigeonshift.ObjectStore
	period  uint64

	mu sync.Mutex
	// latest is the newest configuration loaded so far; it is never modified.
	latest *wigeonshift.Configuration
	// snapshot is the version of the newest snapshot known.
	snapshot uint64
}

// Option changes a repository at construction.
type Option func(*Repository)

// WithSnapshotPeriod sets the number of changes between two snapshots.
func WithSnapshotPeriod(n uint64) Option {
	return func(r *Repository) { r.period = n }
}

// NewRepository returns a repository over the platform's services.
func NewRepository(table wigeonshift.Table, objects wigeonshift.ObjectStore, opts ...Option) *Repository {
	r := &Repository{table: table, objects: objects, period: DefaultSnapshotPeriod}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Load returns the newest configuration. Version 0 is empty.
func (r *Repository) Load(ctx context.Context) (*wigeonshift.Configuration, error) {
	h, err := r.Head(ctx)
	if err != nil {
		return nil, err
	}
	return r.LoadVersion(ctx, h.Version)
}

// LoadVersion returns the configuration of one version.
func (r *Repository) LoadVersion(ctx context.Context, version uint64) (*wigeonshift.Configuration, error) {
	c, err := r.nearest(ctx, version)
	if err != nil {
		return nil, err
	}
	for c.Version < version {
		changes, err := r.Changes(ctx, c.Version, min(changePage, int(version-c.Version)))
		if err != nil {
			return nil, err
		}
		if len(changes) == 0 {
			return nil, oops.In("configuration").With("version", version).Wrap(wigeonshift.ErrNotFound)
		}
		if c, err = ApplyChanges(c, changes); err != nil {
			return nil, err
		}
	}
	r.Observe(c)
	return c, nil
}

// ApplyChanges applies changes in order; those already in the configuration are passed over, and a gap is an error.
func ApplyChanges(c *wigeonshift.Configuration, changes []wigeonshift.Change) (*wigeonshift.Configuration, error) {
	for _, ch := range changes {
		if ch.Version <= c.Version {
			continue
		}
		if ch.Version != c.Version+1 {
			return nil, oops.In("configuration").With("have", c.Version, "got", ch.Version).Wrap(ErrGap)
		}
		next, err := Apply(c, ch.Patch)
		if err != nil {
			return nil, oops.In("configuration").With("version", ch.Version).Wrap(err)
		}
		c = next
	}
	return c, nil
}

// nearest returns the newest known configuration no newer than a version.
func (r *Repository) nearest(ctx context.Context, version uint64) (*wigeonshift.Configuration, error) {
	r.mu.Lock()
	latest := r.latest
	r.mu.Unlock()
	if latest != nil && latest.Version <= version {
		return latest, nil
	}
	newest, err := r.newestSnapshot(ctx, version)
	if err != nil {
		return nil, err
	}
	if newest == 0 {
		return &wigeonshift.Configuration{}, nil
	}
	document, err := r.objects.GetObject(ctx, snapshotKey(newest))
	if err != nil {
		return nil, oops.In("configuration").With("snapshot", newest).Wrap(err)
	}
	return Decode(document)
}

// Observe tells the repository of a configuration that was read elsewhere, so that it needn't load it. The
// repository keeps the newest one.
func (r *Repository) Observe(c *wigeonshift.Configuration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.latest == nil || c.Version > r.latest.Version {
		r.latest = c
	}
}

// SnapshotIfDue stores a snapshot of a configuration when enough changes have passed since the newest one.
func (r *Repository) SnapshotIfDue(ctx context.Context, c *wigeonshift.Configuration) error {
	r.mu.Lock()
	newest := r.snapshot
	r.mu.Unlock()
	if c.Version < newest+r.period {
		return nil
	}
	newest, err := r.newestSnapshot(ctx, c.Version)
	if err != nil {
		return err
	}
	if c.Version >= newest+r.period {
		document, err := Encode(c)
		if err != nil {
			return err
		}
		if err := r.objects.PutObject(ctx, snapshotKey(c.Version), document); err != nil {
			return oops.In("configuration").With("snapshot", c.Version).Wrap(err)
		}
		newest = c.Version
	}
	r.mu.Lock()
	r.snapshot = max(r.snapshot, newest)
	r.mu.Unlock()
	return nil
}
