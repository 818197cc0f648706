package wigeoncaller

import (
	"context"
	"errors"
	"io"
	"sync"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonentry"
)

// streamBufferBytes bounds what waits for a slow caller before its engine is slowed down.
const streamBufferBytes = 64 << 10

var errStreamClosed = errors.New("the caller's stream is closed")

// stream carries one streamed answer: the entry service writes to it and the HTTP library reads from it.
type stream struct {
	server *Server
	writer *answerWriter
	// id is set before started is closed.
	request wigeonentry.Request
	ctx     context.Context //nolint:containedctx // ends with the caller's connection
	cancel  context.CancelFunc
	watch   *watch
	// started is closed when the first bytes or the result are there.
	started chan struct{}
	// readable and writable each hold at most one signal.
	readable, writable chan struct{}

	mu     sync.Mutex
	buffer []byte
	// sent is set once bytes were made; a refusal is then an event of the stream.
	sent bool
	// ended is set when result is final.
	ended  bool
	result wigeonentry.Result
	// closed is set when the library reads no more.
	closed bool
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run carries the request to its end.
func (st *stream) run() {
	result := st.server.entry.Do(st.ctx, st.request, st)
	st.mu.Lock()
	st.ended = true
	st.result = result
	switch {
	case result.Refusal != nil && st.sent:
		st.buffer = append(st.buffer, "event: error\ndata: "...)
		st.buffer = appendRefusal(st.buffer, result.ID, *result.Refusal, "")
		st.buffer = append(st.buffer, "\n\n"...)
	case result.Refusal == nil:
		st.buffer = st.writer.appendLast(st.buffer, result.Generated)
		st.start()
	default:
		st.start()
	}
	st.mu.Unlock()
	signal(st.readable)
}

// start lets the handler answer; mu is held.
func (st *stream) start() {
	if !st.sent {
		st.sent = true
		close(st.started)
	}
}

// Write takes a piece of the answer.
func (st *stream) Write(ctx context.Context, text string) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	for len(st.buffer) > streamBufferBytes && !st.closed {
		st.mu.Unlock()
		var err error
		select {
		case <-st.writable:
		case <-ctx.Done():
			err = ctx.Err()
		}
		st.mu.Lock()
		if err != nil {
			return err
		}
	}
	if st.closed {
		return errStreamClosed
	}
	if text != "" {
		st.buffer = st.writer.appendFrame(st.buffer, text)
		st.start()
		signal(st.readable)
	}
	return nil
}

// Read waits for bytes of the answer.
func (st *stream) Read(p []byte) (int, error) {
	for {
		st.mu.Lock()
		n := copy(p, st.buffer)
		st.buffer = st.buffer[:copy(st.buffer, st.buffer[n:])]
		ended := st.ended
		st.mu.Unlock()
		switch {
		case n > 0:
			signal(st.writable)
			return n, nil
		case ended:
			return 0, io.EOF
		}
		<-st.readable
	}
}

// Close ends the request if its answer is not whole yet.
func (st *stream) Close() error {
	st.mu.Lock()
	st.closed = true
	st.mu.Unlock()
	signal(st.writable)
	st.server.watcher.remove(st.watch)
	st.cancel()
	return nil
}

// refusal returns the refusal of a request that got no bytes.
func (st *stream) refusal() *wigeonshift.Refusal {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.ended && len(st.buffer) == 0 {
		return st.result.Refusal
	}
	return nil
}
