package wigeonspread

import (
	"sync"
	"time"

	"wigeonshift"
)

// maxPeerVersions is the largest number of peers whose versions are kept.
const maxPeerVersions = 4096

// peerVersionTable keeps the versions that peers have reported.
type peerVersionTable struct {
	mu           sync.Mutex
	self         wigeonshift.Instance
	byInstanceID map[string]*peerVersion
}

type peerVersion struct {
	version    uint64
	reportedAt time.Time
	// behindSince is the time since which the instance is known to have an outdated version; zero if its version is
	// current.
	behindSince time.Time
}

func newPeerVersionTable(self wigeonshift.Instance) peerVersionTable {
	return peerVersionTable{self: self, byInstanceID: map[string]*peerVersion{}}
}

// record stores the version that an instance reported, and returns the one that it reported before.
func (t *peerVersionTable) record(id string, version, newest uint64, now time.Time) (previous uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.byInstanceID[id]
	if v == nil {
		if len(t.byInstanceID) >= maxPeerVersions {
			return 0
		}
		v = &peerVersion{}
		t.byInstanceID[id] = v
	}
	previous = v.version
	// Messages of a lost session may arrive late, so the recorded version never decreases.
	v.version, v.reportedAt = max(v.version, version), now
	switch {
	case v.version >= newest:
		v.behindSince = time.Time{}
	case v.behindSince.IsZero():
		v.behindSince = now
	}
	return previous
}

// markLagging marks the peers whose versions are older than the new active version of this instance.
func (t *peerVersionTable) markLagging(newest uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range t.byInstanceID {
		if v.version < newest && v.behindSince.IsZero() {
			v.behindSince = now
		}
	}
}

// version returns the version that an instance reported, or 0 if it has not reported one.
func (t *peerVersionTable) version(id string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v := t.byInstanceID[id]; v != nil {
		return v.version
	}
	return 0
}

// retain deletes the versions of instances that are no longer live.
func (t *peerVersionTable) retain(live []wigeonshift.Instance) {
	keep := make(map[string]bool, len(live))
	for _, i := range live {
		keep[i.ID] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.byInstanceID {
		if !keep[id] {
			delete(t.byInstanceID, id)
		}
	}
}

// list returns the known versions of live instances. An instance that has not reported its version has version 0.
func (t *peerVersionTable) list(live []wigeonshift.Instance, own uint64, now time.Time) []wigeonshift.InstanceVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]wigeonshift.InstanceVersion, len(live))
	for n, i := range live {
		list[n] = wigeonshift.InstanceVersion{Instance: i}
		v := t.byInstanceID[i.ID]
		switch {
		case i.ID == t.self.ID:
			list[n].Version = own
		case v != nil:
			list[n].Version = v.version
			if !v.behindSince.IsZero() {
				list[n].Lag = now.Sub(v.behindSince)
			}
		}
	}
	return list
}
