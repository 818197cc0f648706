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

// stream is one HTTP response that sends the tokens of a sequence as the engine generates them.
type stream struct {
	engine     *Engine
	sequence   *sequence
	updates    chan struct{}
	conn       net.Conn
	sentTokens int
	// crossed is set if the frames carry another attempt's token and text.
	crossed   bool
	dropReply bool
}

// sendStream responds with the frames of a sequence, starting at a token offset.
func (e *Engine) sendStream(c fiber.Ctx, s *sequence, updates chan struct{}, offset int) error {
	st := &stream{
		engine: e, sequence: s, updates: updates, conn: c.RequestCtx().Conn(), sentTokens: offset,
		crossed: e.faults.TakeCrossedReply(), dropReply: e.faults.TakeDroppedReply(),
	}
	c.Set(fiber.HeaderContentType, wigeonprotocol.ContentTypeStream)
	return c.SendStreamWriter(st.write)
}

// write sends frames until the sequence ends or pauses, or another stream replaces this one.
func (st *stream) write(w *bufio.Writer) {
	if !st.delayFirstByte(st.engine.faults.Get().FirstByteDelay()) {
		return
	}
	for {
		chunk, result := st.nextFrame()
		if st.dropReply && result != nil {
			st.conn.Close()
			return
		}
		if !st.dropReply && !st.send(w, chunk, result) {
			st.detach()
			return
		}
		if result != nil {
			st.detach()
			return
		}
		if !st.waitForUpdate() {
			// Closing the connection prevents the client from taking the partial body for a complete one.
			st.conn.Close()
			return
		}
	}
}

// delayFirstByte waits for the delay of the first byte. It returns false if the engine stops first.
func (st *stream) delayFirstByte(delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-st.engine.stopped:
		return false
	}
}

// nextFrame returns the tokens that have not been sent yet, and the result if the sequence has finished or paused. Both
// can be nil.
func (st *stream) nextFrame() (chunk *wigeonshift.Chunk, result *wigeonshift.GenerateResult) {
	st.engine.mu.Lock()
	produced := st.sequence.producedTokens
	if st.sequence.phase == phaseDone || st.sequence.phase == phasePaused {
		r := st.sequence.result()
		result = &r
	}
	other := st.engine.lastToken
	st.engine.mu.Unlock()
	if produced > st.sentTokens {
		chunk = &wigeonshift.Chunk{
			Token: st.sequence.request.Token, Offset: st.sentTokens, Count: produced - st.sentTokens,
			Text: st.sequence.completion.text(st.sentTokens, produced),
		}
		st.sentTokens = produced
	}
	if st.crossed {
		st.replaceWithOtherAttempt(chunk, result, other)
	}
	return chunk, result
}

// replaceWithOtherAttempt replaces the token and the text of this attempt with those of another attempt.
func (st *stream) replaceWithOtherAttempt(chunk *wigeonshift.Chunk, result *wigeonshift.GenerateResult, other wigeonshift.AttemptToken) {
	if other == st.sequence.request.Token {
		other += "x"
	}
	if chunk != nil {
		chunk.Token = other
		chunk.Text = newCompletion("crossed", string(other), chunk.Count).text(0, chunk.Count)
	}
	if result != nil {
		result.Token = other
	}
}

// send writes a frame unless it is empty. It returns false if the stream must end.
func (st *stream) send(w *bufio.Writer, chunk *wigeonshift.Chunk, result *wigeonshift.GenerateResult) bool {
	if !st.waitWhileSilent() {
		return false
	}
	if chunk == nil && result == nil {
		return true
	}
	err := json.NewEncoder(w).Encode(wigeonprotocol.Frame{Chunk: chunk, Result: result})
	return err == nil && w.Flush() == nil
}

// waitWhileSilent blocks while a fault silences the stream. It returns false if the engine stops.
func (st *stream) waitWhileSilent() bool {
	for {
		changed := st.engine.faults.Changed()
		silence := st.engine.faults.Get().Silence
		streamSilent := st.sentTokens > 0 && silence == wigeonfault.SilenceStreams
		if silence != wigeonfault.SilenceRequests && !streamSilent {
			return true
		}
		select {
		case <-changed:
		case <-st.engine.stopped:
			return false
		}
	}
}

// waitForUpdate waits for a change of the sequence. It returns false if this stream must end.
func (st *stream) waitForUpdate() bool {
	select {
	case _, ok := <-st.updates:
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

// detach marks the sequence as unread, unless another stream has replaced this one.
func (st *stream) detach() {
	st.engine.mu.Lock()
	defer st.engine.mu.Unlock()
	if st.sequence.updates == st.updates {
		st.sequence.unreadSince = time.Now()
	}
}
