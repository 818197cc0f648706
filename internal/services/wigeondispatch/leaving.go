package wigeondispatch

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxLeavingReports bounds the endpoints in a report, and what is kept of those that are gone.
	maxLeavingReports = 64
	// maxPeerLeaving bounds what is kept of the reports of others.
	maxPeerLeaving = 512
	// departureMemory is how long an instance reports an endpoint that was listed and is gone: in one notice to each instance of another
	// group at least.
	departureMemory = 3 * time.Second
	// peerLeavingTime is how long a report counts after it was last repeated: over twice the time between two notices of an instance of
	// another group.
	peerLeavingTime = 5 * time.Second
)

// departures are the endpoints that get no requests because they leave or are gone, by incarnation.
type departures struct {
	// revision is the one up to which this instance's list of endpoints has all changes.
	revision uint64
	// removedAt holds when endpoints that were listed have gone from this instance's list.
	removedAt map[string]time.Duration
	// reported holds what other instances have reported.
	reported map[string]leavingReport
}

// leavingReport is what other instances have reported of an endpoint that leaves or is gone.
type leavingReport struct {
	// revision is the newest of the lists that say so. A list of this instance that has that revision tells itself.
	revision uint64
	// at is the time of the latest report.
	at time.Duration
}

func newDepartures() departures {
	return departures{removedAt: map[string]time.Duration{}, reported: map[string]leavingReport{}}
}

// recordDeparture records that an endpoint has gone from the list.
func (s *State) recordDeparture(e *endpoint) {
	if len(s.departures.removedAt) < maxLeavingReports {
		s.departures.removedAt[e.incarnation().String()] = s.now
	}
}

// leavingReports returns the endpoints that the list shows to be leaving, or showed until a short while ago, at most maxLeavingReports,
// sorted.
func (s *State) leavingReports() []string {
	out := slices.Collect(maps.Keys(s.departures.removedAt))
	for _, e := range s.endpoints {
		if e.record.Leaving {
			out = append(out, e.incarnation().String())
		}
	}
	slices.Sort(out)
	return slices.Clip(out[:min(len(out), maxLeavingReports)])
}

// handlePeerLeaving takes over which endpoints another instance has seen leave, in a list of a revision. An instance that was cut off
// from the store learns of it from the store only after seconds.
func (s *State) handlePeerLeaving(peer string, reports []string, revision uint64) {
	if len(reports) == 0 {
		return
	}
	for _, name := range reports {
		known, exists := s.departures.reported[name]
		if !exists && len(s.departures.reported) >= maxPeerLeaving {
			continue
		}
		s.departures.reported[name] = leavingReport{revision: max(known.revision, revision), at: s.now}
	}
	for _, e := range s.endpoints {
		if wasLeaving := e.isLeaving(); s.applyLeavingReport(e) && !wasLeaving {
			s.emit(LeavingReported{EndpointID: e.record.ID, StartedAtMillis: e.record.StartedAtMillis, Peer: peer})
		}
	}
}

// applyLeavingReport reports whether an endpoint gets no requests because of what other instances have reported, and records that.
func (s *State) applyLeavingReport(e *endpoint) bool {
	r, exists := s.departures.reported[e.incarnation().String()]
	e.reportedLeaving = exists && r.revision > s.departures.revision
	return e.reportedLeaving
}

// applyLeavingReports applies the reports of other instances to a new list.
func (s *State) applyLeavingReports() {
	for _, e := range s.endpoints {
		s.applyLeavingReport(e)
	}
}

// expireDepartures forgets endpoints that have been gone for a while, and reports that are no longer repeated.
func (s *State) expireDepartures() {
	d := s.departures
	maps.DeleteFunc(d.removedAt, func(_ string, at time.Duration) bool { return s.now-at >= departureMemory })
	before := len(d.reported)
	maps.DeleteFunc(d.reported, func(_ string, r leavingReport) bool { return s.now-r.at >= peerLeavingTime })
	if len(d.reported) != before {
		s.applyLeavingReports()
	}
}
