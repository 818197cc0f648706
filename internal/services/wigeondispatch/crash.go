package wigeondispatch

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonquarantine"
)

// midRunTime is the time from the first event of an attempt after which a crash counts as in the middle of its run.
const midRunTime = 500 * time.Millisecond

// lossMemory is how long a lost attempt is kept while its cause isn't known. A crashed endpoint is back under its old ID,
// or gone from the list, within this time.
const lossMemory = 15 * time.Second

// incarnation identifies one start of an endpoint.
type incarnation struct {
	endpointID      string
	startedAtMillis int64
}

// String returns the name of the incarnation in crash records.
func (i incarnation) String() string {
	return i.endpointID + "@" + strconv.FormatInt(i.startedAtMillis, 10)
}

func (e *endpoint) incarnation() incarnation {
	return incarnation{endpointID: e.record.ID, startedAtMillis: e.record.StartedAtMillis}
}

// loss is an attempt that was lost on an endpoint.
type loss struct {
	dispatchedAt time.Duration
	midRun       bool
}

// losses are the attempts that were lost on one incarnation of an endpoint, which may have crashed.
type losses struct {
	// byFingerprint holds the first lost attempt of each request.
	byFingerprint map[wigeonshift.Fingerprint]loss
	// firstAt is the time of the first loss since the latest check, latestAt that of the latest loss.
	firstAt, latestAt time.Duration
	// checking is set while a CheckEndpoint effect waits for its result.
	checking bool
	// silent is set if the endpoint sent nothing, so that an open connection doesn't show that it runs.
	silent bool
	// liveness is the result of the latest check.
	liveness wigeonshift.Liveness
	// crashed is set once the loss is known to be a crash.
	crashed bool
}

// recordLoss records a lost attempt. Whether the endpoint crashed is not known yet: a connection may break for other
// reasons. Thus the endpoint is checked, unless it is known to have crashed already. A leaving endpoint ends anyway.
func (s *State) recordLoss(e *endpoint, j *Job, silent bool) {
	if j.Fingerprint == 0 || e.record.Leaving {
		return
	}
	i := e.incarnation()
	l := s.losses[i]
	if l == nil {
		l = &losses{byFingerprint: map[wigeonshift.Fingerprint]loss{}}
		s.losses[i] = l
	}
	if !l.crashed && !l.checking {
		l.firstAt = s.now
	}
	if _, exists := l.byFingerprint[j.Fingerprint]; !exists {
		l.byFingerprint[j.Fingerprint] = loss{dispatchedAt: j.dispatchedAt, midRun: j.isMidRun(s.now)}
	}
	s.emit(LossRecorded{
		RequestID: j.RequestID, Fingerprint: j.Fingerprint, EndpointID: i.endpointID, StartedAtMillis: i.startedAtMillis, Silent: silent,
	})
	l.latestAt = s.now
	l.silent = l.silent || silent
	if l.crashed {
		s.recordCrash(i, l)
		return
	}
	if !l.checking {
		l.checking = true
		s.emit(CheckEndpoint{EndpointID: i.endpointID, Address: e.record.Address, StartedAtMillis: i.startedAtMillis})
	}
}

// handleEndpointChecked records the crash of an endpoint that has ended, and forgets what was lost on one that runs. The
// losses on a silent endpoint are kept until the list of endpoints shows what happened to it. Requests that waited for the
// result may now be dispatched or refused.
func (s *State) handleEndpointChecked(ev EndpointChecked) {
	i := incarnation{endpointID: ev.EndpointID, startedAtMillis: ev.StartedAtMillis}
	l := s.losses[i]
	if l == nil {
		return
	}
	l.checking, l.liveness = false, ev.Liveness
	switch {
	case ev.Liveness == wigeonshift.LivenessEnded:
		s.recordCrash(i, l)
	case ev.Liveness == wigeonshift.LivenessRunning && !l.silent:
		delete(s.losses, i)
	}
	s.dispatchAllWaiting()
}

// isMidRun reports whether the running attempt had its first event some time ago.
func (j *Job) isMidRun(at time.Duration) bool {
	return j.firstEventLatency > 0 && at-j.dispatchedAt-j.firstEventLatency >= midRunTime
}

