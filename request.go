package wigeonshift

import "time"

// TierRank orders tiers: 0 is the highest, and a larger rank gives way to a smaller one.
type TierRank int

// RequestID names one accepted caller request. It is unique across instances and never reused.
type RequestID string

// AttemptToken names one permit's use at one endpoint. Every answer of an endpoint echoes it.
type AttemptToken string

// Fingerprint identifies the content of a request, the same for every resend of it.
type Fingerprint uint64

// BlockHash identifies a prompt prefix that ends at a block boundary; it covers all blocks before it.
type BlockHash uint64

// PrefixBlockTokens is the number of prompt tokens in one block of the prefix index.
const PrefixBlockTokens = 64

// PermitRequest asks the owner of a shard for the permission to dispatch one request.
type PermitRequest struct {
	ID           RequestID
	Shard        ShardID
	Product      string
	Organisation string
	Tier         string
	Rank         TierRank
	// Model is the model to run; empty for plain services.
	Model string
	// Deadline is the time after which the answer is worthless to the caller.
	Deadline time.Time
	// PromptTokens is the estimated length of the prompt; at least 1.
	PromptTokens int
	// MaxTokens bounds the number of tokens generated; at least 1.
	MaxTokens int
	// Prefix holds the hashes of the prompt's whole blocks from the start.
	Prefix      []BlockHash
	Fingerprint Fingerprint
	// NonIdempotent requests are never retried after dispatch and never paused.
	NonIdempotent bool
	// Attempt counts the permits already spent without a run; 0 at first.
	Attempt int
	// Avoid names endpoints that proved not to have run earlier attempts.
	Avoid []string
	// Spills counts the shards of the pool that passed the request on; it bounds the chain.
	Spills int
}

// Permit allows one dispatch to one endpoint.
type Permit struct {
	Request RequestID
	Shard   ShardID
	// Epoch is the owner's lease epoch. An entry rejects one older than the newest it has seen for the shard.
	Epoch    uint64
	Endpoint string
	Address  string
	Token    AttemptToken
	// UseBefore is the time after which an unspent permit is void.
	UseBefore time.Time
	// CachedTokens is the owner's prediction of prompt tokens already in the endpoint's cache.
	CachedTokens int
}

// RunState tells whether a request ran.
type RunState string

// Values of RunState. NotRun needs proof; without it the state is RunUnknown.
const (
	NotRun     RunState = "notRun"
	Ran        RunState = "ran"
	RunUnknown RunState = "unknown"
)

// RefusalReason is the machine-readable reason of a refusal.
type RefusalReason string

// Reasons of refusals. Each has a counter.
const (
	ReasonDeadline         RefusalReason = "deadlineUnreachable"
	ReasonDeadlinePassed   RefusalReason = "deadlinePassed"
	ReasonQueueFull        RefusalReason = "queueFull"
	ReasonOrganisationCap  RefusalReason = "organisationLimit"
	ReasonPreempted        RefusalReason = "preempted"
	ReasonNoEndpoint       RefusalReason = "noEndpoint"
	ReasonNoOwner          RefusalReason = "noOwner"
	ReasonQuarantined      RefusalReason = "quarantined"
	ReasonRetryBudget      RefusalReason = "retryBudget"
	ReasonEndpointLost     RefusalReason = "endpointLost"
	ReasonEndpointError    RefusalReason = "endpointError"
	ReasonOutcomeUnknown   RefusalReason = "outcomeUnknown"
	ReasonStoreUnavailable RefusalReason = "storeUnavailable"
	ReasonAlreadyClaimed   RefusalReason = "alreadyDispatched"
	ReasonKeyReused        RefusalReason = "idempotencyKeyReused"
	ReasonShuttingDown     RefusalReason = "shuttingDown"
	ReasonCallerGone       RefusalReason = "callerGone"
	ReasonBadRequest       RefusalReason = "badRequest"
	ReasonUnauthenticated  RefusalReason = "unauthenticated"
	ReasonForbiddenTier    RefusalReason = "forbiddenTier"
	ReasonUnknownModel     RefusalReason = "unknownModel"
	ReasonUnknownService   RefusalReason = "unknownService"
	ReasonTooLarge         RefusalReason = "tooLarge"
	ReasonTooMany          RefusalReason = "tooManyRequests"
	ReasonNotReady         RefusalReason = "notReady"
)

// Refusal is a final answer that is not a result.
type Refusal struct {
	Reason RefusalReason
	State  RunState
	// RetryAfter is the advised wait before a resend; 0 advises against one.
	RetryAfter time.Duration
}

// RevokeAction tells an entry instance what to do with a running attempt.
type RevokeAction string

// Actions on a running attempt.
const (
	// RevokePause stops the stream at a token boundary and keeps its state for a resume.
	RevokePause RevokeAction = "pause"
	// RevokeCancel ends the attempt; the caller is refused as preempted.
	RevokeCancel RevokeAction = "cancel"
	// RevokeResume continues a paused attempt where it stopped.
	RevokeResume RevokeAction = "resume"
)

// Revocation changes the fate of an attempt that holds a permit.
type Revocation struct {
	Request RequestID
	Token   AttemptToken
	Epoch   uint64
	Action  RevokeAction
}

// PermitAnswer is one message from an owner about one request. Exactly one field is set.
type PermitAnswer struct {
	Grant  *Permit
	Refuse *Refusal
	Revoke *Revocation
	// Spill names another shard of the pool to ask instead.
	Spill *ShardID
}

// AttemptState is the state of an attempt as its entry instance knows it.
type AttemptState string

// States of an attempt.
const (
	// AttemptStarted means that the first byte was written to the endpoint.
	AttemptStarted AttemptState = "started"
	// AttemptFirstToken means that the first token came back.
	AttemptFirstToken AttemptState = "firstToken"
	// AttemptFinished means that the whole answer came back.
	AttemptFinished AttemptState = "finished"
	// AttemptNotRun means proof that the endpoint did not begin.
	AttemptNotRun AttemptState = "notRun"
	// AttemptLost means that the endpoint was lost after it may have begun; a crash suspect.
	AttemptLost AttemptState = "lost"
	// AttemptFailed means that the endpoint answered with an error after it began.
	AttemptFailed AttemptState = "failed"
	// AttemptPaused means that the stream stopped at TokensDone and can be resumed.
	AttemptPaused AttemptState = "paused"
	// AttemptResumed means that the paused stream continues.
	AttemptResumed AttemptState = "resumed"
	// AttemptCancelled means that the attempt ended without a whole answer on the caller's or the owner's wish.
	AttemptCancelled AttemptState = "cancelled"
)

// AttemptReport tells the owner what became of a permit.
type AttemptReport struct {
	Request  RequestID
	Shard    ShardID
	Token    AttemptToken
	Endpoint string
	State    AttemptState
	// TokensDone is the number of tokens generated so far.
	TokensDone int
	// CachedTokens is the number of prompt tokens the endpoint took from its cache, as it answered.
	CachedTokens int
	// Elapsed is the time since the first byte was written.
	Elapsed time.Duration
	// ConnectRefused is set with AttemptNotRun when nothing listened at the endpoint's address.
	ConnectRefused bool
}

// RunningAttempt describes an attempt in flight to an owner that has just taken over.
type RunningAttempt struct {
	Request    PermitRequest
	Token      AttemptToken
	Endpoint   string
	TokensDone int
	Paused     bool
}
