package wigeonentry

import (
	"context"
	"time"

	"wigeonshift"
)

// Request is one parsed request of an authenticated caller. Exactly one of Generate and Call is set.
type Request struct {
	// ID is from NextID; empty lets Do make one.
	ID           wigeonshift.RequestID
	Product      string
	Organisation string
	// Tier is empty for the organisation's default.
	Tier string
	// Timeout is the time from arrival to the deadline; 0 takes the tier's default.
	Timeout        time.Duration
	IdempotencyKey string
	Generate       *Generate
	Call           *Call
}

// Generate asks for a completion.
type Generate struct {
	Model  string
	Prompt string
	// MaxTokens is at least 1.
	MaxTokens int
}

// Call asks for one call of a plain service. Its strings and body must stay valid and unchanged after Do has returned:
// a run may outlive its request.
type Call struct {
	Service string
	Method  string
	// Path starts with a slash and carries the query.
	Path        string
	ContentType string
	Body        []byte
}

// Sink receives the text of one answer in order.
type Sink interface {
	// Write takes a piece of the answer. It may block until ctx is done; an error ends the request.
	Write(ctx context.Context, text string) error
}

// Result is the final answer of one request.
type Result struct {
	ID wigeonshift.RequestID
	// Refusal is set when the answer is not whole.
	Refusal *wigeonshift.Refusal
	// Generated closes a whole completion.
	Generated wigeonshift.GenerateResult
	// Answer is the whole answer of a plain service.
	Answer wigeonshift.ServiceAnswer
	// Replayed is set when Answer was recorded by an earlier request with the same idempotency key.
	Replayed bool
}

// Analysis is what the scheduler needs to know about a prompt.
type Analysis struct {
	// Tokens is at least 1.
	Tokens      int
	Prefix      []wigeonshift.BlockHash
	Fingerprint wigeonshift.Fingerprint
}

// Analyzer estimates a prompt's length and hashes its prefix and content.
type Analyzer func(g Generate) Analysis
