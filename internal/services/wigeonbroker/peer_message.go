package wigeonbroker

import (
	"time"

	"wigeonshift"
)

// handlePeerMessage handles answers and notices of owners, and redirects from other instances.
func (b *Broker) handlePeerMessage(from wigeonshift.Instance, m wigeonshift.PeerMessage) {
	switch m := m.(type) {
	case wigeonshift.PermitReply:
		b.mu.Lock()
		defer b.mu.Unlock()
		b.handlePermitReply(from, m)
	case wigeonshift.NotOwner:
		b.mu.Lock()
		defer b.mu.Unlock()
		b.handleNotOwner(from, m)
	case wigeonshift.OwnerNotice:
		b.mu.Lock()
		defer b.mu.Unlock()
		b.handleOwnerNotice(from, m)
	}
}

// handlePermitReply delivers an owner's answer to its session. Grants without a session and grants of an old epoch are
// returned to the sender. The caller holds the lock.
func (b *Broker) handlePermitReply(from wigeonshift.Instance, m wigeonshift.PermitReply) {
	st := b.shards[m.Shard]
	if st == nil {
		b.returnGrant(from, m)
		return
	}
	if m.Epoch < st.epoch {
		b.scope.Counter("brokerStaleEpoch").Inc(1)
		b.returnGrant(from, m)
		return
	}
	b.setOwner(st, from, m.Epoch)
	s := st.sessions[m.Request]
	if s == nil {
		b.returnGrant(from, m)
		return
	}
	switch a := m.Answer; {
	case a.Revoke != nil:
		if s.permit.Token == a.Revoke.Token {
			s.deliver(a)
		}
	case s.state != stateWaiting:
		b.scope.Counter("brokerRepeatedAnswers").Inc(1)
	case a.Grant != nil:
		s.state, s.permit = stateGranted, *a.Grant
		s.deliver(a)
	default:
		s.state = stateEnded
		s.deliver(a)
	}
}

// returnGrant tells the owner that a granted permit will not be used.
func (b *Broker) returnGrant(from wigeonshift.Instance, m wigeonshift.PermitReply) {
	if m.Answer.Grant == nil {
		return
	}
	b.scope.Counter("brokerGrantsReturned").Inc(1)
	if err := b.network.Send(b.ctx, from, wigeonshift.PermitCancel{Shard: m.Shard, Request: m.Request}); err != nil {
		b.scope.Counter("brokerSendsFailed").Inc(1)
	}
}

// handleNotOwner follows a redirect from an instance that does not own the shard. If the sender was the confirmed
// owner, the search starts again. The caller holds the lock.
func (b *Broker) handleNotOwner(from wigeonshift.Instance, m wigeonshift.NotOwner) {
	st := b.shards[m.Shard]
	if st == nil {
		return
	}
	if st.ownerConfirmed {
		if st.owner.ID != from.ID {
			return
		}
		st.ownerConfirmed, st.owner, st.searchCount = false, wigeonshift.Instance{}, 0
		st.nextSearchAt = time.Now().Add(jitter(checkInterval))
	}
	if m.Owner.ID == "" || m.Owner.ID == from.ID || st.lostRecently(m.Owner.ID) {
		return
	}
	st.owner = m.Owner
	if st.redirectCount < maxRedirects {
		st.redirectCount++
		b.countRetry("redirect")
		b.searchOwner(st)
	}
}

// handleOwnerNotice records the announced owner of a shard. A notice from an instance other than the owner itself counts
// only with a newer epoch. The caller holds the lock.
func (b *Broker) handleOwnerNotice(from wigeonshift.Instance, m wigeonshift.OwnerNotice) {
	st := b.shards[m.Shard]
	if st == nil || m.Release || m.Epoch < st.epoch {
		return
	}
	if from.ID == m.Owner.ID || m.Epoch > st.epoch {
		b.setOwner(st, m.Owner, m.Epoch)
	}
}

// handlePeerLost drops the instance as the owner of its shards after its peer session has ended, and searches for the
// owners again. The search asks the same instance first, over a new session.
func (b *Broker) handlePeerLost(i wigeonshift.Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx == nil || b.ctx.Err() != nil {
		return
	}
	for _, st := range b.shards {
		switch {
		case st.ownerConfirmed && st.owner.ID == i.ID:
			b.dropOwner(st)
			if st.needsOwner() {
				b.countRetry("ownerLost")
				st.owner = i
				b.searchOwner(st)
			}
		case st.owner.ID == i.ID:
			st.owner = wigeonshift.Instance{}
		}
	}
}
