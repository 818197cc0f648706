package wigeonrelay

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// listener wraps accepted connections in callerConn.
type listener struct {
	net.Listener
	writeTimeout time.Duration
}

// Accept waits for the next connection and wraps it, so that a caller's disconnect can be detected while its request is
// served.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, writeTimeout: l.writeTimeout}, nil
}

// callerConn is a caller's connection. While a request is served, it detects at once that the caller has closed the
// connection. The HTTP library doesn't read during that time, so a closeWatcher reads ahead by at most one byte.
type callerConn struct {
	net.Conn
	// writeTimeout limits each single write, since a streamed response as a whole may take long.
	writeTimeout time.Duration

	mu sync.Mutex
	// peeked is the byte that a closeWatcher has read; valid while hasPeeked is set.
	peeked    [1]byte
	hasPeeked bool
	watcher   *closeWatcher
}

// Read returns the byte that a closeWatcher has read, if there is one, and otherwise reads from the connection. That
// byte is the first one of the caller's next request.
func (c *callerConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	if c.hasPeeked && len(b) > 0 {
		b[0] = c.peeked[0]
		c.hasPeeked = false
		c.mu.Unlock()
		return 1, nil
	}
	c.mu.Unlock()
	return c.Conn.Read(b)
}

// Write writes with a deadline of writeTimeout.
func (c *callerConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// startWatch starts a closeWatcher that calls onClose if the caller closes the connection before stopWatch, so that the
// request can be cancelled. It does nothing if a byte has already been read ahead, because there is room for only one.
// It clears the read deadline, which would end the watch.
func (c *callerConn) startWatch(onClose func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasPeeked || c.watcher != nil {
		return
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		onClose()
		return
	}
	w := &closeWatcher{conn: c, onClose: onClose, done: make(chan struct{})}
	c.watcher = w
	go w.run()
}

// stopWatch stops the closeWatcher and waits for its end, so that it doesn't read at the same time as the HTTP library.
func (c *callerConn) stopWatch() {
	c.mu.Lock()
	w := c.watcher
	c.watcher = nil
	c.mu.Unlock()
	if w == nil {
		return
	}
	// A deadline in the past ends the pending read. If it can't be set, closing the connection ends the read.
	if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
		c.Close()
	}
	<-w.done
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		c.Close()
	}
}

// closeWatcher reads from a caller's connection until a byte arrives, the connection is closed or stopWatch is called.
type closeWatcher struct {
	conn    *callerConn
	onClose func()
	done    chan struct{}
}

// run keeps a byte that arrives for callerConn.Read and calls onClose on any error other than an expired read deadline,
// which is how stopWatch ends the read.
func (w *closeWatcher) run() {
	defer close(w.done)
	var b [1]byte
	n, err := w.conn.Conn.Read(b[:])
	if n == 1 {
		w.conn.mu.Lock()
		w.conn.peeked, w.conn.hasPeeked = b, true
		w.conn.mu.Unlock()
		return
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		w.onClose()
	}
}
