package wigeonscheduler

import (
	"cmp"
	"slices"
	"time"

	"wigeonshift"
)

// firstEpoch is the epoch of a shard's first owner.
const firstEpoch = 1

// handleLeaseAcquired starts or renews ownership of the shard. Nothing is granted before RebuildUntil, so that entries
// (instances that accepted requests) can first report their attempts in flight. An owner that has predecessors starts
// without saved retries, because they may have used them. An older epoch is ignored.
func (s *Shard) handleLeaseAcquired(b LeaseAcquired) {
	if b.Epoch < s.epoch {
		return
	}
	if s.epoch == 0 && b.Epoch > firstEpoch {
		s.retries.usedRetries = maxSavedRetries
	}
	s.leaseHeld = true
	s.epoch, s.rebuildUntil = b.Epoch, b.RebuildUntil
	s.draining = false
	s.unblockLanes()
}

// handleDrainStarted stops granting before a hand-over to another owner and refuses the queued requests.
func (s *Shard) handleDrainStarted() {
	s.draining = true
	for _, j := range s.sortedJobs("") {
		if j.flow != nil {
			s.refuseQueued(j, wigeonshift.ReasonShuttingDown)
		}
	}
}

// handleEntryReported adopts the attempts that an entry (an instance that accepted requests) has in flight and closes
// those it no longer has. A new owner rebuilds its state from these reports before it grants permits.
func (s *Shard) handleEntryReported(b EntryReported) {
	known := make(map[wigeonshift.RequestID]bool, len(b.Attempts))
	for i := range b.Attempts {
		a := &b.Attempts[i]
		known[a.Request.ID] = true
		s.adoptAttempt(b.Entry, a)
	}
	for _, j := range s.sortedJobs(b.Entry) {
		if j.started && !known[j.request.ID] {
			s.closeJob(j)
		}
	}
}

// adoptAttempt records an attempt in flight that another owner granted, so that its slot is not granted again. Its pace
// is not measured, because this owner may have missed its first token.
func (s *Shard) adoptAttempt(entry string, a *wigeonshift.RunningAttempt) {
	if j := s.jobs[a.Request.ID]; j != nil {
		if j.token == a.Token {
			j.entry = entry
			s.handleAttemptStarted(j)
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
	j := &job{request: a.Request, entry: entry, arrivedAt: s.now, grantedAt: s.now, deadline: a.Request.Deadline, token: a.Token, crashCountAtGrant: e.crashCount}
	if j.deadline.IsZero() {
		j.deadline = s.now.Add(noDeadline)
	}
	j.organisation = s.organisationOf(a.Request.Organisation)
	j.tokensDone, j.interrupted, j.state, j.started = a.TokensDone, true, jobDecoding, true
	s.jobs[a.Request.ID] = j
	s.attach(j, e)
	s.suspects.addJob(j)
	e.cache.store(a.Request.Prefix, s.now)
	switch {
	case a.Paused:
		s.handleAttemptPaused(j)
	case a.TokensDone == 0:
		j.state, j.uncachedTokens, j.expectedFirstTokenSeconds = jobPrefilling, a.Request.PromptTokens, float64(a.Request.PromptTokens)/e.speed.expectedPrefillRate()
		s.addPrefill(j)
	}
}

// sortedJobs returns the jobs of an entry, or of all entries for an empty name. They are ordered by request ID because
// the reducer must not depend on the order of a map.
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

// handleTick runs the checks that depend on time only, such as expiry, overdue first tokens, probes and the rebalancing
// of models. All queued jobs are then tried again.
func (s *Shard) handleTick() {
	s.wakeAt = time.Time{}
	if s.nextCleanupAt.IsZero() || !s.now.Before(s.nextCleanupAt) {
		s.nextCleanupAt = s.now.Add(cleanupInterval)
		s.cleanUp()
	}
	for _, e := range slices.Clone(s.sortedEndpoints) {
		s.expireAttempts(e)
		s.checkOverduePrefills(e)
		s.probeIfDown(e)
	}
	for _, t := range s.tiers {
		s.expireTier(t)
	}
	s.rebalanceModels()
	s.publishSummary()
	s.unblockLanes()
}

// cleanupInterval is the time between two calls of cleanUp.
const cleanupInterval = 10 * time.Second

// cleanUp deletes idle organisations and expired suspects.
func (s *Shard) cleanUp() {
	for name, o := range s.organisations {
		if o.idle(s.now) {
			delete(s.organisations, name)
		}
	}
	s.suspects.Expire(s.now)
}

// expireTier refuses queued jobs that can no longer meet their limits, unless preempting lower tiers still lets them
// start. It preempts lower tiers also for jobs close to that point.
func (s *Shard) expireTier(t *tier) {
	var late, urgent []*job
	for _, l := range t.lanes {
		for _, f := range l.activeFlows {
			for _, j := range f.jobs {
				switch {
				case s.expiryReason(j) != "":
					late = append(late, j)
				case s.remainingSeconds(j)*deadlineShare-j.fastestSeconds < urgentSeconds || s.firstTokenBudgetSeconds(j) < cancelVictimSeconds:
					urgent = append(urgent, j)
				}
			}
		}
	}
	for _, j := range late {
		if !s.forcePreempt(j) {
			s.refuseQueued(j, s.expiryReason(j))
		}
	}
	for _, j := range urgent {
		s.forcePreempt(j)
	}
}

// forcePreempt preempts lower tiers for a job that must start now, even if other jobs of its tier are queued before it,
// because the job would be refused otherwise. It reports whether the job was granted or passed to another shard.
func (s *Shard) forcePreempt(j *job) bool {
	return s.canGrant() && s.runsLowerTier(j.rank()) && !j.lane.key.runsAlone && !j.organisation.atLimit() &&
		s.tryPreempt(j, candidate{}, true)
}

// expiryReason returns why a queued job has to be refused now, empty if it does not.
func (s *Shard) expiryReason(j *job) wigeonshift.RefusalReason {
	switch {
	case s.remainingSeconds(j) <= 0:
		return wigeonshift.ReasonDeadlinePassed
	case s.remainingSeconds(j) < j.fastestSeconds && j.organisation.atLimit():
		return wigeonshift.ReasonOrganisationLimit
	case s.remainingSeconds(j) < j.fastestSeconds:
		return wigeonshift.ReasonDeadlineUnreachable
	case s.interactive(j) && s.firstTokenBudgetSeconds(j) <= 0 && !j.organisation.atLimit():
		return wigeonshift.ReasonQueueFull
	case !s.hasPossibleEndpoint(&j.request):
		return wigeonshift.ReasonNoEndpoint
	default:
		return ""
	}
}

// expireAttempts closes grants that were not used in time and drops attempts that were not reported as ended by
// orphanGrace after their deadline, so that their slots are free again. It repeats unanswered revocations (requests to
// pause or cancel).
func (s *Shard) expireAttempts(e *endpoint) {
	for _, j := range slices.Clone(e.jobs) {
		switch {
		case !j.started && s.now.After(j.grantExpiresAt):
			s.expireGrant(j)
		case s.now.Sub(j.deadline) > orphanGrace:
			s.count("orphans", "")
			s.closeJob(j)
		case j.state == jobPausing && s.now.Sub(j.revokedAt) > revocationResendInterval:
			j.revokedAt = s.now
			s.sendRevocation(j, wigeonshift.RevokePause)
		case j.state == jobCancelling && s.now.Sub(j.revokedAt) > revocationResendInterval:
			j.revokedAt = s.now
			s.sendRevocation(j, wigeonshift.RevokeCancel)
		}
	}
}
