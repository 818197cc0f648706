package wigeonsession_test

import (
	"context"
	"errors"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonsession"

	. "github.com/onsi/gomega"
)

// bubble runs a test in virtual time. Two collections empty the timer pool of yamux: its timers must not
// cross from one bubble to the next.
func bubble(run func(g *WithT)) {
	runtime.GC()
	runtime.GC()
	synctest.Test(suiteT, func(t *testing.T) { run(NewWithT(t)) })
}

// wire is a set of in-memory listeners.
type wire struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	conns     []*holeConn
	dials     atomic.Int64
}

func newWire() *wire { return &wire{listeners: map[string]*memoryListener{}} }

// listen opens a listener.
func (w *wire) listen(address string) *memoryListener {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	w.listeners[address] = l
	return l
}

// dial connects to a listener through a connection that can turn into a black hole.
func (w *wire) dial(ctx context.Context, address string) (net.Conn, error) {
	w.mu.Lock()
	l := w.listeners[address]
	w.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	a, b := net.Pipe()
	ours := &holeConn{Conn: a}
	select {
	case l.conns <- b:
		w.mu.Lock()
		defer w.mu.Unlock()
		w.dials.Add(1)
		w.conns = append(w.conns, ours)
		return ours, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// swallow turns every open connection into a black hole in both directions.
func (w *wire) swallow() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		c.hole.Store(true)
	}
}

type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

// holeConn swallows everything once hole is set; neither end sees an error.
type holeConn struct {
	net.Conn
	hole atomic.Bool
}

func (c *holeConn) Write(b []byte) (int, error) {
	if c.hole.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *holeConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.hole.Load() {
			return n, err
		}
	}
}

// node is a network with a record of what it received.
type node struct {
	*wigeonsession.Network
	mu       sync.Mutex
	received []wigeonshift.PeerMessage
	lost     []string
}

func instance(id string) wigeonshift.Instance {
	return wigeonshift.Instance{ID: id, Address: id + ":1", State: wigeonshift.InstanceLive}
}

func startNode(g *WithT, w *wire, id string, opts ...wigeonsession.Option) *node {
	opts = append([]wigeonsession.Option{
		wigeonsession.WithListener(w.listen(instance(id).Address)), wigeonsession.WithDial(w.dial),
	}, opts...)
	n := &node{Network: wigeonsession.New(instance(id), opts...)}
	n.Subscribe(func(_ wigeonshift.Instance, m wigeonshift.PeerMessage) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.received = append(n.received, m)
	})
	n.SubscribeLost(func(i wigeonshift.Instance) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.lost = append(n.lost, i.ID)
	})
	g.Expect(n.Start(context.Background())).To(Succeed())
	return n
}

func (n *node) messages() []wigeonshift.PeerMessage {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]wigeonshift.PeerMessage(nil), n.received...)
}

func (n *node) losses() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.lost...)
}
