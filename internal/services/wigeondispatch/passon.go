package wigeondispatch

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"
)

const (
	// maxPassedOn is the number of requests that may be passed on at the same time.
	maxPassedOn = 64
	// maxPassAttempts is the number of peers to which a request may be passed on one after the other. Members of the group that reach no
	// endpoint themselves don't count.
	maxPassAttempts = 3
	// peerRefusalPause is the time for which a peer gets no requests that reaches no endpoint itself, or can't be reached.
	peerRefusalPause = 2 * time.Second
	// cutOffRetryAfter is the Retry-After of a request that no peer takes.
	cutOffRetryAfter = 200 * time.Millisecond
)

// passOnWaiting passes the queued requests on while the instance is cut off, as many as its bound allows.
func (s *State) passOnWaiting() {
	if !s.reach.isCutOff {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		p := s.pools[name]
		for _, j := range slices.Clone(p.queue.jobs) {
			if s.passOnIfCutOff(j) {
				p.queue.remove(j)
			}
		}
	}
}

// abandonHanging ends attempts that have had no answer and may be made again elsewhere.
func (s *State) abandonHanging() {
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if j.assignedEndpoint == nil || j.answerStarted || j.isOver || !j.canFailOver() || j.Deadline-s.now < minResendTimeLeft {
			continue
		}
		if !j.resendReserved && s.reserveResend(j) {
			j.failedOver = true
			s.emit(Abandon{Job: j.ID})
		}
	}
}

// canPassOn reports whether a request may be passed on, now or once a peer takes it.
func (s *State) canPassOn(j *Job) bool {
	return !j.PassedOn && !j.answerStarted && (!j.mayHaveRun || j.repeatable()) &&
		j.passAttempts < maxPassAttempts && j.Deadline-s.now > minResendTimeLeft
}

// mayPassOn reports whether a request may be passed on now.
func (s *State) mayPassOn(j *Job) bool {
	return s.canPassOn(j) && s.reach.passing < maxPassedOn && s.choosePeer() != ""
}

// awaitsPeer reports whether a queued request waits to be passed on instead of being sent to an endpoint that can't be reached.
func (s *State) awaitsPeer(j *Job) bool {
	return s.reach.isCutOff && s.canPassOn(j) && s.hasPeers()
}

// isRefusedByPeers reports whether there are peers, but none takes requests.
func (s *State) isRefusedByPeers() bool { return s.hasPeers() && s.choosePeer() == "" }

// choosePeer returns the next member of the group that takes requests, or else the next instance of another group, or an empty ID.
func (s *State) choosePeer() string {
	if peer := s.nextPeer(s.memberNames()); peer != "" {
		return peer
	}
	return s.nextPeer(s.otherGroupInstances())
}

// nextPeer returns the instance that follows the one that got the latest request, of those that take requests, or an empty ID.
func (s *State) nextPeer(names iter.Seq[string]) string {
	var first, next string
	for name := range names {
		if s.now < s.reach.refusedUntil[name] {
			continue
		}
		if first == "" || name < first {
			first = name
		}
		if name > s.reach.latestPeer && (next == "" || name < next) {
			next = name
		}
	}
	return cmp.Or(next, first)
}

// memberNames yields the other members of the group that report their load.
func (s *State) memberNames() iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, m := range s.members {
			if !yield(m.name) {
				return
			}
		}
	}
}

// otherGroupInstances yields the instances of other groups.
func (s *State) otherGroupInstances() iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, id := range s.instanceIDs {
			if !s.groups.SameGroup(id, s.settings.Instance) && !yield(id) {
				return
			}
		}
	}
}

// hasPeers reports whether there are other instances to which a request could be passed on.
func (s *State) hasPeers() bool {
	for range s.otherGroupInstances() {
		return true
	}
	return len(s.members) > 0
}

// passOn passes a request on to a peer, which charges the quota. What may have run stays charged here.
func (s *State) passOn(j *Job) {
	if !j.mayHaveRun {
		s.refund(j)
	}
	peer := s.choosePeer()
	j.passAttempts++
	j.passingTo = peer
	s.reach.latestPeer = peer
	s.reach.passing++
	s.reach.passed++
	s.emit(PassOn{
		Job: j.ID, Peer: peer, Attempt: j.passAttempts, MayHaveRun: j.mayHaveRun, Timeout: j.Deadline - s.now, QueueTime: s.now - j.Arrived,
	})
}

// passOnIfCutOff passes a request on if the instance is cut off, or refuses it if no peer takes it, and reports whether it did. One
// that another instance has passed on goes back to it. What may have run isn't refused.
func (s *State) passOnIfCutOff(j *Job) bool {
	switch {
	case !s.reach.isCutOff:
		return false
	case s.mayPassOn(j):
		s.passOn(j)
		return true
	case (j.PassedOn || s.isRefusedByPeers()) && !j.mayHaveRun:
		s.refuse(j, ReasonCutOff, cutOffRetryAfter)
		return true
	default:
		return false
	}
}

// handlePassEnded records the end of a request that was passed on. One that the peer hasn't got, or couldn't send itself, goes to
// another peer.
func (s *State) handlePassEnded(ev PassEnded) {
	j := s.jobs[ev.Job]
	if j == nil || j.passingTo == "" {
		return
	}
	if ev.Outcome == OutcomeNotSent || ev.Outcome == OutcomeMisplaced {
		s.reach.refusedUntil[j.passingTo] = s.now + peerRefusalPause
	}
	if ev.Outcome == OutcomeMisplaced && s.groups.SameGroup(j.passingTo, s.settings.Instance) {
		// A member that reaches no endpoint refuses within milliseconds, and is then not asked for peerRefusalPause.
		j.passAttempts--
	}
	s.endPassing(j)
	s.continuePassed(j, ev)
	s.passOnWaiting()
}

// continuePassed forgets a request that was passed on, passes it on once more, or refuses or fails it.
func (s *State) continuePassed(j *Job, ev PassEnded) {
	switch ev.Outcome {
	case OutcomeDone, OutcomeAbandoned:
		s.forget(j)
		return
	case OutcomeLost:
		j.mayHaveRun = true
	}
	if ev.Answerable && s.mayPassOn(j) {
		s.passOn(j)
		return
	}
	if j.mayHaveRun {
		s.fail(j, ReasonLost)
		return
	}
	s.refuse(j, ReasonCutOff, cutOffRetryAfter)
}

// endPassing ends the passing on of a request, if it is passed on.
func (s *State) endPassing(j *Job) {
	if j.passingTo != "" {
		j.passingTo = ""
		s.reach.passing--
	}
}
