package wigeonscheduler

import (
	"time"

	"wigeonshift"
)

// Limits of the record of requests that may crash endpoints.
const (
	// maxCrashes is the number of crashes after which a fingerprint is refused. It also bounds the endpoints on which one
	// fingerprint is in flight at the same time, so that it cannot crash more.
	maxCrashes = 2
	// suspectLifetime is the time after which a suspect without a second crash is removed.
	suspectLifetime = 30 * time.Minute
	// maxFingerprints bounds the number of suspects and, separately, of refused fingerprints.
	maxFingerprints = 65536
)

// suspectRecord counts the crashes at which a fingerprint was in flight.
type suspectRecord struct {
	crashes int
	// lastEndpoint, lastCrash (the number of the crash at that endpoint) and lastCrashAt describe the last crash.
	lastEndpoint string
	lastCrash    int
	lastCrashAt  time.Time
}

// flight counts the jobs in flight with one fingerprint by endpoint. At most maxCrashes endpoints run such jobs at the
// same time.
type flight struct {
	endpoints [maxCrashes]*endpoint
	jobCounts [maxCrashes]int
}

// suspects is the shard's record of crashes and jobs in flight by fingerprint.
type suspects struct {
	records map[wigeonshift.Fingerprint]*suspectRecord
	// refused holds the fingerprints that were in flight at maxCrashes crashes.
	refused map[wigeonshift.Fingerprint]bool
	// flights holds the jobs in flight.
	flights map[wigeonshift.Fingerprint]*flight
}

// init creates the maps.
func (q *suspects) init() {
	q.records = map[wigeonshift.Fingerprint]*suspectRecord{}
	q.refused = map[wigeonshift.Fingerprint]bool{}
	q.flights = map[wigeonshift.Fingerprint]*flight{}
}

// suspect reports whether a fingerprint is suspected of a crash and so has to run alone.
func (q *suspects) suspect(f wigeonshift.Fingerprint) bool {
	return f != 0 && len(q.records) > 0 && q.records[f] != nil
}

