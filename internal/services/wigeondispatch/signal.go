package wigeondispatch

import (
	"cmp"
	"slices"
	"time"
)

const (
	// backoffRamp is the time after a backoff within which an endpoint gets up to its usual number of requests again.
	backoffRamp = time.Second
	// minBackoffChange is the smallest extension of a backoff that is reported.
	minBackoffChange = time.Second
	// maxBackoffs bounds the backoffs that are kept for one process.
	maxBackoffs = 8
)

// signals are what a process has said of itself in its responses.
type signals struct {
	// leaving is set once the process has said that it takes no new requests, on a connection of the time leavingOn. It ends at
	// leavingUntil; zero means with the process.
	leaving                 bool
	leavingOn, leavingUntil time.Duration
	// backoffs are the times for which the process wants no requests from this instance, at most maxBackoffs, and backoffUntil the
	// latest end; zero if it never asked for any.
	backoffs     []backoff
	backoffUntil time.Duration
	// limit is the rate of requests that the process takes from all instances; nil if it names none. limitOn is the time of the
	// connection on which it named the limit, limitEndedAt that at which this instance learned of the end of the latest limit.
	limit                 *rateLimit
	limitOn, limitEndedAt time.Duration
	// limitGeneration counts the changes of the limit, so that instances can tell which of two states is the later one.
	limitGeneration uint64
}

// backoff is a time for which a process wants no requests, as it said on a connection.
type backoff struct {
	until, connectedAt time.Duration
}

// saidSince returns what was said on connections since a start; nil if nothing. It is that of the process which started then.
func (g *signals) saidSince(start, now time.Duration) *signals {
	next := &signals{}
	if g.leaving && g.leavingOn >= start {
		next.leaving, next.leavingOn, next.leavingUntil = true, g.leavingOn, now+inheritedLeavingTime
	}
	for _, b := range g.backoffs {
		if b.connectedAt >= start {
			next.addBackoff(b, now)
		}
	}
	if g.limit != nil && g.limitOn >= start {
		next.limit, next.limitOn, next.limitGeneration = g.limit, g.limitOn, g.limitGeneration
	}
	if !next.leaving && next.backoffUntil == 0 && next.limit == nil {
		return nil
	}
	return next
}

// addBackoff adds a backoff. It drops those that have ended, and the shortest if there are too many.
func (g *signals) addBackoff(b backoff, now time.Duration) {
	g.backoffUntil = max(g.backoffUntil, b.until)
	g.backoffs = slices.DeleteFunc(g.backoffs, func(x backoff) bool {
		return x.until <= now || x.until <= b.until && x.connectedAt <= b.connectedAt
	})
	g.backoffs = append(g.backoffs, b)
	if len(g.backoffs) > maxBackoffs {
		shortest := func(x, y backoff) int { return cmp.Compare(x.until, y.until) }
		slices.SortFunc(g.backoffs, shortest)
		g.backoffs = g.backoffs[1:]
	}
}

// limitLeaving ends the word that the process leaves at a time, unless it ends before.
func (g *signals) limitLeaving(until time.Duration) {
	if g != nil && g.leaving && g.leavingUntil == 0 {
		g.leavingUntil = until
	}
}

// expireLeaving ends the word that the process leaves once its time is over.
func (g *signals) expireLeaving(now time.Duration) {
	if g != nil && g.leavingUntil > 0 && now >= g.leavingUntil {
		g.leaving, g.leavingUntil = false, 0
	}
}

// recordSignal records what an endpoint's process says of itself in a response, also after its row has gone: an older copy of the list may
// bring it back. A response of an earlier process under its ID is ignored.
func (s *State) recordSignal(ev EndpointSignalled) {
	p := s.speaker(ev)
	if p == nil {
		return
	}
	g := s.signalsOf(p)
	if e := s.endpoints[ev.EndpointID]; e != nil {
		s.recordLimit(e, g, ev)
		s.recordBrittle(e, ev)
	}
	change := SignalRecorded{EndpointID: ev.EndpointID, StartedAtMillis: p.startedAtMillis, RequestID: ev.RequestID}
	if ev.Leaving {
		change.Leaving = !g.leaving
		g.leaving, g.leavingOn, g.leavingUntil = true, ev.ConnectedAt, 0
	}
	if ev.Backoff > 0 {
		until := s.now + ev.Backoff
		if until-max(g.backoffUntil, s.now) >= minBackoffChange || g.backoffUntil <= s.now {
			change.Backoff = ev.Backoff
		}
		g.addBackoff(backoff{until: until, connectedAt: ev.ConnectedAt}, s.now)
	}
	if change.Leaving || change.Backoff > 0 {
		s.emit(change)
	}
}

// signalsOf returns the signals of a process, which are those of its endpoint if that is listed.
func (s *State) signalsOf(p *process) *signals {
	if p.signals == nil {
		p.signals = &signals{}
	}
	p.seenAt = s.now
	if e := s.endpoints[p.endpointID]; e != nil {
		e.signals = p.signals
	}
	return p.signals
}

// isLeaving reports whether an endpoint takes no new requests, as the list, the endpoint itself or another instance says.
func (e *endpoint) isLeaving() bool {
	return e.record.Leaving || e.reportedLeaving || e.signals != nil && e.signals.leaving
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

// MaySend reports whether an endpoint may still get a request that was dispatched to it: the process to which it was dispatched is listed,
// nobody has said meanwhile that it leaves, and it wants requests. One that was dispatched before its limit was known isn't counted in
// the limit.
func (s *State) MaySend(d Dispatch, at time.Duration) bool {
	e := s.endpoints[d.EndpointID]
	if e == nil || e.record.StartedAtMillis != d.StartedAtMillis || e.isLeaving() {
		return false
	}
	return e.backoffLeft(at) == 0 && (d.IsLimited || !e.isLimited())
}
