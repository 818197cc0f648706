package wigeonowner

import (
	"time"

	"wigeonshift"
)

const (
	// seekerLifetime is the time for which an instance that asked for a shard's owner is told of a new one.
	seekerLifetime = 10 * time.Second
	// maxSeekers bounds the instances remembered for one shard.
	maxSeekers = 4096
)

// seekers holds the instances that asked for the owner of a shard while another instance held the lease.
type seekers map[string]seeker

// seeker is one instance that looks for an owner.
type seeker struct {
	instance wigeonshift.Instance
	askedAt  time.Time
}

// sought remembers an instance that looks for the owner.
func (s *shard) sought(from wigeonshift.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if len(s.seekers) >= maxSeekers {
		for id, known := range s.seekers {
			if now.Sub(known.askedAt) > seekerLifetime {
				delete(s.seekers, id)
			}
		}
	}
	if len(s.seekers) < maxSeekers {
		s.seekers[from.ID] = seeker{from, now}
	}
}

// takeSeekers returns the instances that looked for the owner of late, and forgets all.
func (s *shard) takeSeekers() []wigeonshift.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	var fresh []wigeonshift.Instance
	for _, id := range sortedKeys(s.seekers) {
		if time.Since(s.seekers[id].askedAt) <= seekerLifetime {
			fresh = append(fresh, s.seekers[id].instance)
		}
	}
	clear(s.seekers)
	return fresh
}
