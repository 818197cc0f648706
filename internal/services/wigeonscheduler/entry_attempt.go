package wigeonscheduler

import (
	"slices"

	"wigeonshift"
)

func (r *EntryRequest) attemptBegan(b AttemptBegan) []Effect {
	if r.Phase != PhaseDispatched || b.Run != r.Run || r.Began {
		return ignore("began")
	}
	r.Began = true
	return []Effect{r.report(wigeonshift.AttemptStarted)}
}

func (r *EntryRequest) attemptProgressed(b AttemptProgressed) []Effect {
	if r.Phase != PhaseDispatched || b.Run != r.Run || b.TokensDone <= r.TokensDone {
		return ignore("progress")
	}
	first := r.TokensDone == 0
	r.Began = true
	r.Resumes = 0
	r.TokensDone = b.TokensDone
	if first {
		return []Effect{r.report(wigeonshift.AttemptFirstToken)}
	}
	return nil
}

// attemptEnded decides what follows a run's end.
func (e *EntryState) attemptEnded(r *EntryRequest, b AttemptEnded) []Effect {
	if r.Phase != PhaseDispatched || b.Run != r.Run {
		return ignore("ended")
	}
	if b.TokensDone > r.TokensDone {
		r.TokensDone = b.TokensDone
		r.Resumes = 0
	}
	switch b.Outcome {
	case OutcomeFinished:
		return e.attemptFinished(r, b)
	case OutcomePaused:
		return e.attemptPaused(r)
	case OutcomeNotRun:
		return e.attemptNotRun(r, b)
	case OutcomeFailed:
		effects := []Effect{r.report(wigeonshift.AttemptFailed)}
		return append(effects, e.end(r, wigeonshift.ReasonEndpointError, r.runState(), retryAfterDefault)...)
	case OutcomeLost, OutcomeMismatch:
		return e.attemptLost(r, b.Outcome)
	}
	return nil
}

func (e *EntryState) attemptFinished(r *EntryRequest, b AttemptEnded) []Effect {
	report := r.report(wigeonshift.AttemptFinished)
	report.Report.CachedTokens = b.CachedTokens
	effects := []Effect{report, ClosePermit{}}
	if r.Claim != nil {
		c := *r.Claim
		c.State = wigeonshift.ClaimDone
		effects = append(effects, SettleClaim{Claim: c})
	}
	e.remove(r)
	if r.Answered {
		return append(effects, EndRequest{})
	}
	return append(effects, AnswerCaller{})
}

func (e *EntryState) attemptPaused(r *EntryRequest) []Effect {
	if !r.Pausing {
		// Nobody would resume a stream that paused unasked.
		return e.attemptLost(r, OutcomeLost)
	}
	r.Phase = PhasePaused
	r.Pausing = false
	effects := []Effect{r.report(wigeonshift.AttemptPaused)}
	if r.ResumeWanted {
		effects = append(effects, r.resume(0)...)
	}
	return effects
}

// attemptNotRun asks for another permit if the proof can be believed.
func (e *EntryState) attemptNotRun(r *EntryRequest, b AttemptEnded) []Effect {
	if r.TokensDone > 0 || r.Resumed {
		// A resume that did not begin proves nothing about the run before it.
		return e.attemptLost(r, OutcomeLost)
	}
	report := r.report(wigeonshift.AttemptNotRun)
	report.Report.ConnectRefused = b.ConnectRefused
	effects := []Effect{report}
	if r.Claim != nil && (r.Began || r.Answered) {
		return append(effects, e.end(r, wigeonshift.ReasonEndpointError, wigeonshift.NotRun, retryAfterDefault)...)
	}
	r.Ask.Avoid = append(slices.Clone(r.Ask.Avoid), r.Permit.Endpoint)
	why := "endpointNotRun"
	if b.ConnectRefused {
		why = "connectRefused"
	}
	return append(effects, e.askAgain(r, why)...)
}

// attemptLost resumes a model stream on the same engine, and otherwise tells the caller what is known.
func (e *EntryState) attemptLost(r *EntryRequest, outcome AttemptOutcome) []Effect {
	if r.Ask.Model != "" && r.Resumes < MaxResumes {
		r.Resumes++
		effects := []Effect{Count{Name: CountEntryRetries, Label: "resume", Delta: 1}}
		return append(effects, r.resume(r.Resumes)...)
	}
	effects := []Effect{CancelStream{Permit: r.Permit}}
	reason := wigeonshift.ReasonEndpointLost
	if outcome == OutcomeMismatch {
		reason = wigeonshift.ReasonOutcomeUnknown
		effects = append(effects, r.report(wigeonshift.AttemptFailed))
	} else {
		effects = append(effects, r.report(wigeonshift.AttemptLost))
	}
	return append(effects, e.end(r, reason, r.runState(), retryAfterDefault)...)
}

// resume continues the stream where the caller's answer stands; tries is the number of resumes without a token.
func (r *EntryRequest) resume(tries int) []Effect {
	fromPause := r.Phase == PhasePaused
	r.Phase = PhaseDispatched
	r.Run++
	r.Resumed = true
	r.Pausing, r.ResumeWanted = false, false
	resume := ResumeStream{Permit: r.Permit, Run: r.Run, Offset: r.TokensDone}
	if tries > 0 {
		resume.Wait = resumeBackoff << (tries - 1)
	}
	effects := []Effect{resume}
	if fromPause {
		effects = append(effects, r.report(wigeonshift.AttemptResumed))
	}
	return effects
}

func (r *EntryRequest) pauseFailed(b PauseFailed) []Effect {
	if r.Phase != PhaseDispatched || b.Run != r.Run || !r.Pausing {
		return ignore("pause")
	}
	r.Pausing, r.ResumeWanted = false, false
	return []Effect{r.report(wigeonshift.AttemptResumed)}
}

// revoked carries out the owner's wish about a running attempt.
func (e *EntryState) revoked(r *EntryRequest, v wigeonshift.Revocation) []Effect {
	running := r.Phase == PhaseDispatched || r.Phase == PhasePaused
	if !running || v.Token != r.Permit.Token {
		return ignore("revoke")
	}
	switch v.Action {
	case wigeonshift.RevokeCancel:
		if r.mustFinish() {
			return ignore("revoke")
		}
		return e.refuse(r, wigeonshift.ReasonPreempted, retryAfterDefault)
	case wigeonshift.RevokePause:
		return r.pause()
	case wigeonshift.RevokeResume:
		if r.Phase == PhasePaused {
			return r.resume(0)
		}
		r.ResumeWanted = r.Pausing
	}
	return nil
}

// pause asks the engine to pause. Plain services and non-idempotent requests are never paused.
func (r *EntryRequest) pause() []Effect {
	if r.Phase != PhaseDispatched || r.Ask.Model == "" || r.Ask.NonIdempotent {
		return ignore("revoke")
	}
	r.ResumeWanted = false
	if r.Pausing {
		return ignore("revoke")
	}
	r.Pausing = true
	return []Effect{PauseStream{Permit: r.Permit, Run: r.Run}}
}
