package wigeonupstream

import (
	"bufio"
	"errors"
	"os"
	"time"

	"github.com/valyala/fasthttp"
)

// resetDelay is the time within which an endpoint that has closed its connection with the request unread usually resets it.
const resetDelay = 20 * time.Millisecond

// errWriteFailed reports that a body ended with its connection while the request could not be written.
var errWriteFailed = errors.New("connection failed while the request was being written, so the body may be truncated")

// requestWriter writes a request. A large one is written while its response is being read, because an endpoint may respond before it has
// read a large body.
type requestWriter struct {
	conn    *connection
	request *fasthttp.Request
	// done is closed when the write has ended. From then on err is valid; nil if the whole request was written.
	done chan struct{}
	err  error
}

func newRequestWriter(conn *connection, request *fasthttp.Request) *requestWriter {
	return &requestWriter{conn: conn, request: request, done: make(chan struct{})}
}

func (w *requestWriter) run() {
	defer close(w.done)
	buffer := bufio.NewWriterSize(w.conn, maxSyncBodyBytes)
	if w.err = w.request.Write(buffer); w.err == nil {
		w.err = buffer.Flush()
	}
}

// finish reports whether the whole request has been written. If the write is still running, finish closes the connection to stop it and
// waits for its end, so that the caller may reuse the request's memory.
func (w *requestWriter) finish() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		w.conn.close()
		<-w.done
		return false
	}
}

// stopAfterEnd ends the write after the endpoint has ended its side of the connection. It returns an error if the connection failed: it
// was reset before the endpoint had read the request. An endpoint that ends its side in order may read on or leave the rest unread.
func (w *requestWriter) stopAfterEnd() error {
	timer := time.NewTimer(resetDelay)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
		// The deadline ends a write that waits, and leaves the error of one that has failed.
		if w.conn.SetWriteDeadline(time.Unix(1, 0)) != nil {
			w.conn.close()
		}
		<-w.done
	}
	if w.err == nil || errors.Is(w.err, os.ErrDeadlineExceeded) {
		return nil
	}
	return errors.Join(errWriteFailed, w.err)
}
