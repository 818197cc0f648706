package wigeonscheduler

import (
	"time"

	"wigeonshift"
)

// Limits and delays for accepted requests.
const (
	// MaxPermits is the maximum number of permits that one request may use without running.
	MaxPermits = 4
	// MaxResumesWithoutToken is the maximum number of consecutive resumes that deliver no token.
	MaxResumesWithoutToken = 3
	// MaxSpills is the maximum number of times that a request is passed on to another shard of the pool.
	MaxSpills = 4

	baseResumeBackoff = 100 * time.Millisecond
	retryAfterDefault = time.Second
	// retryAfterShutdown advises an immediate resend, because another instance will receive it.
	retryAfterShutdown = time.Millisecond
)

// Names of the counters of accepted requests.
const (
	CountEntryRefusals = "entryRefusals"
	CountEntryRetries  = "entryRetries"
	CountEntryIgnored  = "entryIgnored"
	// CountWastedPrefillTokens counts prompt tokens whose prefill was discarded. It leaves out tokens that the owner
	// predicted to be cached.
	CountWastedPrefillTokens = "entryWastedPrefillTokens"
)

// EntryPhase is the phase of one accepted request.
type EntryPhase string

// Phases of an accepted request. Finished requests are removed from EntryState.
const (
	// PhaseClaim means that the request waits for its claim to be written.
	PhaseClaim EntryPhase = "claim"
	// PhasePermit means that the request waits for a permit from the shard's owner.
	PhasePermit EntryPhase = "permit"
	// PhaseDispatched means that the request has spent a permit and a run is in progress.
	PhaseDispatched EntryPhase = "dispatched"
	// PhasePaused means that the stream is paused until the owner resumes it.
	PhasePaused EntryPhase = "paused"
)

// EntryState holds the requests that one instance has accepted.
type EntryState struct {
	// Draining is set when the instance stops accepting requests; it is never cleared.
	Draining bool
	// MaxRequests bounds the accepted requests; 0 means no bound. A displaced request counts until it has ended.
	MaxRequests int
	Requests    map[wigeonshift.RequestID]*EntryRequest

	// tiers holds the requests that have not been displaced, by product.
	tiers map[string]*tierLists
}

// EntryRequest is the state of one accepted request.
type EntryRequest struct {
	PermitRequest wigeonshift.PermitRequest
	Phase         EntryPhase
	// Claim is set for non-idempotent requests.
	Claim *wigeonshift.Claim
	// Permit is the permit spent last; it is set in PhaseDispatched and PhasePaused.
	Permit wigeonshift.Permit
	// Run is the number of the latest run; it never decreases.
	Run int
	// MayHaveBegun is set when the endpoint may have read a byte of the request under the current permit.
	MayHaveBegun bool
	// Resumed is set once a run of the current permit was a resume.
	Resumed bool
	// ResumesWithoutToken counts consecutive resumes that delivered no token.
	ResumesWithoutToken int
	// TokensDone counts the tokens of the answer received so far.
	TokensDone int
	// PauseRequested is set while the engine has been asked to pause and has not yet paused.
	PauseRequested bool
	// ResumeRequested is set when the owner resumes the request before the engine has paused.
	ResumeRequested bool
	// CallerAnswered is set when the caller was refused while the run continues so that its outcome can be recorded.
	CallerAnswered bool

	// tier is the list that links the request, nil once the request is displaced or removed.
	tier           *tierList
	previous, next *EntryRequest
}

// runState returns what is known about whether the request ran.
func (r *EntryRequest) runState() wigeonshift.RunState {
	switch {
	case r.TokensDone > 0 || r.Phase == PhasePaused:
		return wigeonshift.Ran
	case r.Phase == PhaseDispatched:
		return wigeonshift.RunUnknown
	default:
		return wigeonshift.NotRun
	}
}

// reportAttempt returns the effect that reports the current attempt to the owner.
func (r *EntryRequest) reportAttempt(state wigeonshift.AttemptState) ReportAttempt {
	return ReportAttempt{Report: wigeonshift.AttemptReport{
		Request:    r.PermitRequest.ID,
		Shard:      r.Permit.Shard,
		Token:      r.Permit.Token,
		Endpoint:   r.Permit.Endpoint,
		State:      state,
		TokensDone: r.TokensDone,
	}}
}

// entryRequestID returns the ID of the request that an event concerns; ok is false for events that concern no accepted
// request.
func entryRequestID(b EventBody) (id wigeonshift.RequestID, ok bool) {
	switch b := b.(type) {
	case CallerArrived:
		return b.PermitRequest.ID, true
	case ClaimAnswered:
		return b.Request, true
	case PermitAnswered:
		return b.Request, true
	case PermitFailed:
		return b.Request, true
	case AttemptStarted:
		return b.Request, true
	case AttemptProgressed:
		return b.Request, true
	case AttemptEnded:
		return b.Request, true
	case PauseFailed:
		return b.Request, true
	case CallerDisconnected:
		return b.Request, true
	case DeadlineReached:
		return b.Request, true
	case Displaced:
		return b.Request, true
	}
	return "", false
}
