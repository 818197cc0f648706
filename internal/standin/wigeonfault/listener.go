package wigeonfault

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener is a TCP listener that can reset and silence its connections.
type Listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Listen listens on a TCP address.
func Listen(address string) (*Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return NewListener(l), nil
}

// NewListener returns a Listener that accepts the connections of l.
func NewListener(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: map[*conn]struct{}{}}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, listener: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// Abort stops listening and resets every open connection, as a crash of the process does.
func (l *Listener) Abort() {
	l.Close()
	for _, c := range l.openConns() {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// SilenceOpenConnections silences the open connections permanently, except one, which may be nil.
func (l *Listener) SilenceOpenConnections(except net.Conn) {
	for _, c := range l.openConns() {
		if net.Conn(c) != except {
			c.silenced.Store(true)
		}
	}
}

func (l *Listener) openConns() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// conn is a connection that can be silenced. It then discards all writes and returns no more data from reads.
type conn struct {
	net.Conn
	listener  *Listener
	silenced  atomic.Bool
	closeOnce sync.Once
	closed    chan struct{}
}

// Read reads from the connection. On a silenced connection it blocks until Close.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.silenced.Load() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write writes to the connection. On a silenced connection it discards the data and reports success.
func (c *conn) Write(p []byte) (int, error) {
	if c.silenced.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection, unblocks its reads and removes it from the listener.
func (c *conn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.listener.remove(c)
	})
	return c.Conn.Close()
}
