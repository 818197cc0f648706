package wigeonshift

import "errors"

// Sentinel errors of the platform's services.
var (
	// ErrNotFound reports that a row or object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConditionFailed reports that a transaction had no effect because one of its conditions did not hold.
	ErrConditionFailed = errors.New("condition failed")
	// ErrUnavailable reports that a call certainly had no effect because the service could not be reached or refused it.
	ErrUnavailable = errors.New("service unavailable")
	// ErrOutcomeUnknown reports that a call may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrThrottled reports that a local or remote rate limit refused a call before it had any effect.
	ErrThrottled = errors.New("rate limit exceeded")
	// ErrHistoryLost reports changes that the store no longer holds; the table must be listed anew.
	ErrHistoryLost = errors.New("history no longer held")
)

// Sentinel errors of endpoints. A dispatch error wraps exactly one of them.
var (
	// ErrNotRun reports proof that the endpoint did not begin the request.
	ErrNotRun = errors.New("request did not run")
	// ErrEndpointLost reports that the connection broke after the endpoint may have read the request.
	ErrEndpointLost = errors.New("endpoint lost")
	// ErrEndpointFailed reports an endpoint's own error answer after it may have begun the request.
	ErrEndpointFailed = errors.New("endpoint failed")
	// ErrAnswerMismatch reports an answer that carries another attempt's token.
	ErrAnswerMismatch = errors.New("answer belongs to another attempt")
	// ErrStaleFence reports that an endpoint refused an order because of its fencing number.
	ErrStaleFence = errors.New("stale fencing number")
	// ErrUnsupported reports an operation that the endpoint does not offer.
	ErrUnsupported = errors.New("operation not supported")
	// ErrProgressTimeout reports a connection without progress for longer than its bound.
	ErrProgressTimeout = errors.New("no progress within the bound")
)

// Sentinel errors of the configuration.
var (
	// ErrStaleBase reports a patch made against a version that is not the newest.
	ErrStaleBase = errors.New("patch is based on a stale version")
	// ErrInvalidConfiguration reports a configuration that fails its checks.
	ErrInvalidConfiguration = errors.New("invalid configuration")
	// ErrNoConfiguration reports that no confirmed configuration is known yet.
	ErrNoConfiguration = errors.New("no configuration yet")
)

// Sentinel errors of claims and leases.
var (
	// ErrAlreadyClaimed reports an idempotency key that another attempt holds.
	ErrAlreadyClaimed = errors.New("already claimed")
	// ErrNotOwner reports that an instance does not hold a shard's lease.
	ErrNotOwner = errors.New("not the owner")
	// ErrNoOwner reports that no owner of a shard could be found in time.
	ErrNoOwner = errors.New("no owner found")
	// ErrPeerUnreachable reports that a message was not sent because no session could be opened.
	ErrPeerUnreachable = errors.New("peer unreachable")
)
