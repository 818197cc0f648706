package wigeonowner

import (
	"wigeonshift"
	"wigeonshift/internal/services/wigeonlease"
	"wigeonshift/internal/services/wigeonscheduler"
)

// handleMessage handles a message from another instance or from an entry of this instance.
func (m *Manager) handleMessage(from wigeonshift.Instance, msg wigeonshift.PeerMessage) {
	switch msg := msg.(type) {
	case wigeonshift.PermitAsk:
		m.markEntryConnected(from.ID)
		if s := m.ownedShardOrRedirect(from, msg.Request.Shard, msg.Request.ID); s != nil {
			s.handlePermitRequest(from, msg.Request)
		}
	case wigeonshift.PermitCancel:
		if s := m.shard(msg.Shard); s != nil && s.isOwner() {
			s.post(wigeonscheduler.PermitCancelled{Entry: from.ID, Request: msg.Request})
		}
	case wigeonshift.AttemptNotice:
		m.markEntryConnected(from.ID)
		if s := m.shard(msg.Report.Shard); s != nil && s.isOwner() {
			s.post(wigeonscheduler.AttemptReported{Entry: from.ID, Report: msg.Report})
		}
	case wigeonshift.RunningNotice:
		m.markEntryConnected(from.ID)
		if s := m.ownedShardOrRedirect(from, msg.Shard, ""); s != nil {
			s.handleRunningNotice(from, msg)
		}
	case wigeonshift.OwnerAsk:
		m.markEntryConnected(from.ID)
		if s := m.ownedShardOrRedirect(from, msg.Shard, ""); s != nil {
			m.send(from, s.ownerNotice())
		}
	case wigeonshift.NotOwner:
		if s := m.shard(msg.Shard); s != nil && msg.Owner.ID == m.network.Self().ID {
			s.handleOwnerConfirmation(from.ID)
		}
	case wigeonshift.OwnerNotice:
		m.handleOwnerNotice(from, msg)
	case wigeonshift.ShardSummary:
		m.handleSummary(from, msg)
	}
}

// ownedShardOrRedirect returns the shard if this instance owns it. Otherwise it redirects the sender to the known owner
// and returns nil. For a watched shard it also remembers the sender, so that announceOwnership can notify it later.
func (m *Manager) ownedShardOrRedirect(from wigeonshift.Instance, id wigeonshift.ShardID, r wigeonshift.RequestID) *shard {
	s := m.shard(id)
	if s != nil && s.isOwner() {
		return s
	}
	m.counters.add("ownerRedirects", "", 1)
	if s != nil {
		s.recordRedirect(from)
	}
	m.send(from, wigeonshift.NotOwner{Shard: id, Request: r, Owner: m.knownOwner(id)})
	return nil
}

// knownOwner returns the last known other owner of a shard, or the zero instance. The lease row takes precedence over
// the reports of other instances.
func (m *Manager) knownOwner(id wigeonshift.ShardID) wigeonshift.Instance {
	self := m.network.Self().ID
	if s := m.shard(id); s != nil {
		if holder, _, ok := s.elector.Holder(); ok && holder.ID != self {
			return holder
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.knownOwners[id]
}

// handleOwnerNotice handles the announcement of a shard's owner. An announcement that names this instance is either a
// handover to it (Release is set) or ignored.
func (m *Manager) handleOwnerNotice(from wigeonshift.Instance, n wigeonshift.OwnerNotice) {
	self := m.network.Self().ID
	if n.Release && n.Owner.ID == self {
		m.handleHandover(from, n)
		return
	}
	if n.Owner.ID == self {
		return
	}
	m.mu.Lock()
	m.knownOwners[n.Shard] = n.Owner
	m.mu.Unlock()
	if s := m.shard(n.Shard); s != nil {
		s.handleOwnerNotice(from, n)
	}
}

// handleHandover takes over a shard that its owner has handed to this instance. It starts the shard if this instance
// doesn't watch it yet.
func (m *Manager) handleHandover(from wigeonshift.Instance, n wigeonshift.OwnerNotice) {
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
	s.acceptHandover(from)
}

// handleSummary passes a summary on to the owned shards of the same pool.
func (m *Manager) handleSummary(from wigeonshift.Instance, sum wigeonshift.ShardSummary) {
	pool, _, ok := sum.Shard.Pool()
	if !ok {
		return
	}
	m.mu.Lock()
	m.knownOwners[sum.Shard] = from
	m.mu.Unlock()
	for _, s := range m.ownedShards() {
		if p, _, _ := s.id.Pool(); p == pool && s.id != sum.Shard {
			s.post(wigeonscheduler.SummaryReceived{Summary: sum})
		}
	}
}

// publishSummary sends a shard's summary to the owners of the pool's other shards, once to each owner.
func (m *Manager) publishSummary(sum wigeonshift.ShardSummary) {
	c := m.configuration.Current()
	pool, _, ok := sum.Shard.Pool()
	if c == nil || !ok {
		return
	}
	sentTo := map[string]bool{}
	for _, id := range c.PoolShards(pool) {
		owner := m.presumedOwner(id)
		if id == sum.Shard || owner.ID == "" || sentTo[owner.ID] {
			continue
		}
		sentTo[owner.ID] = true
		m.send(owner, sum)
	}
}

// presumedOwner returns the most likely owner of a shard: this instance, the known owner or else the first candidate.
func (m *Manager) presumedOwner(id wigeonshift.ShardID) wigeonshift.Instance {
	if s := m.shard(id); s != nil && s.isOwner() {
		return m.network.Self()
	}
	if owner := m.knownOwner(id); owner.ID != "" {
		return owner
	}
	if first := wigeonlease.Candidates(id, m.members.Live(), 1); len(first) > 0 {
		return first[0]
	}
	return wigeonshift.Instance{}
}

// send sends a message to an instance. Failures are only counted because any message can be lost with its session.
func (m *Manager) send(to wigeonshift.Instance, msg wigeonshift.PeerMessage) {
	if err := m.network.Send(m.ctx, to, msg); err != nil {
		m.counters.add("ownerSendsFailed", "", 1)
	}
}
