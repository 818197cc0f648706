package wigeondispatch

import (
	"wigeonshift"
	"wigeonshift/internal/services/wigeonquarantine"
)

// mustRefuse reports whether the crashes that are known forbid to send a request. One that may be sent as a trial becomes one.
func (s *State) mustRefuse(j *Job) bool {
	if s.mustRefuseForCause(j) {
		return true
	}
	switch s.crashes.Judge(j.Fingerprint, j.Shared, s.answers) {
	case wigeonquarantine.VerdictSend:
		return false
	case wigeonquarantine.VerdictTry:
		return !j.isTrial && !s.startTrial(j) && !s.mayWaitForTrial(j)
	default:
		return true
	}
}

// waitsForTrial reports whether a request that need not be refused must not be sent either while another one is tried.
func (s *State) waitsForTrial(j *Job) bool {
	if s.waitsForCauseTrial(j) {
		return true
	}
	return !j.isTrial && s.crashes.Judge(j.Fingerprint, j.Shared, s.answers) == wigeonquarantine.VerdictTry && s.mayWaitForTrial(j)
}

// recordAnswer counts a successful answer. It removes the crashes of this very request, which it shows to be sound, unless
// there are more of them than answers.
func (s *State) recordAnswer(j *Job) {
	s.answers.Add(s.now, wigeonquarantine.Identifiers(j.Fingerprint, j.Shared, j.Features))
	s.countTrialAnswer(j)
	s.recordFeatureAnswers(j)
	for _, l := range s.losses {
		delete(l.byFingerprint, j.Fingerprint)
	}
	crashes := s.crashes.Crashes(j.Fingerprint)
	if len(crashes) == 0 || s.crashes.Quarantined(j.Fingerprint) && s.answers.Count(j.Fingerprint) < len(crashes) {
		return
	}
	s.crashes.Remove(j.Fingerprint)
	s.emit(ClearCrashes{Fingerprint: j.Fingerprint})
}

// replaceCrashes replaces the crash record by what the instances know, and refuses queued requests that are quarantined now.
func (s *State) replaceCrashes(evidence wigeonshift.CrashEvidence) {
	s.crashes.Replace(evidence)
	s.reportOwnAnswers()
	s.dispatchAllWaiting()
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
	if c := s.causeAgainst(j); c != nil {
		s.refuse(j, ReasonQuarantined, s.causeRetryAfter(c))
		return
	}
	if len(s.crashes.Crashes(j.Fingerprint)) > 0 {
		s.refuse(j, ReasonQuarantined, s.crashes.ExpiresAt(j.Fingerprint).Sub(s.wallClock()))
		return
	}
	wait := s.trialRetryAfter(j)
	s.trialsOf(j).countRefusal(j)
	s.refuse(j, ReasonQuarantined, wait)
}

// crashesOf returns the crashes that explain the refusal of a request.
func (s *State) crashesOf(j *Job, reason Reason) []wigeonshift.Crash {
	own := s.crashes.Crashes(j.Fingerprint)
	if reason == ReasonQuarantined && len(own) == 0 {
		return s.crashes.ContentCrashes(j.Shared.Content)
	}
	return own
}
