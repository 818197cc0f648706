package wigeoncaller

import (
	"net"
	"time"
)

// writeTimeoutListener accepts connections that have a timeout on each write.
type writeTimeoutListener struct {
	net.Listener
	timeout time.Duration
}

// Accept waits for the next connection.
func (l *writeTimeoutListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &writeTimeoutConn{Conn: c, timeout: l.timeout}, nil
}

// writeTimeoutConn applies a timeout to each write and not to the whole response, because a streamed response may take
// long.
type writeTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

// Write writes b or fails after the timeout.
func (c *writeTimeoutConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// NetConn returns the wrapped connection.
func (c *writeTimeoutConn) NetConn() net.Conn { return c.Conn }
