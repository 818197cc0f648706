package wigeondispatch

import (
	"slices"
	"strings"
	"time"

	"wigeonshift"
)

// An endpoint in need names the rate of requests that it takes from all instances together. The members of the endpoint's group
// share the rate: each keeps a token bucket of the whole, from which it subtracts what it sends and what the others report. As
// reports are late, members at later places leave tokens to those before them (see docs/decisions/endpoint-limits.md).
const (
	// minLimitRate is the rate, in requests per second, of endpoints that take less, so that the end of the limit is noticed.
	minLimitRate = 0.2
	// limitGroupTurn is the time after which another group sends to a limited endpoint that isn't assigned to one.
	limitGroupTurn = 8 * time.Second
	// minPlaceTokens is the smallest difference between the numbers of tokens that members at consecutive places need to send.
	minPlaceTokens = 0.2
	// burstTokens and burstTime give the size of the bucket: burstTokens, and what is added in burstTime.
	burstTokens = 1.5
	burstTime   = 500 * time.Millisecond
	// limitProbeInterval is the time without requests after which an endpoint with a limit gets the next one that the limit allows, so
	// that its end is noticed.
	limitProbeInterval = time.Second
	// limitChangeMemory is how long a change of a limit is reported that this instance's group doesn't share.
	limitChangeMemory = 5 * time.Second
	// maxLimitReports bounds such changes in a report.
	maxLimitReports = 64
)

// rateLimit is the rate of requests that an endpoint takes from all instances together.
type rateLimit struct {
	// perSecond is the rate in requests per second, zero or more.
	perSecond float64
	// since is the time at which this instance learned of the limit, namedAt that of the latest answer to it which named the limit,
	// or of the latest change.
	since, namedAt time.Duration
	// changedAt is the time of the latest change, usedAt that of the latest request of any member of the group.
	changedAt, usedAt time.Duration
	// sent is the number of requests that this instance has sent to the endpoint since it learned of the limit.
	sent uint64
	// peerSent holds what the other members of the group reported as sent. A member that is silent for a while is removed, as it
	// has used its own part meanwhile.
	peerSent map[string]uint64
	// balance is the number of tokens that are left in the bucket. It is negative if several members have sent at once.
	balance    float64
	refilledAt time.Duration
	// burst is the number of requests that this instance has sent since burstAt, at most groupReportDelay ago.
	burst   float64
	burstAt time.Duration
	// held is the number of decisions in which the endpoint got no request because of the limit.
	held int
}

// isLimited reports whether the endpoint names a limit.
func (e *endpoint) isLimited() bool { return e.signals != nil && e.signals.limit != nil }

// recordLimit records what an endpoint says of its limit in a response. A response without a limit, or with a higher one, counts only
// if its request was sent after the latest change was known: the response to an earlier request may be late.
func (s *State) recordLimit(e *endpoint, g *signals, ev EndpointSignalled) {
	limit, perSecond := g.limit, ev.Limit.RequestsPerSecond
	if ev.Limit.Stated {
		g.limitOn = ev.ConnectedAt
	}
	if ev.Limit.Unreadable || limit == nil && !ev.Limit.Stated {
		return
	}
	isLater := limit == nil || ev.DispatchedAt > limit.namedAt
	switch {
	case !ev.Limit.Stated:
		if isLater {
			s.endLimit(e, g, g.limitGeneration+1, ev.RequestID)
		}
	case limit == nil || perSecond < limit.perSecond || perSecond > limit.perSecond && isLater:
		s.setLimit(e, g, perSecond, g.limitGeneration+1, ev.RequestID)
	default:
		limit.namedAt = s.now
	}
}

// setLimit sets a new or changed limit. The bucket of a new one is empty at first: the endpoint is in need, and what the instances
// send before they know of the limit reaches it as well.
func (s *State) setLimit(e *endpoint, g *signals, perSecond float64, generation uint64, requestID string) {
	if g.limit == nil {
		g.limit = &rateLimit{since: s.now, usedAt: s.now, refilledAt: s.now, peerSent: map[string]uint64{}}
	}
	s.refillLimit(e)
	g.limitGeneration = generation
	g.limit.perSecond, g.limit.namedAt, g.limit.changedAt = perSecond, s.now, s.now
	g.limit.balance = min(g.limit.balance, g.limit.capacity())
	s.emitLimit(e, g.limit, LimitRecorded{RequestID: requestID})
}

