package wigeondispatch

import (
	"slices"
	"time"
)

const (
	// An endpoint that a misdirected request shows to be gone gets none for misplacedPause, the time in which the list mostly drops it.
	// Each further one doubles the pause up to maxMisplacedPause.
	misplacedPause    = time.Second
	maxMisplacedPause = 8 * time.Second
	// maxMisplacedReports bounds the paused endpoints in a report.
	maxMisplacedReports = 64
	// singleUseTestDelay is how long after its pause an endpoint is tested only by requests that can be sent once more, so that a
	// request with a single attempt isn't lost to a test. A service may have no other requests.
	singleUseTestDelay = 2 * time.Second
)

// recordMisplaced pauses an endpoint because another one has its address now, and reports that.
func (s *State) recordMisplaced(e *endpoint) {
	pause := e.pauseMisplaced(s.now)
	s.emit(Suspect{EndpointID: e.record.ID, Duration: pause, Failures: e.consecutiveFailures, Misplaced: e.misplaced})
}

// pauseMisplaced pauses an endpoint whose row may stay for seconds after it has gone, and returns the pause. After it a single
// request tests whether the endpoint is back, as with endpoints that failed.
func (e *endpoint) pauseMisplaced(at time.Duration) time.Duration {
	pause := min(misplacedPause<<min(e.misplaced, maxDoublings), maxMisplacedPause)
	e.misplaced++
	e.consecutiveFailures = max(e.consecutiveFailures, suspectFailureThreshold)
	e.suspectUntil = at + pause
	return pause
}

// mayTest reports whether a request may be sent to an endpoint that has to be tested because another one had its address: at first,
// only a request that could be sent to another endpoint after that. Other endpoints may get any request.
func (e *endpoint) mayTest(j *Job, at time.Duration) bool {
	if e.misplaced == 0 || at >= e.suspectUntil+singleUseTestDelay {
		return true
	}
	return j.attempts+1 < j.MaxAttempts
}

// handlePeerMisplaced pauses the endpoints that another instance has found to be gone, so that each instance doesn't lose requests
// to find it out by itself.
func (s *State) handlePeerMisplaced(reports []string) {
	if len(reports) == 0 {
		return
	}
	for _, e := range s.endpoints {
		if s.now >= e.suspectUntil && slices.Contains(reports, e.incarnation().String()) {
			s.recordMisplaced(e)
		}
	}
}

// misplacedReports returns the endpoints that this instance has paused because they are gone, at most maxMisplacedReports, sorted.
func (s *State) misplacedReports() []string {
	var out []string
	for _, e := range s.endpoints {
		if e.misplaced > 0 && s.now < e.suspectUntil {
			out = append(out, e.incarnation().String())
		}
	}
	slices.Sort(out)
	return out[:min(len(out), maxMisplacedReports)]
}
