package wigeondispatch

import (
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonquarantine"
)

const (
	// causeTrialDelay is the time after the latest crash until a refused cause is tried for the first time. It grows by
	// causeTrialFactor with each further crash, to at most maxCauseTrialDelay.
	causeTrialDelay    = 30 * time.Second
	causeTrialFactor   = 4
	maxCauseTrialDelay = time.Hour
	// freeCauseCrashes is the number of crashes that don't lengthen the delay: those before the cause could be known.
	freeCauseCrashes = 6
	// lostTrialPause is the time after a lost trial without another one. Within it the crash of a silent endpoint is known.
	lostTrialPause = 5 * time.Second
	// causeTrialTurn is the time for which one instance may try a refused cause; then it is another one's turn. It is long enough to
	// know how the trial of the instance before ended.
	causeTrialTurn = 10 * time.Second
)

// causeTrials are the trials of requests that are suspected for one cause of crashes. One runs at a time, on one of all instances.
type causeTrials struct {
	// running is the trial that runs, or zero.
	running JobID
	// blockedUntil is the time before which no trial starts, as one was lost.
	blockedUntil time.Duration
}

// newIdentifiers returns what identifies a request and what it shares with others; nil if it has no features.
func newIdentifiers(j *Job) []wigeonshift.Fingerprint {
	if len(j.Features) == 0 || j.Fingerprint == 0 {
		return nil
	}
	return wigeonquarantine.Identifiers(j.Fingerprint, j.Shared, j.Features)
}

// judgeFeatures decides whether a request may be sent, given what it shares with those at which endpoints crashed.
func (s *State) judgeFeatures(j *Job) (wigeonquarantine.Verdict, *wigeonquarantine.Cause) {
	if len(j.identifiers) == 0 {
		return wigeonquarantine.VerdictSend, nil
	}
	return s.crashes.JudgeFeatures(j.identifiers)
}

// mustRefuseForCause reports whether a request must be refused for a feature. One that may be sent as a trial becomes one.
func (s *State) mustRefuseForCause(j *Job) bool {
	verdict, c := s.judgeFeatures(j)
	if verdict != wigeonquarantine.VerdictRefuse || j.triedCause != 0 {
		return false
	}
	return s.causeTrialWait(c) > 0 || !s.startCauseTrial(j, c, causeTrialTurn)
}

// waitsForCauseTrial reports whether a request must wait until a trial tells whether one of its features crashes endpoints. One that
// may be sent as a trial becomes one.
func (s *State) waitsForCauseTrial(j *Job) bool {
	verdict, c := s.judgeFeatures(j)
	return verdict == wigeonquarantine.VerdictTry && j.triedCause == 0 && !s.startCauseTrial(j, c, trialTurn)
}

// causeAgainst returns the cause of crashes for which a request is refused, or nil.
func (s *State) causeAgainst(j *Job) *wigeonquarantine.Cause {
	if verdict, c := s.judgeFeatures(j); verdict == wigeonquarantine.VerdictRefuse {
		return c
	}
	return nil
}

// startCauseTrial reports whether a request may be sent as a trial, and makes it one if so. Instances take turns of some length.
func (s *State) startCauseTrial(j *Job, c *wigeonquarantine.Cause, turn time.Duration) bool {
	t := s.causeTrials[c.Key()]
	if t == nil {
		t = &causeTrials{}
		s.causeTrials[c.Key()] = t
	}
	if t.running != 0 || t.blockedUntil > s.now || !s.hasTurn(c.Key(), turn) {
		return false
	}
	j.triedCause, t.running = c.Key(), j.ID
	tried := *c
	s.emit(StartTrial{RequestID: j.RequestID, Fingerprint: j.Fingerprint, Shared: j.Shared, Cause: &tried})
	return true
}

// causeTrialWait returns the time until a refused cause may be tried.
func (s *State) causeTrialWait(c *wigeonquarantine.Cause) time.Duration {
	delay := causeTrialDelay
	for n := freeCauseCrashes; n < len(c.Endpoints) && delay < maxCauseTrialDelay; n++ {
		delay *= causeTrialFactor
	}
	return c.LatestAt.Add(min(delay, maxCauseTrialDelay)).Sub(s.wallClock())
}

// causeRetryAfter returns the time after which the caller of a refused request should try again.
func (s *State) causeRetryAfter(c *wigeonquarantine.Cause) time.Duration {
	return max(s.causeTrialWait(c), trialTurn)
}

// blockCauseTrials ends the trial of a request that was lost, and lets no other start before the crash that it may have caused is
// known.
func (s *State) blockCauseTrials(j *Job) {
	if t := s.causeTrials[j.triedCause]; t != nil {
		t.blockedUntil = s.now + lostTrialPause
	}
	s.endCauseTrial(j)
}

// endCauseTrial lets the next trial start.
func (s *State) endCauseTrial(j *Job) {
	if t := s.causeTrials[j.triedCause]; t != nil && t.running == j.ID {
		t.running = 0
	}
	j.triedCause = 0
}

// expireCauseTrials forgets the trials of what is no longer a cause.
func (s *State) expireCauseTrials() {
	if len(s.causeTrials) == 0 {
		return
	}
	isCause := map[wigeonshift.Fingerprint]bool{}
	for _, c := range s.crashes.Causes() {
		isCause[c.Key()] = true
	}
	for key, t := range s.causeTrials {
		if !isCause[key] && t.running == 0 && t.blockedUntil <= s.now {
			delete(s.causeTrials, key)
		}
	}
}

// recordFeatureAnswers shares the answer to a request if that clears something that crashes have in common.
func (s *State) recordFeatureAnswers(j *Job) {
	for _, id := range j.identifiers {
		s.reportAnswer(id, s.wallClock())
	}
}

// reportOwnAnswers shares the answers that this instance received to what crashes have in common.
func (s *State) reportOwnAnswers() {
	for _, id := range s.crashes.SuspiciousFeatures() {
		if latest, answered := s.answers.LatestAt(id); answered {
			s.reportAnswer(id, s.settings.StartedAt.Add(latest))
		}
	}
}

// reportAnswer shares an answer if it is of interest to the other instances.
func (s *State) reportAnswer(id wigeonshift.Fingerprint, at time.Time) {
	if !s.crashes.NeedsAnswer(id, at) {
		return
	}
	a := wigeonshift.FeatureAnswer{Feature: id, At: at}
	if s.crashes.AddAnswer(a) {
		s.emit(ReportAnswer{Answer: a})
	}
}
