package wigeoncaller

import (
	"context"
	"errors"
	"io"
	"sync"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonentry"
)

// streamBufferBytes is the buffer size above which Write blocks, so that a slow caller slows down its engine.
const streamBufferBytes = 64 << 10

var errStreamClosed = errors.New("response stream to the caller is closed")

// stream is one streamed response. The entry service writes text to it and the HTTP library reads events from it.
type stream struct {
	server  *Server
	encoder *responseEncoder
	// request has its ID set before started is closed.
	request wigeonentry.Request
	ctx     context.Context //nolint:containedctx // ends with the caller's connection
	cancel  context.CancelFunc
	conn    *watchedConn
	// started is closed when the first bytes or the result are available.
	started chan struct{}
	// readable and writable each hold at most one notification.
	readable, writable chan struct{}

	mu     sync.Mutex
	buffer []byte
	// responseStarted is set when started is closed. A later refusal is sent as an event of the stream.
	responseStarted bool
	// ended is set when result is valid.
	ended  bool
	result wigeonentry.Result
	// closed is set when the library stops reading.
	closed bool
}

// notify sends a notification unless one is already pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// run runs the request and completes the stream with the final events or the refusal.
func (st *stream) run() {
	result := st.server.entry.Do(st.ctx, st.request, st)
	st.mu.Lock()
	st.ended = true
	st.result = result
	switch {
	case result.Refusal != nil && st.responseStarted:
		st.buffer = append(st.buffer, "event: error\ndata: "...)
		st.buffer = appendRefusal(st.buffer, result.ID, *result.Refusal, "")
		st.buffer = append(st.buffer, "\n\n"...)
	case result.Refusal == nil:
		st.buffer = st.encoder.appendFinalEvents(st.buffer, result.Generated)
		st.startResponse()
	default:
		st.startResponse()
	}
	st.mu.Unlock()
	notify(st.readable)
}

// startResponse lets the handler send the response headers. The caller must hold mu.
func (st *stream) startResponse() {
	if !st.responseStarted {
		st.responseStarted = true
		close(st.started)
	}
}

// Write appends an event with a piece of text. It blocks while the buffer is full.
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
		st.buffer = st.encoder.appendEvent(st.buffer, text)
		st.startResponse()
		notify(st.readable)
	}
	return nil
}

// Read waits for bytes of the response. It returns io.EOF after the last one.
func (st *stream) Read(p []byte) (int, error) {
	for {
		st.mu.Lock()
		n := copy(p, st.buffer)
		st.buffer = st.buffer[:copy(st.buffer, st.buffer[n:])]
		ended := st.ended
		st.mu.Unlock()
		switch {
		case n > 0:
			notify(st.writable)
			return n, nil
		case ended:
			return 0, io.EOF
		}
		<-st.readable
	}
}

// Close cancels the request if it is still running and releases its resources.
func (st *stream) Close() error {
	st.mu.Lock()
	st.closed = true
	st.mu.Unlock()
	notify(st.writable)
	st.server.watcher.remove(st.conn)
	st.cancel()
	return nil
}

// refusal returns the refusal of a request that ended without output, or nil.
func (st *stream) refusal() *wigeonshift.Refusal {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.ended && len(st.buffer) == 0 {
		return st.result.Refusal
	}
	return nil
}
