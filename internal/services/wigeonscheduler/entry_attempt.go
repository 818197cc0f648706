package wigeonscheduler

import (
	"slices"

	"wigeonshift"
)

// handleAttemptStarted reports the attempt as started, once for each permit. The owner then knows that the permit was
// used and does not let the grant expire.
func (r *EntryRequest) handleAttemptStarted(b AttemptStarted) []Effect {
	if r.Phase != PhaseDispatched || b.Run != r.Run || r.MayHaveBegun {
		return ignoreEvent("began")
	}
	r.MayHaveBegun = true
	return []Effect{r.reportAttempt(wigeonshift.AttemptStarted)}
}

// handleAttemptProgressed records the tokens received and reports the first token of the answer, from which the owner
// learns the endpoint's speed. A new token resets the count of resumes without one.
func (r *EntryRequest) handleAttemptProgressed(b AttemptProgressed) []Effect {
	if r.Phase != PhaseDispatched || b.Run != r.Run || b.TokensDone <= r.TokensDone {
		return ignoreEvent("progress")
	}
	first := r.TokensDone == 0
	r.MayHaveBegun = true
	r.ResumesWithoutToken = 0
	r.TokensDone = b.TokensDone
	if first {
		return []Effect{r.reportAttempt(wigeonshift.AttemptFirstToken)}
	}
	return nil
}

// handleAttemptEnded decides how a request continues after a run has ended. The end of an older run is ignored, because
// a resume has replaced that run.
func (e *EntryState) handleAttemptEnded(r *EntryRequest, b AttemptEnded) []Effect {
	if r.Phase != PhaseDispatched || b.Run != r.Run {
		return ignoreEvent("ended")
	}
	if b.TokensDone > r.TokensDone {
		r.TokensDone = b.TokensDone
		r.ResumesWithoutToken = 0
	}
	switch b.Outcome {
	case OutcomeFinished:
		return e.handleFinished(r, b)
	case OutcomePaused:
		return e.handlePaused(r)
	case OutcomeNotRun:
		return e.handleNotRun(r, b)
	case OutcomeFailed:
		effects := []Effect{r.reportAttempt(wigeonshift.AttemptFailed)}
		return append(effects, e.endWithRefusal(r, wigeonshift.ReasonEndpointError, r.runState(), retryAfterDefault)...)
	case OutcomeLost, OutcomeMismatch:
		return e.handleLost(r, b.Outcome)
	}
	return nil
}

// handleFinished sends the answer to the caller. If the request has a claim (the stored record of its idempotency key),
// it first records the outcome there to answer a resend. A caller that was refused in the meantime gets no second
// answer.
func (e *EntryState) handleFinished(r *EntryRequest, b AttemptEnded) []Effect {
	report := r.reportAttempt(wigeonshift.AttemptFinished)
	report.Report.CachedTokens = b.CachedTokens
	effects := []Effect{report, ClosePermit{}}
	if r.Claim != nil {
		c := *r.Claim
		c.State = wigeonshift.ClaimDone
		effects = append(effects, SettleClaim{Claim: c})
	}
	e.remove(r)
	if r.CallerAnswered {
		return append(effects, EndRequest{})
	}
	return append(effects, AnswerCaller{})
}

// handlePaused marks the stream as paused. It resumes the stream at once if the owner has already asked for that.
func (e *EntryState) handlePaused(r *EntryRequest) []Effect {
	if !r.PauseRequested {
		// The owner did not ask for this pause, so it would never resume the stream.
		return e.handleLost(r, OutcomeLost)
	}
	r.Phase = PhasePaused
	r.PauseRequested = false
	effects := []Effect{r.reportAttempt(wigeonshift.AttemptPaused)}
	if r.ResumeRequested {
		effects = append(effects, r.resume(0)...)
	}
	return effects
}

// handleNotRun asks for another permit if the proof covers every run under the permit. It refuses a non-idempotent
// request instead if the endpoint may have read a byte of it, because its claim prevents a second dispatch, or if its
// caller is already answered.
func (e *EntryState) handleNotRun(r *EntryRequest, b AttemptEnded) []Effect {
	if r.TokensDone > 0 || r.Resumed {
		// A resume that did not start proves nothing about the run before it.
		return e.handleLost(r, OutcomeLost)
	}
	report := r.reportAttempt(wigeonshift.AttemptNotRun)
	report.Report.ConnectRefused = b.ConnectRefused
	effects := []Effect{report}
	if r.Claim != nil && (r.MayHaveBegun || r.CallerAnswered) {
		return append(effects, e.endWithRefusal(r, wigeonshift.ReasonEndpointError, wigeonshift.NotRun, retryAfterDefault)...)
	}
	r.PermitRequest.Avoid = append(slices.Clone(r.PermitRequest.Avoid), r.Permit.Endpoint)
	label := "endpointNotRun"
	if b.ConnectRefused {
		label = "connectRefused"
	}
	return append(effects, e.requestNewPermit(r, label)...)
}

