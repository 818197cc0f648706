package wigeonsession

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"wigeonshift"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
)

// Limits of the exponential backoff after failed dials. Each backoff gets a random jitter of up to half in both directions.
const (
	minRedialBackoff = 100 * time.Millisecond
	maxRedialBackoff = 2 * time.Second
)

// Limits of the exponential backoff between two dials beside a silent link.
const (
	minReplaceBackoff = time.Second
	maxReplaceBackoff = 8 * time.Second
)

// outgoingFrame is one encoded message in a send queue.
type outgoingFrame struct {
	kind         int
	bytes        []byte
	expectsReply bool
	// goodbye means that the session is closed after this frame.
	goodbye bool
}

// peer is the state of one other instance. Its queues outlive its links.
type peer struct {
	network *Network
	queues  [laneCount]*sendQueue[outgoingFrame]

	mu       sync.Mutex
	instance wigeonshift.Instance
	// current is the link that sends; it is one of links, or nil.
	current *link
	links   map[*link]bool
	dialing bool
	// maxAcceptedDial is the largest number of a dial by the peer that was accepted.
	maxAcceptedDial uint64
	dialFailures    int
	nextDialAt      time.Duration
	lastUsedAt      time.Duration
	// nextReplaceAt is the earliest time of the next dial beside a silent link, replaceBackoff the pause before it.
	nextReplaceAt, replaceBackoff time.Duration
}

func newPeer(n *Network, i wigeonshift.Instance) *peer {
	p := &peer{network: n, instance: i, links: map[*link]bool{}, lastUsedAt: n.now()}
	p.queues[laneMain] = newSendQueue[outgoingFrame](maxMainQueueMessages, maxMainQueueBytes)
	p.queues[laneBulk] = newSendQueue[outgoingFrame](maxBulkQueueMessages, maxBulkQueueBytes)
	return p
}

// enqueue queues a message and dials if there is no link. It fails during the backoff after a failed dial.
func (p *peer) enqueue(o outgoingFrame, lane int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsedAt = p.network.now()
	if p.current == nil && !p.dialing && p.lastUsedAt < p.nextDialAt {
		p.network.counters.countDropped("unreachable")
		return oops.In("session").With("instance", p.instance.ID).Wrap(wigeonshift.ErrPeerUnreachable)
	}
	if !p.queues[lane].push(o, len(o.bytes)) {
		p.network.counters.countDropped("queueFull")
		return oops.In("session").With("instance", p.instance.ID).Wrap(ErrQueueFull)
	}
	p.dialIfNeeded()
	return nil
}

// dialIfNeeded starts a dial if messages are queued and there is no link; the caller holds the lock.
func (p *peer) dialIfNeeded() {
	if p.current != nil || p.dialing || p.queuedMessages() == 0 {
		return
	}
	p.dialing = p.network.goIfRunning(p.runDial)
}

// queuedMessages returns the number of messages in all queues.
func (p *peer) queuedMessages() int {
	total := 0
	for _, q := range p.queues {
		total += q.len()
	}
	return total
}

// runDial opens one link. If it fails, the queued messages are dropped.
func (p *peer) runDial() {
	p.mu.Lock()
	if p.current != nil {
		// The peer has connected in the meantime. Our hello would announce that connection as accepted, so the peer would
		// replace it, while this side might keep it.
		p.dialing = false
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	p.runReplace()
}

// runReplace opens one link, also beside the current one. If it fails, the queued messages are dropped, unless there is a link.
func (p *peer) runReplace() {
	p.mu.Lock()
	instance, acceptedDial := p.instance, p.maxAcceptedDial
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(p.network.ctx, dialTimeout+handshakeTimeout)
	defer cancel()
	l, err := p.network.dialLink(ctx, p, instance, acceptedDial)
	if err != nil {
		p.handleDialFailure(err)
		return
	}
	p.mu.Lock()
	p.dialing = false
	p.adopt(l, acceptedDial)
	p.mu.Unlock()
	l.start()
}

// checkSilence dials beside a link from which nothing has arrived for longer than maxSilence. The link stays until another one
// replaces it or its silence timeout has passed, as the peer may only be slow.
func (p *peer) checkSilence(l *link, now, maxSilence time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	silence := now - time.Duration(l.lastReceivedAt.Load())
	if p.current != l || silence < maxSilence {
		return
	}
	if p.dialing || now < p.nextReplaceAt {
		return
	}
	if now-p.nextReplaceAt > maxReplaceBackoff {
		p.replaceBackoff = 0
	}
	p.replaceBackoff = min(max(2*p.replaceBackoff, minReplaceBackoff), maxReplaceBackoff)
	p.nextReplaceAt = now + p.replaceBackoff
	p.network.log.WithFields(logrus.Fields{"instance": p.instance.ID, "silentMs": silence.Milliseconds()}).
		Info("peer session is silent; opening another one")
	p.dialing = p.network.goIfRunning(p.runReplace)
}

// handleDialFailure drops the queued messages, starts the backoff and notifies the subscribers, unless the peer has
// connected in the meantime.
func (p *peer) handleDialFailure(err error) {
	p.mu.Lock()
	p.dialing = false
	if p.current != nil {
		p.mu.Unlock()
		return
	}
	p.dialFailures++
	p.nextDialAt = p.network.now() + redialBackoff(p.dialFailures)
	dropped := 0
	for _, q := range p.queues {
		dropped += q.discardAll()
	}
	instance := p.instance
	p.mu.Unlock()
	p.network.counters.countDialFailure()
	p.network.counters.countDroppedN("dialFailed", dropped)
	p.network.log.WithError(err).WithField("instance", instance.ID).Debug("Dialling the peer failed")
	if p.network.ctx.Err() == nil {
		notify(p.network.unreachableHandlers, instance)
		notify(p.network.lostHandlers, instance)
	}
}

// probe dials unless there is a link or the backoff after a failed dial has not passed.
func (p *peer) probe() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsedAt = p.network.now()
	if p.current == nil && !p.dialing && p.lastUsedAt >= p.nextDialAt {
		p.dialing = p.network.goIfRunning(p.runDial)
	}
}