// endLimit ends a limit. What was measured while the endpoint was in need says nothing of its speed now, and with few samples it
// could keep a wrong one for long.
func (s *State) endLimit(e *endpoint, g *signals, generation uint64, requestID string) {
	s.emitLimit(e, g.limit, LimitRecorded{RequestID: requestID, Ended: true})
	e.resetTimings()
	g.limit, g.limitGeneration, g.limitEndedAt = nil, generation, s.now
}

// emitLimit reports a change of a limit.
func (s *State) emitLimit(e *endpoint, limit *rateLimit, change LimitRecorded) {
	share := s.groupShareOf(e, placeTurn)
	change.EndpointID, change.StartedAtMillis = e.record.ID, e.record.StartedAtMillis
	change.RequestsPerSecond, change.Sent, change.Held = limit.perSecond, limit.sent, limit.held
	change.Duration, change.Age = s.now-limit.since, s.now-limit.namedAt
	change.Members, change.Reporting = share.members, share.reporting
	s.emit(change)
}

// capacity returns the number of tokens that the bucket holds.
func (l *rateLimit) capacity() float64 { return burstTokens + l.rate()*burstTime.Seconds() }

// rate returns the rate of all instances together in requests per second.
func (l *rateLimit) rate() float64 { return max(l.perSecond, minLimitRate) }

// placeTokens returns the number of tokens that a member at a place must leave to those before it.
func (l *rateLimit) placeTokens(place int) float64 {
	return float64(place) * max(minPlaceTokens, l.rate()*groupReportDelay.Seconds())
}

// maxBurst returns the number of requests that one instance may send before the others know of them.
func (l *rateLimit) maxBurst() float64 {
	return max(1, float64(int(l.rate()*groupReportDelay.Seconds())))
}

// refillLimit adds the tokens since the last refill. Members that can't be reached use their own parts, and so does this
// instance if it reaches no other.
func (s *State) refillLimit(e *endpoint) groupShare {
	limit, share := e.signals.limit, s.groupShareOf(e, placeTurn)
	part := float64(share.reporting) / float64(share.members)
	limit.balance = min(limit.balance+limit.rate()*part*(s.now-limit.refilledAt).Seconds(), limit.capacity())
	limit.refilledAt = s.now
	return share
}

// limitTokens returns the number of requests that this instance may send to an endpoint with a limit now.
func (s *State) limitTokens(e *endpoint) int {
	limit := e.signals.limit
	share := s.refillLimit(e)
	if !s.sharesLimit(e) {
		return 0
	}
	if s.now-limit.burstAt >= groupReportDelay {
		limit.burst, limit.burstAt = 0, s.now
	}
	return int(max(0, min(limit.balance-limit.placeTokens(share.place), limit.maxBurst()-limit.burst)))
}

// sharesLimit reports whether this instance's group sends to an endpoint with a limit. Groups learn of each other's requests too
// late to share a limit.
func (s *State) sharesLimit(e *endpoint) bool {
	own := s.groups.groupByInstance[s.settings.Instance]
	if own == "" {
		return true
	}
	if e.pool.divided {
		return !e.otherGroup
	}
	turn := s.wallClock().UnixMilli() / limitGroupTurn.Milliseconds()
	return s.groups.turnGroup(e.record.ID, turn) == own
}

// groupTokens returns the number of requests that all members of the group together may send to an endpoint with a limit now.
func (s *State) groupTokens(e *endpoint) int {
	s.refillLimit(e)
	if !s.sharesLimit(e) {
		return 0
	}
	return int(max(e.signals.limit.balance, 0))
}

// groupRate returns the number of requests per second that the members of the group may send to an endpoint with a limit.
func (s *State) groupRate(e *endpoint) float64 {
	if !s.sharesLimit(e) {
		return 0
	}
	return e.signals.limit.rate()
}

// allowsRequest reports whether the limit of an endpoint allows a request of this instance now.
func (s *State) allowsRequest(e *endpoint, j *Job) bool {
	if !e.isLimited() || s.limitTokens(e) > 0 {
		return true
	}
	e.signals.limit.held++
	j.limitHolds++
	return false
}

