package wigeondispatch

import (
	"maps"
	"slices"
	"time"
)

// An instance may reach no endpoint while its peers do. It then passes requests on to members of its group, or to other instances if none
// of these takes them. Their admission decides on the requests. It ends when an endpoint answers again.
const (
	// cutOffEndpoints is the number of endpoints that must have failed, and none have answered since, for the instance to
	// suspect that it is cut off. Those that are known to be down don't count. If fewer are left, all must have failed.
	cutOffEndpoints = 3
	// hangingEndpoints is the number of endpoints with attempts without an answer, and hangingTime the time without an answer of any
	// endpoint, after which a cut is suspected as well: connections may hang without an error.
	hangingEndpoints = 2
	hangingTime      = time.Second
	// cutOffProbes is the number of endpoints that are probed at a time, and cutOffProbeInterval the time between two probes.
	cutOffProbes        = 3
	cutOffProbeInterval = 300 * time.Millisecond
)

// reach is what an instance knows of its way to the endpoints.
type reach struct {
	// reachedAt is the time at which any endpoint was last known to be reachable.
	reachedAt time.Duration
	// failed holds the endpoints that have failed since reachedAt, without those in down. failedAt is the time of the first of these
	// failures.
	failed   map[string]bool
	failedAt time.Duration
	// down holds the endpoints that failed while others were reached, and that weren't reached since. They tell nothing of a cut.
	down map[string]bool
	// isCutOff is set once probes of other endpoints have failed as well, at cutOffAt.
	isCutOff bool
	cutOffAt time.Duration
	// probing holds the endpoints whose probes wait for a result. probedAt is the time of the latest probes.
	probing  map[string]bool
	probedAt time.Duration
	// probeFailures counts the probes that failed since reachedAt.
	probeFailures int
	// passing counts the requests that are passed on, passed those since cutOffAt.
	passing, passed int
	// refusedUntil holds the time until which a peer gets no requests.
	refusedUntil map[string]time.Duration
	// latestPeer is the peer that got the latest request.
	latestPeer string
}

func newReach() reach {
	return reach{
		failed: map[string]bool{}, down: map[string]bool{}, probing: map[string]bool{}, refusedUntil: map[string]time.Duration{},
	}
}

// recordReachable records that an endpoint has answered or accepted a connection. It ends the cut.
func (s *State) recordReachable(endpointID string) {
	r := &s.reach
	r.reachedAt, r.probeFailures = s.now, 0
	delete(r.failed, endpointID)
	s.recordDown()
	delete(r.down, endpointID)
	if !r.isCutOff {
		return
	}
	r.isCutOff = false
	s.emit(CutOffRecorded{Ended: true, Duration: s.now - r.cutOffAt, Passed: r.passed})
	s.endPauses()
}

// IsCutOff reports whether the instance reaches no endpoint, as far as it knows.
func (s *State) IsCutOff() bool { return s.reach.isCutOff || s.isSuspected() }

// endPauses lets endpoints that failed during the cut take requests at once.
func (s *State) endPauses() {
	for _, e := range s.endpoints {
		e.consecutiveFailures, e.suspectUntil = 0, 0
	}
	s.dispatchAllWaiting()
}

// recordDown records that the endpoints which have failed are down, as others could be reached meanwhile.
func (s *State) recordDown() {
	maps.Copy(s.reach.down, s.reach.failed)
	clear(s.reach.failed)
}

// recordSilence records that an attempt on an endpoint failed without any answer. One that was sent after the first failure, and whose
// connection broke soon, had reached its endpoint.
func (s *State) recordSilence(e *endpoint, j *Job, o Outcome) {
	r := &s.reach
	if len(r.failed) > 0 && o == OutcomeLost && j.dispatchedAt >= r.failedAt && s.now-j.dispatchedAt < hangingTime {
		s.recordDown()
	}
	if r.down[e.record.ID] {
		return
	}
	if len(r.failed) == 0 {
		r.failedAt = s.now
	}
	r.failed[e.record.ID] = true
	s.probeIfSuspected()
}

