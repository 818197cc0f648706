package wigeonscheduler

import (
	"time"

	"wigeonshift"
)

// ClaimOutcome is the result of writing a claim.
type ClaimOutcome string

// Results of writing a claim.
const (
	// ClaimWritten means that this request holds the claim.
	ClaimWritten ClaimOutcome = "written"
	// ClaimExists means that the key is taken; the existing claim comes along.
	ClaimExists ClaimOutcome = "exists"
	// ClaimRefused means proof that nothing was written.
	ClaimRefused ClaimOutcome = "refused"
	// ClaimUnknown means that the claim may or may not have been written.
	ClaimUnknown ClaimOutcome = "unknown"
)

// AttemptOutcome is the way one run of an attempt ended.
type AttemptOutcome string

// Ends of one run of an attempt.
const (
	// OutcomeFinished means that the whole answer came.
	OutcomeFinished AttemptOutcome = "finished"
	// OutcomePaused means that the engine stopped at a token boundary and keeps the state.
	OutcomePaused AttemptOutcome = "paused"
	// OutcomeNotRun means the endpoint's or the dialer's proof that the request did not begin.
	OutcomeNotRun AttemptOutcome = "notRun"
	// OutcomeLost means that the connection broke or went silent.
	OutcomeLost AttemptOutcome = "lost"
	// OutcomeFailed means that the endpoint answered with an error.
	OutcomeFailed AttemptOutcome = "failed"
	// OutcomeMismatch means that the answer carried another attempt's token.
	OutcomeMismatch AttemptOutcome = "mismatch"
)

// Events of an entry instance.
type (
	// CallerArrived brings an accepted request. Claim is set for non-idempotent requests only.
	CallerArrived struct {
		Ask   wigeonshift.PermitRequest
		Claim *wigeonshift.Claim
	}
	// ClaimAnswered tells how the claim's write went.
	ClaimAnswered struct {
		Request  wigeonshift.RequestID
		Outcome  ClaimOutcome
		Existing wigeonshift.Claim
	}
	// PermitAnswered brings one answer of a shard's owner.
	PermitAnswered struct {
		Request wigeonshift.RequestID
		Answer  wigeonshift.PermitAnswer
		// Leaving is set when the granted endpoint is leaving in this instance's own configuration: an owner that was
		// frozen may not know it yet.
		Leaving bool
	}
	// PermitFailed tells that no owner could be asked.
	PermitFailed struct {
		Request wigeonshift.RequestID
	}
	// AttemptBegan tells that the first byte is about to be written.
	AttemptBegan struct {
		Request wigeonshift.RequestID
		Run     int
	}
	// AttemptProgressed tells that the first tokens of a run came.
	AttemptProgressed struct {
		Request    wigeonshift.RequestID
		Run        int
		TokensDone int
	}
	// AttemptEnded tells how a run ended. TokensDone counts all tokens delivered, those before a resume included.
	AttemptEnded struct {
		Request        wigeonshift.RequestID
		Run            int
		Outcome        AttemptOutcome
		TokensDone     int
		CachedTokens   int
		ConnectRefused bool
	}
	// PauseFailed tells that the engine did not take the order to pause; the stream may go on.
	PauseFailed struct {
		Request wigeonshift.RequestID
		Run     int
	}
	// CallerGone tells that the caller's connection has ended.
	CallerGone struct {
		Request wigeonshift.RequestID
	}
	// DeadlineReached tells that the request's deadline has passed.
	DeadlineReached struct {
		Request wigeonshift.RequestID
	}
	// Displaced tells that the request gives way to one of a higher tier because the instance is full.
	Displaced struct {
		Request wigeonshift.RequestID
	}
	// EntryDrainStarted ends the acceptance of new requests; accepted ones go on.
	EntryDrainStarted struct{}
)

func (CallerArrived) body()     {}
func (ClaimAnswered) body()     {}
func (PermitAnswered) body()    {}
func (PermitFailed) body()      {}
func (AttemptBegan) body()      {}
func (AttemptProgressed) body() {}
func (AttemptEnded) body()      {}
func (PauseFailed) body()       {}
func (CallerGone) body()        {}
func (DeadlineReached) body()   {}
func (Displaced) body()         {}
func (EntryDrainStarted) body() {}

// Effects of an entry instance. All but Count and Displace concern the one request of the event.
type (
	// Displace sends Displaced to another request.
	Displace struct {
		Request wigeonshift.RequestID
	}
	// WriteClaim writes a claim; ClaimAnswered answers it.
	WriteClaim struct {
		Claim wigeonshift.Claim
	}
	// SettleClaim records a claim's end. The shell fills in the recorded answer of ClaimDone.
	SettleClaim struct {
		Claim wigeonshift.Claim
	}
	// AskPermit opens a session with the owner of Ask.Shard.
	AskPermit struct {
		Ask wigeonshift.PermitRequest
	}
	// ClosePermit ends the session; an unspent grant is given back.
	ClosePermit struct{}
	// Dispatch spends a permit. Run numbers the runs of the request's attempts; events of older runs are ignored.
	Dispatch struct {
		Permit wigeonshift.Permit
		Run    int
	}
	// ResumeStream continues the attempt's stream after a wait. It replaces the run before it.
	ResumeStream struct {
		Permit wigeonshift.Permit
		Run    int
		Offset int
		Wait   time.Duration
	}
	// PauseStream asks the engine to pause the attempt's stream; PauseFailed or AttemptEnded answers it.
	PauseStream struct {
		Permit wigeonshift.Permit
		Run    int
	}
	// CancelStream ends the attempt's current run and drops its state at the endpoint.
	CancelStream struct {
		Permit wigeonshift.Permit
	}
	// ReportAttempt tells the owner what became of the permit. The shell fills in Elapsed.
	ReportAttempt struct {
		Report wigeonshift.AttemptReport
	}
	// AnswerCaller gives the final answer: the endpoint's whole answer, a refusal, or a recorded answer. It is
	// the last effect on a request unless Continues is set; EndRequest follows then.
	AnswerCaller struct {
		Refusal *wigeonshift.Refusal
		Replay  *wigeonshift.Claim
		// Continues is set when the run goes on without its caller.
		Continues bool
	}
	// EndRequest ends a request that went on without its caller.
	EndRequest struct{}
)

func (Displace) effect()      {}
func (WriteClaim) effect()    {}
func (SettleClaim) effect()   {}
func (AskPermit) effect()     {}
func (ClosePermit) effect()   {}
func (Dispatch) effect()      {}
func (ResumeStream) effect()  {}
func (PauseStream) effect()   {}
func (CancelStream) effect()  {}
func (ReportAttempt) effect() {}
func (AnswerCaller) effect()  {}
func (EndRequest) effect()    {}
