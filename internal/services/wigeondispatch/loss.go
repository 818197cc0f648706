package wigeondispatch

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"wigeonshift"
)

// midRunTime is the time from the first event of an attempt after which a crash counts as in the middle of its run.
const midRunTime = 500 * time.Millisecond

const (
	// lossMemory is how long a lost attempt is kept while its cause isn't known. A crashed endpoint is back under its old ID,
	// or gone from the list, within this time.
	lossMemory = 15 * time.Second
	// restartNoticeTime is the time within which the list shows that an endpoint has started again under its ID. Until then
	// answers of the new process can't be told from answers of the old one.
	restartNoticeTime = 2 * time.Second
	// unverifiedLossAge is the age up to which an unverified loss counts when connections break because the endpoint has
	// ended: it ended just now.
	unverifiedLossAge = time.Second
	// maxLosses bounds the lost attempts of different requests on one incarnation of an endpoint.
	maxLosses = 256
)

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

// lossKind tells how an attempt was lost.
type lossKind int

const (
	// lossBroken means that the connection broke.
	lossBroken lossKind = iota
	// lossSilent means that the endpoint sent nothing for the stall timeout, so that an open connection doesn't show that it
	// runs.
	lossSilent
	// lossUnverified means that this instance ended the attempt earlier, as the caller had left or the deadline had passed.
	lossUnverified
)

var lossKindNames = [...]string{"broken", "silent", "unverified"}

// String returns the name of the kind in logs.
func (k lossKind) String() string { return lossKindNames[k] }

// loss is an attempt that was lost on an endpoint.
type loss struct {
	shared                wigeonshift.SharedFingerprints
	features              []wigeonshift.Fingerprint
	dispatchedAt, endedAt time.Duration
	midRun                bool
	kind                  lossKind
}

// losses are the attempts that were lost on one incarnation of an endpoint, which may have crashed.
type losses struct {
	address string
	// byFingerprint holds the first lost attempt of each request.
	byFingerprint map[wigeonshift.Fingerprint]loss
	// firstAt is the time of the first loss since the latest check, latestAt that of the latest loss.
	firstAt, latestAt time.Duration
	// aliveAt is the latest time at which an attempt was sent that the endpoint answered.
	aliveAt time.Duration
	// checking is set while a CheckEndpoint effect waits for its result.
	checking bool
	// silent is set once an attempt was lost without a broken connection.
	silent bool
	// liveness is the result of the latest check.
	liveness wigeonshift.Liveness
	// crashed is set once the loss is known to be a crash.
	crashed bool
}

// recordLoss records a lost attempt. Whether the endpoint crashed is not known yet: a connection may break for other
// reasons. Thus the endpoint is checked, unless it is known to have crashed already, or the attempt was ended too early to
// tell. A leaving endpoint ends anyway.
func (s *State) recordLoss(e *endpoint, j *Job, kind lossKind, events int) {
	s.blockTrials(j)
	s.blockCauseTrials(j)
	if j.Fingerprint == 0 || e.isLeaving() {
		return
	}
	i := e.incarnation()
	l := s.losses[i]
	if l == nil {
		l = &losses{address: e.record.Address, byFingerprint: map[wigeonshift.Fingerprint]loss{}}
		s.losses[i] = l
	}
	if !l.crashed && !l.checking {
		l.firstAt = s.now
	}
	l.add(j, kind, s.isMidRun(e, j, kind, events), s.now)
	s.emit(LossRecorded{
		RequestID: j.RequestID, Fingerprint: j.Fingerprint, Shared: j.Shared, Features: j.Features, EndpointID: i.endpointID,
		StartedAtMillis: i.startedAtMillis, Kind: kind.String(),
	})
	if l.crashed {
		s.recordCrash(i, l, crashEvidence{ignoresAnswers: true})
		return
	}
	if !l.checking && kind != lossUnverified {
		l.checking = true
		s.emit(CheckEndpoint{
			EndpointID: i.endpointID, Address: e.record.Address, StartedAtMillis: i.startedAtMillis, Others: s.endpointsBeside(e),
		})
	}
}

// add records a lost attempt, unless there is one of the same request that the endpoint's answers have not refuted.
func (l *losses) add(j *Job, kind lossKind, midRun bool, now time.Duration) {
	l.latestAt = now
	l.silent = l.silent || kind != lossBroken
	known, exists := l.byFingerprint[j.Fingerprint]
	refuted := exists && known.kind == lossUnverified && known.endedAt < l.aliveAt
	if exists && !refuted || len(l.byFingerprint) >= maxLosses {
		return
	}
	l.byFingerprint[j.Fingerprint] = loss{
		shared: j.Shared, features: j.Features, dispatchedAt: j.dispatchedAt, endedAt: now, midRun: midRun, kind: kind,
	}
}

