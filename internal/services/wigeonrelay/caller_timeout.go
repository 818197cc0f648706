package wigeonrelay

import (
	"sync"
	"time"
)

const (
	// timeoutDecay is the share of the difference by which a shorter timeout lowers the usual timeout of a route.
	timeoutDecay = 0.01
	// minElapsed is the smallest difference to the usual timeout that counts as time spent on an earlier attempt.
	minElapsed = 150 * time.Millisecond
)

// callerTimeouts learns the usual timeout of the callers of each route. A request with a shorter timeout is taken as a
// retry whose caller spent the difference on an earlier attempt.
type callerTimeouts struct {
	mu      sync.Mutex
	byRoute map[string]time.Duration
}

// elapsed records the timeout of a request and returns the time that its caller has already spent on earlier attempts:
// the difference to the usual timeout. Longer timeouts become the usual one at once and shorter ones lower it slowly,
// since they may come from retries. Differences below minElapsed count as zero. The reducer counts the time against the
// latency objective of the request.
func (t *callerTimeouts) elapsed(route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byRoute == nil {
		t.byRoute = map[string]time.Duration{}
	}
	usual := t.byRoute[route]
	if timeout >= usual {
		t.byRoute[route] = timeout
		return 0
	}
	t.byRoute[route] = usual - time.Duration(timeoutDecay*float64(usual-timeout))
	if usual-timeout < minElapsed {
		return 0
	}
	return usual - timeout
}
