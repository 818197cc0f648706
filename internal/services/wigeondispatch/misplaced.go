package wigeondispatch

import "time"

// An endpoint that a misdirected request shows to be gone gets none for misplacedPause, the time in which the list mostly drops it.
// Each further one doubles the pause up to maxMisplacedPause.
const (
	misplacedPause    = time.Second
	maxMisplacedPause = 8 * time.Second
)

// recordMisplaced pauses an endpoint because another one has its address now. Its row may stay for seconds after that. It returns
// the pause. After the pause a single request tests whether the endpoint is back, as with endpoints that failed.
func (e *endpoint) recordMisplaced(at time.Duration) time.Duration {
	pause := min(misplacedPause<<min(e.misplaced, maxDoublings), maxMisplacedPause)
	e.misplaced++
	e.consecutiveFailures = max(e.consecutiveFailures, suspectFailureThreshold)
	e.suspectUntil = at + pause
	return pause
}
