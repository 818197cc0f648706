package wigeonslope

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/samber/oops"
)

// meter counts the bytes of a node's connections, without IP and TCP headers. It can close them all to simulate a crash.
type meter struct {
	bytes atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
	// closed makes new connections fail.
	closed bool
}

// wrap returns a connection whose bytes are counted, or an error once the meter is closed.
func (m *meter) wrap(c net.Conn) (net.Conn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		c.Close()
		return nil, oops.In("measure").Wrap(net.ErrClosed)
	}
	if m.conns == nil {
		m.conns = map[net.Conn]bool{}
	}
	m.conns[c] = true
	return &meteredConn{Conn: c, meter: m}, nil
}

// closeAll closes all connections and makes new ones fail.
func (m *meter) closeAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	for c := range m.conns {
		c.Close()
	}
}

// dial opens a counted connection.
func (m *meter) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return m.wrap(c)
}

// meteredConn counts the bytes read and written.
type meteredConn struct {
	net.Conn
	meter *meter
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.bytes.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.bytes.Add(int64(n))
	return n, err
}

// meteredListener wraps accepted connections in a meter.
type meteredListener struct {
	net.Listener
	meter *meter
}

func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.wrap(c)
}
