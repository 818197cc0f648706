package wigeonscheduler

import (
	"time"

	"wigeonshift"
)

// Bounds of the record of requests that may crash endpoints.
const (
	// maxCrashes is the number of endpoints that one fingerprint may be lost with.
	maxCrashes = 2
	// suspectLifetime is the time after which a suspect without a second crash is forgotten.
	suspectLifetime = 30 * time.Minute
	// maxFingerprints bounds the suspects and the refused fingerprints remembered, each.
	maxFingerprints = 65536
)

// suspectRecord is a fingerprint that was in flight at a crash.
type suspectRecord struct {
	crashes int
	// endpoint and crash name the last crash.
	endpoint string
	crash    int
	at       time.Time
}

// flight counts where a fingerprint is in flight. At most two endpoints run one at the same time.
type flight struct {
	endpoints [maxCrashes]*endpoint
	jobs      [maxCrashes]int
}

// suspects is the shard's record of crashes by fingerprint.
type suspects struct {
	records map[wigeonshift.Fingerprint]*suspectRecord
	// refused holds the fingerprints that were present at two crashes.
	refused map[wigeonshift.Fingerprint]bool
	flights map[wigeonshift.Fingerprint]*flight
}

// init makes the maps.
func (q *suspects) init() {
	q.records = map[wigeonshift.Fingerprint]*suspectRecord{}
	q.refused = map[wigeonshift.Fingerprint]bool{}
	q.flights = map[wigeonshift.Fingerprint]*flight{}
}

// suspect reports whether a fingerprint has to run alone.
func (q *suspects) suspect(f wigeonshift.Fingerprint) bool {
	return f != 0 && len(q.records) > 0 && q.records[f] != nil
}

// join counts a granted job.
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
	for i := range fl.jobs {
		if fl.jobs[i] > 0 && fl.endpoints[i] == j.endpoint {
			fl.jobs[i]++
			return
		}
		if fl.jobs[i] == 0 {
			free = i
		}
	}
	if free >= 0 {
		fl.endpoints[free], fl.jobs[free] = j.endpoint, 1
	}
}

// leave counts a job whose attempt ended.
func (q *suspects) leave(j *job) {
	f := j.request.Fingerprint
	fl := q.flights[f]
	if f == 0 || fl == nil {
		return
	}
	left := 0
	for i := range fl.jobs {
		if fl.jobs[i] > 0 && fl.endpoints[i] == j.endpoint {
			fl.jobs[i]--
		}
		left += fl.jobs[i]
	}
	if left == 0 {
		delete(q.flights, f)
	}
}

// permits reports whether a fingerprint may start on an endpoint beside where it is in flight already.
func (fl *flight) permits(e *endpoint) bool {
	if fl == nil {
		return true
	}
	for i := range fl.jobs {
		if fl.jobs[i] == 0 || fl.endpoints[i] == e {
			return true
		}
	}
	return false
}

// clear acquits the fingerprint of a job that ran alone to its end.
func (q *suspects) clear(j *job) {
	delete(q.records, j.request.Fingerprint)
}

// acquit drops the suspicion of a loss after which the endpoint still reports the same incarnation: it was the
// connection that broke.
func (s *Shard) acquit(e *endpoint, takenAt time.Time) {
	if !takenAt.After(e.lostAt) {
		return
	}
	for f, r := range s.suspects.records {
		if r.endpoint == e.name && r.crash == e.crash && r.crashes == 1 {
			delete(s.suspects.records, f)
		}
	}
	e.lostIncarnation = ""
	s.requeueSuspects()
}

// forget drops suspects whose time is over.
func (q *suspects) forget(now time.Time) {
	for f, r := range q.records {
		if now.Sub(r.at) > suspectLifetime {
			delete(q.records, f)
		}
	}
}

// admitFingerprint refuses a request that was present at two crashes.
func (s *Shard) admitFingerprint(j *job) *wigeonshift.Refusal {
	if s.suspects.refused[j.request.Fingerprint] && j.request.Fingerprint != 0 {
		return s.refusal(wigeonshift.ReasonQuarantined, 0)
	}
	return nil
}

// endpointCrashed records the loss of an endpoint with an attempt in flight. All fingerprints in flight there become
// suspects; the reports of the other attempts of the same loss change nothing more.
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
		s.suspectJob(o)
	}
	s.requeueSuspects()
	s.count("crashes", "")
}

// suspectJob adds a crash to the record of a job's fingerprint.
func (s *Shard) suspectJob(j *job) {
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
	if r.endpoint == e.name && r.crash == e.crash {
		return
	}
	r.crashes++
	r.endpoint, r.crash, r.at = e.name, e.crash, s.now
	s.emit(StoreQuarantine{Fingerprint: f, Crashes: r.crashes})
	if r.crashes >= maxCrashes {
		s.quarantine(f)
	}
}

// quarantine refuses a fingerprint from now on.
func (s *Shard) quarantine(f wigeonshift.Fingerprint) {
	delete(s.suspects.records, f)
	if len(s.suspects.refused) >= maxFingerprints || s.suspects.refused[f] {
		return
	}
	s.suspects.refused[f] = true
	s.count("quarantined", "")
}

// quarantineLoaded takes fingerprints from the table.
func (s *Shard) quarantineLoaded(b QuarantineLoaded) {
	for _, f := range b.Fingerprints {
		delete(s.suspects.records, f)
		s.suspects.refused[f] = true
	}
	for _, f := range b.Suspects {
		if s.suspects.records[f] == nil && !s.suspects.refused[f] {
			s.suspects.records[f] = &suspectRecord{crashes: 1, at: s.now}
		}
	}
	s.requeueSuspects()
}

// requeueSuspects moves queued jobs whose fingerprint became suspect to the lane of those that run alone, those that
// were acquitted back, and refuses those whose fingerprint is refused now.
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

// placeAlone grants a suspect job on an endpoint where nothing else runs, one such job at a time in the shard. An
// endpoint is kept free for it while no other request waits.
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

// dropReservation gives up what a suspect job kept for itself.
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
