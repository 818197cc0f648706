package wigeonshift

import (
	"time"

	"github.com/valyala/fasthttp"
)

// CallHeader holds the decoded headers of a caller's request.
type CallHeader struct {
	RequestID string
	// Key is the API key; empty if there is none.
	Key string
	// LastEvent is the ID of the last event that the caller received; empty if it starts from the beginning.
	LastEvent string
	// Timeout is how long the caller waits; zero if not given.
	Timeout time.Duration
	// HasTokens is set when PromptTokens and AnswerTokens were given.
	HasTokens    bool
	PromptTokens int
	// AnswerTokens is the maximum number of tokens of the response.
	AnswerTokens int
	// ExpectedAnswerTokens is the caller's estimate of the response length; zero if not given.
	ExpectedAnswerTokens int
}

// EndpointCall holds the header values that wigeonshift adds to a request for an endpoint.
type EndpointCall struct {
	EndpointID   string
	Organisation string
	Timeout      time.Duration
	// LastEvent is the ID of the event after which a resumed stream continues; empty otherwise.
	LastEvent string
}

// AnswerHeader holds the decoded headers of an endpoint's response.
type AnswerHeader struct {
	// RequestID is the ID of the request that the response belongs to; empty if the response has none.
	RequestID string
	// Signed is set if the response carries the signature of the endpoint that processed the request.
	Signed bool
	// NotRun is set if the response proves that the request did not begin.
	NotRun bool
	// Misplaced is set if another endpoint now has the address.
	Misplaced bool
	// IdleWithin is the idle time after which the endpoint closes the connection; zero if not given.
	IdleWithin time.Duration
}

// WireDialect translates between HTTP headers and the types above.
type WireDialect interface {
	// ReadCall decodes the headers of a caller's request.
	ReadCall(h *fasthttp.RequestHeader) CallHeader
	// WriteCall turns a copy of a caller's request headers into those of the request to an endpoint.
	WriteCall(h *fasthttp.RequestHeader, call EndpointCall)
	// ReadAnswer decodes the headers of an endpoint's response.
	ReadAnswer(h *fasthttp.ResponseHeader) AnswerHeader
	// CleanAnswer removes the headers that apply only to the connection to the endpoint.
	CleanAnswer(h *fasthttp.ResponseHeader)
	// WriteRefusal sets the headers of a response that wigeonshift generates itself. A zero wait omits the advice when
	// to retry.
	WriteRefusal(h *fasthttp.ResponseHeader, requestID string, wait time.Duration)
}
