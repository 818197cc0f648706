package wigeondispatch

import (
	"strconv"
	"time"

	"wigeonshift"
)

const (
	// trialDelayPerCrash is the time after the latest crash until the first trial, for each endpoint that crashed.
	trialDelayPerCrash = 4 * time.Second
	// trialTurn is the time for which one instance sends the trials of a content; then it is another one's turn.
	trialTurn = 2 * time.Second
	// trialRefusals is the number of refusals of the same request after which its trial need not wait. A caller that changes a
	// request each time doesn't come again with the same one.
	trialRefusals = 3
	// maxRefused bounds the refused requests that are counted for each content.
	maxRefused = 256
	// trialAnswersPerCrash is the number of trials without a crash, for each endpoint that crashed, after which this instance
	// no longer suspects a content.
	trialAnswersPerCrash = 4
)

// trials are the trials of requests that share a content which is suspected of crashes. They find out which of these
// requests are sound. One trial runs at a time, on one of all instances.
type trials struct {
	// running is the trial that runs, or zero.
	running JobID
	// blockedUntil is the time before which no trial starts, as one was lost.
	blockedUntil time.Duration
	// crashedEndpoints is the number of endpoints that crashed under the content, answers the number of trials that were
	// answered since it last changed.
	crashedEndpoints, answers int
	// refusals counts the refusals of each request.
	refusals map[wigeonshift.Fingerprint]int
}

// countRefusal counts the refusal of a suspected request.
func (t *trials) countRefusal(j *Job) {
	if len(t.refusals) >= maxRefused && t.refusals[j.Fingerprint] == 0 {
		clear(t.refusals)
	}
	t.refusals[j.Fingerprint]++
}

// startTrial reports whether a suspected request may be sent, as a trial or because many trials were answered.
func (s *State) startTrial(j *Job) bool {
	t := s.trialsOf(j)
	if t.answers >= trialAnswersPerCrash*t.crashedEndpoints {
		return true
	}
	if t.running != 0 || t.blockedUntil > s.now {
		return false
	}
	if t.refusals[j.Fingerprint] < trialRefusals && (s.trialWait(j) > 0 || !s.hasTrialTurn(j.Shared.Content)) {
		return false
	}
	j.isTrial, t.running = true, j.ID
	s.emit(StartTrial{RequestID: j.RequestID, Fingerprint: j.Fingerprint, Shared: j.Shared, Answers: t.answers})
	return true
}

// mayWaitForTrial reports whether a suspected request may wait for its trial or for the end of another one's, because that may
// clear it, as may the report of another crash: one variant may have caused most of the crashes.
func (s *State) mayWaitForTrial(j *Job) bool {
	return s.trialsOf(j).blockedUntil <= s.now && s.crashes.MayBeOneVariant(j.Shared)
}

// trialsOf returns the trials of the content of a request.
func (s *State) trialsOf(j *Job) *trials {
	t := s.trials[j.Shared.Content]
	if t == nil {
		t = &trials{refusals: map[wigeonshift.Fingerprint]int{}}
		s.trials[j.Shared.Content] = t
	}
	if crashed, _ := s.crashes.CrashedEndpoints(j.Shared.Content); crashed != t.crashedEndpoints {
		t.crashedEndpoints, t.answers = crashed, 0
	}
	return t
}

// trialWait returns the time until a trial of the content of a request may start. There is none after a crash if one variant may
// have caused most of them.
func (s *State) trialWait(j *Job) time.Duration {
	t := s.trialsOf(j)
	if s.crashes.MayBeOneVariant(j.Shared) {
		return max(t.blockedUntil-s.now, 0)
	}
	crashed, latest := s.crashes.CrashedEndpoints(j.Shared.Content)
	wait := latest.Add(time.Duration(crashed) * trialDelayPerCrash).Sub(s.wallClock())
	return max(wait, t.blockedUntil-s.now)
}

// trialRetryAfter returns the time after which the caller of a refused request should try again.
func (s *State) trialRetryAfter(j *Job) time.Duration { return max(s.trialWait(j), trialTurn) }

// hasTrialTurn reports whether this instance sends the trials of a content now.
func (s *State) hasTrialTurn(content wigeonshift.Fingerprint) bool {
	return s.hasTurn(content, trialTurn)
}

// hasTurn reports whether it is this instance's turn with something that is done by one instance at a time, each for the length of a
// turn.
func (s *State) hasTurn(f wigeonshift.Fingerprint, length time.Duration) bool {
	turn := s.wallClock().UnixMilli() / length.Milliseconds()
	key := f.String() + "/" + strconv.FormatInt(turn, 10)
	own := wigeonshift.RendezvousScore(key, s.settings.Instance)
	for _, id := range s.instanceIDs {
		if id != s.settings.Instance && wigeonshift.RendezvousScore(key, id) > own {
			return false
		}
	}
	return true
}

// countTrialAnswer counts the answer to a trial.
func (s *State) countTrialAnswer(j *Job) {
	if j.isTrial {
		s.trialsOf(j).answers++
	}
}

// blockTrials ends the trial of a request that was lost, and lets no other start before the crash that it may have caused is
// known.
func (s *State) blockTrials(j *Job) {
	if !j.isTrial {
		return
	}
	t := s.trialsOf(j)
	t.blockedUntil = s.now + time.Duration(t.crashedEndpoints)*trialDelayPerCrash
	s.endTrial(j)
}

// endTrial lets the next trial start.
func (s *State) endTrial(j *Job) {
	if t := s.trials[j.Shared.Content]; j.isTrial && t != nil && t.running == j.ID {
		t.running = 0
	}
	j.isTrial = false
}

// expireTrials forgets the trials of contents whose crashes are forgotten.
func (s *State) expireTrials() {
	for content := range s.trials {
		if crashed, _ := s.crashes.CrashedEndpoints(content); crashed == 0 {
			delete(s.trials, content)
		}
	}
}
