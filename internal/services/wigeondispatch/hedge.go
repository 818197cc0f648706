package wigeondispatch

import (
	"time"

	"wigeonshift/internal/services/wigeonbudget"
	"wigeonshift/internal/services/wigeonhedge"
	"wigeonshift/internal/services/wigeonquarantine"
)

// hedgeFreeShare is the share of the group's slots that must be free for a hedge, so that hedging ends before queueing begins.
const hedgeFreeShare = 0.25

// HedgeObstacle says why a request that was due for a hedge got none.
type HedgeObstacle string

// Obstacles to hedges.
const (
	hedgeAllowed HedgeObstacle = ""
	// HedgeStopping means that the instance stops.
	HedgeStopping HedgeObstacle = "stopping"
	// HedgeUnknownInstances means that the instances aren't known yet, so that no part of what they share is sure.
	HedgeUnknownInstances HedgeObstacle = "unknownInstances"
	// HedgeDeadline means that too little time is left.
	HedgeDeadline HedgeObstacle = "deadline"
	// HedgeCutOff means that the instance reaches no endpoint, or may do so.
	HedgeCutOff HedgeObstacle = "cutOff"
	// HedgeSuspected means that the request is suspected of crashes.
	HedgeSuspected HedgeObstacle = "suspected"
	// HedgeInNeed means that the endpoint names a limit or that those of the service are brittle.
	HedgeInNeed HedgeObstacle = "inNeed"
	// HedgeRollout means that a rollout of the service runs.
	HedgeRollout HedgeObstacle = "rollout"
	// HedgeQueued means that requests of the service are queued at the group.
	HedgeQueued HedgeObstacle = "queued"
	// HedgeBusy means that too few slots of the group are free.
	HedgeBusy HedgeObstacle = "busy"
	// HedgeLimit means that the limit of hedges is used up.
	HedgeLimit HedgeObstacle = "limit"
	// HedgeBudget means that the rest of the retry budget is reserved for retries after failures.
	HedgeBudget HedgeObstacle = "budget"
	// HedgeNoEndpoint means that no other endpoint can accept the request at once.
	HedgeNoEndpoint HedgeObstacle = "noEndpoint"
)

// attempt is one attempt of a request.
type attempt struct {
	// assignedEndpoint is the endpoint of the attempt while it runs, or nil while the request is queued.
	assignedEndpoint *endpoint
	// dispatchedAt is the start time of the attempt.
	dispatchedAt time.Duration
	// firstEventLatency is the time from the attempt's start to its first event, or zero before the first event.
	firstEventLatency time.Duration
	// events is the number of events of the attempt's stream so far, as of the latest Tick event that told it.
	events int
	// lastEndpoint is the endpoint of the latest attempt; nil if there was none. keptTokens is the number of prompt tokens that it
	// was expected to keep before it.
	lastEndpoint *endpoint
	keptTokens   int
	// resendSlot is the slot of the retry budget in which the attempt was counted, if resendPending is set: it is a resend whose
	// arrival isn't known yet.
	resendSlot    int64
	resendPending bool
	// isHedge is set while the attempt runs if it is a hedge.
	isHedge bool
	// candidate is valid for a first attempt that may be hedged.
	candidate wigeonhedge.Candidate
}

// isHedged reports whether both attempts of a request run.
func (j *Job) isHedged() bool { return j.second != nil }

// selectAttempt makes the running attempt that is a hedge, or the one that isn't, the one that the reducer handles. It reports
// whether there is one.
func (j *Job) selectAttempt(isHedge bool) bool {
	if j.assignedEndpoint != nil && j.isHedge == isHedge {
		return true
	}
	if j.second == nil || j.second.isHedge != isHedge {
		return false
	}
	j.attempt, *j.second = *j.second, j.attempt
	return true
}

// endOneOfTwo records the end of an attempt while the other one runs. The request goes on with the other one. It counts as failed
// over if the ended one may have run it, so that it isn't refused any more.
func (j *Job) endOneOfTwo(e *endpoint, ev AttemptEnded) {
	switch ev.Outcome {
	case OutcomeDone, OutcomeAbandoned:
		j.isOver = true
	case OutcomeCancelled:
	default:
		j.failedOver = j.noteFailedAttempt(e, ev.Outcome) || j.failedOver
	}
	j.attempt, j.second = *j.second, nil
}

// hedging is what hedges are decided by.
type hedging struct {
	delays *wigeonhedge.Delays
	limits *wigeonhedge.Limits
}

// newHedging returns nil if the settings turn hedges off.
func newHedging(s Settings) *hedging {
	if s.HedgeShare <= 0 {
		return nil
	}
	return &hedging{
		delays: wigeonhedge.NewDelays(s.HedgePercentile), limits: wigeonhedge.NewLimits(s.HedgeShare, s.RetryWindow),
	}
}

// hedgeDelay returns the time after which the attempt that begins now is hedged, and zero if it isn't. Only first attempts are.
func (s *State) hedgeDelay(j *Job) time.Duration {
	j.candidate = wigeonhedge.Candidate{}
	if s.hedging == nil || j.attempts != 1 || j.MaxAttempts < 2 || j.failedOver {
		return 0
	}
	c, err := wigeonhedge.NewCandidate(wigeonhedge.Request{
		Kind: j.Kind, Resumable: j.Resumable, Service: j.Service, Route: j.Route, PromptTokens: j.PromptTokens,
	})
	if err != nil {
		// The request must not run twice.
		return 0
	}
	j.candidate = c
	delay := s.hedging.delays.Delay(s.now, c)
	if j.Deadline-s.now-delay < minResendTimeLeft {
		return 0
	}
	return delay
}

