package wigeonfault

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener is a TCP listener that can cut and mute its connections.
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
	return Wrap(l), nil
}

// Wrap gives a listener its faults.
func Wrap(l net.Listener) *Listener {
	return &Listener{Listener: l, conns: map[*conn]struct{}{}}
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, owner: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// Cut stops listening and breaks every connection at once, as the death of a process does.
func (l *Listener) Cut() {
	l.Close()
	for _, c := range l.open() {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Mute makes the open connections silent for good, except one that may be nil.
func (l *Listener) Mute(except net.Conn) {
	for _, c := range l.open() {
		if net.Conn(c) != except {
			c.muted.Store(true)
		}
	}
}

func (l *Listener) open() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

func (l *Listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// conn is a connection that may go silent: what it writes is lost and nothing more is read.
type conn struct {
	net.Conn
	owner  *Listener
	muted  atomic.Bool
	once   sync.Once
	closed chan struct{}
}

// Read reads, or waits for Close on a muted connection.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.muted.Load() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

// Write writes, or discards on a muted connection.
func (c *conn) Write(p []byte) (int, error) {
	if c.muted.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.owner.forget(c)
	})
	return c.Conn.Close()
}