// join counts a job as in flight at its endpoint.
func (q *suspects) join(j *job) {
	f := j.request.Fingerprint
	if f == 0 {
		return
	}
	fl := q.flights[f]
	if fl == nil {
		fl = &flight{}
		q.flights[f] = fl
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

// leave removes a job whose attempt has ended from the count.
func (q *suspects) leave(j *job) {
	f := j.request.Fingerprint
	fl := q.flights[f]
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
		delete(q.flights, f)
	}
}

// permits reports whether a job with the fingerprint may start on an endpoint, given those already in flight.
func (fl *flight) permits(e *endpoint) bool {
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

// clear removes the suspicion from the fingerprint of a job that ran alone to its end.
func (q *suspects) clear(j *job) {
	delete(q.records, j.request.Fingerprint)
}

// clearFalseLoss removes the suspects of an endpoint's last loss. It is called when the endpoint still reports the same
// incarnation, because then only the connection broke. A report taken before the loss is no proof.
func (s *Shard) clearFalseLoss(e *endpoint, takenAt time.Time) {
	if !takenAt.After(e.lostAt) {
		return
	}
	for f, r := range s.suspects.records {
		if r.lastEndpoint == e.name && r.lastCrash == e.crash && r.crashes == 1 {
			delete(s.suspects.records, f)
		}
	}
	e.lostIncarnation = ""
	s.requeueSuspects()
}

// forget removes suspects older than suspectLifetime.
func (q *suspects) forget(now time.Time) {
	for f, r := range q.records {
		if now.Sub(r.lastCrashAt) > suspectLifetime {
			delete(q.records, f)
		}
	}
}

// admitFingerprint refuses a request whose fingerprint is quarantined.
func (s *Shard) admitFingerprint(j *job) *wigeonshift.Refusal {
	if s.suspects.refused[j.request.Fingerprint] && j.request.Fingerprint != 0 {
		return s.refusal(wigeonshift.ReasonQuarantined, 0)
	}
	return nil
}

// endpointCrashed records the loss of an endpoint with an attempt in flight. All fingerprints in flight there become
// suspects. Reports from other attempts about the same loss are ignored.
func (s *Shard) endpointCrashed(j *job) {
	e := j.endpoint
	if j.crash != e.crash {
		return
	}
	e.crash++
	e.lostAt, e.lostIncarnation = s.now, j.incarnation
	s.markDown(e)
	e.cache.clear()
	for _, o := range e.jobs {
		s.recordCrash(o)
	}
	s.requeueSuspects()
	s.count("crashes", "")
}

// recordCrash adds the endpoint's last crash to the record of a job's fingerprint. It skips a job whose permit expired
// without a start.
func (s *Shard) recordCrash(j *job) {
	f, e := j.request.Fingerprint, j.endpoint
	if f == 0 || !j.started && s.now.After(j.voidAt) {
		return
	}
	r := s.suspects.records[f]
	if r == nil {
		if len(s.suspects.records) >= maxFingerprints {
			return
		}
		r = &suspectRecord{}
		s.suspects.records[f] = r
	}
	if r.lastEndpoint == e.name && r.lastCrash == e.crash {
		return
	}
	r.crashes++
	r.lastEndpoint, r.lastCrash, r.lastCrashAt = e.name, e.crash, s.now
	s.emit(StoreQuarantine{Fingerprint: f, Crashes: r.crashes})
	if r.crashes >= maxCrashes {
		s.quarantine(f)
	}
}

// quarantine refuses all further requests with a fingerprint.
func (s *Shard) quarantine(f wigeonshift.Fingerprint) {
	delete(s.suspects.records, f)
	if len(s.suspects.refused) >= maxFingerprints || s.suspects.refused[f] {
		return
	}
	s.suspects.refused[f] = true
	s.count("quarantined", "")
}

// quarantineLoaded adds the refused fingerprints and suspects that were loaded from the table.
func (s *Shard) quarantineLoaded(b QuarantineLoaded) {
	for _, f := range b.Fingerprints {
		delete(s.suspects.records, f)
		s.suspects.refused[f] = true
	}
	for _, f := range b.Suspects {
		if s.suspects.records[f] == nil && !s.suspects.refused[f] {
			s.suspects.records[f] = &suspectRecord{crashes: 1, lastCrashAt: s.now}
		}
	}
	s.requeueSuspects()
}

// requeueSuspects updates queued jobs after a change of the suspects. Jobs move to the lane of jobs that run alone, or
// back from it, and jobs with a refused fingerprint are refused.
func (s *Shard) requeueSuspects() {
	for _, j := range s.sortedJobs("") {
		if j.flow == nil {
			continue
		}
		f := j.request.Fingerprint
		switch {
		case f != 0 && s.suspects.refused[f]:
			s.refuseQueued(j, wigeonshift.ReasonQuarantined)
		case s.suspects.suspect(f) != j.lane.key.alone:
			s.dropReservation(j)
			s.dequeue(j)
			s.enqueue(j)
		}
	}
}

// placeAlone grants a suspect job on an endpoint where nothing else runs, one such job at a time in the shard. It
// reserves an endpoint until that is idle. makeRoom may cancel the reservation for a job that would otherwise be refused.
func (s *Shard) placeAlone(j *job) verdict {
	if s.aloneJob != nil && s.aloneJob != j || s.suspects.flights[j.request.Fingerprint] != nil {
		return held
	}
	if j.reserved != nil && (!s.mayTake(j, j.reserved) || j.reserved.health != healthUp) {
		s.dropReservation(j)
	}
	o := s.outlookOf(j)
	var best candidate
	for _, e := range s.ordered {
		if !s.mayTake(j, e) || e.health != healthUp || e.reserved != nil && e.reserved != j {
			continue
		}
		c := s.estimate(j, e, &o)
		c.score += float64(e.running) * s.tokensPerAnswer() * e.speed.pace()
		best = better(best, c)
	}
	e := best.endpoint
	if e == nil {
		return held
	}
	if s.aloneJob == nil {
		s.aloneJob = j
	}
	if j.reserved == nil {
		j.reserved, e.reserved = e, j
	}
	if j.reserved.running > 0 || j.reserved.paused > 0 {
		return held
	}
	j.alone = true
	s.grant(j, s.estimate(j, j.reserved, &o))
	return placed
}

// dropReservation releases the endpoint reserved for a suspect job and the job's claim to run alone.
func (s *Shard) dropReservation(j *job) {
	if j.reserved != nil {
		j.reserved.reserved = nil
		j.reserved = nil
		s.unblock()
	}
	if s.aloneJob == j {
		s.aloneJob = nil
		s.unblock()
	}
}
