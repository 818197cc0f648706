package wigeonscheduler

import (
	"slices"
	"time"

	"wigeonshift"
)

// reduceEntry applies one event to the requests that this instance has accepted.
func reduceEntry(e *EntryState, ev Event) []Effect {
	if _, ok := ev.Body.(EntryDrainStarted); ok {
		e.Draining = true
		return nil
	}
	id, ok := entryRequestID(ev.Body)
	if !ok {
		return nil
	}
	if a, ok := ev.Body.(CallerArrived); ok {
		return e.handleCallerArrived(a)
	}
	r := e.Requests[id]
	if r == nil {
		return ignoreEvent("late")
	}
	switch b := ev.Body.(type) {
	case ClaimAnswered:
		return e.handleClaimAnswered(r, b)
	case PermitAnswered:
		return e.handlePermitAnswered(r, b.Answer, b.Leaving, ev.At)
	case PermitFailed:
		return e.handlePermitFailed(r)
	case AttemptStarted:
		return r.handleAttemptStarted(b)
	case AttemptProgressed:
		return r.handleAttemptProgressed(b)
	case AttemptEnded:
		return e.handleAttemptEnded(r, b)
	case PauseFailed:
		return r.handlePauseFailed(b)
	case CallerDisconnected:
		return e.handleCallerDisconnected(r)
	case DeadlineReached:
		return e.handleDeadlineReached(r)
	case Displaced:
		return e.handleDisplaced(r)
	}
	return nil
}

// ignoreEvent counts an event that does not apply to the current state. The label names the kind of event.
func ignoreEvent(label string) []Effect {
	return []Effect{Count{Name: CountEntryIgnored, Label: label, Delta: 1}}
}

// refusalEffects returns the effects that count a refusal and send it to the caller.
func refusalEffects(reason wigeonshift.RefusalReason, state wigeonshift.RunState, retry time.Duration) []Effect {
	return []Effect{
		Count{Name: CountEntryRefusals, Label: string(reason), Delta: 1},
		AnswerCaller{Refusal: &wigeonshift.Refusal{Reason: reason, State: state, RetryAfter: retry}},
	}
}

// handleCallerArrived accepts a new request, or refuses it if the instance is draining or full. On a full instance,
// makeRoom returns the effects that displace a request of a lower tier. A non-idempotent request first writes its
// claim, the stored record of its idempotency key, so that a resend finds it and does not run a second time. Any other
// request asks at once for a permit, the owner's permission to run on an endpoint.
func (e *EntryState) handleCallerArrived(a CallerArrived) []Effect {
	if e.Requests[a.PermitRequest.ID] != nil {
		return ignoreEvent("duplicate")
	}
	if e.Draining {
		return refusalEffects(wigeonshift.ReasonShuttingDown, wigeonshift.NotRun, retryAfterShutdown)
	}
	effects, ok := e.makeRoom(a.PermitRequest)
	if !ok {
		return refusalEffects(wigeonshift.ReasonTooManyRequests, wigeonshift.NotRun, retryAfterDefault)
	}
	r := &EntryRequest{PermitRequest: a.PermitRequest, Claim: a.Claim, Phase: PhasePermit}
	e.add(r)
	if a.Claim != nil {
		r.Phase = PhaseClaim
		return append(effects, WriteClaim{Claim: *a.Claim})
	}
	return append(effects, RequestPermit{PermitRequest: r.PermitRequest})
}

// handleClaimAnswered asks for a permit once the claim, the stored record of the idempotency key, is written. If the
// key is already claimed, it replays the recorded answer or refuses. It also refuses if the claim was not written or
// its outcome is unknown, because such a request must not be dispatched.
func (e *EntryState) handleClaimAnswered(r *EntryRequest, b ClaimAnswered) []Effect {
	if r.Phase != PhaseClaim {
		return ignoreEvent("claim")
	}
	switch b.Outcome {
	case ClaimWritten:
		r.Phase = PhasePermit
		return []Effect{RequestPermit{PermitRequest: r.PermitRequest}}
	case ClaimExists:
		return e.handleClaimExists(r, b.Existing)
	case ClaimRefused:
		r.Claim = nil
	case ClaimUnknown:
		// The claim may have been written; refuse releases it.
	}
	return e.refuse(r, wigeonshift.ReasonStoreUnavailable, retryAfterDefault)
}