// recordCrash counts the crash of an endpoint for every request that it lost. A request that was sent after the first loss
// came too late to be the cause: it was written to a connection that had already been broken.
func (s *State) recordCrash(i incarnation, l *losses) {
	l.crashed = true
	for _, f := range slices.Sorted(maps.Keys(l.byFingerprint)) {
		lost := l.byFingerprint[f]
		c := wigeonshift.Crash{Fingerprint: f, Endpoint: i.String(), MidRun: lost.midRun, At: s.wallClock()}
		if lost.dispatchedAt > l.firstAt || !s.crashes.Add(c) {
			continue
		}
		s.emit(ReportCrash{Crash: c, Crashes: len(s.crashes.Crashes(f)), Quarantined: s.crashes.Quarantined(f)})
	}
}

// recordRestart counts a crash for the attempts that were lost on an endpoint that has started again under its ID, as its
// new record shows.
func (s *State) recordRestart(e *endpoint, r wigeonshift.EndpointRecord) {
	l := s.losses[e.incarnation()]
	if l != nil && r.StartedAtMillis != e.record.StartedAtMillis {
		s.recordCrash(e.incarnation(), l)
	}
}

// recordRemoval counts a crash for the attempts that were lost on an endpoint that has disappeared from the list. An
// endpoint that a check found running may only have left without notice.
func (s *State) recordRemoval(e *endpoint) {
	l := s.losses[e.incarnation()]
	if l != nil && !e.record.Leaving && (l.silent || l.liveness == wigeonshift.LivenessUnknown) {
		s.recordCrash(e.incarnation(), l)
	}
}

// clearCrashes removes the crashes of a request that has run to its end, which shows that it doesn't cause them.
func (s *State) clearCrashes(f wigeonshift.Fingerprint) {
	for _, l := range s.losses {
		delete(l.byFingerprint, f)
	}
	if len(s.crashes.Crashes(f)) == 0 {
		return
	}
	s.crashes.Remove(f)
	s.emit(ClearCrashes{Fingerprint: f})
}

// replaceCrashes replaces the crash record by all crashes that the instances know of, and refuses queued requests that
// are quarantined now.
func (s *State) replaceCrashes(crashes []wigeonshift.Crash) {
	s.crashes = wigeonquarantine.NewRecord(wigeonquarantine.Limit)
	for _, c := range crashes {
		s.crashes.Add(c)
	}
	s.dispatchAllWaiting()
}

// expireLosses forgets lost attempts whose time is over.
func (s *State) expireLosses() {
	for i, l := range s.losses {
		if s.now-l.latestAt > lossMemory {
			delete(s.losses, i)
		}
	}
}

// uncheckedLosses returns the number of endpoints that lost an attempt of a request and are still being checked.
func (s *State) uncheckedLosses(f wigeonshift.Fingerprint) int {
	n := 0
	for _, l := range s.losses {
		if _, lost := l.byFingerprint[f]; l.checking && lost {
			n++
		}
	}
	return n
}

// mayBeQuarantined reports whether a request will be quarantined if the endpoints that are being checked have crashed. It
// waits for the results, at most as long as a check takes.
func (s *State) mayBeQuarantined(j *Job) bool {
	return len(s.losses) > 0 && s.crashes.QuarantinedAfter(j.Fingerprint, s.uncheckedLosses(j.Fingerprint))
}

// suspected reports whether a request was there when an endpoint crashed, or may have been.
func (s *State) suspected(j *Job) bool {
	return j.Fingerprint != 0 && (s.crashes.Suspected(j.Fingerprint) || len(s.losses) > 0 && s.uncheckedLosses(j.Fingerprint) > 0)
}

// endpointsWithSuspects returns the endpoints on which this instance runs another suspected request. If a suspected
// request were sent there as well, a crash would count for both.
func (s *State) endpointsWithSuspects(f wigeonshift.Fingerprint) map[*endpoint]bool {
	endpoints := map[*endpoint]bool{}
	for _, j := range s.jobs {
		if j.assignedEndpoint != nil && j.Fingerprint != f && s.suspected(j) {
			endpoints[j.assignedEndpoint] = true
		}
	}
	return endpoints
}

// refuseQuarantined ends a request that is quarantined. It reports that the request did not run only if it was never sent
// to an endpoint that may have run it.
func (s *State) refuseQuarantined(j *Job) {
	if j.mayHaveRun || j.answerStarted {
		s.fail(j, ReasonQuarantined)
		return
	}
	s.refuse(j, ReasonQuarantined, s.crashes.ExpiresAt(j.Fingerprint).Sub(s.wallClock()))
}

// wallClock returns the wall clock time that belongs to the state's monotonic time. Crashes carry it because instances
// share them.
func (s *State) wallClock() time.Time { return s.settings.StartedAt.Add(s.now) }
