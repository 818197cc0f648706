package wigeonsession

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonwire"

	"github.com/hashicorp/yamux"
)

// goodbyeFrame announces the end of a session.
var goodbyeFrame = mustEncode(&wigeonwire.Frame{Body: &wigeonwire.Frame_Goodbye{Goodbye: &wigeonwire.Goodbye{}}})

// link is one connection to a peer. Times are on the network's monotonic clock.
type link struct {
	n       *Network
	p       *peer
	conn    net.Conn
	mux     *yamux.Session
	lanes   [laneCount]*lane
	remote  wigeonshift.Instance
	dialled bool
	// number is the dial's number at the instance that dialled.
	number uint64
	// control carries heartbeats to the writer of the decision lane.
	control chan []byte

	heardAt   atomic.Int64
	sentAt    atomic.Int64
	messageAt atomic.Int64
	// askedAt is the time of the first message since heardAt that wants an answer; 0 for none.
	askedAt atomic.Int64
	// probedAt is the time of an unanswered probe; 0 for none.
	probedAt atomic.Int64
	// announced is the longest silence that the peer was told to expect from this side.
	announced atomic.Int64
	// peerBudget is the shortest heartbeat period that the peer's budget allows.
	peerBudget atomic.Int64
	// silenceBound is the silence after which the peer is given up.
	silenceBound atomic.Int64
	retiredAt    atomic.Int64
	// leaving is set before a goodbye is written; whatever ends the link afterwards is no loss.
	leaving atomic.Bool
	// leavingTold is set once the peer told that it is leaving.
	leavingTold atomic.Bool

	retired    chan struct{}
	retireOnce sync.Once
	done       chan struct{}
	endOnce    sync.Once
}

func newLink(n *Network, p *peer, conn net.Conn, mux *yamux.Session) *link {
	l := &link{
		n: n, p: p, conn: conn, mux: mux,
		control: make(chan []byte, 4),
		retired: make(chan struct{}),
		done:    make(chan struct{}),
	}
	now := int64(n.now())
	l.heardAt.Store(now)
	l.sentAt.Store(now)
	l.messageAt.Store(now)
	l.announced.Store(int64(minHeartbeatPeriod))
	l.silenceBound.Store(int64(silenceBound(minHeartbeatPeriod)))
	return l
}

// start runs the lanes.
func (l *link) start() {
	for _, ln := range l.lanes {
		ok := l.n.goIfRunning(ln.runRead) && l.n.goIfRunning(ln.runWrite)
		if !ok {
			l.end("stopped", true)
			return
		}
	}
	l.heartbeat(false)
}

// retire stops sending on the link; it still receives for a while.
func (l *link) retire() {
	l.retireOnce.Do(func() {
		l.retiredAt.Store(int64(l.n.now()))
		close(l.retired)
	})
}

// end closes the link once.
func (l *link) end(reason string, clean bool) {
	l.endOnce.Do(func() {
		close(l.done)
		l.n.counters.ended(reason)
		l.n.log.WithField("instance", l.remote.ID).WithField("reason", reason).Debug("Peer session ended")
		l.p.linkEnded(l, clean || l.leaving.Load())
		for _, ln := range l.lanes {
			// A reader of a closing yamux session spins until the session has closed its streams. When many sessions
			// end at once that takes all cores, so readers are sent away first.
			ln.stream.SetReadDeadline(time.Now()) //nolint:errcheck // It never fails.
		}
		l.conn.SetDeadline(time.Now()) //nolint:errcheck // The connection is closed next.
		l.mux.Close()                  //nolint:errcheck // Nothing is left to do about a connection that fails to close.
	})
}

// heard notes that a frame arrived.
func (l *link) heard() {
	l.heardAt.Store(int64(l.n.now()))
	l.askedAt.Store(0)
	l.probedAt.Store(0)
}

// receive handles one frame; false ends the link.
func (l *link) receive(f *wigeonwire.Frame, size int) bool {
	l.heard()
	switch b := f.Body.(type) {
	case *wigeonwire.Frame_Heartbeat:
		l.n.counters.received[kindControl].add(size)
		l.receiveHeartbeat(b.Heartbeat)
		return true
	case *wigeonwire.Frame_Goodbye:
		l.n.counters.received[kindControl].add(size)
		l.end("goodbye", l.askedAt.Load() == 0)
		return false
	}
	m, err := wigeonwire.MessageOf(f)
	if err != nil {
		l.n.log.WithError(err).WithField("instance", l.remote.ID).Warn("Peer sent a malformed frame")
		l.end("malformed", false)
		return false
	}
	l.messageAt.Store(int64(l.n.now()))
	l.n.counters.received[kindOf(m)].add(size)
	l.n.deliver(l.remote, m)
	return true
}
