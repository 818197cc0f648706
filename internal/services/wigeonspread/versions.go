package wigeonspread

import (
	"sync"
	"time"

	"wigeonshift"
)

// maxKnownVersions bounds the versions of others that an instance remembers.
const maxKnownVersions = 4096

// versionBook remembers the versions that others told.
type versionBook struct {
	mu    sync.Mutex
	self  wigeonshift.Instance
	known map[string]*knownVersion
}

type knownVersion struct {
	version uint64
	heardAt time.Time
	// behindSince is the time since which the instance is known to be behind; zero when it isn't.
	behindSince time.Time
}

func newVersionBook(self wigeonshift.Instance) versionBook {
	return versionBook{self: self, known: map[string]*knownVersion{}}
}

// tell notes the version that an instance told, and returns the one it told before.
func (b *versionBook) tell(id string, version, newest uint64, now time.Time) (before uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.known[id]
	if k == nil {
		if len(b.known) >= maxKnownVersions {
			return 0
		}
		k = &knownVersion{}
		b.known[id] = k
	}
	before = k.version
	// Messages of a lost session may come late: a version that was told stays told.
	k.version, k.heardAt = max(k.version, version), now
	switch {
	case k.version >= newest:
		k.behindSince = time.Time{}
	case k.behindSince.IsZero():
		k.behindSince = now
	}
	return before
}

// advance notes that this instance has a newer version in force.
func (b *versionBook) advance(newest uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, k := range b.known {
		if k.version < newest && k.behindSince.IsZero() {
			k.behindSince = now
		}
	}
}

// version returns the version an instance told, 0 without one.
func (b *versionBook) version(id string) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if k := b.known[id]; k != nil {
		return k.version
	}
	return 0
}

// retain forgets instances that are no longer live.
func (b *versionBook) retain(live []wigeonshift.Instance) {
	keep := make(map[string]bool, len(live))
	for _, i := range live {
		keep[i.ID] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.known {
		if !keep[id] {
			delete(b.known, id)
		}
	}
}

// list returns the known versions of live instances. One that told nothing has version 0.
func (b *versionBook) list(live []wigeonshift.Instance, own uint64, now time.Time) []wigeonshift.InstanceVersion {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]wigeonshift.InstanceVersion, len(live))
	for n, i := range live {
		list[n] = wigeonshift.InstanceVersion{Instance: i}
		k := b.known[i.ID]
		switch {
		case i.ID == b.self.ID:
			list[n].Version = own
		case k != nil:
			list[n].Version = k.version
			if !k.behindSince.IsZero() {
				list[n].Lag = now.Sub(k.behindSince)
			}
		}
	}
	return list
}
