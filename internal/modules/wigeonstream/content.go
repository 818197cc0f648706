package wigeonstream

import (
	"bytes"
	"strings"
)

// contentType is the media type of event streams.
const contentType = "text/event-stream"

// fieldNames are the names that begin a line of an event.
var fieldNames = [][]byte{[]byte("data"), []byte("event"), []byte("id"), []byte("retry")}

// HasContentType reports whether a Content-Type header announces an event stream.
func HasContentType(header []byte) bool {
	mediaType, _, _ := strings.Cut(string(header), ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), contentType)
}

// MayBeginStream reports whether the first bytes of a body may begin an event stream: a comment, a field of an event, or the first
// bytes of a field's name.
func MayBeginStream(body []byte) bool {
	body = bytes.TrimLeft(body, "\r\n")
	if len(body) == 0 || body[0] == commentMark {
		return true
	}
	name := body
	end := bytes.IndexAny(body, ":\r\n")
	if end >= 0 {
		name = body[:end]
	}
	for _, f := range fieldNames {
		if bytes.Equal(name, f) || end < 0 && bytes.HasPrefix(f, name) {
			return true
		}
	}
	return false
}