// recordAlive records that an endpoint answered an attempt, so that it had not crashed before that was sent.
func (s *State) recordAlive(e *endpoint, j *Job) {
	if l := s.losses[e.incarnation()]; l != nil {
		l.aliveAt = max(l.aliveAt, j.dispatchedAt)
	}
}

// handleEndpointChecked records the crash of an endpoint that has ended, and forgets what was lost on one that runs. The
// losses on a silent endpoint are kept until the list of endpoints shows what happened to it. Requests that waited for the
// result may now be dispatched or refused.
func (s *State) handleEndpointChecked(ev EndpointChecked) {
	i := incarnation{endpointID: ev.EndpointID, startedAtMillis: ev.StartedAtMillis}
	if ev.Liveness == wigeonshift.LivenessEnded && !s.reach.isCutOff {
		s.recordProcessEnd(i)
	}
	l := s.losses[i]
	if l == nil {
		return
	}
	l.checking, l.liveness = false, ev.Liveness
	if ev.Liveness == wigeonshift.LivenessEnded && s.reach.isCutOff {
		// Refused connections may come from a cut. The list of endpoints shows whether this one has ended.
		l.liveness, l.silent = wigeonshift.LivenessUnknown, true
		return
	}
	switch {
	case ev.Liveness == wigeonshift.LivenessEnded:
		s.recordCrash(i, l, crashEvidence{endedJustNow: true})
	case ev.Liveness == wigeonshift.LivenessRunning && !l.silent:
		delete(s.losses, i)
	}
	s.dispatchAllWaiting()
}

// isMidRun reports whether an attempt that is lost had run for some time since its first event. The time for which the endpoint was
// silent is no part of that; it is known from the number of events.
func (s *State) isMidRun(e *endpoint, j *Job, kind lossKind, events int) bool {
	if j.firstEventLatency == 0 {
		return false
	}
	run := s.now - j.dispatchedAt - j.firstEventLatency
	if kind != lossBroken {
		run = min(run, time.Duration(events-1)*e.decodeStep*time.Duration(e.pool.eventTokens()))
	}
	return run >= midRunTime
}

// crashEvidence tells how a crash was noticed.
type crashEvidence struct {
	// endedJustNow is set if the connections broke when the endpoint ended.
	endedJustNow bool
	// ignoresAnswers is set if later answers may come from another process under the same ID.
	ignoresAnswers bool
}

// recordCrash counts the crash of an endpoint for every request that it lost. A request that was sent after the first loss
// came too late to be the cause: it was written to a connection that had already been broken. So did one that was lost
// before the endpoint answered others.
func (s *State) recordCrash(i incarnation, l *losses, evidence crashEvidence) {
	l.crashed = true
	for _, f := range slices.Sorted(maps.Keys(l.byFingerprint)) {
		lost := l.byFingerprint[f]
		c := wigeonshift.Crash{Fingerprint: f, Shared: lost.shared, Features: lost.features, Endpoint: i.String(), MidRun: lost.midRun, At: s.crashTime(lost)}
		if !l.mayBeCause(lost, evidence, s.now) || !s.crashes.Add(c) {
			continue
		}
		s.emit(ReportCrash{Crash: c, Crashes: len(s.crashes.Crashes(f)), Quarantined: s.crashes.Quarantined(f)})
	}
}

// crashTime returns the time of the crash of an endpoint. One that falls silent is noticed seconds later, and may have crashed as soon as
// it got the request: answers to others like it since then tell that they are sound.
func (s *State) crashTime(lost loss) time.Time {
	if lost.kind == lossBroken {
		return s.wallClock()
	}
	return s.settings.StartedAt.Add(lost.dispatchedAt)
}

func (l *losses) mayBeCause(lost loss, evidence crashEvidence, now time.Duration) bool {
	switch {
	case lost.dispatchedAt > l.firstAt:
		return false
	case lost.endedAt < l.aliveAt && !evidence.ignoresAnswers:
		return false
	case lost.kind == lossUnverified && evidence.endedJustNow:
		return now-lost.endedAt <= unverifiedLossAge
	default:
		return true
	}
}

// recordRestart counts a crash for the attempts that were lost on an endpoint that has started again under its ID, as its
// new record shows.
func (s *State) recordRestart(e *endpoint, r wigeonshift.EndpointRecord) {
	l := s.losses[e.incarnation()]
	if l != nil && r.StartedAtMillis != e.record.StartedAtMillis {
		s.recordCrash(e.incarnation(), l, crashEvidence{ignoresAnswers: s.now-l.aliveAt <= restartNoticeTime})
	}
}

