package wigeonrelay

import (
	"sync"
	"time"
)

const (
	// usualDecay is how fast the usual timeout of a route falls towards shorter ones.
	usualDecay = 0.01
	// minElapsed is the least time by which a timeout must fall short of the usual one to count as spent.
	minElapsed = 150 * time.Millisecond
)

// usualTimeouts learns how long callers of a route wait. A caller with less time than usual has spent the difference on
// an earlier try.
type usualTimeouts struct {
	mu     sync.Mutex
	routes map[string]time.Duration
}

// elapsed takes the timeout of a request and returns the time that its caller has spent before.
func (u *usualTimeouts) elapsed(route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.routes == nil {
		u.routes = map[string]time.Duration{}
	}
	usual := u.routes[route]
	if timeout >= usual {
		u.routes[route] = timeout
		return 0
	}
	u.routes[route] = usual - time.Duration(usualDecay*float64(usual-timeout))
	if usual-timeout < minElapsed {
		return 0
	}
	return usual - timeout
}
