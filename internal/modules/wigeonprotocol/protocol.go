// Package wigeonprotocol holds what clients and servers of the engine protocol share. See docs/engine-protocol.md.
package wigeonprotocol

import "wigeonshift"

// Headers of requests to endpoints and of their answers.
const (
	// HeaderAttempt carries the attempt token; every answer to a request with one echoes it.
	HeaderAttempt = "Wigeon-Attempt"
	// HeaderRunState of an answer with the value notRun is proof that the request did not begin.
	HeaderRunState = "Wigeon-Run-State"
	// HeaderIdempotencyKey carries the caller's key of a non-idempotent call.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// ContentTypeStream is the content type of a stream of frames, one JSON object a line.
const ContentTypeStream = "application/x-ndjson"

// Frame is one line of a stream. Result closes the stream; a frame with both fields brings the last chunk, too.
type Frame struct {
	Chunk  *wigeonshift.Chunk          `json:"chunk,omitempty"`
	Result *wigeonshift.GenerateResult `json:"result,omitempty"`
}

// Reason says why an endpoint gave no result.
type Reason string

// Reasons of failures.
const (
	ReasonBadRequest     Reason = "badRequest"
	ReasonRefused        Reason = "refused"
	ReasonDraining       Reason = "draining"
	ReasonModelNotLoaded Reason = "modelNotLoaded"
	ReasonDuplicateToken Reason = "duplicateToken"
	ReasonUnknownStream  Reason = "unknownStream"
	ReasonStaleFence     Reason = "staleFence"
	ReasonUnsupported    Reason = "unsupported"
)

// Failure is the body of an answer that is not a result.
type Failure struct {
	// State tells whether the request ran; empty where the question makes no sense.
	State  wigeonshift.RunState `json:"state,omitempty"`
	Reason Reason               `json:"reason"`
}