// handleClaimExists answers a request whose idempotency key is already claimed. It replays a recorded answer. Otherwise
// it refuses: the key belongs to other content (another fingerprint), or the outcome of the first request is not
// recorded.
func (e *EntryState) handleClaimExists(r *EntryRequest, existing wigeonshift.Claim) []Effect {
	r.Claim = nil
	switch {
	case existing.Fingerprint != r.PermitRequest.Fingerprint:
		return e.refuse(r, wigeonshift.ReasonKeyReused, 0)
	case existing.State == wigeonshift.ClaimDone:
		e.remove(r)
		return []Effect{AnswerCaller{Replay: &existing}}
	default:
		effects := refusalEffects(wigeonshift.ReasonAlreadyClaimed, wigeonshift.RunUnknown, 0)
		e.remove(r)
		return effects
	}
}

// handlePermitAnswered handles a grant, a refusal, a spill or a revocation from the owner.
func (e *EntryState) handlePermitAnswered(r *EntryRequest, a wigeonshift.PermitAnswer, leaving bool, at time.Time) []Effect {
	switch {
	case a.Revoke != nil:
		return e.handleRevocation(r, *a.Revoke)
	case r.Phase != PhasePermit:
		return ignoreEvent("permit")
	case a.Grant != nil:
		return e.handleGrant(r, *a.Grant, leaving, at)
	case a.Refuse != nil:
		return e.refuse(r, a.Refuse.Reason, a.Refuse.RetryAfter)
	case a.Spill != nil:
		return e.handleSpill(r, *a.Spill)
	}
	return ignoreEvent("permit")
}

// handleGrant dispatches the request to the endpoint of its permit. It asks for another permit if this one has expired,
// or if its endpoint is leaving, which an owner with an outdated configuration may not know. In the second case the
// request avoids that endpoint from then on.
func (e *EntryState) handleGrant(r *EntryRequest, p wigeonshift.Permit, leaving bool, at time.Time) []Effect {
	if at.After(p.ExpiresAt) {
		return e.requestNewPermit(r, "permitExpired")
	}
	if leaving {
		r.PermitRequest.Avoid = append(slices.Clone(r.PermitRequest.Avoid), p.Endpoint)
		return e.requestNewPermit(r, "endpointLeaving")
	}
	r.Phase = PhaseDispatched
	r.Permit = p
	r.Run++
	r.MayHaveBegun, r.Resumed, r.ResumesWithoutToken = false, false, 0
	r.PauseRequested, r.ResumeRequested = false, false
	return []Effect{Dispatch{Permit: p, Run: r.Run}}
}

// requestNewPermit asks for another permit, at most MaxPermits in all, in a new session with the owner. It may only be
// called with proof that the request did not run, because it leads to another dispatch.
func (e *EntryState) requestNewPermit(r *EntryRequest, label string) []Effect {
	r.Phase = PhasePermit
	r.PermitRequest.Attempt++
	if r.PermitRequest.Attempt >= MaxPermits {
		return e.refuse(r, wigeonshift.ReasonRetryBudget, retryAfterDefault)
	}
	return []Effect{
		Count{Name: CountEntryRetries, Label: label, Delta: 1},
		ClosePermit{},
		RequestPermit{PermitRequest: r.PermitRequest},
	}
}

// handleSpill asks the shard that the owner named for a permit instead, because the first one lacks capacity. A request
// is passed on at most MaxSpills times.
func (e *EntryState) handleSpill(r *EntryRequest, shard wigeonshift.ShardID) []Effect {
	r.PermitRequest.SpillCount++
	if r.PermitRequest.SpillCount > MaxSpills {
		return e.refuse(r, wigeonshift.ReasonQueueFull, retryAfterDefault)
	}
	r.PermitRequest.Shard = shard
	return []Effect{
		Count{Name: CountEntryRetries, Label: "spill", Delta: 1},
		ClosePermit{},
		RequestPermit{PermitRequest: r.PermitRequest},
	}
}

