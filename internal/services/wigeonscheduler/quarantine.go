package wigeonscheduler

import (
	"strconv"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonquarantine"
)

// MaxCrashes is the number of crashes after which a fingerprint is refused. It also bounds the endpoints on which one
// fingerprint is in flight at the same time, so that it cannot crash more. The loss of an attempt counts as a crash of its
// endpoint.
const MaxCrashes = 2

// inFlightJobs counts the jobs in flight with one fingerprint by endpoint. At most MaxCrashes endpoints run such jobs at
// the same time.
type inFlightJobs struct {
	endpoints [MaxCrashes]*endpoint
	jobCounts [MaxCrashes]int
}

// suspects is the shard's record of crashes and jobs in flight by fingerprint, a hash of the request's content. A
// suspect is a fingerprint that was in flight at one crash of an endpoint, which it may have caused.
type suspects struct {
	*wigeonquarantine.Record
	// inFlight counts the jobs in flight.
	inFlight map[wigeonshift.Fingerprint]*inFlightJobs
}

func newSuspects() suspects {
	return suspects{
		Record:   wigeonquarantine.NewRecord(MaxCrashes),
		inFlight: map[wigeonshift.Fingerprint]*inFlightJobs{},
	}
}

// addJob counts a job as in flight at its endpoint, so that allows can bound the endpoints that run the same
// fingerprint (a hash of the request content) at once.
func (s *suspects) addJob(j *job) {
	f := j.request.Fingerprint
	if f == 0 {
		return
	}
	fl := s.inFlight[f]
	if fl == nil {
		fl = &inFlightJobs{}
		s.inFlight[f] = fl
	}
	free := -1
	for i := range fl.jobCounts {
		if fl.jobCounts[i] > 0 && fl.endpoints[i] == j.endpoint {
			fl.jobCounts[i]++
			return
		}
		if fl.jobCounts[i] == 0 {
			free = i
		}
	}
	if free >= 0 {
		fl.endpoints[free], fl.jobCounts[free] = j.endpoint, 1
	}
}

// removeJob removes a job whose attempt has ended from the count.
func (s *suspects) removeJob(j *job) {
	f := j.request.Fingerprint
	fl := s.inFlight[f]
	if f == 0 || fl == nil {
		return
	}
	left := 0
	for i := range fl.jobCounts {
		if fl.jobCounts[i] > 0 && fl.endpoints[i] == j.endpoint {
			fl.jobCounts[i]--
		}
		left += fl.jobCounts[i]
	}
	if left == 0 {
		delete(s.inFlight, f)
	}
}

// allows reports whether a job with the fingerprint may start on an endpoint, given those already in flight. At most
// MaxCrashes endpoints run one fingerprint at once, so that it cannot crash more.
func (fl *inFlightJobs) allows(e *endpoint) bool {
	if fl == nil {
		return true
	}
	for i := range fl.jobCounts {
		if fl.jobCounts[i] == 0 || fl.endpoints[i] == e {
			return true
		}
	}
	return false
}

// clearSuspect removes the suspicion from the fingerprint of a job that ran alone to its end.
func (s *suspects) clearSuspect(j *job) {
	if s.Suspected(j.request.Fingerprint) {
		s.Remove(j.request.Fingerprint)
	}
}

// crashName identifies the endpoint's last assumed crash.
func (e *endpoint) crashName() string {
	return e.name + "@" + strconv.FormatInt(e.crashedAt.UnixMilli(), 10)
}

// clearFalseCrash removes the suspects of an endpoint's last assumed crash. It is called when the endpoint still reports
// the same incarnation, because then only the connection broke. A report taken before the crash is no proof.
func (s *Shard) clearFalseCrash(e *endpoint, takenAt time.Time) {
	if !takenAt.After(e.crashedAt) {
		return
	}
	s.suspects.RemoveFalseCrash(e.crashName())
	e.crashedIncarnation = ""
	s.requeueSuspects()
}

// admitFingerprint refuses a request whose fingerprint is quarantined.
func (s *Shard) admitFingerprint(j *job) *wigeonshift.Refusal {
	if s.suspects.Quarantined(j.request.Fingerprint) {
		return s.refusal(wigeonshift.ReasonQuarantined, 0)
	}
	return nil
}

