package wigeonsession

import (
	"sync"
	"sync/atomic"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonwire"

	"github.com/hashicorp/yamux"
	"github.com/sirupsen/logrus"
)

// goodbyeFrame announces the end of a session.
var goodbyeFrame = mustEncode(&wigeonwire.Frame{Body: &wigeonwire.Frame_Goodbye{Goodbye: &wigeonwire.Goodbye{}}})

// link is one connection to a peer. Times are those of Network.now, in nanoseconds.
type link struct {
	network *Network
	peer    *peer
	conn    *coalescingConn
	mux     *yamux.Session
	lanes   [laneCount]*lane
	remote  wigeonshift.Instance
	// outbound is set if this instance dialled.
	outbound bool
	// dialNumber is the sequence number of the dial at the instance that dialled.
	dialNumber uint64
	// controlFrames queues heartbeats for the writer of the main lane.
	controlFrames chan []byte

	lastReceivedAt atomic.Int64
	lastSentAt     atomic.Int64
	lastMessageAt  atomic.Int64
	// awaitingReplySince is the time of the first message sent since lastReceivedAt that expects a reply; 0 for none.
	awaitingReplySince atomic.Int64
	// probeSentAt is the time of the unanswered probe; 0 for none.
	probeSentAt atomic.Int64
	// announcedPeriod is the heartbeat period that this side has announced to the peer.
	announcedPeriod atomic.Int64
	// peerMinPeriod is the shortest heartbeat period that the peer's bandwidth budget allows.
	peerMinPeriod atomic.Int64
	// silenceTimeout is the time without a frame from the peer after which the link is closed.
	silenceTimeout atomic.Int64
	retiredAt      atomic.Int64
	// goodbyeStarted is set before a goodbye is written; however the link ends afterwards, the end counts as clean.
	goodbyeStarted atomic.Bool
	// leavingReported is set once the subscribers know that the peer is leaving.
	leavingReported atomic.Bool

	retired    chan struct{}
	retireOnce sync.Once
	done       chan struct{}
	endOnce    sync.Once
}

func newLink(n *Network, p *peer, conn *coalescingConn, mux *yamux.Session) *link {
	l := &link{
		network: n, peer: p, conn: conn, mux: mux,
		controlFrames: make(chan []byte, 4),
		retired:       make(chan struct{}),
		done:          make(chan struct{}),
	}
	now := int64(n.now())
	l.lastReceivedAt.Store(now)
	l.lastSentAt.Store(now)
	l.lastMessageAt.Store(now)
	l.announcedPeriod.Store(int64(minHeartbeatPeriod))
	l.silenceTimeout.Store(int64(silenceTimeout(minHeartbeatPeriod)))
	return l
}

// start runs the readers and writers of all lanes and queues the first heartbeat.
func (l *link) start() {
	l.stopReadersOnClose()
	l.network.log.WithFields(logrus.Fields{"instance": l.remote.ID, "outbound": l.outbound}).Info("peer session opened")
	for _, ln := range l.lanes {
		ok := l.network.goIfRunning(ln.runRead) && l.network.goIfRunning(ln.runWrite)
		if !ok {
			l.end("stopped", true)
			return
		}
	}
	l.queueHeartbeat(false)
}

// retire stops sending on a link that was replaced; it still receives for retiredLinkLifetime.
func (l *link) retire() {
	l.retireOnce.Do(func() {
		l.retiredAt.Store(int64(l.network.now()))
		close(l.retired)
	})
}

// end closes the link; later calls have no effect. Unless clean, the peer is reported as lost if this was its sending link.
func (l *link) end(reason string, clean bool) {
	l.endOnce.Do(func() {
		close(l.done)
		l.network.counters.countSessionEnd(reason)
		silence := l.network.now() - time.Duration(l.lastReceivedAt.Load())
		l.network.log.WithFields(logrus.Fields{
			"instance": l.remote.ID, "reason": reason, "outbound": l.outbound, "silentMs": silence.Milliseconds(),
		}).Info("peer session ended")
		l.peer.handleLinkEnd(l, clean || l.goodbyeStarted.Load())
		l.stopReaders()
		l.conn.SetDeadline(time.Now()) //nolint:errcheck // The connection is closed next.
		l.mux.Close()                  //nolint:errcheck // The link ends even if closing fails.
	})
}

// stopReaders ends the reads of all lanes. Readers of a closing yamux session spin until it has closed its streams, which
// takes all cores when many sessions end at once, or the only one.
func (l *link) stopReaders() {
	for _, ln := range l.lanes {
		ln.stream.SetReadDeadline(time.Now()) //nolint:errcheck // It always returns nil.
	}
}

// stopReadersOnClose makes yamux end the reads when it ends the session by itself, such as after a reset.
func (l *link) stopReadersOnClose() {
	stopReaders := l.stopReaders
	l.conn.beforeClose.Store(&stopReaders)
}

// recordReceive marks the peer as alive: any frame resets the silence timeout and counts as the awaited reply.
func (l *link) recordReceive() {
	l.lastReceivedAt.Store(int64(l.network.now()))
	l.awaitingReplySince.Store(0)
	l.probeSentAt.Store(0)
}

// receive handles one frame. It returns false if the link has ended.
func (l *link) receive(f *wigeonwire.Frame, size int) bool {
	l.recordReceive()
	switch b := f.Body.(type) {
	case *wigeonwire.Frame_Heartbeat:
		l.network.counters.received[kindControl].add(size)
		l.handleHeartbeat(b.Heartbeat)
		return true
	case *wigeonwire.Frame_Goodbye:
		l.network.counters.received[kindControl].add(size)
		l.end("goodbye", l.awaitingReplySince.Load() == 0)
		return false
	}
	m, err := wigeonwire.MessageOf(f)
	if err != nil {
		l.network.log.WithError(err).WithField("instance", l.remote.ID).Warn("Peer sent a malformed frame")
		l.end("malformed", false)
		return false
	}
	l.lastMessageAt.Store(int64(l.network.now()))
	l.network.counters.received[kindOf(m)].add(size)
	l.network.deliver(l.remote, m)
	return true
}