// handleLost resumes a model stream on the same engine after the last token received. A plain service has no tokens, so
// its request is refused with what is known about the run, as is a stream after MaxResumesWithoutToken resumes. A
// mismatched answer is reported as failed and not as lost, because the owner counts a lost attempt as a crash of the
// endpoint.
func (e *EntryState) handleLost(r *EntryRequest, outcome AttemptOutcome) []Effect {
	if r.PermitRequest.Model != "" && r.ResumesWithoutToken < MaxResumesWithoutToken {
		r.ResumesWithoutToken++
		effects := []Effect{Count{Name: CountEntryRetries, Label: "resume", Delta: 1}}
		return append(effects, r.resume(r.ResumesWithoutToken)...)
	}
	effects := []Effect{CancelStream{Permit: r.Permit}}
	reason := wigeonshift.ReasonEndpointLost
	if outcome == OutcomeMismatch {
		reason = wigeonshift.ReasonOutcomeUnknown
		effects = append(effects, r.reportAttempt(wigeonshift.AttemptFailed))
	} else {
		effects = append(effects, r.reportAttempt(wigeonshift.AttemptLost))
	}
	return append(effects, e.endWithRefusal(r, reason, r.runState(), retryAfterDefault)...)
}

// resume continues the stream after the last token received. resumeNumber counts consecutive resumes without a token,
// including this one, and sets the backoff; 0 means no delay. The run gets a new number so that late events of the old
// one are ignored.
func (r *EntryRequest) resume(resumeNumber int) []Effect {
	fromPause := r.Phase == PhasePaused
	r.Phase = PhaseDispatched
	r.Run++
	r.Resumed = true
	r.PauseRequested, r.ResumeRequested = false, false
	resume := ResumeStream{Permit: r.Permit, Run: r.Run, Offset: r.TokensDone}
	if resumeNumber > 0 {
		resume.Wait = baseResumeBackoff << (resumeNumber - 1)
	}
	effects := []Effect{resume}
	if fromPause {
		effects = append(effects, r.reportAttempt(wigeonshift.AttemptResumed))
	}
	return effects
}

// handlePauseFailed reports to the owner that the stream continues because the engine did not pause it.
func (r *EntryRequest) handlePauseFailed(b PauseFailed) []Effect {
	if r.Phase != PhaseDispatched || b.Run != r.Run || !r.PauseRequested {
		return ignoreEvent("pause")
	}
	r.PauseRequested, r.ResumeRequested = false, false
	return []Effect{r.reportAttempt(wigeonshift.AttemptResumed)}
}

// handleRevocation cancels, pauses or resumes a running attempt as the owner asks. It ignores a cancel if the run must
// continue to record its outcome. A resume that arrives before the engine has paused is remembered until then.
func (e *EntryState) handleRevocation(r *EntryRequest, v wigeonshift.Revocation) []Effect {
	running := r.Phase == PhaseDispatched || r.Phase == PhasePaused
	if !running || v.Token != r.Permit.Token {
		return ignoreEvent("revoke")
	}
	switch v.Action {
	case wigeonshift.RevokeCancel:
		if r.mustRunToEnd() {
			return ignoreEvent("revoke")
		}
		return e.refuse(r, wigeonshift.ReasonPreempted, retryAfterDefault)
	case wigeonshift.RevokePause:
		return r.pause()
	case wigeonshift.RevokeResume:
		if r.Phase == PhasePaused {
			return r.resume(0)
		}
		r.ResumeRequested = r.PauseRequested
	}
	return nil
}

// pause asks the engine to pause, once. Plain services, which have no tokens, and non-idempotent requests are never
// paused.
func (r *EntryRequest) pause() []Effect {
	if r.Phase != PhaseDispatched || r.PermitRequest.Model == "" || r.PermitRequest.NonIdempotent {
		return ignoreEvent("revoke")
	}
	r.ResumeRequested = false
	if r.PauseRequested {
		return ignoreEvent("revoke")
	}
	r.PauseRequested = true
	return []Effect{PauseStream{Permit: r.Permit, Run: r.Run}}
}
