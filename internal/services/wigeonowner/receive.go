package wigeonowner

import (
	"wigeonshift"
	"wigeonshift/internal/services/wigeonlease"
	"wigeonshift/internal/services/wigeonscheduler"
)

// receive handles a message of another instance or of this one's own entries.
func (m *Manager) receive(from wigeonshift.Instance, msg wigeonshift.PeerMessage) {
	switch msg := msg.(type) {
	case wigeonshift.PermitAsk:
		m.entrySeen(from.ID)
		if s := m.ownedShard(from, msg.Request.Shard, msg.Request.ID); s != nil {
			s.asked(from, msg.Request)
		}
	case wigeonshift.PermitCancel:
		if s := m.shard(msg.Shard); s != nil && s.isOwner() {
			s.post(wigeonscheduler.PermitCancelled{Entry: from.ID, Request: msg.Request})
		}
	case wigeonshift.AttemptNotice:
		m.entrySeen(from.ID)
		if s := m.shard(msg.Report.Shard); s != nil && s.isOwner() {
			s.post(wigeonscheduler.AttemptReported{Entry: from.ID, Report: msg.Report})
		}
	case wigeonshift.RunningNotice:
		m.entrySeen(from.ID)
		if s := m.ownedShard(from, msg.Shard, ""); s != nil {
			s.entryReported(from, msg)
		}
	case wigeonshift.OwnerAsk:
		m.entrySeen(from.ID)
		if s := m.ownedShard(from, msg.Shard, ""); s != nil {
			m.send(from, s.notice())
		}
	case wigeonshift.NotOwner:
		if s := m.shard(msg.Shard); s != nil && msg.Owner.ID == m.network.Self().ID {
			s.witnessed(from.ID)
		}
	case wigeonshift.OwnerNotice:
		m.ownerNoticed(from, msg)
	case wigeonshift.ShardSummary:
		m.summaryReceived(from, msg)
	}
}

// ownedShard returns a shard that is owned here; for others it redirects the sender.
func (m *Manager) ownedShard(from wigeonshift.Instance, id wigeonshift.ShardID, r wigeonshift.RequestID) *shard {
	s := m.shard(id)
	if s != nil && s.isOwner() {
		return s
	}
	m.counters.add("ownerRedirects", "", 1)
	if s != nil {
		s.sought(from)
	}
	m.send(from, wigeonshift.NotOwner{Shard: id, Request: r, Owner: m.locate(id)})
	return nil
}

// locate returns the best known owner of a shard that is not owned here, the zero instance when none is known.
func (m *Manager) locate(id wigeonshift.ShardID) wigeonshift.Instance {
	self := m.network.Self().ID
	if s := m.shard(id); s != nil {
		if holder, _, ok := s.keeper.Holder(); ok && holder.ID != self {
			return holder
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.located[id]
}

// ownerNoticed handles a hand-over to this instance and news about the owners of shards.
func (m *Manager) ownerNoticed(from wigeonshift.Instance, n wigeonshift.OwnerNotice) {
	self := m.network.Self().ID
	if n.Release && n.Owner.ID == self {
		m.successionOffered(from, n)
		return
	}
	if n.Owner.ID == self {
		return
	}
	m.mu.Lock()
	m.located[n.Shard] = n.Owner
	m.mu.Unlock()
	if s := m.shard(n.Shard); s != nil {
		s.ownerNoticed(from, n)
	}
}

// successionOffered takes over a shard that its holder has handed to this instance.
func (m *Manager) successionOffered(from wigeonshift.Instance, n wigeonshift.OwnerNotice) {
	m.mu.Lock()
	s := m.shards[n.Shard]
	if s == nil && !m.stopped {
		s = newShard(m, n.Shard)
		m.shards[n.Shard] = s
		m.wg.Go(s.run)
	}
	m.mu.Unlock()
	if s == nil {
		return
	}
	if c := m.configuration.Current(); c != nil {
		s.configure(c)
	}
	s.succeed(from)
}

// summaryReceived passes a summary on to the shards of the same pool.
func (m *Manager) summaryReceived(from wigeonshift.Instance, sum wigeonshift.ShardSummary) {
	pool, _, ok := sum.Shard.Pool()
	if !ok {
		return
	}
	m.mu.Lock()
	m.located[sum.Shard] = from
	m.mu.Unlock()
	for _, s := range m.owned() {
		if p, _, _ := s.id.Pool(); p == pool && s.id != sum.Shard {
			s.post(wigeonscheduler.SummaryReceived{Summary: sum})
		}
	}
}

// publish sends a summary to the owners of the pool's other shards.
func (m *Manager) publish(sum wigeonshift.ShardSummary) {
	c := m.configuration.Current()
	pool, _, ok := sum.Shard.Pool()
	if c == nil || !ok {
		return
	}
	told := map[string]bool{}
	for _, id := range c.PoolShards(pool) {
		owner := m.siblingOwner(id)
		if id == sum.Shard || owner.ID == "" || told[owner.ID] {
			continue
		}
		told[owner.ID] = true
		m.send(owner, sum)
	}
}

// siblingOwner returns the presumed owner of a shard.
func (m *Manager) siblingOwner(id wigeonshift.ShardID) wigeonshift.Instance {
	if s := m.shard(id); s != nil && s.isOwner() {
		return m.network.Self()
	}
	if owner := m.locate(id); owner.ID != "" {
		return owner
	}
	if first := wigeonlease.Candidates(id, m.members.Live(), 1); len(first) > 0 {
		return first[0]
	}
	return wigeonshift.Instance{}
}

// send sends a message; losses are counted, as any message may be lost with its session.
func (m *Manager) send(to wigeonshift.Instance, msg wigeonshift.PeerMessage) {
	if err := m.network.Send(m.ctx, to, msg); err != nil {
		m.counters.add("ownerSendsFailed", "", 1)
	}
}
