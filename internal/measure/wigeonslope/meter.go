package wigeonslope

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/samber/oops"
)

// meter counts the bytes of a node's connections, without IP and TCP headers.
type meter struct {
	bytes atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]bool
	// broken refuses new connections.
	broken bool
}

// wrap counts a connection.
func (m *meter) wrap(c net.Conn) (net.Conn, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.broken {
		c.Close()
		return nil, oops.In("measure").Wrap(net.ErrClosed)
	}
	if m.conns == nil {
		m.conns = map[net.Conn]bool{}
	}
	m.conns[c] = true
	return &meteredConn{Conn: c, m: m}, nil
}

// breakAll closes all connections and refuses new ones.
func (m *meter) breakAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.broken = true
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

// meteredConn counts what passes in both directions.
type meteredConn struct {
	net.Conn
	m *meter
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.bytes.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.bytes.Add(int64(n))
	return n, err
}

// meteredListener counts accepted connections.
type meteredListener struct {
	net.Listener
	m *meter
}

func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.m.wrap(c)
}
