package wigeonrelay

import (
	"slices"
	"sync"
	"time"
)

const (
	// minElapsed is the smallest difference to the usual timeout that counts as time spent on an earlier attempt.
	minElapsed = 150 * time.Millisecond
	// timeoutSamples is the number of latest timeouts from which the usual one is taken, usualTimeoutRank the rank of the
	// usual one among them from the longest. Retries have shorter timeouts, and single callers longer ones.
	timeoutSamples   = 32
	usualTimeoutRank = 3
	// minOrganisationSamples is the number of timeouts from which those of an organisation count instead of those of all
	// callers of the route.
	minOrganisationSamples = 8
	// maxCallerGroups bounds the groups of callers that are kept.
	maxCallerGroups = 4096
)

// callerTimeouts learns the usual timeout of the callers of each route and organisation. A request with a shorter timeout is
// taken as a retry whose caller spent the difference on an earlier attempt.
type callerTimeouts struct {
	mu      sync.Mutex
	samples map[callerGroup]*timeoutWindow
}

// callerGroup are the callers of one organisation on one route, or all callers of the route if the organisation is empty.
type callerGroup struct{ organisation, route string }

// timeoutWindow holds the latest timeouts of a group of callers.
type timeoutWindow struct {
	latest []time.Duration
	next   int
}

func (w *timeoutWindow) add(timeout time.Duration) {
	if len(w.latest) < timeoutSamples {
		w.latest = append(w.latest, timeout)
		return
	}
	w.latest[w.next] = timeout
	w.next = (w.next + 1) % timeoutSamples
}

// usual returns the usual timeout. Of a few timeouts it is one of the longest quarter.
func (w *timeoutWindow) usual() time.Duration {
	sorted := slices.Sorted(slices.Values(w.latest))
	rank := min(usualTimeoutRank, len(sorted)/4)
	return sorted[len(sorted)-1-rank]
}

// elapsed records the timeout of a request and returns the time that its caller has already spent on earlier attempts: the
// difference to the usual timeout. Differences below minElapsed count as zero. The reducer counts the time against the
// latency objective of the request.
func (t *callerTimeouts) elapsed(organisation, route string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	window := t.record(callerGroup{route: route}, timeout)
	if organisation != "" {
		if own := t.record(callerGroup{organisation: organisation, route: route}, timeout); len(own.latest) >= minOrganisationSamples {
			window = own
		}
	}
	if elapsed := window.usual() - timeout; elapsed >= minElapsed {
		return elapsed
	}
	return 0
}

// record adds a timeout to the window of a group and returns the window.
func (t *callerTimeouts) record(g callerGroup, timeout time.Duration) *timeoutWindow {
	if t.samples == nil || len(t.samples) >= maxCallerGroups && t.samples[g] == nil {
		t.samples = map[callerGroup]*timeoutWindow{}
	}
	w := t.samples[g]
	if w == nil {
		w = &timeoutWindow{}
		t.samples[g] = w
	}
	w.add(timeout)
	return w
}
