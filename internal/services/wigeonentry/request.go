package wigeonentry

import (
	"context"
	"time"

	"wigeonshift"
)

// Request is one parsed request of an authenticated caller. Exactly one of Generate and Call is set.
type Request struct {
	// ID is a value from NextID. If it is empty, Do generates one.
	ID           wigeonshift.RequestID
	Product      string
	Organisation string
	// Tier is the requested tier. Empty means the organisation's default tier.
	Tier string
	// Timeout is the time from arrival to the deadline. 0 means the tier's default.
	Timeout        time.Duration
	IdempotencyKey string
	Generate       *Generate
	Call           *Call
}

// Generate requests a completion.
type Generate struct {
	Model  string
	Prompt string
	// MaxTokens is at least 1.
	MaxTokens int
}

// Call requests one call of a plain service. Its strings and body must stay valid and unchanged after Do has returned,
// because a run may continue after its request was answered.
type Call struct {
	Service string
	Method  string
	// Path starts with a slash and includes the query.
	Path        string
	ContentType string
	Body        []byte
}

// Sink receives the text of one answer in order.
type Sink interface {
	// Write receives the next part of the answer. It may block until ctx is done. An error ends the request.
	Write(ctx context.Context, text string) error
}

// Result is the final answer of one request.
type Result struct {
	ID wigeonshift.RequestID
	// Refusal is set if the request was refused or its answer is incomplete.
	Refusal *wigeonshift.Refusal
	// Generated is the result of a successful completion.
	Generated wigeonshift.GenerateResult
	// Answer is the complete answer of a plain service.
	Answer wigeonshift.ServiceAnswer
	// Replayed is set if Answer was recorded by an earlier request with the same idempotency key.
	Replayed bool
}

// Analysis holds the properties of a prompt that the scheduler needs.
type Analysis struct {
	// Tokens is at least 1.
	Tokens      int
	Prefix      []wigeonshift.BlockHash
	Fingerprint wigeonshift.Fingerprint
}

// Analyzer estimates a prompt's length in tokens and hashes its prefix and content.
type Analyzer func(g Generate) Analysis
