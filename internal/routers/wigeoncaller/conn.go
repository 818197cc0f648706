package wigeoncaller

import (
	"net"
	"time"
)

// progressListener accepts connections whose every write must make progress.
type progressListener struct {
	net.Listener
	timeout time.Duration
}

// Accept waits for the next connection.
func (l *progressListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &progressConn{Conn: c, timeout: l.timeout}, nil
}

// progressConn bounds each write by itself, since a streamed answer as a whole may take long.
type progressConn struct {
	net.Conn
	timeout time.Duration
}

// Write writes within the timeout.
func (c *progressConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// NetConn returns the wrapped connection.
func (c *progressConn) NetConn() net.Conn { return c.Conn }
