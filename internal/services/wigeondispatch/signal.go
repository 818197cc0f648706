package wigeondispatch

import (
	"time"
)

const (
	// backoffRamp is the time after a backoff within which an endpoint gets up to its usual number of requests again.
	backoffRamp = time.Second
	// minBackoffChange is the smallest extension of a backoff that is reported.
	minBackoffChange = time.Second
	// signalMemory is how long the signals of an endpoint are kept that is no longer listed. Its row may come back.
	signalMemory = 10 * time.Minute
)

// signals are what an endpoint has said of itself in its responses since it started.
type signals struct {
	// leaving is set once the endpoint has said that it takes no new requests.
	leaving bool
	// backoffUntil is the end of the time for which the endpoint wants no requests from this instance; zero if it never
	// asked for any.
	backoffUntil time.Duration
	// limit is the rate of requests that the endpoint takes from all instances; nil if it names none. limitEndedAt is the time
	// at which this instance learned of the end of the latest limit.
	limit        *rateLimit
	limitEndedAt time.Duration
	// limitGeneration counts the changes of the limit, so that instances can tell which of two states is the later one.
	limitGeneration uint64
	// listedAt is the latest time at which the endpoint was listed or sent a signal.
	listedAt time.Duration
}

// recordSignal records what an endpoint says of itself in a response. A response of an earlier process under its ID is
// ignored.
func (s *State) recordSignal(ev EndpointSignalled) {
	e := s.endpoints[ev.EndpointID]
	if e == nil || e.record.StartedAtMillis != ev.StartedAtMillis {
		return
	}
	g := s.signalsOf(e)
	s.recordLimit(e, g, ev)
	s.recordBrittle(e, ev)
	change := SignalRecorded{EndpointID: ev.EndpointID, StartedAtMillis: ev.StartedAtMillis, RequestID: ev.RequestID}
	if ev.Leaving && !g.leaving {
		g.leaving, change.Leaving = true, true
	}
	if until := s.now + ev.Backoff; ev.Backoff > 0 && until > g.backoffUntil {
		if until-max(g.backoffUntil, s.now) >= minBackoffChange || g.backoffUntil <= s.now {
			change.Backoff = ev.Backoff
		}
		g.backoffUntil = until
	}
	if change.Leaving || change.Backoff > 0 {
		s.emit(change)
	}
}

// signalsOf returns the signals of an endpoint, and keeps them beyond its place in the list.
func (s *State) signalsOf(e *endpoint) *signals {
	if e.signals == nil {
		e.signals = &signals{}
		s.signals[e.incarnation()] = e.signals
	}
	e.signals.listedAt = s.now
	return e.signals
}

// expireSignals forgets the signals of endpoints that have not been listed for a while.
func (s *State) expireSignals() {
	for i, g := range s.signals {
		if e := s.endpoints[i.endpointID]; e != nil && e.signals == g {
			g.listedAt = s.now
		}
		if s.now-g.listedAt > signalMemory {
			delete(s.signals, i)
		}
	}
}

// isLeaving reports whether an endpoint takes no new requests, as the list or the endpoint itself says.
func (e *endpoint) isLeaving() bool {
	return e.record.Leaving || e.signals != nil && e.signals.leaving
}

// backoffLeft returns the time for which an endpoint wants no requests.
func (e *endpoint) backoffLeft(at time.Duration) time.Duration {
	if e.signals == nil {
		return 0
	}
	return max(e.signals.backoffUntil-at, 0)
}

// rampLimit returns the number of requests of this instance that an endpoint may run. After a backoff and after a limit it
// grows step by step, so that the requests that have been waiting don't arrive all at once.
func (e *endpoint) rampLimit(at time.Duration) int {
	if e.signals == nil {
		return e.slots() + maxFailoverEndpointQueue
	}
	from := max(e.signals.backoffUntil, e.signals.limitEndedAt)
	if from == 0 || at-from >= backoffRamp {
		return e.slots() + maxFailoverEndpointQueue
	}
	return 1 + int(float64(e.slots())*float64(at-from)/float64(backoffRamp))
}

// backoffWait returns the time until the first endpoint of a service wants requests again. It is zero if some endpoint does
// now, or if none will.
func (p *pool) backoffWait(at time.Duration) time.Duration {
	wait := time.Duration(0)
	for _, e := range p.endpoints {
		if e.isLeaving() {
			continue
		}
		left := e.backoffLeft(at)
		if left == 0 {
			return 0
		}
		if wait == 0 || left < wait {
			wait = left
		}
	}
	return wait
}

// backoffRefusal returns the time until the first endpoint of a service wants requests again, if a request must be refused
// because that is longer than it may be queued.
func (s *State) backoffRefusal(p *pool, j *Job) (wait time.Duration, refused bool) {
	wait = p.backoffWait(s.now)
	mayWait := s.maxWait(j) - (s.now - j.Arrived)
	return min(wait, j.Deadline-s.now), wait > 0 && wait > mayWait
}

// MaySend reports whether an endpoint still wants a request that was dispatched to it. One that was dispatched before its limit
// was known isn't counted in the limit.
func (s *State) MaySend(d Dispatch, at time.Duration) bool {
	e := s.endpoints[d.EndpointID]
	if e == nil || e.signals == nil {
		return true
	}
	return !e.signals.leaving && e.backoffLeft(at) == 0 && (d.IsLimited || !e.isLimited())
}
