package wigeonendpoint

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"wigeonshift/internal/modules/wigeonsocket"
)

// connection wraps a pooled connection. It records whether the endpoint may have received a byte of the current request,
// because only a request of which nothing was sent is proven not to have run.
type connection struct {
	net.Conn
	// raw is the socket below an optional TLS layer. It is nil for in-memory connections.
	raw syscall.RawConn
	// encrypted is set for TLS connections. They may have sent bytes even if Write reports none.
	encrypted bool
	// lastUsed is the time at which the last exchange ended. It is zero for a new connection.
	lastUsed time.Time

	// The fields below belong to the current exchange.

	// onStart is called before the first byte is written.
	onStart func()
	// mayHaveSent is set once the endpoint may have received a byte.
	mayHaveSent bool
	// ioTimeout limits each read and write.
	ioTimeout time.Duration
	// interrupted is set when the exchange's context has ended.
	interrupted atomic.Bool
}

// newConnection wraps c. raw is the connection below the TLS layer, or c itself without TLS.
func newConnection(c, raw net.Conn) *connection {
	conn := &connection{Conn: c, encrypted: c != raw}
	if s, ok := raw.(syscall.Conn); ok {
		// isStale skips its check if there is no raw socket.
		conn.raw, _ = s.SyscallConn()
	}
	return conn
}

// beginExchange resets the state of the previous exchange.
func (c *connection) beginExchange(onStart func(), timeout time.Duration) {
	c.onStart = onStart
	c.mayHaveSent = false
	c.ioTimeout = timeout
}

// Write calls onStart before the first write and records whether the endpoint may have received a byte.
func (c *connection) Write(p []byte) (int, error) {
	if c.onStart != nil {
		c.onStart()
		c.onStart = nil
	}
	if err := c.SetWriteDeadline(time.Now().Add(c.ioTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	if n > 0 || c.encrypted || err == nil {
		c.mayHaveSent = true
	}
	return n, err
}

// Read reads with the exchange's timeout.
func (c *connection) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.ioTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// interrupt ends the current exchange by closing the connection.
func (c *connection) interrupt() {
	c.interrupted.Store(true)
	c.Close()
}

// isStale reports whether the endpoint closed the idle connection or sent unexpected bytes on it.
func (c *connection) isStale() bool {
	if c.raw == nil {
		return false
	}
	return wigeonsocket.Peek(c.raw) != wigeonsocket.Idle
}
