package wigeonshift

import (
	"context"
	"time"
)

// ClaimState is the stored state of a claim.
type ClaimState string

// States of a claim.
const (
	// ClaimHeld means that the request is about to be dispatched, was dispatched, or was lost because its instance
	// terminated.
	ClaimHeld ClaimState = "held"
	// ClaimDone means that the outcome is recorded.
	ClaimDone ClaimState = "done"
	// ClaimReleased means that the request provably did not run; its key may be claimed again.
	ClaimReleased ClaimState = "released"
)

// Claim is the durable record of a non-idempotent request. It prevents a second dispatch of the request.
type Claim struct {
	// Key is unique per product, organisation and idempotency key of the caller.
	Key         string       `json:"key"`
	Token       AttemptToken `json:"token"`
	Fingerprint Fingerprint  `json:"fingerprint"`
	State       ClaimState   `json:"state"`
	At          time.Time    `json:"at"`
	// Expires is the time after which the claim may be deleted.
	Expires     time.Time `json:"expires"`
	Status      int       `json:"status,omitempty"`
	ContentType string    `json:"contentType,omitempty"`
	Body        []byte    `json:"body,omitempty"`
}

// ClaimStore stores the claims of non-idempotent requests.
type ClaimStore interface {
	// Claim records the claim before dispatch. If it succeeds, the caller holds the claim and may dispatch once. If the
	// error wraps ErrAlreadyClaimed, existing is the claim already stored. ErrUnavailable and ErrThrottled prove that
	// nothing was claimed. After ErrOutcomeUnknown the request must not be dispatched.
	Claim(ctx context.Context, c Claim) (existing Claim, err error)
	// Settle records the outcome (ClaimDone) or that the request provably did not run (ClaimReleased).
	Settle(ctx context.Context, c Claim) error
}