// isSuspected reports whether what happened since an endpoint was last reached may come from a cut.
func (s *State) isSuspected() bool {
	if len(s.endpoints) == 0 {
		return false
	}
	return s.hasFailedEverywhere() || s.isHanging()
}

// hasFailedEverywhere reports whether cutOffEndpoints endpoints have failed that weren't known to be down or to have crashed, or all such
// endpoints if there are fewer.
func (s *State) hasFailedEverywhere() bool {
	failed, down := 0, 0
	for id, e := range s.endpoints {
		l := s.losses[e.incarnation()]
		switch {
		case s.reach.down[id] || l != nil && l.crashed:
			down++
		case s.reach.failed[id]:
			failed++
		}
	}
	return failed >= cutOffEndpoints || failed > 0 && failed+down == len(s.endpoints)
}

// isHanging reports whether attempts on several endpoints have had no answer for long, nor has any other.
func (s *State) isHanging() bool {
	if s.now-s.reach.reachedAt < hangingTime {
		return false
	}
	hanging := map[*endpoint]bool{}
	for _, j := range s.jobs {
		if j.assignedEndpoint != nil && s.now-j.dispatchedAt >= hangingTime {
			hanging[j.assignedEndpoint] = true
		}
	}
	return len(hanging) >= min(hangingEndpoints, len(s.endpoints))
}

// probeIfSuspected probes endpoints while a cut is suspected or known.
func (s *State) probeIfSuspected() {
	r := &s.reach
	if !r.isCutOff && !s.isSuspected() || len(r.probing) > 0 || s.now-r.probedAt < cutOffProbeInterval && r.probedAt > 0 {
		return
	}
	r.probedAt = s.now
	for _, e := range s.probeTargets() {
		r.probing[e.record.ID] = true
		s.emit(ProbeEndpoint{EndpointID: e.record.ID, Address: e.record.Address})
	}
}

// probeTargets returns the endpoints to probe: others than those that have failed, if there are any, and others each time.
func (s *State) probeTargets() []*endpoint {
	var sound, failed []*endpoint
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		switch e := s.endpoints[id]; {
		case e.isLeaving():
		case s.reach.failed[id] && !s.reach.isCutOff:
			failed = append(failed, e)
		default:
			sound = append(sound, e)
		}
	}
	candidates := slices.Concat(sound, failed)
	if len(sound) > cutOffProbes {
		first := int(s.now/cutOffProbeInterval) % len(sound)
		candidates = slices.Concat(sound[first:], sound[:first])
	}
	return candidates[:min(cutOffProbes, len(candidates))]
}

// endpointsBeside returns endpoints that show by being reachable that this instance isn't cut off from one.
func (s *State) endpointsBeside(e *endpoint) []ProbeEndpoint {
	var others []ProbeEndpoint
	for _, x := range s.probeTargets() {
		if x != e {
			others = append(others, ProbeEndpoint{EndpointID: x.record.ID, Address: x.record.Address})
		}
	}
	return others
}

// handleProbed records the result of a probe. The instance is cut off once all probes of a round have failed.
func (s *State) handleProbed(ev EndpointProbed) {
	r := &s.reach
	delete(r.probing, ev.EndpointID)
	if ev.Reached {
		s.recordReachable(ev.EndpointID)
		return
	}
	r.probeFailures++
	if r.isCutOff || len(r.probing) > 0 || !s.isSuspected() || r.probeFailures < min(cutOffProbes, len(s.endpoints)) {
		return
	}
	r.isCutOff, r.cutOffAt, r.passed = true, s.now, 0
	s.emit(CutOffRecorded{Endpoints: len(s.endpoints), Since: s.now - r.reachedAt, Peers: len(s.members)})
	s.passOnWaiting()
	s.abandonHanging()
}

// expireReach forgets endpoints that are gone and pauses of peers that are over. While the instance is cut off, it passes on what waited
// for a peer, and probes endpoints.
func (s *State) expireReach() {
	maps.DeleteFunc(s.reach.down, func(id string, _ bool) bool { return s.endpoints[id] == nil })
	maps.DeleteFunc(s.reach.refusedUntil, func(_ string, until time.Duration) bool { return s.now >= until })
	s.passOnWaiting()
	s.probeIfSuspected()
}
