package wigeonshift

import (
	"context"
	"time"
)

// ClaimState is the state of a claim in the table.
type ClaimState string

// States of a claim.
const (
	// ClaimHeld means that the request is about to be dispatched, was dispatched, or died with its instance.
	ClaimHeld ClaimState = "held"
	// ClaimDone means that the outcome is recorded.
	ClaimDone ClaimState = "done"
	// ClaimReleased means proof that the request did not run; the key may be claimed anew.
	ClaimReleased ClaimState = "released"
)

// Claim is the durable record of one non-idempotent request.
type Claim struct {
	// Key is unique for product, organisation and the caller's idempotency key.
	Key         string       `json:"key"`
	Token       AttemptToken `json:"token"`
	Fingerprint Fingerprint  `json:"fingerprint"`
	State       ClaimState   `json:"state"`
	At          time.Time    `json:"at"`
	// Expires is the time after which the row may be removed.
	Expires     time.Time `json:"expires"`
	Status      int       `json:"status,omitempty"`
	ContentType string    `json:"contentType,omitempty"`
	Body        []byte    `json:"body,omitempty"`
}

// ClaimStore keeps claims of non-idempotent requests.
type ClaimStore interface {
	// Claim records the claim before dispatch. Without error the caller holds it and may dispatch once. An error
	// that wraps ErrAlreadyClaimed comes with the existing claim; ErrUnavailable and ErrThrottled prove that nothing
	// was claimed; with ErrOutcomeUnknown nothing may be dispatched.
	Claim(ctx context.Context, c Claim) (existing Claim, err error)
	// Settle records the outcome (ClaimDone) or proof that the request did not run (ClaimReleased).
	Settle(ctx context.Context, c Claim) error
}