// handlePermitFailed refuses a request that waits for a permit when no owner can be asked.
func (e *EntryState) handlePermitFailed(r *EntryRequest) []Effect {
	if r.Phase != PhasePermit {
		return ignoreEvent("permit")
	}
	return e.refuse(r, wigeonshift.ReasonNoOwner, retryAfterDefault)
}

// handleCallerDisconnected ends a request whose caller has disconnected, unless its run must continue.
func (e *EntryState) handleCallerDisconnected(r *EntryRequest) []Effect {
	if r.mustRunToEnd() {
		return r.refuseAndContinue(wigeonshift.ReasonCallerGone)
	}
	return e.refuse(r, wigeonshift.ReasonCallerGone, 0)
}

// handleDeadlineReached refuses a request at its deadline; a run that must continue goes on after it.
func (e *EntryState) handleDeadlineReached(r *EntryRequest) []Effect {
	if r.mustRunToEnd() {
		return r.refuseAndContinue(wigeonshift.ReasonDeadlinePassed)
	}
	return e.refuse(r, wigeonshift.ReasonDeadlinePassed, retryAfterDefault)
}

// handleDisplaced refuses a request to make room for one of a higher tier. It ignores the event if the request has been
// dispatched in the meantime and its run must continue.
func (e *EntryState) handleDisplaced(r *EntryRequest) []Effect {
	if r.mustRunToEnd() {
		return ignoreEvent("displaced")
	}
	return e.refuse(r, wigeonshift.ReasonPreempted, retryAfterDefault)
}

// mustRunToEnd reports whether the run continues even without its caller. That of a request with a claim does, because
// its outcome is recorded to answer a resend.
func (r *EntryRequest) mustRunToEnd() bool {
	return r.Claim != nil && r.Phase == PhaseDispatched
}

// refuseAndContinue refuses the caller while the run continues, so that its outcome can still be recorded to answer a
// resend.
func (r *EntryRequest) refuseAndContinue(reason wigeonshift.RefusalReason) []Effect {
	if r.CallerAnswered {
		return ignoreEvent("answered")
	}
	r.CallerAnswered = true
	return []Effect{
		Count{Name: CountEntryRefusals, Label: string(reason), Delta: 1},
		AnswerCaller{Refusal: &wigeonshift.Refusal{Reason: reason, State: r.runState()}, Continues: true},
	}
}

// refuse cancels a running attempt and refuses the request, with what is known about whether it ran.
func (e *EntryState) refuse(r *EntryRequest, reason wigeonshift.RefusalReason, retry time.Duration) []Effect {
	state := r.runState()
	var effects []Effect
	if r.Phase == PhaseDispatched || r.Phase == PhasePaused {
		effects = append(effects, CancelStream{Permit: r.Permit}, r.reportAttempt(wigeonshift.AttemptCancelled))
	}
	return append(effects, e.endWithRefusal(r, reason, state, retry)...)
}

// endWithRefusal refuses a request whose attempt is over. It releases the claim (the stored record of the idempotency
// key) of a request that did not run, so that a resend can run. It advises against a resend of a claimed request that
// may have run. A caller that was already refused gets no second answer.
func (e *EntryState) endWithRefusal(r *EntryRequest, reason wigeonshift.RefusalReason, state wigeonshift.RunState, retry time.Duration) []Effect {
	effects := []Effect{ClosePermit{}}
	if r.PermitRequest.Model != "" && r.MayHaveBegun && state != wigeonshift.NotRun {
		wasted := int64(max(0, r.PermitRequest.PromptTokens-r.Permit.CachedTokens))
		effects = append(effects, Count{Name: CountWastedPrefillTokens, Label: string(reason), Delta: wasted})
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
	if r.CallerAnswered {
		return append(effects, EndRequest{})
	}
	return slices.Concat(effects, refusalEffects(reason, state, retry))
}
