package wigeondispatch

import (
	"time"

	"wigeonshift"
)

// Endpoints that say that they are brittle fall over if they have to reject too many requests in a second for want of room. They get
// a request only if a slot is surely free: one that this instance's own request has just left, or as many as the instances before this
// one, and those that it can't reach, leave free if each of them takes one.
const (
	// brittleRejectionPause is the time for which a brittle endpoint gets no requests after the group has learned that it rejected one.
	brittleRejectionPause = 500 * time.Millisecond
	// brittleTurn is the time after which the members of a group change places at brittle endpoints. For its first groupReportDelay
	// nobody sends by its place, since the slots that others took in the turn before may not be reported yet.
	brittleTurn = 2 * groupReportDelay
	// brittleMemory is the time after which endpoints are no longer taken for brittle without an answer that says so.
	brittleMemory = 5 * time.Second
)

// brittleness is what the endpoints of a service say of themselves while they are brittle.
type brittleness struct {
	// perSecond is the rate of rejections beyond which an endpoint falls over.
	perSecond float64
	// since is the time at which this instance learned of it, saidAt that of the latest answer that said so.
	since, saidAt  time.Duration
	rejected, held int
}

// recordBrittle records what an endpoint says of its brittleness, which holds for its whole service. A response that says nothing
// ends it only if its request was sent after the latest one that did.
func (s *State) recordBrittle(e *endpoint, ev EndpointSignalled) {
	p := e.pool
	switch {
	case ev.Brittle.Unreadable:
	case ev.Brittle.Stated && p.brittle == nil:
		p.brittle = &brittleness{perSecond: ev.Brittle.RequestsPerSecond, since: s.now, saidAt: s.now}
		s.emitBrittle(p, e.record.ID, false)
	case ev.Brittle.Stated:
		p.brittle.perSecond, p.brittle.saidAt = ev.Brittle.RequestsPerSecond, s.now
	case p.brittle != nil && ev.DispatchedAt > p.brittle.saidAt:
		s.emitBrittle(p, e.record.ID, true)
		p.brittle = nil
	}
}

// expireBrittle ends the brittleness of services whose endpoints have said nothing for a while.
func (s *State) expireBrittle() {
	for _, p := range s.pools {
		if p.brittle != nil && s.now-p.brittle.saidAt > brittleMemory {
			s.emitBrittle(p, "", true)
			p.brittle = nil
		}
	}
}

func (s *State) emitBrittle(p *pool, endpointID string, ended bool) {
	s.emit(BrittleRecorded{
		Service: p.name, EndpointID: endpointID, Ended: ended, RejectionsPerSecond: p.brittle.perSecond, Rejected: p.brittle.rejected,
		Held: p.brittle.held, Duration: s.now - p.brittle.since,
	})
}

// hasSureRoom reports whether an endpoint that may be brittle surely has a free slot for a request of this instance.
func (s *State) hasSureRoom(e, freed *endpoint, j *Job) bool {
	b := e.pool.brittle
	hasRejected := e.rejectedAt > 0 && s.now-e.rejectedAt < brittleRejectionPause
	if b == nil || e == freed && !hasRejected {
		return true
	}
	share := s.groupShareOf(e, brittleTurn)
	free := e.slots() - e.running()
	isReported := e.dispatchedAt == 0 || s.now-e.dispatchedAt >= groupReportDelay
	// Members that can't be reached may take a slot each, too.
	ahead := share.place + share.members - share.reporting
	isInTurn := ahead < free && s.brittleTurnAge() >= groupReportDelay
	if !hasRejected && isReported && (isInTurn || free >= share.members) {
		return true
	}
	b.held++
	j.limitHolds++
	return false
}

// brittleTurnAge returns the time since the members of the group last changed places at brittle endpoints. Clocks before 1970, as in
// specs, count backwards.
func (s *State) brittleTurnAge() time.Duration {
	age := s.wallClock().UnixMilli() % brittleTurn.Milliseconds()
	return (time.Duration(age) * time.Millisecond).Abs()
}

// recordRejection records that an endpoint has rejected a request.
func (s *State) recordRejection(e *endpoint) {
	e.rejectedAt = s.now
	if e.pool.brittle != nil {
		e.pool.brittle.rejected++
		e.rejections++
	}
}

// handlePeerRejections pauses the brittle endpoints that have rejected requests of another member of the group since its last report.
func (s *State) handlePeerRejections(p *peer, loads []wigeonshift.EndpointLoad) {
	fresh := map[string]int{}
	for _, l := range loads {
		if l.Rejections == 0 {
			continue
		}
		fresh[l.Endpoint] = l.Rejections
		if e := s.endpoints[l.Endpoint]; e != nil && p.inGroup && l.Rejections > p.rejections[l.Endpoint] {
			e.rejectedAt = s.now
		}
	}
	p.rejections = fresh
}
