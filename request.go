package wigeonshift

import (
	"strconv"
	"time"
)

// TierRank is the priority of a tier: 0 is the highest, and requests with a smaller rank may preempt those with a
// larger one.
type TierRank int

// RequestID identifies an accepted caller request. It is unique across instances and never reused.
type RequestID string

// AttemptToken identifies the use of one permit at one endpoint. The endpoint returns it in every response.
type AttemptToken string

// Fingerprint identifies what a request asks for; it is the same for every resend that changes nothing.
type Fingerprint uint64

// SharedFingerprints identify what a request has in common with others. A caller may send a request again with another query
// or other headers; other requests of the caller may differ in these only. Zero values are unknown.
type SharedFingerprints struct {
	// Content covers organisation, method, path and body.
	Content Fingerprint
	// Query covers the content and the query, Headers the content and the headers that the caller chose.
	Query   Fingerprint
	Headers Fingerprint
}

// String returns the hexadecimal form, which logs and row keys use.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// BlockHash identifies a prompt prefix that ends at a block boundary. It covers all blocks up to that boundary.
type BlockHash uint64

// PrefixBlockTokens is the number of prompt tokens in one block of the prefix index.
const PrefixBlockTokens = 64

// PermitRequest asks a shard owner for permission to dispatch one request.
type PermitRequest struct {
	ID           RequestID
	Shard        ShardID
	Product      string
	Organisation string
	Tier         string
	Rank         TierRank
	// Model is the model to run; empty for plain services.
	Model string
	// Deadline is the time after which the caller has no use for the response.
	Deadline time.Time
	// PromptTokens is the estimated prompt length; at least 1.
	PromptTokens int
	// MaxTokens limits the number of generated tokens; at least 1.
	MaxTokens int
	// Prefix holds the hashes of the complete blocks of the prompt, from its start.
	Prefix      []BlockHash
	Fingerprint Fingerprint
	// NonIdempotent requests are never retried after dispatch and never paused.
	NonIdempotent bool
	// Attempt counts the permits already used without the request having run; 0 at first.
	Attempt int
	// Avoid lists the endpoints that provably did not run earlier attempts.
	Avoid []string
	// SpillCount counts how often a shard has redirected the request to another shard of the pool. It limits the number of
	// such redirects.
	SpillCount int
}

// Permit allows one dispatch to one endpoint.
type Permit struct {
	Request RequestID
	Shard   ShardID
	// Epoch is the owner's lease epoch. An entry instance rejects a permit whose epoch is older than the newest that it
	// has seen for the shard.
	Epoch    uint64
	Endpoint string
	Address  string
	Token    AttemptToken
	// ExpiresAt is the time after which an unused permit is invalid.
	ExpiresAt time.Time
	// CachedTokens is the predicted number of prompt tokens that are already in the endpoint's cache.
	CachedTokens int
}

// RunState reports whether a request ran.
type RunState string

// Values of RunState. NotRun requires proof that the request did not run; without proof the state is RunUnknown.
const (
	NotRun     RunState = "notRun"
	Ran        RunState = "ran"
	RunUnknown RunState = "unknown"
)

// RefusalReason is the machine-readable reason of a refusal.
type RefusalReason string

// Reasons of refusals. Each has a counter.
const (
	ReasonDeadlineUnreachable RefusalReason = "deadlineUnreachable"
	ReasonDeadlinePassed      RefusalReason = "deadlinePassed"
	ReasonQueueFull           RefusalReason = "queueFull"
	ReasonOrganisationLimit   RefusalReason = "organisationLimit"
	ReasonPreempted           RefusalReason = "preempted"
	ReasonNoEndpoint          RefusalReason = "noEndpoint"
	ReasonNoOwner             RefusalReason = "noOwner"
	ReasonQuarantined         RefusalReason = "quarantined"
	ReasonRetryBudget         RefusalReason = "retryBudget"
	ReasonEndpointLost        RefusalReason = "endpointLost"
	ReasonEndpointError       RefusalReason = "endpointError"
	ReasonOutcomeUnknown      RefusalReason = "outcomeUnknown"
	ReasonStoreUnavailable    RefusalReason = "storeUnavailable"
	ReasonAlreadyClaimed      RefusalReason = "alreadyDispatched"
	ReasonKeyReused           RefusalReason = "idempotencyKeyReused"
	ReasonShuttingDown        RefusalReason = "shuttingDown"
	ReasonCallerGone          RefusalReason = "callerGone"
	ReasonBadRequest          RefusalReason = "badRequest"
	ReasonUnauthenticated     RefusalReason = "unauthenticated"
	ReasonForbiddenTier       RefusalReason = "forbiddenTier"
	ReasonUnknownModel        RefusalReason = "unknownModel"
	ReasonUnknownService      RefusalReason = "unknownService"
	ReasonTooLarge            RefusalReason = "tooLarge"
	ReasonTooManyRequests     RefusalReason = "tooManyRequests"
	ReasonNotReady            RefusalReason = "notReady"
)

