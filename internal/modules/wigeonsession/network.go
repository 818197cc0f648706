// Package wigeonsession sends messages between instances over one yamux session per peer, opened on demand.
//
// Each session has two lanes, so that a configuration snapshot doesn't delay permits. Heartbeats are sent only when a
// session has nothing else to send. A session is closed when nothing has been received for its silence timeout, and the
// next message opens a new one.
package wigeonsession

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonwire"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

// Timeouts of sessions.
const (
	dialTimeout        = 2 * time.Second
	handshakeTimeout   = 2 * time.Second
	defaultIdleTimeout = 10 * time.Minute
	// stopFlushTimeout limits how long Stop waits for queued messages to be sent.
	stopFlushTimeout = time.Second
)

// ErrQueueFull reports a message that was not sent because the peer's send queue is full.
var ErrQueueFull = errors.New("send queue full")

// Network implements wigeonshift.PeerNetwork. Handlers may be called from several goroutines at once.
type Network struct {
	self      wigeonshift.Instance
	serverTLS *tls.Config
	clientTLS *tls.Config
	dial      DialFunc
	listener  net.Listener
	// listenAddress is where the network listens unless there is a listener.
	listenAddress string
	scope         tally.Scope
	log           logrus.FieldLogger
	idleTimeout   time.Duration

	counters           *counters
	messageHandlers    []wigeonshift.PeerHandler
	lostHandlers       []func(wigeonshift.Instance)
	discoveredHandlers []func(wigeonshift.Instance)
	leavingHandlers    []func(wigeonshift.Instance)
	// leaving is announced to all peers in heartbeats.
	leaving             atomic.Bool
	unreachableHandlers []func(wigeonshift.Instance)
	// localQueue holds messages that this instance sends to itself.
	localQueue *sendQueue[wigeonshift.PeerMessage]
	startedAt  time.Time
	// dialCount numbers the dials of this instance.
	dialCount atomic.Uint64
	links     linkSet
	// expected holds the peers that send frames at short intervals; nil if there are none.
	expected atomic.Pointer[expectation]

	ctx    context.Context //nolint:containedctx // It spans the lifetime of the network, from Start to Stop.
	cancel context.CancelFunc
	wg     conc.WaitGroup

	mu      sync.Mutex
	peers   map[string]*peer
	running bool
}

// New returns a network for the instance self. It listens on the address of self unless an option says otherwise.
func New(self wigeonshift.Instance, opts ...Option) *Network {
	n := &Network{
		self:          self,
		listenAddress: self.Address,
		scope:         tally.NoopScope,
		log:           discardLogger(),
		idleTimeout:   defaultIdleTimeout,
		dial:          dialTCP,
		peers:         map[string]*peer{},
		localQueue:    newSendQueue[wigeonshift.PeerMessage](maxLocalQueueMessages, maxMainQueueBytes),
	}
	for _, opt := range opts {
		opt(n)
	}
	n.counters = newCounters(n.scope)
	return n
}

// Self returns this instance.
func (n *Network) Self() wigeonshift.Instance {
	return n.self
}

// Probe checks that an instance can be reached by dialling it, unless a session with it is open.
func (n *Network) Probe(to wigeonshift.Instance) {
	p, err := n.getOrCreatePeer(to)
	if err != nil {
		return
	}
	p.probe()
}

// expectation is how often frames of some peers must arrive.
type expectation struct {
	// peers holds the IDs of the peers.
	peers map[string]bool
	// maxSilence is the longest time without a frame from one of them.
	maxSilence time.Duration
}

// ExpectFrames sets the peers that send frames at intervals below maxSilence, in place of those that were set before. If nothing
// arrives from one for longer, its session may be dead, so another one is opened beside it and replaces it. The peer counts as
// lost only when its session ends.
func (n *Network) ExpectFrames(peers []wigeonshift.Instance, maxSilence time.Duration) {
	e := &expectation{peers: make(map[string]bool, len(peers)), maxSilence: maxSilence}
	for _, p := range peers {
		e.peers[p.ID] = true
	}
	n.expected.Store(e)
}