// recordReusedAddresses counts a crash for the attempts that were lost on endpoints whose address another one has now.
func (s *State) recordReusedAddresses(records []wigeonshift.EndpointRecord) {
	if len(s.losses) == 0 {
		return
	}
	byAddress := map[string]incarnation{}
	for _, r := range records {
		if known, ok := byAddress[r.Address]; !ok || r.StartedAtMillis > known.startedAtMillis {
			byAddress[r.Address] = incarnation{endpointID: r.ID, startedAtMillis: r.StartedAtMillis}
		}
	}
	for _, i := range slices.SortedFunc(maps.Keys(s.losses), compareIncarnations) {
		l, e := s.losses[i], s.endpoints[i.endpointID]
		if l.crashed || e == nil || e.incarnation() != i || e.isLeaving() {
			continue
		}
		if successor, listed := byAddress[l.address]; listed && successor.endpointID != i.endpointID {
			s.recordCrash(i, l, crashEvidence{})
		}
	}
}

func compareIncarnations(a, b incarnation) int {
	return cmp.Or(cmp.Compare(a.endpointID, b.endpointID), cmp.Compare(a.startedAtMillis, b.startedAtMillis))
}

// recordRemoval counts a crash for the attempts that were lost on an endpoint that has disappeared from the list. An
// endpoint that a check found running may only have left without notice.
func (s *State) recordRemoval(e *endpoint) {
	l := s.losses[e.incarnation()]
	if l != nil && !e.isLeaving() && (l.silent || l.liveness == wigeonshift.LivenessUnknown) {
		s.recordCrash(e.incarnation(), l, crashEvidence{})
	}
}

// expireLosses forgets lost attempts whose time is over.
func (s *State) expireLosses() {
	for i, l := range s.losses {
		if s.now-l.latestAt > lossMemory {
			delete(s.losses, i)
		}
	}
}

// uncheckedLosses returns the number of endpoints that lost an attempt of a request and may have crashed: they are still
// being checked, or were silent when they were.
func (s *State) uncheckedLosses(f wigeonshift.Fingerprint) int {
	n := 0
	for _, l := range s.losses {
		if lost, exists := l.byFingerprint[f]; exists && l.isOpen(lost) {
			n++
		}
	}
	return n
}

// isOpen reports whether a loss may still turn out to be a crash soon.
func (l *losses) isOpen(lost loss) bool {
	if l.checking {
		return true
	}
	return !l.crashed && lost.kind == lossSilent && l.liveness == wigeonshift.LivenessUnknown && lost.endedAt >= l.aliveAt
}

// mayBeQuarantined reports whether a request will be quarantined if the endpoints whose losses are open have crashed. It
// waits for the results.
func (s *State) mayBeQuarantined(j *Job) bool {
	if len(s.losses) == 0 {
		return false
	}
	return s.crashes.QuarantinedAfter(j.Fingerprint, s.uncheckedLosses(j.Fingerprint)) || s.mayBeSuspected(j)
}

// mayBeSuspected reports whether a request will be suspected by what it shares with others if the endpoints that are being
// checked have crashed.
func (s *State) mayBeSuspected(j *Job) bool {
	if s.answers.Count(j.Fingerprint) > 0 {
		return false
	}
	for _, shared := range [...]wigeonshift.Fingerprint{j.Shared.Content, j.Shared.Query, j.Shared.Headers} {
		if checking := s.checkedEndpoints(shared); checking > 0 && s.crashes.IsSuspected(j.Shared.Content, shared, s.answers, checking) {
			return true
		}
	}
	return false
}

// checkedEndpoints returns the number of endpoints that lost attempts of requests with a shared fingerprint and are being
// checked.
func (s *State) checkedEndpoints(shared wigeonshift.Fingerprint) int {
	n := 0
	for _, l := range s.losses {
		if l.checking && l.sharedBy(shared) {
			n++
		}
	}
	return n
}

// sharedBy reports whether a request with a shared fingerprint was lost.
func (l *losses) sharedBy(shared wigeonshift.Fingerprint) bool {
	for _, lost := range l.byFingerprint {
		if shared != 0 && (lost.shared.Content == shared || lost.shared.Query == shared || lost.shared.Headers == shared) {
			return true
		}
	}
	return false
}

// wallClock returns the wall clock time that belongs to the state's monotonic time. Crashes carry it because instances
// share them.
func (s *State) wallClock() time.Time { return s.settings.StartedAt.Add(s.now) }
