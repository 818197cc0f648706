package wigeonrelay

import "bytes"

// Delimiters in an event stream.
var (
	eventSeparator = []byte("\n\n")
	eventIDPrefix  = []byte("id:")
)

// eventTracker counts the events of a stream and records the last event id. It forwards all bytes unchanged.
type eventTracker struct {
	// wholeEventsOnly holds back an event until it is complete, so that another endpoint can resume the stream after the
	// last event that was forwarded. It is set for resumable streams.
	wholeEventsOnly bool
	count           int
	lastID          string
	// partial is the beginning of an incomplete event.
	partial []byte
	// partialBytes is the number of bytes in partial.
	partialBytes int
}

// consume takes the next bytes of a stream and returns the bytes that may be forwarded now. With wholeEventsOnly these
// end with the last complete event, so that the caller never has part of an event that a resumed stream sends again.
func (t *eventTracker) consume(p []byte) []byte {
	if !t.wholeEventsOnly {
		t.count += bytes.Count(p, eventSeparator)
		return p
	}
	t.partial = append(t.partial, p...)
	end := bytes.LastIndex(t.partial, eventSeparator)
	if end < 0 {
		t.partialBytes = len(t.partial)
		return nil
	}
	complete := append([]byte(nil), t.partial[:end+len(eventSeparator)]...)
	t.partial = append(t.partial[:0], t.partial[end+len(eventSeparator):]...)
	t.partialBytes = len(t.partial)
	t.count += bytes.Count(complete, eventSeparator)
	t.recordLastID(complete)
	return complete
}

// recordLastID records the id of the last event that has one, since a resumed stream continues after that id.
func (t *eventTracker) recordLastID(events []byte) {
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if id, found := bytes.CutPrefix(line, eventIDPrefix); found {
			t.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// flushPartial returns the held-back bytes at the end of a complete stream, where nothing more follows to complete
// them.
func (t *eventTracker) flushPartial() []byte {
	out := t.partial
	t.partial, t.partialBytes = nil, 0
	return out
}

// dropPartial discards an incomplete event, which the resumed stream sends again.
func (t *eventTracker) dropPartial() { t.partial, t.partialBytes = t.partial[:0], 0 }
