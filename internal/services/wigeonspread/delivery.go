package wigeonspread

import (
	"context"
	"math/rand/v2"
	"time"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonconfig"
)

// outgoingMessage is a message in the send queue.
type outgoingMessage struct {
	to      wigeonshift.Instance
	message wigeonshift.PeerMessage
}

// pendingPush is a push that has not been acknowledged yet.
type pendingPush struct {
	to       wigeonshift.Instance
	version  uint64
	attempts int
	retryAt  time.Time
}

// runSender sends queued messages. Several senders run in parallel so that an unreachable peer doesn't delay messages to
// others.
func (s *Spread) runSender(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-s.outgoing:
			s.transmit(ctx, o)
		}
	}
}

// transmit sends one queued message and counts a failure.
func (s *Spread) transmit(ctx context.Context, o outgoingMessage) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := s.network.Send(ctx, o.to, o.message); err != nil {
		s.scope.Counter("configurationSendFailed").Inc(1)
		s.log.WithError(err).WithField("instance", o.to.ID).Debug("failed to send configuration message to peer")
	}
}

// enqueueMessage adds a message to the send queue. If the queue is full, the message is dropped; repeated pushes and
// the fallback polls compensate for it.
func (s *Spread) enqueueMessage(to wigeonshift.Instance, m wigeonshift.PeerMessage) {
	select {
	case s.outgoing <- outgoingMessage{to: to, message: m}:
	default:
		s.scope.Counter("configurationOutboxFull").Inc(1)
	}
}

// push sends an instance the changes up to the active version, unless it has reported that version already.
func (s *Spread) push(to wigeonshift.Instance, now time.Time) {
	version := s.active.version()
	if to.ID == s.network.Self().ID || s.peerVersions.version(to.ID) >= version {
		return
	}
	if p := s.pendingPushes[to.ID]; p != nil && p.version == version {
		return
	}
	s.pendingPushes[to.ID] = &pendingPush{to: to, version: version, attempts: 1, retryAt: now.Add(s.settings.AckTimeout)}
	s.sendChangesAfter(to, s.peerVersions.version(to.ID))
}

// sendChangesAfter sends an instance the changes after its version. If the version is unknown (0), it sends only the
// newest change; an instance that misses earlier ones asks for them.
func (s *Spread) sendChangesAfter(to wigeonshift.Instance, have uint64) {
	if have == 0 {
		have = s.active.version() - 1
	}
	if changes, ok := s.recentChanges.changesAfter(have); ok {
		s.enqueueMessage(to, wigeonshift.ConfigurationPush{Changes: changes})
		return
	}
	s.enqueueMessage(to, wigeonshift.ConfigurationHave{Version: s.active.version()})
}

// sendChangesOrSnapshot sends an instance that asked for updates the changes after its version, or a snapshot if the log
// no longer has them.
func (s *Spread) sendChangesOrSnapshot(to wigeonshift.Instance, have uint64) {
	if changes, ok := s.recentChanges.changesAfter(have); ok && have > 0 {
		s.enqueueMessage(to, wigeonshift.ConfigurationPush{Changes: changes})
		return
	}
	c := s.active.get()
	if s.snapshot.Version != c.Version {
		document, err := wigeonconfig.Encode(c)
		if err != nil {
			s.log.WithError(err).Error("failed to encode configuration snapshot for peer")
			return
		}
		s.snapshot = wigeonshift.ConfigurationSnapshot{Version: c.Version, Document: document}
	}
	s.scope.Counter("configurationSnapshotsSent").Inc(1)
	s.enqueueMessage(to, s.snapshot)
}

// forward pushes the active version to this instance's children in the tree. An instance that got the version from the
// platform also pushes it to the roots of all regions.
func (s *Spread) forward(fromPlatform bool, now time.Time) {
	t := s.tree.Load()
	if fromPlatform {
		for _, r := range t.regionRoots() {
			s.push(r, now)
		}
	}
	for _, c := range t.children(s.network.Self()) {
		s.push(c, now)
	}
}

// onTick repeats unacknowledged pushes and asks for newer changes when the next query is due.
func (s *Spread) onTick(now time.Time) {
	s.repeatPushes(now)
	if !now.Before(s.nextQueryAt) {
		s.queryPeers(now)
	}
	confirmed := 0.0
	if s.Confirmed() {
		confirmed = 1
	}
	s.scope.Gauge("configurationConfirmed").Update(confirmed)
}

// repeatPushes repeats the pushes that were not acknowledged within AckTimeout, and adopts the children of instances that
// don't answer.
func (s *Spread) repeatPushes(now time.Time) {
	for id, p := range s.pendingPushes {
		if now.Before(p.retryAt) {
			continue
		}
		if p.attempts == s.settings.AdoptionAttempts {
			s.adoptChildren(p.to, now)
		}
		if p.attempts >= s.settings.MaxPushAttempts {
			delete(s.pendingPushes, id)
			continue
		}
		p.attempts++
		p.retryAt = now.Add(s.settings.AckTimeout)
		s.scope.Counter("configurationPushRepeated").Inc(1)
		s.sendChangesAfter(p.to, s.peerVersions.version(id))
	}
}

// adoptChildren pushes the active version to the children of an instance that doesn't acknowledge it.
func (s *Spread) adoptChildren(parent wigeonshift.Instance, now time.Time) {
	s.scope.Counter("configurationPushAdopted").Inc(1)
	for _, c := range s.tree.Load().children(parent) {
		s.push(c, now)
	}
}

// queryPeers asks the parent for newer changes. It asks random peers instead during the startup phase, and if the last
// query was not answered.
func (s *Spread) queryPeers(now time.Time) {
	t := s.tree.Load()
	ask := wigeonshift.ConfigurationAsk{Have: s.active.version()}
	peers := t.peers
	if initialVersionConfirmed, _ := s.confirmation.state(); !initialVersionConfirmed {
		s.nextQueryAt = now.Add(jitter(s.settings.StartupTimeout / 2))
		for _, n := range rand.Perm(len(peers))[:min(s.settings.StartupPeers, len(peers))] {
			s.enqueueMessage(peers[n], ask)
		}
		return
	}
	// An unanswered query is repeated at another peer after AckTimeout. A reply moves nextQueryAt to the next period.
	s.nextQueryAt = now.Add(s.settings.AckTimeout)
	to, ok := t.parent()
	if s.queriedPeerID != "" && len(peers) > 0 {
		to, ok = peers[rand.N(len(peers))], true
	}
	s.queriedPeerID = ""
	if !ok {
		s.nextQueryAt = now.Add(jitter(s.settings.ParentQueryPeriod))
		return
	}
	s.queriedPeerID = to.ID
	s.enqueueMessage(to, ask)
}