// Start opens the listener and starts accepting sessions.
func (n *Network) Start(_ context.Context) error {
	if n.listener == nil {
		l, err := net.Listen("tcp", n.listenAddress)
		if err != nil {
			return oops.In("session").With("address", n.listenAddress).Wrap(err)
		}
		n.listener = l
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.startedAt = time.Now()
	n.mu.Lock()
	n.running = true
	n.mu.Unlock()
	n.wg.Go(n.runAccept)
	n.wg.Go(n.runLocal)
	n.wg.Go(n.runMonitor)
	return nil
}

// Stop sends the queued messages and a goodbye to every peer, for at most stopFlushTimeout, and closes all sessions.
func (n *Network) Stop(ctx context.Context) error {
	n.mu.Lock()
	if !n.running {
		n.mu.Unlock()
		return nil
	}
	n.running = false
	peers := n.peerList()
	n.mu.Unlock()
	n.listener.Close()
	ctx, cancel := context.WithTimeout(ctx, stopFlushTimeout)
	defer cancel()
	for _, p := range peers {
		p.queueGoodbye()
	}
	for _, p := range peers {
		p.waitForLinkEnd(ctx)
	}
	n.cancel()
	for _, p := range peers {
		p.endLinks()
	}
	n.wg.Wait()
	return nil
}

// Send queues a message and never blocks. It returns ErrQueueFull if the queue is full, and ErrPeerUnreachable during the
// backoff after a failed dial.
func (n *Network) Send(_ context.Context, to wigeonshift.Instance, m wigeonshift.PeerMessage) error {
	if to.ID == n.self.ID {
		return n.sendLocal(m)
	}
	frame, err := encode(m)
	if err != nil {
		return err
	}
	return n.enqueue(to, frame, laneOf(m))
}

// Broadcast queues a message to each of the instances, which is encoded only once, and returns the errors. It sends nothing to
// this instance itself.
func (n *Network) Broadcast(_ context.Context, to []wigeonshift.Instance, m wigeonshift.PeerMessage) error {
	if len(to) == 0 {
		return nil
	}
	frame, err := encode(m)
	if err != nil {
		return err
	}
	var errs []error
	for _, i := range to {
		if i.ID != n.self.ID {
			errs = append(errs, n.enqueue(i, frame, laneOf(m)))
		}
	}
	return errors.Join(errs...)
}

// encode returns the frame of a message.
func encode(m wigeonshift.PeerMessage) (outgoingFrame, error) {
	f, err := wigeonwire.FrameOf(m)
	if err != nil {
		return outgoingFrame{}, err
	}
	encoded, err := wigeonwire.EncodeFrame(f)
	if err != nil {
		return outgoingFrame{}, err
	}
	return outgoingFrame{kind: kindOf(m), bytes: encoded, expectsReply: expectsReply(m)}, nil
}

// enqueue queues a frame to another instance.
func (n *Network) enqueue(to wigeonshift.Instance, frame outgoingFrame, lane int) error {
	p, err := n.getOrCreatePeer(to)
	if err != nil {
		return err
	}
	return p.enqueue(frame, lane)
}

// sendLocal queues a message from this instance to itself.
func (n *Network) sendLocal(m wigeonshift.PeerMessage) error {
	if !n.localQueue.push(m, 0) {
		n.counters.countDropped("queueFull")
		return oops.In("session").Wrap(ErrQueueFull)
	}
	return nil
}

// runLocal delivers the messages in the local queue.
func (n *Network) runLocal() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-n.localQueue.ready:
		}
		for m, ok := n.localQueue.pop(); ok; m, ok = n.localQueue.pop() {
			n.deliver(n.self, m)
		}
	}
}

// getOrCreatePeer returns the state of a peer. It fails if the network is not running or the peer is this instance.
func (n *Network) getOrCreatePeer(to wigeonshift.Instance) (*peer, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.running || to.ID == "" || to.ID == n.self.ID {
		return nil, oops.In("session").With("instance", to.ID).Wrap(wigeonshift.ErrPeerUnreachable)
	}
	p := n.peers[to.ID]
	if p == nil {
		p = newPeer(n, to)
		n.peers[to.ID] = p
	}
	return p, nil
}

// peerList returns all peers; the caller holds the lock.
func (n *Network) peerList() []*peer {
	peers := make([]*peer, 0, len(n.peers))
	for _, p := range n.peers {
		peers = append(peers, p)
	}
	return peers
}

// goIfRunning starts a goroutine and returns true, unless the network is not running.
func (n *Network) goIfRunning(run func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.running {
		return false
	}
	n.wg.Go(run)
	return true
}

// now returns the time since Start on the monotonic clock.
func (n *Network) now() time.Duration {
	return time.Since(n.startedAt)
}

// dialTCP is the default DialFunc.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

func discardLogger() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}