// Refusal is a final answer without a result.
type Refusal struct {
	Reason RefusalReason
	State  RunState
	// RetryAfter is the recommended wait before a resend; 0 means that a resend is not recommended.
	RetryAfter time.Duration
}

// RevokeAction tells an entry instance what to do with a running attempt.
type RevokeAction string

// Actions on a running attempt.
const (
	// RevokePause stops the stream at a token boundary and keeps its state for a resume.
	RevokePause RevokeAction = "pause"
	// RevokeCancel ends the attempt; the caller gets a refusal with ReasonPreempted.
	RevokeCancel RevokeAction = "cancel"
	// RevokeResume resumes a paused attempt where it stopped.
	RevokeResume RevokeAction = "resume"
)

// Revocation pauses, cancels or resumes an attempt that holds a permit.
type Revocation struct {
	Request RequestID
	Token   AttemptToken
	Epoch   uint64
	Action  RevokeAction
}

// PermitAnswer is a message from a shard owner about one request. Exactly one field is set.
type PermitAnswer struct {
	Grant  *Permit
	Refuse *Refusal
	Revoke *Revocation
	// Spill is another shard of the pool to ask instead.
	Spill *ShardID
}

// AttemptState is the state of an attempt as its entry instance knows it.
type AttemptState string

// States of an attempt.
const (
	// AttemptStarted means that the first byte was written to the endpoint.
	AttemptStarted AttemptState = "started"
	// AttemptFirstToken means that the first token was received.
	AttemptFirstToken AttemptState = "firstToken"
	// AttemptFinished means that the complete response was received.
	AttemptFinished AttemptState = "finished"
	// AttemptNotRun means that the endpoint provably did not begin the request.
	AttemptNotRun AttemptState = "notRun"
	// AttemptLost means that the endpoint was lost after it may have begun the request. The request is suspected of
	// having crashed it.
	AttemptLost AttemptState = "lost"
	// AttemptFailed means that the endpoint returned an error after it began the request.
	AttemptFailed AttemptState = "failed"
	// AttemptPaused means that the stream stopped after TokensDone tokens and can be resumed.
	AttemptPaused AttemptState = "paused"
	// AttemptResumed means that the paused stream continues.
	AttemptResumed AttemptState = "resumed"
	// AttemptCancelled means that the caller or the owner ended the attempt before the response was complete.
	AttemptCancelled AttemptState = "cancelled"
)

// AttemptReport reports the state of an attempt to the shard owner that granted its permit.
type AttemptReport struct {
	Request  RequestID
	Shard    ShardID
	Token    AttemptToken
	Endpoint string
	State    AttemptState
	// TokensDone is the number of tokens generated so far.
	TokensDone int
	// CachedTokens is the number of prompt tokens that the endpoint reports to have read from its cache.
	CachedTokens int
	// Elapsed is the time since the first byte was written to the endpoint.
	Elapsed time.Duration
	// ConnectRefused is set with AttemptNotRun when nothing listened at the endpoint's address.
	ConnectRefused bool
}

// RunningAttempt describes a running attempt to a shard owner that has just taken over.
type RunningAttempt struct {
	Request    PermitRequest
	Token      AttemptToken
	Endpoint   string
	TokensDone int
	Paused     bool
}
