package wigeonengine

import (
	"bufio"
	"encoding/json"
	"net"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonprotocol"
	"wigeonshift/internal/standin/wigeonfault"

	"github.com/gofiber/fiber/v3"
)

// stream is one HTTP response that follows a sequence.
type stream struct {
	engine   *Engine
	sequence *sequence
	notify   chan struct{}
	conn     net.Conn
	sent     int
	// crossed puts another attempt's token and text into the frames.
	crossed bool
	drop    bool
}

// stream answers with a sequence's frames from an offset on.
func (e *Engine) stream(c fiber.Ctx, s *sequence, notify chan struct{}, offset int) error {
	st := &stream{
		engine: e, sequence: s, notify: notify, conn: c.RequestCtx().Conn(), sent: offset,
		crossed: e.faults.TakeCrossedReply(), drop: e.faults.TakeDroppedReply(),
	}
	c.Set(fiber.HeaderContentType, wigeonprotocol.ContentTypeStream)
	return c.SendStreamWriter(st.write)
}

// write sends frames until the sequence ends, pauses, or another stream takes over.
func (st *stream) write(w *bufio.Writer) {
	if !st.hold(st.engine.faults.Get().FirstByteDelay()) {
		return
	}
	for {
		chunk, result := st.next()
		if st.drop && result != nil {
			st.conn.Close()
			return
		}
		if !st.drop && !st.send(w, chunk, result) {
			st.abandon()
			return
		}
		if result != nil {
			st.abandon()
			return
		}
		if !st.wait() {
			// The unfinished body must not look like a whole one.
			st.conn.Close()
			return
		}
	}
}

// hold delays the first byte; it is false when the engine stops.
func (st *stream) hold(late time.Duration) bool {
	if late <= 0 {
		return true
	}
	timer := time.NewTimer(late)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-st.engine.stopped:
		return false
	}
}

// next takes what can be sent now.
func (st *stream) next() (chunk *wigeonshift.Chunk, result *wigeonshift.GenerateResult) {
	st.engine.mu.Lock()
	produced := st.sequence.produced
	if st.sequence.phase == phaseDone || st.sequence.phase == phasePaused {
		r := st.sequence.result()
		result = &r
	}
	other := st.engine.lastToken
	st.engine.mu.Unlock()
	if produced > st.sent {
		chunk = &wigeonshift.Chunk{
			Token: st.sequence.request.Token, Offset: st.sent, Count: produced - st.sent,
			Text: st.sequence.answer.text(st.sent, produced),
		}
		st.sent = produced
	}
	if st.crossed {
		st.cross(chunk, result, other)
	}
	return chunk, result
}

// cross replaces what belongs to this attempt with another's.
func (st *stream) cross(chunk *wigeonshift.Chunk, result *wigeonshift.GenerateResult, other wigeonshift.AttemptToken) {
	if other == st.sequence.request.Token {
		other += "x"
	}
	if chunk != nil {
		chunk.Token = other
		chunk.Text = newAnswer("crossed", string(other), chunk.Count).text(0, chunk.Count)
	}
	if result != nil {
		result.Token = other
	}
}

func (st *stream) send(w *bufio.Writer, chunk *wigeonshift.Chunk, result *wigeonshift.GenerateResult) bool {
	if !st.silent() {
		return false
	}
	if chunk == nil && result == nil {
		return true
	}
	err := json.NewEncoder(w).Encode(wigeonprotocol.Frame{Chunk: chunk, Result: result})
	return err == nil && w.Flush() == nil
}

// silent holds the stream while a fault keeps it mute; it is false when the engine stops.
func (st *stream) silent() bool {
	for {
		changed := st.engine.faults.Changed()
		silence := st.engine.faults.Get().Silence
		started := st.sent > 0 && silence == wigeonfault.SilenceStreams
		if silence != wigeonfault.SilenceRequests && !started {
			return true
		}
		select {
		case <-changed:
		case <-st.engine.stopped:
			return false
		}
	}
}

// wait waits for news of the sequence; it is false when this stream must end.
func (st *stream) wait() bool {
	select {
	case _, ok := <-st.notify:
		if !ok {
			return false
		}
		st.engine.mu.Lock()
		defer st.engine.mu.Unlock()
		return st.sequence.phase != phaseDropped
	case <-st.engine.stopped:
		return false
	}
}

// abandon marks the sequence as unread, unless another stream reads it by now.
func (st *stream) abandon() {
	st.engine.mu.Lock()
	defer st.engine.mu.Unlock()
	if st.sequence.notify == st.notify {
		st.sequence.idleSince = time.Now()
	}
}
