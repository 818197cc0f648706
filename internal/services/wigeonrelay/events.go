package wigeonrelay

import "bytes"

// Marks in an event stream.
var (
	eventEnd = []byte("\n\n")
	eventID  = []byte("id:")
)

// eventReader counts the events of a stream and notes the last id. It changes no byte.
type eventReader struct {
	// wholeOnly holds the bytes of an event back until it is whole, so that a stream can go on elsewhere after it.
	wholeOnly bool
	count     int
	lastID    string
	// partial is the beginning of an event that is not whole.
	partial []byte
	// held is the number of bytes in partial.
	held int
}

// take returns what may be passed on.
func (r *eventReader) take(b []byte) []byte {
	if !r.wholeOnly {
		r.count += bytes.Count(b, eventEnd)
		return b
	}
	r.partial = append(r.partial, b...)
	end := bytes.LastIndex(r.partial, eventEnd)
	if end < 0 {
		r.held = len(r.partial)
		return nil
	}
	whole := append([]byte(nil), r.partial[:end+len(eventEnd)]...)
	r.partial = append(r.partial[:0], r.partial[end+len(eventEnd):]...)
	r.held = len(r.partial)
	r.count += bytes.Count(whole, eventEnd)
	r.note(whole)
	return whole
}

// note remembers the id of the last event that has one.
func (r *eventReader) note(whole []byte) {
	for line := range bytes.SplitSeq(whole, []byte("\n")) {
		if id, found := bytes.CutPrefix(line, eventID); found {
			r.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// rest returns what is held back at the end of a whole stream.
func (r *eventReader) rest() []byte {
	out := r.partial
	r.partial, r.held = nil, 0
	return out
}

// restart drops the beginning of an event that broke off.
func (r *eventReader) restart() { r.partial, r.held = r.partial[:0], 0 }