// recordHedgeSample records the time of the handled attempt if it is a first one that may be hedged.
func (s *State) recordHedgeSample(j *Job, latency time.Duration) {
	if j.candidate.IsValid() {
		s.hedging.delays.Record(s.now, j.candidate, latency)
		j.candidate = wigeonhedge.Candidate{}
	}
}

// recordCancelled records an attempt that was cancelled for the other one, which is neither failure nor success. It counts towards a crash
// only if the endpoint is found to have ended just then. Without its time, the percentile would fall with each hedge that wins.
func (s *State) recordCancelled(e *endpoint, j *Job, ev AttemptEnded) {
	s.recordHedgeSample(j, s.now-j.dispatchedAt)
	s.recordLoss(e, j, lossUnverified, ev.Events)
}

// handleHedgeDue sends a request to another endpoint beside its first attempt, unless something speaks against it. It does nothing if
// the attempt has ended or begun to answer meanwhile, is being abandoned, or was hedged already.
func (s *State) handleHedgeDue(ev HedgeDue) {
	j := s.jobs[ev.Job]
	isCurrent := j != nil && j.assignedEndpoint != nil && j.dispatchedAt == ev.DispatchedAt && j.candidate.IsValid()
	if !isCurrent || j.attempts != 1 || j.answerStarted || j.resendReserved {
		return
	}
	obstacle := s.hedgeObstacle(j)
	if obstacle != hedgeAllowed {
		s.emit(HedgeRefused{Job: j.ID, Obstacle: obstacle})
		return
	}
	e := s.chooseHedgeEndpoint(j)
	if e == nil {
		s.emit(HedgeRefused{Job: j.ID, Obstacle: HedgeNoEndpoint})
		return
	}
	s.sendHedge(e, j)
}

// hedgeObstacle returns what speaks against a hedge of a request now, whatever the endpoint.
func (s *State) hedgeObstacle(j *Job) HedgeObstacle {
	p := j.assignedEndpoint.pool
	switch {
	case s.endsAt > 0:
		return HedgeStopping
	case s.settings.AwaitsList && !s.listIsComplete:
		return HedgeUnknownInstances
	case j.Deadline-s.now < minResendTimeLeft:
		return HedgeDeadline
	case s.IsCutOff():
		return HedgeCutOff
	case s.isUnderSuspicion(j):
		return HedgeSuspected
	case p.brittle != nil || j.assignedEndpoint.isLimited():
		return HedgeInNeed
	case s.isRollingOut(j.Service):
		return HedgeRollout
	case len(p.queue.jobs) > 0 || s.peerWaiting(p.name) != waitingCounts{}:
		return HedgeQueued
	case float64(s.freeSlots(p)) < hedgeFreeShare*float64(s.availableSlots(p)):
		return HedgeBusy
	case !s.hedging.limits.Allow(s.now, j.Service):
		return HedgeLimit
	case !s.decideHedge(j).Allowed:
		return HedgeBudget
	default:
		return hedgeAllowed
	}
}

// isUnderSuspicion reports whether a request may have to do with crashes of endpoints.
func (s *State) isUnderSuspicion(j *Job) bool {
	verdict, _ := s.judgeFeatures(j)
	return j.isTrial || j.triedCause != 0 || verdict != wigeonquarantine.VerdictSend || s.suspected(j) || s.mayBeQuarantined(j) ||
		s.crashes.Judge(j.Fingerprint, j.Shared, s.answers) != wigeonquarantine.VerdictSend
}

// availableSlots returns the number of requests that this instance's group can run at a time on the available endpoints.
func (s *State) availableSlots(p *pool) int {
	n := 0
	for _, e := range p.ownEndpoints {
		if e.available(s.now) {
			n += e.concurrency()
		}
	}
	return n
}

// decideHedge returns the decision of the retry budget on a hedge, which must leave a reserve.
func (s *State) decideHedge(j *Job) wigeonbudget.Decision {
	b := s.retryBudget(j.Service)
	d := b.Decide(s.now, s.retrySlack(), b.Reserved())
	d.Allowed = wigeonhedge.LeavesReserve(d)
	return d
}

// chooseHedgeEndpoint returns the endpoint for a hedge, or nil if there is none. It is one of the group, without a limit or recent
// failures, that has a free slot.
func (s *State) chooseHedgeEndpoint(j *Job) *endpoint {
	first, failed := j.assignedEndpoint, j.failedEndpoints
	j.failedEndpoints = append(failed[:len(failed):len(failed)], first.record.ID)
	e := s.chooseEndpoint(first.pool, j, placementRound{skippedJob: true})
	j.failedEndpoints = failed
	if e == nil || e.otherGroup || e.isLimited() || e.consecutiveFailures > 0 || e.running() >= e.slots() {
		return nil
	}
	return e
}

// sendHedge starts the second attempt of a request. It is counted as a resend.
func (s *State) sendHedge(e *endpoint, j *Job) {
	decision, candidate := s.decideHedge(j), j.candidate
	s.hedging.limits.CountHedge(s.now, j.Service)
	first := j.attempt
	j.attempt = attempt{isHedge: true}
	d := s.startAttempt(e, j)
	d.Resend, d.MaxSendDelay = &decision, wigeonbudget.MaxSendDelay
	j.resendSlot, j.resendPending = s.retryBudget(j.Service).CountResend(s.now), true
	hedge := j.attempt
	j.attempt, j.second = first, &hedge
	s.emit(Hedge{Candidate: candidate, Dispatch: d})
}
