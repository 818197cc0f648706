package wigeondispatch

import (
	"time"

	"wigeonshift"
)

const (
	// processMemory is how long an endpoint's process is remembered that is no longer listed. Its row may come back.
	processMemory = 10 * time.Minute
	// startTolerance is the difference between the clocks of endpoints and instances that is allowed for.
	startTolerance = 100 * time.Millisecond
	// inheritedLeavingTime is how long an endpoint is taken for leaving if its row doesn't show that the process which said so still
	// has the ID. After that an answer decides.
	inheritedLeavingTime = 10 * time.Second
)

// process is the latest process under an endpoint's ID that the list has told of. Rows come late and go early, and those from an
// older copy of the list tell of earlier processes, so that what is seen of an endpoint is kept here and not with its row (see
// docs/decisions/endpoint-process.md).
type process struct {
	endpointID      string
	startedAtMillis int64
	// startedAt is the start on the instance's monotonic clock. No connection that is older leads to this process.
	startedAt time.Duration
	// endedAt is the time at which the process was last seen to have ended; zero if it wasn't. Later connections lead to another one,
	// also before the list tells of it.
	endedAt time.Duration
	// signals are what the process has said of itself, and what its successor has that the list doesn't tell of yet; nil if nothing.
	signals *signals
	// seenAt is the latest time at which the process was listed or said something.
	seenAt time.Duration
}

// noteProcess returns the process that a row of the list tells of: the known one, or its successor. A row with an earlier start comes
// from an older copy of the list: its process ended when the known one started.
func (s *State) noteProcess(r wigeonshift.EndpointRecord) *process {
	p := s.processes[r.ID]
	switch {
	case p == nil:
		p = &process{endpointID: r.ID, startedAtMillis: r.StartedAtMillis, startedAt: s.sinceStart(r.StartedAtMillis)}
	case r.StartedAtMillis > p.startedAtMillis:
		p = s.successor(p, r.StartedAtMillis)
	case r.StartedAtMillis < p.startedAtMillis:
		p.signals.limitLeaving(s.now + inheritedLeavingTime)
	}
	p.seenAt = s.now
	s.processes[r.ID] = p
	return p
}

// successor returns the process that follows p under its ID. What was said on connections since its start, it has said itself.
func (s *State) successor(p *process, startedAtMillis int64) *process {
	next := &process{endpointID: p.endpointID, startedAtMillis: startedAtMillis, startedAt: s.sinceStart(startedAtMillis)}
	if p.endedAt > 0 {
		next.startedAt = p.endedAt
	}
	if p.signals != nil {
		next.signals = p.signals.saidSince(next.startedAt, s.now)
	}
	return next
}

// sinceStart converts a start, which the endpoint's clock tells, to the instance's monotonic clock. A start that lies far ahead shows
// that the clocks differ; the list then tells of it some time after it.
func (s *State) sinceStart(startedAtMillis int64) time.Duration {
	start := time.UnixMilli(startedAtMillis).Sub(s.settings.StartedAt) - startTolerance
	if start > s.now {
		return s.now - restartNoticeTime
	}
	return start
}

// recordProcessEnd records that an endpoint's process has ended.
func (s *State) recordProcessEnd(i incarnation) {
	if p := s.processes[i.endpointID]; p != nil && p.startedAtMillis == i.startedAtMillis {
		p.endedAt = s.now
	}
}

// speaker returns the process that has sent an answer; nil if it is an earlier one than the known one.
func (s *State) speaker(ev EndpointSignalled) *process {
	p := s.processes[ev.EndpointID]
	if p == nil || ev.StartedAtMillis < p.startedAtMillis && ev.ConnectedAt < p.startedAt {
		return nil
	}
	return p
}

// expireProcesses forgets processes that have not been listed for a while, and what they were only taken to have said.
func (s *State) expireProcesses() {
	for id, p := range s.processes {
		p.signals.expireLeaving(s.now)
		if s.endpoints[id] != nil {
			p.seenAt = s.now
		}
		if s.now-p.seenAt > processMemory {
			delete(s.processes, id)
		}
	}
}

// ProcessUse tells how an instance uses the endpoint's process that runs one of its requests.
type ProcessUse struct {
	// Serves is set if the process is listed and neither the list nor the endpoint itself says that it leaves. Such a process isn't
	// meant to end.
	Serves bool
	// Others is the number of other requests of this instance that run there.
	Others int
	// EventTokens is the number of tokens in one event of a stream, at least 1.
	EventTokens int
}

// ProcessUse returns how the endpoint's process is used that runs a request, or its hedge. A request that no endpoint runs has been passed on to a
// peer, which isn't meant to end either.
func (s *State) ProcessUse(id JobID, isHedge bool) ProcessUse {
	j := s.jobs[id]
	if j == nil || !j.selectAttempt(isHedge) {
		return ProcessUse{Serves: true, EventTokens: 1}
	}
	e := j.assignedEndpoint
	return ProcessUse{
		Serves:      s.endpoints[e.record.ID] == e && !e.isLeaving(),
		Others:      e.ownLoad.running - 1,
		EventTokens: e.pool.eventTokens(),
	}
}
