package wigeonscheduler

import (
	"slices"
	"time"

	"wigeonshift"
)

// reduceEntry applies one event to the requests this instance accepted.
func reduceEntry(e *EntryState, ev Event) []Effect {
	if _, ok := ev.Body.(EntryDrainStarted); ok {
		e.Draining = true
		return nil
	}
	id, ok := requestOf(ev.Body)
	if !ok {
		return nil
	}
	if a, ok := ev.Body.(CallerArrived); ok {
		return e.arrive(a)
	}
	r := e.Requests[id]
	if r == nil {
		return ignore("late")
	}
	switch b := ev.Body.(type) {
	case ClaimAnswered:
		return e.claimAnswered(r, b)
	case PermitAnswered:
		return e.permitAnswered(r, b.Answer, b.Leaving, ev.At)
	case PermitFailed:
		return e.permitFailed(r)
	case AttemptBegan:
		return r.attemptBegan(b)
	case AttemptProgressed:
		return r.attemptProgressed(b)
	case AttemptEnded:
		return e.attemptEnded(r, b)
	case PauseFailed:
		return r.pauseFailed(b)
	case CallerGone:
		return e.callerGone(r)
	case DeadlineReached:
		return e.deadlineReached(r)
	case Displaced:
		return e.displaced(r)
	}
	return nil
}

// ignore counts an event that no longer matters.
func ignore(why string) []Effect {
	return []Effect{Count{Name: CountEntryIgnored, Label: why, Delta: 1}}
}

// refusal returns the effects that refuse a caller.
func refusal(reason wigeonshift.RefusalReason, state wigeonshift.RunState, retry time.Duration) []Effect {
	return []Effect{
		Count{Name: CountEntryRefusals, Label: string(reason), Delta: 1},
		AnswerCaller{Refusal: &wigeonshift.Refusal{Reason: reason, State: state, RetryAfter: retry}},
	}
}

func (e *EntryState) arrive(a CallerArrived) []Effect {
	if e.Requests[a.Ask.ID] != nil {
		return ignore("duplicate")
	}
	if e.Draining {
		return refusal(wigeonshift.ReasonShuttingDown, wigeonshift.NotRun, retryAfterElsewhere)
	}
	effects, ok := e.makeRoom(a.Ask)
	if !ok {
		return refusal(wigeonshift.ReasonTooMany, wigeonshift.NotRun, retryAfterDefault)
	}
	r := &EntryRequest{Ask: a.Ask, Claim: a.Claim, Phase: PhasePermit}
	e.add(r)
	if a.Claim != nil {
		r.Phase = PhaseClaim
		return append(effects, WriteClaim{Claim: *a.Claim})
	}
	return append(effects, AskPermit{Ask: r.Ask})
}

func (e *EntryState) claimAnswered(r *EntryRequest, b ClaimAnswered) []Effect {
	if r.Phase != PhaseClaim {
		return ignore("claim")
	}
	switch b.Outcome {
	case ClaimWritten:
		r.Phase = PhasePermit
		return []Effect{AskPermit{Ask: r.Ask}}
	case ClaimExists:
		return e.claimExists(r, b.Existing)
	case ClaimRefused:
		r.Claim = nil
	case ClaimUnknown:
		// The claim may stand in the table; refuse releases it.
	}
	return e.refuse(r, wigeonshift.ReasonStoreUnavailable, retryAfterDefault)
}

// claimExists answers a request whose key another attempt holds.
func (e *EntryState) claimExists(r *EntryRequest, existing wigeonshift.Claim) []Effect {
	r.Claim = nil
	switch {
	case existing.Fingerprint != r.Ask.Fingerprint:
		return e.refuse(r, wigeonshift.ReasonKeyReused, 0)
	case existing.State == wigeonshift.ClaimDone:
		e.remove(r)
		return []Effect{AnswerCaller{Replay: &existing}}
	default:
		effects := refusal(wigeonshift.ReasonAlreadyClaimed, wigeonshift.RunUnknown, 0)
		e.remove(r)
		return effects
	}
}

func (e *EntryState) permitAnswered(r *EntryRequest, a wigeonshift.PermitAnswer, leaving bool, at time.Time) []Effect {
	switch {
	case a.Revoke != nil:
		return e.revoked(r, *a.Revoke)
	case r.Phase != PhasePermit:
		return ignore("permit")
	case a.Grant != nil:
		return e.granted(r, *a.Grant, leaving, at)
	case a.Refuse != nil:
		return e.refuse(r, a.Refuse.Reason, a.Refuse.RetryAfter)
	case a.Spill != nil:
		return e.spilled(r, *a.Spill)
	}
	return ignore("permit")
}

