package wigeonbroker

import (
	"time"

	"wigeonshift"
)

// receive handles a message of an owner, or of an instance that knows of one.
func (b *Broker) receive(from wigeonshift.Instance, m wigeonshift.PeerMessage) {
	switch m := m.(type) {
	case wigeonshift.PermitReply:
		b.mu.Lock()
		defer b.mu.Unlock()
		b.replied(from, m)
	case wigeonshift.NotOwner:
		b.mu.Lock()
		defer b.mu.Unlock()
		b.redirected(from, m)
	case wigeonshift.OwnerNotice:
		b.mu.Lock()
		defer b.mu.Unlock()
		b.noticed(from, m)
	}
}

// replied handles an answer on one request.
func (b *Broker) replied(from wigeonshift.Instance, m wigeonshift.PermitReply) {
	st := b.shards[m.Shard]
	if st == nil {
		b.giveBack(from, m)
		return
	}
	if m.Epoch < st.epoch {
		b.scope.Counter("brokerStaleEpoch").Inc(1)
		b.giveBack(from, m)
		return
	}
	b.adopt(st, from, m.Epoch)
	s := st.sessions[m.Request]
	if s == nil {
		b.giveBack(from, m)
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

// giveBack returns a grant that nobody will spend.
func (b *Broker) giveBack(from wigeonshift.Instance, m wigeonshift.PermitReply) {
	if m.Answer.Grant == nil {
		return
	}
	b.scope.Counter("brokerGrantsReturned").Inc(1)
	if err := b.network.Send(b.ctx, from, wigeonshift.PermitCancel{Shard: m.Shard, Request: m.Request}); err != nil {
		b.scope.Counter("brokerSendsFailed").Inc(1)
	}
}

// redirected follows the word of an instance that does not own a shard.
func (b *Broker) redirected(from wigeonshift.Instance, m wigeonshift.NotOwner) {
	st := b.shards[m.Shard]
	if st == nil {
		return
	}
	if st.confirmed {
		if st.owner.ID != from.ID {
			return
		}
		st.confirmed, st.owner, st.searches = false, wigeonshift.Instance{}, 0
		st.searchAt = time.Now().Add(jittered(checkPeriod))
	}
	if m.Owner.ID == "" || m.Owner.ID == from.ID || st.failed(m.Owner.ID) {
		return
	}
	st.owner = m.Owner
	if st.redirects < maxRedirects {
		st.redirects++
		b.retried("redirect")
		b.search(st)
	}
}

// noticed hears of a shard's owner.
func (b *Broker) noticed(from wigeonshift.Instance, m wigeonshift.OwnerNotice) {
	st := b.shards[m.Shard]
	if st == nil || m.Release || m.Epoch < st.epoch {
		return
	}
	if from.ID == m.Owner.ID || m.Epoch > st.epoch {
		b.adopt(st, m.Owner, m.Epoch)
	}
}

// ownerLost looks again for the owners that were reached over a session that is gone. The first one asked is the
// same instance, over a fresh session.
func (b *Broker) ownerLost(i wigeonshift.Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ctx == nil || b.ctx.Err() != nil {
		return
	}
	for _, st := range b.shards {
		switch {
		case st.confirmed && st.owner.ID == i.ID:
			b.forget(st)
			if st.busy() {
				b.retried("ownerLost")
				st.owner = i
				b.search(st)
			}
		case st.owner.ID == i.ID:
			st.owner = wigeonshift.Instance{}
		}
	}
}
