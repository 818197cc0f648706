package wigeonsession

import (
	"bufio"
	"errors"
	"io"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonwire"

	"github.com/hashicorp/yamux"
)

// Lanes of a session. Each is one yamux stream; the order of messages is kept within a lane only.
const (
	// laneMain carries heartbeats and all messages that are not bulk.
	laneMain = iota
	// laneBulk carries large messages, which would delay others.
	laneBulk
	// laneCount is the number of lanes.
	laneCount
)

// Largest frames that the lanes accept.
const (
	maxMainFrameBytes = 4 << 20
	maxBulkFrameBytes = 128 << 20
)

const (
	// writeTimeout limits one write of at most maxWriteBytes; the link is closed when it expires.
	writeTimeout = 2 * time.Second
	// maxWriteBytes is the largest single write. Queued frames are batched until they reach it.
	maxWriteBytes   = 32 << 10
	readBufferBytes = 2 << 10
)

// laneOf returns the lane that carries a message.
func laneOf(m wigeonshift.PeerMessage) int {
	switch m.(type) {
	case wigeonshift.ConfigurationPush, wigeonshift.ConfigurationSnapshot, wigeonshift.EndpointsSnapshot:
		return laneBulk
	default:
		return laneMain
	}
}

// lane is one bidirectional stream of frames within a link.
type lane struct {
	link          *link
	index         int
	stream        *yamux.Stream
	reader        *bufio.Reader
	maxFrameBytes int
}

func newLane(l *link, index int, stream *yamux.Stream) *lane {
	maxFrameBytes := maxMainFrameBytes
	if index == laneBulk {
		maxFrameBytes = maxBulkFrameBytes
	}
	return &lane{
		link: l, index: index, stream: stream, reader: bufio.NewReaderSize(stream, readBufferBytes),
		maxFrameBytes: maxFrameBytes,
	}
}

// runRead reads frames and passes them on until the link ends.
func (ln *lane) runRead() {
	for {
		f, size, err := wigeonwire.ReadFrame(ln.reader, ln.maxFrameBytes)
		if err != nil {
			ln.handleFailure(readFailureReason(err), ln.index == laneMain)
			return
		}
		if !ln.link.receive(f, size) {
			return
		}
	}
}

// handleFailure ends the link after a read or write error. If the peer has closed the connection, only the reader of the
// main lane ends the link, because it may still have to read a goodbye.
func (ln *lane) handleFailure(reason string, isMainReader bool) {
	if !isMainReader && ln.link.mux.IsClosed() {
		return
	}
	ln.link.end(reason, false)
}

// readFailureReason maps a read error to the reason in logs and metrics.
func readFailureReason(err error) string {
	switch {
	case errors.Is(err, wigeonwire.ErrMalformed), errors.Is(err, wigeonwire.ErrTooLarge):
		return "malformed"
	case errors.Is(err, io.EOF), errors.Is(err, yamux.ErrTimeout):
		// Readers have a deadline only once the session ends.
		return "closed"
	default:
		return "broken"
	}
}

// runWrite sends queued frames until the link ends or is retired.
func (ln *lane) runWrite() {
	queue := ln.link.peer.queues[ln.index]
	// This writer may have consumed the signal for frames that it leaves in the queue; the next link's writer needs it.
	defer queue.signal()
	control := ln.link.controlFrames
	if ln.index != laneMain {
		control = nil
	}
	for {
		select {
		case <-ln.link.done:
			return
		case <-ln.link.retired:
			return
		case frame := <-control:
			if !ln.write(frame) {
				return
			}
			ln.link.network.counters.sent[kindControl].add(len(frame))
		case <-queue.ready:
			if !ln.flush(queue) {
				return
			}
		}
	}
}

// flush sends all queued frames. It returns false if the writer must stop.
func (ln *lane) flush(queue *sendQueue[outgoingFrame]) bool {
	for {
		batch, count, goodbye := ln.nextBatch(queue)
		if count == 0 {
			return true
		}
		if goodbye {
			ln.link.goodbyeStarted.Store(true)
		}
		if !ln.write(batch) {
			ln.link.network.counters.countDroppedN("writeFailed", count)
			return false
		}
		if goodbye {
			ln.link.end("goodbye", true)
			return false
		}
	}
}

// nextBatch takes queued frames until they reach maxWriteBytes or a goodbye. It returns none if the link has ended or is
// retired, so that the frames are left to the next link.
func (ln *lane) nextBatch(queue *sendQueue[outgoingFrame]) (batch []byte, count int, goodbye bool) {
	select {
	case <-ln.link.done:
		return nil, 0, false
	case <-ln.link.retired:
		return nil, 0, false
	default:
	}
	now := int64(ln.link.network.now())
	for len(batch) < maxWriteBytes && !goodbye {
		o, ok := queue.pop()
		if !ok {
			break
		}
		batch = append(batch, o.bytes...)
		count++
		goodbye = o.goodbye
		ln.link.network.counters.sent[o.kind].add(len(o.bytes))
		if o.kind != kindControl {
			ln.link.lastMessageAt.Store(now)
		}
		if o.expectsReply {
			ln.link.awaitingReplySince.CompareAndSwap(0, max(now, 1))
		}
	}
	return batch, count, goodbye
}

// write sends b in chunks of at most maxWriteBytes, each with its own timeout. A failure ends the link.
func (ln *lane) write(b []byte) bool {
	for len(b) > 0 {
		chunk := b[:min(len(b), maxWriteBytes)]
		b = b[len(chunk):]
		//nolint:errcheck // If the session is closed, Write fails.
		ln.stream.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := ln.stream.Write(chunk); err != nil {
			ln.handleFailure("writeFailed", false)
			return false
		}
		ln.link.lastSentAt.Store(int64(ln.link.network.now()))
	}
	return true
}