// redialBackoff returns the randomised backoff after a number of consecutive failures.
func redialBackoff(failures int) time.Duration {
	backoff := minRedialBackoff << min(failures-1, 5)
	backoff = min(backoff, maxRedialBackoff)
	return backoff/2 + rand.N(backoff)
}

// adopt adds a link and decides which link sends; the caller holds the lock. Both sides make the same choice: a dial by an
// instance that already knew the other link replaces that link, and of two simultaneous dials the one by the instance with
// the smaller ID is kept. knownDial is the largest number of the other side's dials that the side which dialled l had accepted by
// then.
func (p *peer) adopt(l *link, knownDial uint64) {
	p.links[l] = true
	p.network.links.add(l)
	p.dialFailures, p.nextDialAt = 0, 0
	p.lastUsedAt = p.network.now()
	if !l.outbound {
		p.instance = l.remote
		p.maxAcceptedDial = max(p.maxAcceptedDial, l.dialNumber)
	}
	previous := p.current
	if previous != nil && !p.shouldReplace(l, previous, knownDial) {
		l.retire()
		return
	}
	p.current = l
	if previous != nil {
		previous.retire()
	}
	for _, q := range p.queues {
		q.signal()
	}
}

// shouldReplace reports whether a new link replaces the current one as the sender.
func (p *peer) shouldReplace(l, current *link, knownDial uint64) bool {
	switch {
	case l.outbound == current.outbound:
		return true
	case current.dialNumber <= knownDial:
		return true
	case l.outbound:
		return p.network.self.ID < p.instance.ID
	default:
		return p.instance.ID < p.network.self.ID
	}
}

// handleLinkEnd removes a link. If it was the sending link and its end was not clean, the subscribers are notified.
func (p *peer) handleLinkEnd(l *link, clean bool) {
	p.mu.Lock()
	delete(p.links, l)
	p.network.links.remove(l)
	wasCurrent := p.current == l
	if wasCurrent {
		p.current = nil
	}
	p.dialIfNeeded()
	instance := p.instance
	p.mu.Unlock()
	if wasCurrent && !clean && p.network.ctx.Err() == nil {
		notify(p.network.lostHandlers, instance)
	}
}

// queueGoodbye queues a goodbye after the queued messages.
func (p *peer) queueGoodbye() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil {
		p.queues[laneMain].push(outgoingFrame{kind: kindControl, bytes: goodbyeFrame, goodbye: true}, 0)
	}
}

// snapshotLinks returns a copy of the current set of links.
func (p *peer) snapshotLinks() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := make([]*link, 0, len(p.links))
	for l := range p.links {
		links = append(links, l)
	}
	return links
}

// waitForLinkEnd waits until the sending link has ended or the context is done.
func (p *peer) waitForLinkEnd(ctx context.Context) {
	p.mu.Lock()
	l := p.current
	p.mu.Unlock()
	if l == nil {
		return
	}
	select {
	case <-l.done:
	case <-ctx.Done():
	}
}

// endLinks closes all links without a goodbye.
func (p *peer) endLinks() {
	for _, l := range p.snapshotLinks() {
		l.end("stopped", true)
	}
}
