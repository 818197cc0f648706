package wigeonscheduler

import (
	"time"

	"wigeonshift"
)

// ClaimOutcome is the result of writing a claim.
type ClaimOutcome string

// Results of writing a claim.
const (
	// ClaimWritten means that this request now holds the claim.
	ClaimWritten ClaimOutcome = "written"
	// ClaimExists means that the key is already claimed; the event carries the existing claim.
	ClaimExists ClaimOutcome = "exists"
	// ClaimRefused means that the claim was provably not written.
	ClaimRefused ClaimOutcome = "refused"
	// ClaimUnknown means that the claim may or may not have been written.
	ClaimUnknown ClaimOutcome = "unknown"
)

// AttemptOutcome is the result of one run of an attempt.
type AttemptOutcome string

// Results of one run of an attempt.
const (
	// OutcomeFinished means that the whole answer was received.
	OutcomeFinished AttemptOutcome = "finished"
	// OutcomePaused means that the engine stopped at a token boundary and keeps its state for a resume.
	OutcomePaused AttemptOutcome = "paused"
	// OutcomeNotRun means that the endpoint or the dialer proved that the request did not start.
	OutcomeNotRun AttemptOutcome = "notRun"
	// OutcomeLost means that the connection broke or timed out, or that the answer was incomplete.
	OutcomeLost AttemptOutcome = "lost"
	// OutcomeFailed means that the endpoint answered with an error.
	OutcomeFailed AttemptOutcome = "failed"
	// OutcomeMismatch means that the answer carried another attempt's token or a wrong offset.
	OutcomeMismatch AttemptOutcome = "mismatch"
)

// Events about the requests that an instance has accepted.
type (
	// CallerArrived reports a new request. Claim is set for non-idempotent requests only.
	CallerArrived struct {
		PermitRequest wigeonshift.PermitRequest
		Claim         *wigeonshift.Claim
	}
	// ClaimAnswered reports the result of WriteClaim.
	ClaimAnswered struct {
		Request  wigeonshift.RequestID
		Outcome  ClaimOutcome
		Existing wigeonshift.Claim
	}
	// PermitAnswered carries one answer from a shard's owner.
	PermitAnswered struct {
		Request wigeonshift.RequestID
		Answer  wigeonshift.PermitAnswer
		// Leaving is set when the granted endpoint is leaving according to this instance's own configuration. The owner's
		// configuration may be out of date if the owner was frozen.
		Leaving bool
	}
	// PermitFailed reports that no owner could be asked for a permit, or that the session with the owner ended.
	PermitFailed struct {
		Request wigeonshift.RequestID
	}
	// AttemptStarted reports that the first byte of the request is about to be written to the endpoint.
	AttemptStarted struct {
		Request wigeonshift.RequestID
		Run     int
	}
	// AttemptProgressed reports the first tokens of a run.
	AttemptProgressed struct {
		Request    wigeonshift.RequestID
		Run        int
		TokensDone int
	}
	// AttemptEnded reports the end of a run. TokensDone counts all delivered tokens, including those before a resume.
	AttemptEnded struct {
		Request        wigeonshift.RequestID
		Run            int
		Outcome        AttemptOutcome
		TokensDone     int
		CachedTokens   int
		ConnectRefused bool
	}
	// PauseFailed reports that the request to pause the engine failed; the stream may continue.
	PauseFailed struct {
		Request wigeonshift.RequestID
		Run     int
	}
	// CallerDisconnected reports that the caller's connection has ended.
	CallerDisconnected struct {
		Request wigeonshift.RequestID
	}
	// DeadlineReached reports that the request's deadline has passed.
	DeadlineReached struct {
		Request wigeonshift.RequestID
	}
	// Displaced reports that the request has to end because a request of a higher tier arrived at the full instance.
	Displaced struct {
		Request wigeonshift.RequestID
	}
	// EntryDrainStarted stops the acceptance of new requests; accepted requests continue.
	EntryDrainStarted struct{}
)

func (CallerArrived) body()      {}
func (ClaimAnswered) body()      {}
func (PermitAnswered) body()     {}
func (PermitFailed) body()       {}
func (AttemptStarted) body()     {}
func (AttemptProgressed) body()  {}
func (AttemptEnded) body()       {}
func (PauseFailed) body()        {}
func (CallerDisconnected) body() {}
func (DeadlineReached) body()    {}
func (Displaced) body()          {}
func (EntryDrainStarted) body()  {}

// Effects on the requests that an instance has accepted. All but Displace concern the request of the event. Package
// wigeonentry carries them out.
type (
	// Displace sends a Displaced event to another request.
	Displace struct {
		Request wigeonshift.RequestID
	}
	// WriteClaim writes a claim; a ClaimAnswered event reports the result.
	WriteClaim struct {
		Claim wigeonshift.Claim
	}
	// SettleClaim records the final state of a claim. For ClaimDone, wigeonentry adds the answer to record.
	SettleClaim struct {
		Claim wigeonshift.Claim
	}
	// RequestPermit opens a session with the owner of PermitRequest.Shard and requests a permit.
	RequestPermit struct {
		PermitRequest wigeonshift.PermitRequest
	}
	// ClosePermit closes the session with the owner and returns an unspent permit.
	ClosePermit struct{}
	// Dispatch spends a permit. Run numbers all runs of the request; events of older runs are ignored.
	Dispatch struct {
		Permit wigeonshift.Permit
		Run    int
	}
	// ResumeStream continues the attempt's stream at token Offset after a delay. It replaces the previous run.
	ResumeStream struct {
		Permit wigeonshift.Permit
		Run    int
		Offset int
		Wait   time.Duration
	}
	// PauseStream asks the engine to pause the attempt's stream. A PauseFailed or AttemptEnded event follows.
	PauseStream struct {
		Permit wigeonshift.Permit
		Run    int
	}
	// CancelStream stops the attempt's current run and discards its state at the endpoint.
	CancelStream struct {
		Permit wigeonshift.Permit
	}
	// ReportAttempt reports the attempt's state to the owner. Package wigeonentry sets Elapsed.
	ReportAttempt struct {
		Report wigeonshift.AttemptReport
	}
	// AnswerCaller sends the final answer: a refusal, the recorded answer of Replay, or else the endpoint's whole answer.
	// It is the last effect on a request unless Continues is set; then EndRequest follows later.
	AnswerCaller struct {
		Refusal *wigeonshift.Refusal
		Replay  *wigeonshift.Claim
		// Continues is set when the run continues without its caller.
		Continues bool
	}
	// EndRequest ends a request that continued without its caller.
	EndRequest struct{}
)

func (Displace) effect()      {}
func (WriteClaim) effect()    {}
func (SettleClaim) effect()   {}
func (RequestPermit) effect() {}
func (ClosePermit) effect()   {}
func (Dispatch) effect()      {}
func (ResumeStream) effect()  {}
func (PauseStream) effect()   {}
func (CancelStream) effect()  {}
func (ReportAttempt) effect() {}
func (AnswerCaller) effect()  {}
func (EndRequest) effect()    {}