// granted spends a permit.
func (e *EntryState) granted(r *EntryRequest, p wigeonshift.Permit, leaving bool, at time.Time) []Effect {
	if at.After(p.UseBefore) {
		return e.askAgain(r, "permitExpired")
	}
	if leaving {
		r.Ask.Avoid = append(slices.Clone(r.Ask.Avoid), p.Endpoint)
		return e.askAgain(r, "endpointLeaving")
	}
	r.Phase = PhaseDispatched
	r.Permit = p
	r.Run++
	r.Began, r.Resumed, r.Resumes = false, false, 0
	r.Pausing, r.ResumeWanted = false, false
	return []Effect{Dispatch{Permit: p, Run: r.Run}}
}

// askAgain asks for another permit within the retry budget. The request must be proved not to have run.
func (e *EntryState) askAgain(r *EntryRequest, why string) []Effect {
	r.Phase = PhasePermit
	r.Ask.Attempt++
	if r.Ask.Attempt >= MaxPermits {
		return e.refuse(r, wigeonshift.ReasonRetryBudget, retryAfterDefault)
	}
	return []Effect{
		Count{Name: CountEntryRetries, Label: why, Delta: 1},
		ClosePermit{},
		AskPermit{Ask: r.Ask},
	}
}

// spilled asks another shard of the pool.
func (e *EntryState) spilled(r *EntryRequest, shard wigeonshift.ShardID) []Effect {
	r.Ask.Spills++
	if r.Ask.Spills > MaxSpills {
		return e.refuse(r, wigeonshift.ReasonQueueFull, retryAfterDefault)
	}
	r.Ask.Shard = shard
	return []Effect{
		Count{Name: CountEntryRetries, Label: "spill", Delta: 1},
		ClosePermit{},
		AskPermit{Ask: r.Ask},
	}
}

func (e *EntryState) permitFailed(r *EntryRequest) []Effect {
	if r.Phase != PhasePermit {
		return ignore("permit")
	}
	return e.refuse(r, wigeonshift.ReasonNoOwner, retryAfterDefault)
}

func (e *EntryState) callerGone(r *EntryRequest) []Effect {
	if r.mustFinish() {
		return r.leave(wigeonshift.ReasonCallerGone)
	}
	return e.refuse(r, wigeonshift.ReasonCallerGone, 0)
}

func (e *EntryState) deadlineReached(r *EntryRequest) []Effect {
	if r.mustFinish() {
		return r.leave(wigeonshift.ReasonDeadlinePassed)
	}
	return e.refuse(r, wigeonshift.ReasonDeadlinePassed, retryAfterDefault)
}

// displaced refuses a request that gives way, unless its run has to go on meanwhile.
func (e *EntryState) displaced(r *EntryRequest) []Effect {
	if r.mustFinish() {
		return ignore("displaced")
	}
	return e.refuse(r, wigeonshift.ReasonPreempted, retryAfterDefault)
}

// mustFinish tells whether the run goes on without its caller, because its outcome is to be recorded for a repeat.
func (r *EntryRequest) mustFinish() bool {
	return r.Claim != nil && r.Phase == PhaseDispatched
}

// leave refuses the caller and lets the run go on.
func (r *EntryRequest) leave(reason wigeonshift.RefusalReason) []Effect {
	if r.Answered {
		return ignore("answered")
	}
	r.Answered = true
	return []Effect{
		Count{Name: CountEntryRefusals, Label: string(reason), Delta: 1},
		AnswerCaller{Refusal: &wigeonshift.Refusal{Reason: reason, State: r.runState()}, Continues: true},
	}
}

// refuse ends a request without a result, with the truth about whether it ran.
func (e *EntryState) refuse(r *EntryRequest, reason wigeonshift.RefusalReason, retry time.Duration) []Effect {
	state := r.runState()
	var effects []Effect
	if r.Phase == PhaseDispatched || r.Phase == PhasePaused {
		effects = append(effects, CancelStream{Permit: r.Permit}, r.report(wigeonshift.AttemptCancelled))
	}
	return append(effects, e.end(r, reason, state, retry)...)
}

// end refuses a request whose attempt is over.
func (e *EntryState) end(r *EntryRequest, reason wigeonshift.RefusalReason, state wigeonshift.RunState, retry time.Duration) []Effect {
	effects := []Effect{ClosePermit{}}
	if r.Ask.Model != "" && r.Began && state != wigeonshift.NotRun {
		wasted := int64(max(0, r.Ask.PromptTokens-r.Permit.CachedTokens))
		effects = append(effects, Count{Name: CountWastedPrefill, Label: string(reason), Delta: wasted})
	}
	if r.Claim != nil {
		if state == wigeonshift.NotRun {
			c := *r.Claim
			c.State = wigeonshift.ClaimReleased
			effects = append(effects, SettleClaim{Claim: c})
		} else {
			retry = 0
		}
	}
	e.remove(r)
	if r.Answered {
		return append(effects, EndRequest{})
	}
	return slices.Concat(effects, refusal(reason, state, retry))
}
