package wigeonshift

import (
	"time"

	"github.com/valyala/fasthttp"
)

// RequestHeader holds the decoded headers of a caller's request.
type RequestHeader struct {
	RequestID string
	// Key is the API key; empty if there is none.
	Key string
	// LastEventID is the ID of the last event that the caller received; empty if it starts from the beginning.
	LastEventID string
	// Timeout is how long the caller waits; zero if not given.
	Timeout time.Duration
	// HasTokens is set when PromptTokens and MaxResponseTokens were given.
	HasTokens    bool
	PromptTokens int
	// MaxResponseTokens is the maximum number of tokens of the response.
	MaxResponseTokens int
	// ExpectedResponseTokens is the caller's estimate of the response length; zero if not given.
	ExpectedResponseTokens int
	// PromptParts are the parts at the start of the prompt that requests share, in order; none if unknown.
	PromptParts []PromptPart
}

// PromptPart is a part of a prompt. Model engines keep parts, and don't read one again that comes after the same parts.
type PromptPart struct {
	// ID identifies the content of the part.
	ID     string
	Tokens int
}

// EndpointCall holds the header values that wigeonshift adds to a request for an endpoint.
type EndpointCall struct {
	EndpointID   string
	Organisation string
	Timeout      time.Duration
	// LastEventID is the ID of the event after which a resumed stream continues; empty otherwise.
	LastEventID string
}

// ResponseHeader holds the decoded headers of an endpoint's response.
type ResponseHeader struct {
	// RequestID is the ID of the request that the response belongs to; empty if the response has none.
	RequestID string
	// Merged is set if the headers come from more than one response, because the endpoint broke off inside the first. The other
	// fields may then come from any of them.
	Merged bool
	// Signed is set if the response carries the signature of the endpoint that processed the request.
	Signed bool
	// NotRun is set if the response proves that the request did not begin.
	NotRun bool
	// Misdirected is set if another endpoint now has the address.
	Misdirected bool
	// KeepAliveTimeout is the idle time after which the endpoint closes the connection; zero if not given.
	KeepAliveTimeout time.Duration
	// Leaving is set if the endpoint is about to end and takes no new requests.
	Leaving bool
	// Backoff is how long the endpoint wants no requests from this instance; zero if not given.
	Backoff time.Duration
	// Limit is the rate of requests that the endpoint takes from all instances together.
	Limit EndpointLimit
	// Brittle is the rate of rejected requests beyond which the endpoint falls over.
	Brittle EndpointLimit
}

// EndpointLimit is a rate that a response of an endpoint names.
type EndpointLimit struct {
	// Stated is set if the response names a limit. Unreadable is set instead if it names one that can't be read, which says
	// nothing about the limit.
	Stated, Unreadable bool
	// RequestsPerSecond is the named rate, zero or more. It is valid only if Stated is set.
	RequestsPerSecond float64
}

// WireDialect translates between HTTP headers and the types above.
type WireDialect interface {
	// ReadRequest decodes the headers of a caller's request.
	ReadRequest(h *fasthttp.RequestHeader) RequestHeader
	// VisitContentHeaders calls visit for each header of a caller's request that describes what it asks for. It leaves out
	// those that concern one connection or one try, such as its ID and its timeout.
	VisitContentHeaders(h *fasthttp.RequestHeader, visit func(name, value []byte))
	// WriteRequest turns a copy of a caller's request headers into those of the request to an endpoint.
	WriteRequest(h *fasthttp.RequestHeader, call EndpointCall)
	// WritePassedOn turns a copy of a caller's request headers into those of the same request to another instance, which has
	// timeout left for it.
	WritePassedOn(h *fasthttp.RequestHeader, timeout time.Duration)
	// ReadResponse decodes the headers of an endpoint's response.
	ReadResponse(h *fasthttp.ResponseHeader) ResponseHeader
	// RemoveHopByHopHeaders removes the headers that apply only to the connection to the endpoint.
	RemoveHopByHopHeaders(h *fasthttp.ResponseHeader)
	// WriteRefusal sets the headers of a response that wigeonshift generates itself. A zero wait omits the advice when
	// to retry.
	WriteRefusal(h *fasthttp.ResponseHeader, requestID string, wait time.Duration)
}
