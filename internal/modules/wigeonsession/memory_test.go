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

// runInBubble runs a test in virtual time, in its own synctest bubble. The two garbage collections empty the timer pool
// of yamux, because a timer must not be used outside the bubble that created it.
func runInBubble(run func(g *WithT)) {
	runtime.GC()
	runtime.GC()
	synctest.Test(suiteT, func(t *testing.T) { run(NewWithT(t)) })
}

// memoryNetwork connects nodes through in-memory listeners, by address.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	conns     []*blackholeConn
	dials     atomic.Int64
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{listeners: map[string]*memoryListener{}}
}

func (w *memoryNetwork) listen(address string) *memoryListener {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	w.listeners[address] = l
	return l
}

// dial connects to the listener at an address through a connection that can become a black hole.
func (w *memoryNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	w.mu.Lock()
	l := w.listeners[address]
	w.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	client, server := net.Pipe()
	dialed := &blackholeConn{Conn: client}
	select {
	case l.conns <- server:
		w.mu.Lock()
		defer w.mu.Unlock()
		w.dials.Add(1)
		w.conns = append(w.conns, dialed)
		return dialed, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// blackhole makes every open connection drop all data in both directions.
func (w *memoryNetwork) blackhole() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.conns {
		c.dropping.Store(true)
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

// blackholeConn drops all data once dropping is set; neither end sees an error.
type blackholeConn struct {
	net.Conn
	dropping atomic.Bool
}

func (c *blackholeConn) Write(b []byte) (int, error) {
	if c.dropping.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *blackholeConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.dropping.Load() {
			return n, err
		}
	}
}

// node is a Network that records the messages it received and the instances it lost.
type node struct {
	*wigeonsession.Network
	mu       sync.Mutex
	received []wigeonshift.PeerMessage
	lost     []string
}

func instance(id string) wigeonshift.Instance {
	return wigeonshift.Instance{ID: id, Address: id + ":1", State: wigeonshift.InstanceLive}
}

func startNode(g *WithT, w *memoryNetwork, id string, opts ...wigeonsession.Option) *node {
	opts = append([]wigeonsession.Option{
		wigeonsession.WithListener(w.listen(instance(id).Address)), wigeonsession.WithDial(w.dial),
	}, opts...)
	n := &node{Network: wigeonsession.New(instance(id), opts...)}
	n.Subscribe(func(_ wigeonshift.Instance, m wigeonshift.PeerMessage) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.received = append(n.received, m)
	})
	n.SubscribePeerLost(func(i wigeonshift.Instance) {
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

func (n *node) lostInstances() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]string(nil), n.lost...)
}
