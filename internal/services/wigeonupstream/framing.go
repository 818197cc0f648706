package wigeonupstream

// Framing is the way in which the end of a response's body is marked.
type Framing string

const (
	// FramingLength means that the header states the length, or that the response has no body.
	FramingLength Framing = "length"
	// FramingChunked means that the body ends with a chunk of length zero.
	FramingChunked Framing = "chunked"
	// FramingConnection means that the body ends with the connection. A body that broke off without a reset looks the
	// same as a complete one.
	FramingConnection Framing = "connection"
)

// chunkedContentLength is the content length that the HTTP library reports for a chunked body. It reports less for a body that
// ends with the connection.
const chunkedContentLength = -1

// HasBody reports whether the response has a body, which may be empty. Responses to HEAD and those with certain status codes
// have none.
func (r *Response) HasBody() bool { return r.HTTP.BodyStream() != nil }

// Framing returns the framing of the response's body.
func (r *Response) Framing() Framing {
	length := r.HTTP.Header.ContentLength()
	switch {
	case !r.HasBody() || length >= 0:
		return FramingLength
	case length == chunkedContentLength:
		return FramingChunked
	default:
		return FramingConnection
	}
}
