package wigeondispatch

import (
	"maps"
	"slices"
	"time"
)

const (
	// auditInterval is the time between two audits.
	auditInterval = time.Second
	// maxOverdueAudits is the number of audits in a row in which a request may be overdue. They are counted, rather than timed, because
	// calls end late after a pause of the instance.
	maxOverdueAudits = 5
)

// audit gives back what ended requests still hold, and corrects counts that differ from the requests that are known. Each request
// is to give back what it holds when it ends, so that an audit finds something only after a fault.
func (s *State) audit() {
	if s.now-s.auditedAt < auditInterval {
		return
	}
	s.auditedAt = s.now
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if !s.isOverdue(j) {
			j.overdueAudits = 0
			continue
		}
		j.overdueAudits++
		if j.overdueAudits > maxOverdueAudits {
			s.reclaim(j)
		}
	}
	s.correctLoads()
	s.correctPassing()
	s.correctReserved()
}

// isOverdue reports whether the call of a request has ended, or should have ended long ago.
func (s *State) isOverdue(j *Job) bool {
	return j.isOver || s.now > j.Deadline+max(j.Deadline-j.Arrived, 0)
}

// reclaim ends a request whose call can't be expected to report its end any more.
func (s *State) reclaim(j *Job) {
	s.emit(RequestReclaimed{
		Job: j.ID, RequestID: j.RequestID, EndpointID: j.endpointID(), Peer: j.passingTo, Age: s.now - j.Arrived, IsWithdrawn: j.isOver,
	})
	for _, a := range j.runningAttempts() {
		j.attempt = a
		j.assignedEndpoint.endAttempt(j)
	}
	j.attempt, j.second = attempt{}, nil
	s.endPassing(j)
	s.pool(j.Service).queue.remove(j)
	s.forget(j)
}

// endpointID returns the ID of the endpoint of the running attempt; empty if there is none.
func (j *Job) endpointID() string {
	if j.assignedEndpoint == nil {
		return ""
	}
	return j.assignedEndpoint.record.ID
}

// runningAttempts returns the attempts of a request that run.
func (j *Job) runningAttempts() []attempt {
	var out []attempt
	if j.assignedEndpoint != nil {
		out = append(out, j.attempt)
	}
	if j.second != nil {
		out = append(out, *j.second)
	}
	return out
}

// correctLoads corrects the loads of endpoints that differ from the attempts that run there.
func (s *State) correctLoads() {
	counted := map[*endpoint]load{}
	for _, j := range s.jobs {
		for _, a := range j.runningAttempts() {
			l := counted[a.assignedEndpoint]
			l.running++
			l.reservedTokens += j.tokenFootprint()
			if a.firstEventLatency == 0 {
				l.prefill += j.PromptTokens - a.keptTokens
			}
			counted[a.assignedEndpoint] = l
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		e := s.endpoints[id]
		if e.ownLoad == counted[e] {
			continue
		}
		s.emit(CountCorrected{Count: CountedLoad, Of: id, From: e.ownLoad.running, To: counted[e].running})
		e.ownLoad = counted[e]
	}
}

// correctPassing corrects the number of requests that are passed on.
func (s *State) correctPassing() {
	passing := 0
	for _, j := range s.jobs {
		if j.passingTo != "" {
			passing++
		}
	}
	if s.reach.passing != passing {
		s.emit(CountCorrected{Count: CountedPassing, From: s.reach.passing, To: passing})
		s.reach.passing = passing
	}
}

// correctReserved corrects the numbers of resends that are reserved for requests.
func (s *State) correctReserved() {
	reserved := map[string]int{}
	for _, j := range s.jobs {
		if j.resendReserved {
			reserved[j.Service]++
		}
	}
	for _, service := range slices.Sorted(maps.Keys(s.retryBudgets)) {
		b := s.retryBudgets[service]
		if from := b.Reserved(); from != reserved[service] {
			s.emit(CountCorrected{Count: CountedReserved, Of: service, From: from, To: reserved[service]})
			b.SetReserved(reserved[service])
		}
	}
}
