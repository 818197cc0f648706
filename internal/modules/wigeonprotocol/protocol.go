// Package wigeonprotocol defines the headers and bodies of the engine protocol, for clients and servers. See
// docs/engine-protocol.md.
package wigeonprotocol

import "wigeonshift"

// Headers of requests to endpoints and of their responses.
const (
	// HeaderAttempt contains the attempt token. The response to a request with this header repeats it.
	HeaderAttempt = "Wigeon-Attempt"
	// HeaderRunState of a response with the value notRun guarantees that the endpoint did not start the request.
	HeaderRunState = "Wigeon-Run-State"
	// HeaderIdempotencyKey contains the caller's key for a non-idempotent call.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// ContentTypeStream is the content type of a stream of frames, with one JSON object per line.
const ContentTypeStream = "application/x-ndjson"

// Frame is one line of a stream. A frame with a Result is the last one; it may also contain the last chunk.
type Frame struct {
	Chunk  *wigeonshift.Chunk          `json:"chunk,omitempty"`
	Result *wigeonshift.GenerateResult `json:"result,omitempty"`
}

// Reason is the reason why an endpoint returned no result.
type Reason string

// Reasons in a Failure.
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

// Failure is the body of an error response.
type Failure struct {
	// State tells whether the request ran. It is empty where that does not apply.
	State  wigeonshift.RunState `json:"state,omitempty"`
	Reason Reason               `json:"reason"`
}
