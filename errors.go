package wigeonshift

import "errors"

// Sentinel errors of the platform's services.
var (
	// ErrNotFound reports that a row or object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConditionFailed reports that a transaction had no effect because one of its conditions was not met.
	ErrConditionFailed = errors.New("condition failed")
	// ErrUnavailable reports that a call certainly had no effect because the service was unreachable or refused it.
	ErrUnavailable = errors.New("service unavailable")
	// ErrOutcomeUnknown reports that it is unknown whether a call took effect.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrThrottled reports that a local or remote rate limit rejected a call before it had any effect.
	ErrThrottled = errors.New("rate limit exceeded")
	// ErrHistoryLost reports that the store no longer has the requested changes; the table must be listed again.
	ErrHistoryLost = errors.New("change history no longer available")
)

// Sentinel errors of endpoints. A dispatch error wraps exactly one of them.
var (
	// ErrNotRun reports that the endpoint provably did not begin the request.
	ErrNotRun = errors.New("request did not run")
	// ErrEndpointLost reports that the connection broke after the endpoint may have read the request.
	ErrEndpointLost = errors.New("endpoint lost")
	// ErrEndpointFailed reports an error response of an endpoint that may have begun the request.
	ErrEndpointFailed = errors.New("endpoint failed")
	// ErrAnswerMismatch reports a response that carries the token of another attempt.
	ErrAnswerMismatch = errors.New("answer belongs to another attempt")
	// ErrStaleFence reports that an endpoint rejected an order because its fencing number is outdated.
	ErrStaleFence = errors.New("stale fencing number")
	// ErrUnsupported reports an operation that the endpoint does not support.
	ErrUnsupported = errors.New("operation not supported")
	// ErrProgressTimeout reports a connection that made no progress within its time limit.
	ErrProgressTimeout = errors.New("no progress within the time limit")
)

// Sentinel errors of the configuration.
var (
	// ErrStaleBase reports a patch that is based on an older version than the newest.
	ErrStaleBase = errors.New("patch is based on a stale version")
	// ErrInvalidConfiguration reports a configuration that fails validation.
	ErrInvalidConfiguration = errors.New("invalid configuration")
	// ErrNoConfiguration reports that this instance has no confirmed configuration yet.
	ErrNoConfiguration = errors.New("no configuration yet")
)

// Sentinel errors of claims and leases.
var (
	// ErrAlreadyClaimed reports an idempotency key that another attempt has claimed.
	ErrAlreadyClaimed = errors.New("already claimed")
	// ErrNotOwner reports that an instance does not hold a shard's lease.
	ErrNotOwner = errors.New("not the owner")
	// ErrNoOwner reports that no owner of a shard was found in time.
	ErrNoOwner = errors.New("no owner found")
	// ErrPeerUnreachable reports that a message was not sent because no session could be opened.
	ErrPeerUnreachable = errors.New("peer unreachable")
)