// needsProbe reports whether an endpoint with a limit has had no request for so long that the end of the limit may have been missed.
func (e *endpoint) needsProbe(at time.Duration) bool {
	return e.isLimited() && at-e.signals.limit.usedAt >= limitProbeInterval
}

// countLimited counts a request that is sent to an endpoint with a limit.
func (s *State) countLimited(e *endpoint) {
	limit := e.signals.limit
	limit.usedAt = s.now
	limit.sent++
	limit.balance--
	limit.burst++
}

// handlePeerLimits records what another instance knows of limits, and what it has sent if it is a member of the group.
func (s *State) handlePeerLimits(name string, p *peer, reports []wigeonshift.EndpointLimitUse) {
	for _, r := range reports {
		e := s.endpoints[r.Endpoint]
		if e == nil || e.record.StartedAtMillis != r.StartedAtMillis {
			continue
		}
		g := s.signalsOf(s.processes[r.Endpoint])
		s.adoptLimit(e, g, r)
		if g.limit != nil && p.inGroup {
			s.countPeerLimited(e, name, r.Sent)
		}
	}
}

// adoptLimit takes over what another instance knows of a limit if it knows of a later change. Of two changes that were noticed at the
// same time, the lower limit holds.
func (s *State) adoptLimit(e *endpoint, g *signals, r wigeonshift.EndpointLimitUse) {
	if r.Generation < g.limitGeneration {
		return
	}
	isLater := r.Generation > g.limitGeneration
	switch {
	case r.Ended && isLater && g.limit != nil:
		s.endLimit(e, g, r.Generation, "")
	case r.Ended:
		g.limitGeneration = r.Generation
	case isLater || g.limit == nil || r.RequestsPerSecond < g.limit.perSecond:
		s.setLimit(e, g, r.RequestsPerSecond, r.Generation, "")
	}
}

// countPeerLimited subtracts what a member of the group has sent since its last report. The first report is only compared with later
// ones. A member that sent less than before has started again.
func (s *State) countPeerLimited(e *endpoint, name string, sent uint64) {
	s.refillLimit(e)
	limit := e.signals.limit
	before, known := limit.peerSent[name]
	limit.peerSent[name] = sent
	if !known || sent == before {
		return
	}
	limit.usedAt = s.now
	if sent < before {
		before = 0
	}
	limit.balance -= float64(sent - before)
	limit.balance = max(limit.balance, -limit.capacity()-float64(len(s.members)))
}

// forgetPeerLimits forgets what a member of the group has sent, because it can no longer be reached.
func (s *State) forgetPeerLimits(name string) {
	for _, p := range s.processes {
		if p.signals != nil && p.signals.limit != nil {
			delete(p.signals.limit.peerSent, name)
		}
	}
}

// limitReports returns what this instance reports of limits: the use of those that its group shares now, and recent changes of other
// limits of its group's endpoints, at most maxLimitReports of these, the first by ID.
func (s *State) limitReports() []wigeonshift.EndpointLimitUse {
	var shared, others []wigeonshift.EndpointLimitUse
	for id, p := range s.processes {
		e, g := s.endpoints[id], p.signals
		if e == nil || g == nil || e.otherGroup || g.limitGeneration == 0 {
			continue
		}
		report := wigeonshift.EndpointLimitUse{
			Endpoint: id, StartedAtMillis: p.startedAtMillis, Generation: g.limitGeneration, Ended: g.limit == nil,
		}
		changedAt := g.limitEndedAt
		if g.limit != nil {
			report.RequestsPerSecond, report.Sent = g.limit.perSecond, g.limit.sent
			changedAt = g.limit.changedAt
		}
		switch {
		case g.limit != nil && s.sharesLimit(e):
			shared = append(shared, report)
		case s.now-changedAt < limitChangeMemory:
			others = append(others, report)
		}
	}
	byEndpoint := func(a, b wigeonshift.EndpointLimitUse) int { return strings.Compare(a.Endpoint, b.Endpoint) }
	slices.SortFunc(shared, byEndpoint)
	slices.SortFunc(others, byEndpoint)
	return append(shared, others[:min(len(others), maxLimitReports)]...)
}
