package wigeonrelay

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// listener accepts connections that can be watched while a request is in progress.
type listener struct {
	net.Listener
	timeout time.Duration
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, timeout: l.timeout}, nil
}

// callerConn is a caller's connection. The HTTP library doesn't read while it serves a request; a watch reads ahead by
// one byte at most and so notices at once that the caller has closed the connection.
type callerConn struct {
	net.Conn
	// timeout bounds each write by itself, since a streamed answer as a whole may take long.
	timeout time.Duration

	mu sync.Mutex
	// ahead is the byte that the watch has read.
	ahead   [1]byte
	hasByte bool
	watch   *watch
}

// Read returns what the watch has read before it reads on.
func (c *callerConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	if c.hasByte && len(b) > 0 {
		b[0] = c.ahead[0]
		c.hasByte = false
		c.mu.Unlock()
		return 1, nil
	}
	c.mu.Unlock()
	return c.Conn.Read(b)
}

// Write writes within the timeout.
func (c *callerConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// startWatch calls gone when the caller closes the connection, until stopWatch.
func (c *callerConn) startWatch(gone func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasByte || c.watch != nil {
		return
	}
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		gone()
		return
	}
	w := &watch{conn: c, gone: gone, done: make(chan struct{})}
	c.watch = w
	go w.run()
}

// stopWatch ends the watch and waits for it.
func (c *callerConn) stopWatch() {
	c.mu.Lock()
	w := c.watch
	c.watch = nil
	c.mu.Unlock()
	if w == nil {
		return
	}
	// A connection that can't take a deadline is closed, which ends the read as well.
	if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
		c.Close()
	}
	<-w.done
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		c.Close()
	}
}

// watch waits for a byte or the end of a caller's connection.
type watch struct {
	conn *callerConn
	gone func()
	done chan struct{}
}

func (w *watch) run() {
	defer close(w.done)
	var b [1]byte
	n, err := w.conn.Conn.Read(b[:])
	if n == 1 {
		w.conn.mu.Lock()
		w.conn.ahead, w.conn.hasByte = b, true
		w.conn.mu.Unlock()
		return
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		w.gone()
	}
}
