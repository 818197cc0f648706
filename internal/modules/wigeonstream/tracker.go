package wigeonstream

import "bytes"

const (
	// maxIDLineBytes limits the line of an event id that the Tracker keeps.
	maxIDLineBytes = 1 << 10
	// commentMark begins a comment line.
	commentMark = ':'
)

var idField = []byte("id:")

// Tracker follows the lines and events of a stream. A line ends with LF, CR or both, an event with an empty line. A comment
// line belongs to no event. The zero value is ready for the first byte of a stream.
type Tracker struct {
	// Events is the number of complete events.
	Events int
	// LastID is the id of the latest complete event that has one. It is empty if that id's line is longer than
	// maxIDLineBytes.
	LastID string
	// BytesSinceEvent is the number of bytes after the latest complete event, those of comments and empty lines included.
	BytesSinceEvent int

	// insideEvent is set from the first complete line of an event to its end.
	insideEvent bool
	// eventID is the id of the unfinished event; valid while hasEventID is set.
	eventID    string
	hasEventID bool
	// line is the beginning of the current line, at most maxIDLineBytes; lineBytes is the length of the whole line.
	line      []byte
	lineBytes int
	// afterCR is set if the latest byte was a CR, whose line a LF may still complete.
	afterCR bool
	// usesCRLF is set once a line has ended with CR and LF. From then on a line that ends with a CR ends only with the next
	// byte, because an end between CR and LF is a break.
	usesCRLF bool
}

// Complete reports whether the stream may end here: all events, lines and line ends are whole.
func (t *Tracker) Complete() bool {
	return !t.insideEvent && t.lineBytes == 0 && (!t.afterCR || !t.usesCRLF)
}

// EndsAfterEvent reports whether a body is a whole event stream, as far as its bytes show.
func EndsAfterEvent(body []byte) bool {
	var t Tracker
	t.Consume(body)
	return t.Complete()
}

// Restart prepares the tracker for another stream that continues this one after the latest complete event.
func (t *Tracker) Restart() { *t = Tracker{Events: t.Events, LastID: t.LastID} }

// Consume takes the next bytes of the stream. It returns the number of bytes of p up to the last position at which the
// stream was complete, or 0 if there is none.
func (t *Tracker) Consume(p []byte) int {
	completeBytes := 0
	for position := 0; position < len(p); {
		position += t.consumeLine(p[position:])
		if t.Complete() {
			completeBytes = position
		}
	}
	return completeBytes
}

// consumeLine takes the bytes up to the next end of a line, or all of p if the line doesn't end in it, and returns the
// number of bytes taken. A LF after a CR is taken alone.
func (t *Tracker) consumeLine(p []byte) int {
	if t.afterCR {
		t.afterCR = false
		followedByLF := p[0] == '\n'
		if followedByLF {
			t.BytesSinceEvent++
		}
		if t.usesCRLF {
			t.endLine()
		}
		if followedByLF {
			t.usesCRLF = true
			return 1
		}
	}
	end := lineEnd(p)
	if end < 0 {
		t.extendLine(p)
		t.BytesSinceEvent += len(p)
		return len(p)
	}
	t.extendLine(p[:end])
	t.BytesSinceEvent += end + 1
	t.afterCR = p[end] == '\r'
	if !t.afterCR || !t.usesCRLF {
		t.endLine()
	}
	return end + 1
}

// lineEnd returns the index of the first CR or LF, or -1 if there is none.
func lineEnd(p []byte) int {
	lf := bytes.IndexByte(p, '\n')
	if lf >= 0 {
		p = p[:lf]
	}
	if cr := bytes.IndexByte(p, '\r'); cr >= 0 {
		return cr
	}
	return lf
}

func (t *Tracker) extendLine(p []byte) {
	t.lineBytes += len(p)
	room := maxIDLineBytes - len(t.line)
	t.line = append(t.line, p[:min(room, len(p))]...)
}

// endLine ends the current line. An empty one ends the event, if there is one.
func (t *Tracker) endLine() {
	switch {
	case t.lineBytes == 0 && t.insideEvent:
		t.endEvent()
	case t.lineBytes > 0 && t.line[0] != commentMark:
		t.insideEvent = true
		t.recordID()
	}
	t.line, t.lineBytes = t.line[:0], 0
}

func (t *Tracker) endEvent() {
	t.Events++
	if t.hasEventID {
		t.LastID = t.eventID
	}
	t.insideEvent, t.hasEventID = false, false
	t.BytesSinceEvent = 0
}

// recordID keeps the id in the current line, if it has one.
func (t *Tracker) recordID() {
	id, found := bytes.CutPrefix(t.line, idField)
	if !found {
		return
	}
	t.eventID, t.hasEventID = "", true
	if t.lineBytes <= maxIDLineBytes {
		t.eventID = string(bytes.TrimSpace(id))
	}
}
