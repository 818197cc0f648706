package wigeonowner

import (
	"time"

	"wigeonshift"
)

const (
	// redirectLifetime is how long a redirected instance is remembered, so that it can be notified of a new owner.
	redirectLifetime = 10 * time.Second
	// maxRedirects limits the redirected instances remembered per shard.
	maxRedirects = 4096
)

// redirects holds, by id, the instances that contacted this instance about the shard while it wasn't the owner.
type redirects map[string]redirect

// redirect records an instance that was redirected to another owner.
type redirect struct {
	instance     wigeonshift.Instance
	redirectedAt time.Time
}

// recordRedirect remembers a redirected instance. If the limit is reached, it first drops expired records.
func (s *shard) recordRedirect(from wigeonshift.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if len(s.redirects) >= maxRedirects {
		for id, r := range s.redirects {
			if now.Sub(r.redirectedAt) > redirectLifetime {
				delete(s.redirects, id)
			}
		}
	}
	if len(s.redirects) < maxRedirects {
		s.redirects[from.ID] = redirect{from, now}
	}
}

// takeRedirected returns the recently redirected instances and clears all records.
func (s *shard) takeRedirected() []wigeonshift.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	var recent []wigeonshift.Instance
	for _, id := range sortedKeys(s.redirects) {
		if time.Since(s.redirects[id].redirectedAt) <= redirectLifetime {
			recent = append(recent, s.redirects[id].instance)
		}
	}
	clear(s.redirects)
	return recent
}
