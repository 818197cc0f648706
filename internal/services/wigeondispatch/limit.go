package wigeondispatch

import (
	"time"
)

// rateLimit is the rate of requests that an endpoint takes from all instances together.
type rateLimit struct {
	// perSecond is the rate in requests per second, zero or more.
	perSecond float64
	// since is the time at which the endpoint first named a limit, namedAt that of the latest answer which named one.
	since, namedAt time.Duration
	// sent is the number of requests that this instance has sent to the endpoint since then.
	sent int
}

// isLimited reports whether the endpoint names a limit.
func (e *endpoint) isLimited() bool { return e.signals != nil && e.signals.limit != nil }

// recordLimit records what an endpoint says of its limit in a response. A response without a limit ends the limit only if its
// request was sent after the endpoint had last named one: the response to an earlier request may be late.
func (s *State) recordLimit(g *signals, ev EndpointSignalled) {
	change := LimitRecorded{EndpointID: ev.EndpointID, StartedAtMillis: ev.StartedAtMillis, RequestID: ev.RequestID}
	limit := g.limit
	switch {
	case ev.Limit.Stated && limit == nil:
		g.limit = &rateLimit{perSecond: ev.Limit.RequestsPerSecond, since: s.now, namedAt: s.now}
	case ev.Limit.Stated:
		limit.namedAt = s.now
		if limit.perSecond == ev.Limit.RequestsPerSecond {
			return
		}
		limit.perSecond = ev.Limit.RequestsPerSecond
	case ev.Limit.Unreadable || limit == nil || ev.DispatchedAt <= limit.namedAt:
		return
	default:
		change.Ended, g.limit = true, nil
	}
	if limit == nil {
		limit = g.limit
	}
	change.RequestsPerSecond, change.Sent, change.Duration = limit.perSecond, limit.sent, s.now-limit.since
	s.emit(change)
}
