package wigeonscheduler

import (
	"cmp"
	"slices"
	"time"

	"wigeonshift"
)

// leaseAcquired starts or renews ownership.
func (s *Shard) leaseAcquired(b LeaseAcquired) {
	if b.Epoch < s.epoch {
		return
	}
	s.leaseHeld = true
	s.epoch, s.rebuildUntil = b.Epoch, b.RebuildUntil
	s.draining = false
	s.unblock()
}

// drainStarted stops granting before a hand-over and refuses what is queued.
func (s *Shard) drainStarted() {
	s.draining = true
	for _, j := range s.sortedJobs("") {
		if j.flow != nil {
			s.refuseQueued(j, wigeonshift.ReasonShuttingDown)
		}
	}
}

// entryReported takes over the attempts that an entry has in flight, and closes those it no longer knows.
func (s *Shard) entryReported(b EntryReported) {
	known := make(map[wigeonshift.RequestID]bool, len(b.Attempts))
	for i := range b.Attempts {
		a := &b.Attempts[i]
		known[a.Request.ID] = true
		s.adopt(b.Entry, a)
	}
	for _, j := range s.sortedJobs(b.Entry) {
		if j.started && !known[j.request.ID] {
			s.closeJob(j)
		}
	}
}

// adopt counts an attempt in flight that another owner granted.
func (s *Shard) adopt(entry string, a *wigeonshift.RunningAttempt) {
	if j := s.jobs[a.Request.ID]; j != nil {
		if j.token == a.Token {
			j.entry = entry
			s.attemptStarted(j)
			return
		}
		if j.endpoint != nil {
			return
		}
		s.closeJob(j)
	}
	e := s.endpoints[a.Endpoint]
	if e == nil {
		return
	}
	j := &job{request: a.Request, entry: entry, arrived: s.now, granted: s.now, deadline: a.Request.Deadline, token: a.Token, crash: e.crash}
	if j.deadline.IsZero() {
		j.deadline = s.now.Add(noDeadline)
	}
	j.organisation = s.organisationOf(a.Request.Organisation)
	j.tokensDone, j.interrupted, j.state, j.started = a.TokensDone, true, jobDecoding, true
	s.jobs[a.Request.ID] = j
	s.attach(j, e)
	s.suspects.join(j)
	e.cache.store(a.Request.Prefix, s.now)
	switch {
	case a.Paused:
		s.attemptPaused(j)
	case a.TokensDone == 0:
		j.state, j.uncached, j.expectedFirst = jobPrefilling, a.Request.PromptTokens, float64(a.Request.PromptTokens)/e.speed.rate()
		s.addPrefill(j)
	}
}

// sortedJobs returns the jobs of an entry, or of all entries for the empty name, ordered by id.
func (s *Shard) sortedJobs(entry string) []*job {
	var jobs []*job
	for _, j := range s.jobs {
		if entry == "" || j.entry == entry {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.request.ID, b.request.ID) })
	return jobs
}

// ticked does what depends on time alone.
func (s *Shard) ticked() {
	s.wakeAt = time.Time{}
	if s.housekeepAt.IsZero() || !s.now.Before(s.housekeepAt) {
		s.housekeepAt = s.now.Add(housekeepInterval)
		s.housekeep()
	}
	for _, e := range slices.Clone(s.ordered) {
		s.tickEndpoint(e)
		s.watchOverdue(e)
		s.probeDown(e)
	}
	for _, t := range s.tiers {
		s.expireTier(t)
	}
	s.tickOrders()
	s.summarise()
	s.unblock()
}

// housekeepInterval is the period of clearing out what is no longer needed.
const housekeepInterval = 10 * time.Second

// housekeep forgets idle organisations and old suspects.
func (s *Shard) housekeep() {
	for name, o := range s.organisations {
		if o.idle(s.now) {
			delete(s.organisations, name)
		}
	}
	s.suspects.forget(s.now)
}

// expireTier refuses queued jobs that cannot be on time any more.
func (s *Shard) expireTier(t *tier) {
	var late, pressed []*job
	for _, l := range t.lanes {
		for _, f := range l.active {
			for _, j := range f.jobs {
				switch {
				case s.expired(j) != "":
					late = append(late, j)
				case s.remaining(j)*deadlineMargin-j.fastest < urgentSeconds || s.firstTokenBudget(j) < pressingSeconds:
					pressed = append(pressed, j)
				}
			}
		}
	}
	for _, j := range late {
		if !s.press(j) {
			s.refuseQueued(j, s.expired(j))
		}
	}
	for _, j := range pressed {
		s.press(j)
	}
}

// press lets lower tiers give way to a job at its last chance although others of its tier stand before it, and
// reports whether they did.
func (s *Shard) press(j *job) bool {
	return s.granting() && s.lowerRuns(j.rank()) && !j.lane.key.alone && !j.organisation.limited() &&
		s.makeRoom(j, candidate{}, true)
}

// expired returns the reason for which a queued job has to be refused now, empty for none.
func (s *Shard) expired(j *job) wigeonshift.RefusalReason {
	switch {
	case s.remaining(j) <= 0:
		return wigeonshift.ReasonDeadlinePassed
	case s.remaining(j) < j.fastest && j.organisation.limited():
		return wigeonshift.ReasonOrganisationCap
	case s.remaining(j) < j.fastest:
		return wigeonshift.ReasonDeadline
	case s.interactive(j) && s.firstTokenBudget(j) <= 0 && !j.organisation.limited():
		return wigeonshift.ReasonQueueFull
	case !s.servedAtAll(&j.request):
		return wigeonshift.ReasonNoEndpoint
	default:
		return ""
	}
}

// tickEndpoint voids grants that were not spent in time, repeats unanswered revocations and forgets attempts of which
// nothing was heard since long after their deadline.
func (s *Shard) tickEndpoint(e *endpoint) {
	for _, j := range slices.Clone(e.jobs) {
		switch {
		case !j.started && s.now.After(j.voidAt):
			s.voidGrant(j)
		case s.now.Sub(j.deadline) > orphanGrace:
			s.count("orphans", "")
			s.closeJob(j)
		case j.state == jobPausing && s.now.Sub(j.revoked) > revokeResend:
			j.revoked = s.now
			s.sendRevocation(j, wigeonshift.RevokePause)
		case j.state == jobCancelling && s.now.Sub(j.revoked) > revokeResend:
			j.revoked = s.now
			s.sendRevocation(j, wigeonshift.RevokeCancel)
		}
	}
}
