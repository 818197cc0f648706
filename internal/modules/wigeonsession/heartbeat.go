package wigeonsession

import (
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonwire"
)

// Heartbeats have a fixed bandwidth budget per node that doesn't grow with the number of peers: a fifth (1,200 B/s) of the
// 6 KB/s for control traffic. A heartbeat takes at most 150 bytes on the wire, including the IP, TCP, TLS and yamux headers and
// its acknowledgement. With one heartbeat in each direction per period, a peer costs 300 bytes per period, so the
// period must be at least peers * 300 / 1,200 s = peers * 250 ms: 2 s with 8 peers, 15 s with 60, 375 s with 1,500.
// Each side announces the shortest period that its own budget allows and both use the longer one, so that 1,500 entries
// don't exceed the budget of the owner they are connected to.
//
// A long period doesn't delay the detection of a dead connection in use: if a message that expects a reply gets none
// within probeDelay, the peer is probed, and the connection is closed if the probe is not answered within probeTimeout.
const (
	minHeartbeatPeriod     = time.Second
	heartbeatPeriodPerPeer = 250 * time.Millisecond
	// A link is closed after this many heartbeat periods and the margin without a frame from the peer.
	silenceTimeoutPeriods = 3
	silenceTimeoutMargin  = time.Second
	probeDelay            = time.Second
	probeTimeout          = time.Second
	// retiredLinkLifetime is how long a replaced link still receives.
	retiredLinkLifetime = 5 * time.Second
	unusedPeerLifetime  = time.Hour
	peerCleanupPeriod   = time.Minute
	monitorPeriod       = 250 * time.Millisecond
	maxHeartbeatPeriod  = 24 * time.Hour
)

// heartbeatPeriod returns the shortest heartbeat period that stays within the budget for a number of peers.
func heartbeatPeriod(peers int) time.Duration {
	return max(minHeartbeatPeriod, time.Duration(peers)*heartbeatPeriodPerPeer)
}

// silenceTimeout returns the time without a frame after which the link to a peer with a heartbeat period is closed.
func silenceTimeout(period time.Duration) time.Duration {
	return silenceTimeoutPeriods*period + silenceTimeoutMargin
}

// runMonitor periodically checks all links and removes unused peers until the network stops.
func (n *Network) runMonitor() {
	ticker := time.NewTicker(monitorPeriod)
	defer ticker.Stop()
	cleanup := time.NewTicker(peerCleanupPeriod)
	defer cleanup.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
			n.checkLinks()
		case <-cleanup.C:
			n.removeUnusedPeers()
		}
	}
}

// checkLinks checks the liveness of every link and updates the gauge of open sessions.
func (n *Network) checkLinks() {
	now := n.now()
	links := n.links.all()
	expected := n.expected.Load()
	for _, l := range links {
		l.checkLiveness(now)
		if expected != nil && expected.peers[l.remote.ID] {
			l.peer.checkSilence(l, now, expected.maxSilence)
		}
	}
	n.counters.sessions.Update(float64(len(links)))
}

func (n *Network) removeUnusedPeers() {
	n.mu.Lock()
	peers := n.peerList()
	n.mu.Unlock()
	for _, p := range peers {
		n.removeIfUnused(p, n.now())
	}
}

// removeIfUnused removes the state of a peer without links that has not been used for unusedPeerLifetime. It only tries
// the peer's lock: senders take the network's lock while they hold the peer's, so waiting here could deadlock, and a
// locked peer is in use.
func (n *Network) removeIfUnused(p *peer, now time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !p.mu.TryLock() {
		return
	}
	defer p.mu.Unlock()
	if len(p.links) == 0 && !p.dialing && now-p.lastUsedAt > unusedPeerLifetime {
		delete(n.peers, p.instance.ID)
	}
}

// checkLiveness sends a heartbeat or probe when one is due and closes the link when it is silent, idle or retired.
func (l *link) checkLiveness(now time.Duration) {
	since := func(at int64) time.Duration { return now - time.Duration(at) }
	lastReceivedAt, probeSentAt := l.lastReceivedAt.Load(), l.probeSentAt.Load()
	retiredAt := l.retiredAt.Load()
	switch {
	case retiredAt != 0 && since(retiredAt) >= retiredLinkLifetime:
		l.end("retired", true)
	case probeSentAt != 0 && since(probeSentAt) >= probeTimeout, since(lastReceivedAt) >= time.Duration(l.silenceTimeout.Load()):
		l.end("silent", false)
	case retiredAt != 0:
	case since(l.lastMessageAt.Load()) >= l.network.idleTimeout:
		l.closeIdle()
	case probeSentAt == 0 && l.awaitingReplySince.Load() != 0 && since(l.awaitingReplySince.Load()) >= probeDelay:
		l.probeSentAt.Store(max(int64(now), 1))
		l.queueHeartbeat(true)
	case since(l.lastSentAt.Load()) >= time.Duration(l.announcedPeriod.Load()):
		l.queueHeartbeat(false)
	}
}

// queueHeartbeat queues a heartbeat, or drops it if the control queue is full. With echo the peer answers at once.
func (l *link) queueHeartbeat(echo bool) {
	minPeriod := heartbeatPeriod(len(l.network.links.all()))
	period := max(minPeriod, time.Duration(l.peerMinPeriod.Load()))
	frame := mustEncode(&wigeonwire.Frame{Body: &wigeonwire.Frame_Heartbeat{Heartbeat: &wigeonwire.Heartbeat{
		PeriodMs: uint32(period.Milliseconds()), BudgetMs: uint32(minPeriod.Milliseconds()), Echo: echo,
		Leaving: l.network.leaving.Load(),
	}}})
	select {
	case l.controlFrames <- frame:
		l.announcedPeriod.Store(int64(period))
	default:
	}
}

// handleHeartbeat applies the peer's heartbeat period and reports a peer that is leaving.
func (l *link) handleHeartbeat(h *wigeonwire.Heartbeat) {
	period := time.Duration(h.GetPeriodMs()) * time.Millisecond
	period = min(max(period, minHeartbeatPeriod), maxHeartbeatPeriod)
	l.silenceTimeout.Store(int64(silenceTimeout(period)))
	minPeriod := time.Duration(h.GetBudgetMs()) * time.Millisecond
	l.peerMinPeriod.Store(int64(min(minPeriod, maxHeartbeatPeriod)))
	if h.GetLeaving() && !l.leavingReported.Swap(true) {
		i := l.remote
		i.State = wigeonshift.InstanceLeaving
		notify(l.network.leavingHandlers, i)
	}
	if h.GetEcho() {
		l.queueHeartbeat(false)
	}
}

// closeIdle queues a goodbye on a link without messages. It resets the idle time, so that the next check doesn't queue
// another.
func (l *link) closeIdle() {
	l.lastMessageAt.Store(int64(l.network.now()))
	l.peer.queueGoodbye()
}

// mustEncode encodes a frame that is known to be valid.
func mustEncode(f *wigeonwire.Frame) []byte {
	b, err := wigeonwire.EncodeFrame(f)
	if err != nil {
		panic(err)
	}
	return b
}
