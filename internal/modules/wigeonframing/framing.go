// Package wigeonframing tells how the end of a response's body is marked.
package wigeonframing

import "github.com/valyala/fasthttp"

// Framing is the way in which the end of a response's body is marked.
type Framing string

const (
	// Length means that the header states the length, or that the response has no body.
	Length Framing = "length"
	// Chunked means that the body ends with a chunk of length zero.
	Chunked Framing = "chunked"
	// Connection means that the body ends with the connection. A body that broke off without a reset looks the same as a
	// complete one.
	Connection Framing = "connection"
)

// chunkedContentLength is the content length that the HTTP library reports for a chunked body. It reports less for a body that
// ends with the connection.
const chunkedContentLength = -1

// HasBody reports whether a response whose body is streamed has one, which may be empty. Responses to HEAD and those with certain
// status codes have none.
func HasBody(r *fasthttp.Response) bool { return r.BodyStream() != nil }

// FramingOf returns the framing of a response whose body is streamed.
func FramingOf(r *fasthttp.Response) Framing {
	length := r.Header.ContentLength()
	switch {
	case !HasBody(r) || length >= 0:
		return Length
	case length == chunkedContentLength:
		return Chunked
	default:
		return Connection
	}
}