// handleAttemptLost treats the loss of an attempt as a crash of its endpoint. All fingerprints (hashes of request
// content) in flight there become suspects, because any of them may be the cause. Reports from other attempts about the
// same crash are ignored: their crash count at the grant is out of date.
func (s *Shard) handleAttemptLost(j *job) {
	e := j.endpoint
	if j.crashCountAtGrant != e.crashCount {
		return
	}
	e.crashCount++
	e.crashedAt, e.crashedIncarnation = s.now, j.incarnationAtGrant
	s.markDown(e)
	e.cache.clear()
	for _, o := range e.jobs {
		s.recordCrash(o)
	}
	s.requeueSuspects()
	s.count("crashes", "")
}

// recordCrash adds the endpoint's last crash to the record of a job's fingerprint, once for each crash, and refuses the
// fingerprint from MaxCrashes on. It skips a job whose permit expired without a start, because it did not run.
func (s *Shard) recordCrash(j *job) {
	if !j.started && s.now.After(j.grantExpiresAt) {
		return
	}
	c := wigeonshift.Crash{Fingerprint: j.request.Fingerprint, Endpoint: j.endpoint.crashName(), At: s.now}
	wasQuarantined := s.suspects.Quarantined(c.Fingerprint)
	if !s.suspects.Add(c) {
		return
	}
	s.emit(StoreCrash{Crash: c})
	if s.suspects.Quarantined(c.Fingerprint) && !wasQuarantined {
		s.count("quarantined", "")
	}
}

// handleQuarantineLoaded adds the crashes that were read from the quarantine table, so that they apply to requests
// already queued here too.
func (s *Shard) handleQuarantineLoaded(b QuarantineLoaded) {
	for _, c := range b.Crashes {
		s.suspects.Add(c)
	}
	s.requeueSuspects()
}

// requeueSuspects updates queued jobs after a change of the suspects: fingerprints (hashes of the request content) that
// were in flight when an endpoint crashed. A suspect moves to the lane of jobs that run alone, because a crash makes
// every fingerprint in flight there a suspect; a cleared one moves back. Jobs with a refused fingerprint are refused.
// Jobs without a flow are not queued and are left alone.
func (s *Shard) requeueSuspects() {
	for _, j := range s.sortedJobs("") {
		if j.flow == nil {
			continue
		}
		f := j.request.Fingerprint
		switch {
		case s.suspects.Quarantined(f):
			s.refuseQueued(j, wigeonshift.ReasonQuarantined)
		case s.suspects.Suspected(f) != j.lane.key.runsAlone:
			s.dropReservation(j)
			s.dequeue(j)
			s.enqueue(j)
		}
	}
}

// placeAlone grants a suspect job on an endpoint where nothing else runs, one such job at a time in the shard, because
// a crash makes every job in flight on the endpoint a suspect. It reserves an endpoint until that is idle. tryPreempt
// may cancel the reservation for a job that would otherwise be refused.
func (s *Shard) placeAlone(j *job) placementResult {
	if s.aloneJob != nil && s.aloneJob != j || s.suspects.inFlight[j.request.Fingerprint] != nil {
		return resultJobBlocked
	}
	if j.reservedEndpoint != nil && (!s.eligible(j, j.reservedEndpoint) || j.reservedEndpoint.health != healthUp) {
		s.dropReservation(j)
	}
	pc := s.placementContextOf(j)
	var best candidate
	for _, e := range s.sortedEndpoints {
		if !s.eligible(j, e) || e.health != healthUp || e.reservedFor != nil && e.reservedFor != j {
			continue
		}
		c := s.estimate(j, e, &pc)
		c.score += float64(e.running) * s.meanAnswerTokens() * e.speed.expectedSecondsPerToken()
		best = betterCandidate(best, c)
	}
	e := best.endpoint
	if e == nil {
		return resultJobBlocked
	}
	if s.aloneJob == nil {
		s.aloneJob = j
	}
	if j.reservedEndpoint == nil {
		j.reservedEndpoint, e.reservedFor = e, j
	}
	if j.reservedEndpoint.running > 0 || j.reservedEndpoint.paused > 0 {
		return resultJobBlocked
	}
	j.runsAlone = true
	s.grant(j, s.estimate(j, j.reservedEndpoint, &pc))
	return resultPlaced
}

// dropReservation releases the endpoint reserved for a suspect job and ends the job's turn to run alone, so that other
// jobs can use the endpoint and the next suspect gets its turn.
func (s *Shard) dropReservation(j *job) {
	if j.reservedEndpoint != nil {
		j.reservedEndpoint.reservedFor = nil
		j.reservedEndpoint = nil
		s.unblockLanes()
	}
	if s.aloneJob == j {
		s.aloneJob = nil
		s.unblockLanes()
	}
}
