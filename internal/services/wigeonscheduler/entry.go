package wigeonscheduler

import (
	"time"

	"wigeonshift"
)

// Bounds of the entry side.
const (
	// MaxPermits is the number of permits one request may use up without a run.
	MaxPermits = 4
	// MaxResumes is the number of resumes in a row that bring no token.
	MaxResumes = 3
	// MaxSpills is the number of shards that may pass a request on.
	MaxSpills = 4

	resumeBackoff     = 100 * time.Millisecond
	retryAfterDefault = time.Second
	// retryAfterElsewhere advises an immediate resend, which another instance will get.
	retryAfterElsewhere = time.Millisecond
)

// Names of counters.
const (
	CountEntryRefusals = "entryRefusals"
	CountEntryRetries  = "entryRetries"
	CountEntryIgnored  = "entryIgnored"
	// CountWastedPrefill counts prompt tokens whose work was thrown away, as far as the owner did not expect them cached.
	CountWastedPrefill = "entryWastedPrefillTokens"
)

// EntryPhase is the phase of one accepted request.
type EntryPhase string

// Phases of an accepted request. A finished request is no longer in the state.
const (
	// PhaseClaim waits for the claim to be written.
	PhaseClaim EntryPhase = "claim"
	// PhasePermit waits for the owner's answer.
	PhasePermit EntryPhase = "permit"
	// PhaseDispatched has spent a permit; a run is in progress.
	PhaseDispatched EntryPhase = "dispatched"
	// PhasePaused waits for the owner's order to resume.
	PhasePaused EntryPhase = "paused"
)

// EntryState is the state of the requests that one instance has accepted.
type EntryState struct {
	// Draining is set once and never cleared.
	Draining bool
	// MaxRequests bounds the requests; 0 means no bound. A request that gives way counts until it has ended.
	MaxRequests int
	Requests    map[wigeonshift.RequestID]*EntryRequest

	// tiers holds the requests that may give way, by product.
	tiers map[string]*tierLists
}

// EntryRequest is the state of one accepted request.
type EntryRequest struct {
	Ask   wigeonshift.PermitRequest
	Phase EntryPhase
	// Claim is set for non-idempotent requests.
	Claim *wigeonshift.Claim
	// Permit is the permit spent last; it is set in PhaseDispatched and PhasePaused.
	Permit wigeonshift.Permit
	// Run numbers the runs, and never falls.
	Run int
	// Began is set when the endpoint may have read a byte of the current permit's dispatch.
	Began bool
	// Resumed is set once a run of the current permit was a resume.
	Resumed bool
	// Resumes counts resumes in a row that brought no token.
	Resumes int
	// TokensDone counts the tokens of the answer that have come.
	TokensDone int
	// Pausing is set while the engine was asked to pause.
	Pausing bool
	// ResumeWanted is set when the owner resumed the request before its pause was complete.
	ResumeWanted bool
	// Answered is set when the caller has its refusal and the run goes on so that its outcome can be recorded.
	Answered bool

	tier           *tierList
	previous, next *EntryRequest
}

// runState tells what is known about whether the request ran.
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

// report describes the current attempt to the owner.
func (r *EntryRequest) report(state wigeonshift.AttemptState) ReportAttempt {
	return ReportAttempt{Report: wigeonshift.AttemptReport{
		Request:    r.Ask.ID,
		Shard:      r.Permit.Shard,
		Token:      r.Permit.Token,
		Endpoint:   r.Permit.Endpoint,
		State:      state,
		TokensDone: r.TokensDone,
	}}
}

// requestOf returns the request that an entry event concerns; ok is false for events of other kinds.
func requestOf(b Body) (id wigeonshift.RequestID, ok bool) {
	switch b := b.(type) {
	case CallerArrived:
		return b.Ask.ID, true
	case ClaimAnswered:
		return b.Request, true
	case PermitAnswered:
		return b.Request, true
	case PermitFailed:
		return b.Request, true
	case AttemptBegan:
		return b.Request, true
	case AttemptProgressed:
		return b.Request, true
	case AttemptEnded:
		return b.Request, true
	case PauseFailed:
		return b.Request, true
	case CallerGone:
		return b.Request, true
	case DeadlineReached:
		return b.Request, true
	case Displaced:
		return b.Request, true
	}
	return "", false
}
