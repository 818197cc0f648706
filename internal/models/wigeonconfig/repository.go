package wigeonconfig

import (
	"context"
	"sync"

	"wigeonshift"

	"github.com/samber/oops"
)

// DefaultChangesPerSnapshot is the default number of changes between two snapshots.
const DefaultChangesPerSnapshot = 100

// Repository stores the configuration in the platform's table and object store.
type Repository struct {
	table              wigeonshift.Table
	objects            wigeonshift.ObjectStore
	changesPerSnapshot uint64

	mu sync.Mutex
	// latest is the newest configuration loaded so far. It is immutable.
	latest *wigeonshift.Configuration
	// lastSnapshotVersion is the version of the newest known snapshot.
	lastSnapshotVersion uint64
}

// Option configures a Repository.
type Option func(*Repository)

// WithChangesPerSnapshot sets the number of changes between two snapshots.
func WithChangesPerSnapshot(n uint64) Option {
	return func(r *Repository) { r.changesPerSnapshot = n }
}

// NewRepository returns a repository that uses the platform's table and object store.
func NewRepository(table wigeonshift.Table, objects wigeonshift.ObjectStore, opts ...Option) *Repository {
	r := &Repository{table: table, objects: objects, changesPerSnapshot: DefaultChangesPerSnapshot}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Load returns the newest configuration. Before the first patch it is empty and has version 0.
func (r *Repository) Load(ctx context.Context) (*wigeonshift.Configuration, error) {
	h, err := r.Head(ctx)
	if err != nil {
		return nil, err
	}
	return r.LoadVersion(ctx, h.Version)
}

// LoadVersion returns the configuration of one version.
func (r *Repository) LoadVersion(ctx context.Context, version uint64) (*wigeonshift.Configuration, error) {
	c, err := r.loadBase(ctx, version)
	if err != nil {
		return nil, err
	}
	for c.Version < version {
		changes, err := r.Changes(ctx, c.Version, min(changePageSize, int(version-c.Version)))
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
	r.CacheIfNewer(c)
	return c, nil
}

// ApplyChanges applies changes in order and skips those that the configuration already contains. A gap between versions
// is an error that wraps ErrVersionGap.
func ApplyChanges(c *wigeonshift.Configuration, changes []wigeonshift.Change) (*wigeonshift.Configuration, error) {
	for _, ch := range changes {
		if ch.Version <= c.Version {
			continue
		}
		if ch.Version != c.Version+1 {
			return nil, oops.In("configuration").With("have", c.Version, "got", ch.Version).Wrap(ErrVersionGap)
		}
		next, err := Apply(c, ch.Patch)
		if err != nil {
			return nil, oops.In("configuration").With("version", ch.Version).Wrap(err)
		}
		c = next
	}
	return c, nil
}

// loadBase returns the latest loaded configuration or the newest snapshot that is not newer than a version. LoadVersion
// applies the later changes to it.
func (r *Repository) loadBase(ctx context.Context, version uint64) (*wigeonshift.Configuration, error) {
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

// CacheIfNewer caches a configuration if it is the newest one so far, so that the repository does not have to load it.
// The configuration may come from another source than the store.
func (r *Repository) CacheIfNewer(c *wigeonshift.Configuration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.latest == nil || c.Version > r.latest.Version {
		r.latest = c
	}
}

// SnapshotIfDue stores a snapshot of a configuration if enough changes were made since the newest snapshot.
func (r *Repository) SnapshotIfDue(ctx context.Context, c *wigeonshift.Configuration) error {
	r.mu.Lock()
	newest := r.lastSnapshotVersion
	r.mu.Unlock()
	if c.Version < newest+r.changesPerSnapshot {
		return nil
	}
	newest, err := r.newestSnapshot(ctx, c.Version)
	if err != nil {
		return err
	}
	if c.Version >= newest+r.changesPerSnapshot {
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
	r.lastSnapshotVersion = max(r.lastSnapshotVersion, newest)
	r.mu.Unlock()
	return nil
}
