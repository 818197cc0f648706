package wigeonowner

import (
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonlease"
	"wigeonshift/internal/services/wigeonscheduler"
)

// sendLeaseEvent passes an event of the elector to the shard's loop.
func (s *shard) sendLeaseEvent(e wigeonlease.Event) {
	select {
	case s.leaseEvents <- e:
	case <-s.ctx.Done():
	}
}

// handleLeaseEvent starts, limits or stops the work on the shard according to a change of its lease.
func (s *shard) handleLeaseEvent(e wigeonlease.Event) {
	switch e.Kind {
	case wigeonlease.Acquired:
		s.handleLeaseAcquired(e.Epoch)
	case wigeonlease.Expired:
		s.apply(wigeonscheduler.LeaseExpired{})
	case wigeonlease.Lost:
		s.stopServing(e.Holder, e.Epoch)
	}
}

// handleLeaseAcquired starts to serve the shard with a new state. If the lease was acquired again under the same epoch,
// it keeps the state and allows fenced orders again. While the manager drains, it declines shards that it doesn't
// already own.
func (s *shard) handleLeaseAcquired(epoch uint64) {
	if s.manager.isDraining() && !s.isOwner() {
		s.declineHandover()
		return
	}
	s.mu.Lock()
	newOwnership := s.state == nil || s.epoch != epoch
	predecessor := s.predecessor
	s.predecessor = wigeonshift.Instance{}
	now := time.Now()
	c := s.configuration
	if newOwnership {
		s.state = &wigeonscheduler.State{Shard: wigeonscheduler.NewShard(s.id, s.manager.reducerOptions...)}
		s.epoch, s.handoverEpoch, s.wakeAt = epoch, 0, time.Time{}
		s.entries = map[string]wigeonshift.Instance{}
		s.pendingRequests = map[wigeonshift.RequestID]string{}
		s.rebuildUntil = now.Add(s.rebuildTimeout(epoch, predecessor))
	}
	until := s.rebuildUntil
	s.mu.Unlock()
	s.apply(wigeonscheduler.LeaseAcquired{Epoch: epoch, RebuildUntil: until})
	if !newOwnership {
		return
	}
	if c != nil {
		s.apply(configurationEvent(s.id, c))
	}
	s.startTask(quarantineLoadTask{s})
	s.polling.start(s)
	s.announceOwnership(predecessor)
}

// declineHandover releases a lease that was handed over to this instance while it drains, so that the next candidate
// can acquire it.
func (s *shard) declineHandover() {
	s.manager.counters.add("ownerHandOversDeclined", "", 1)
	if _, err := s.elector.Transfer(s.ctx, wigeonshift.Instance{}); err != nil {
		s.manager.log.WithError(err).WithField("shard", s.id).Warn("Failed to release lease")
	}
}

// rebuildTimeout returns how long a new owner waits for the entries to report their running attempts. The first owner
// of a shard doesn't wait.
func (s *shard) rebuildTimeout(epoch uint64, predecessor wigeonshift.Instance) time.Duration {
	switch {
	case epoch == 1:
		return 0
	case predecessor.ID != "":
		return handoverRebuildTimeout
	default:
		return s.manager.rebuildTimeout
	}
}

// announceOwnership tells other instances that this one serves the shard: the previous owner and, in small fleets,
// every live instance. In larger fleets it tells only the instances that were recently redirected.
func (s *shard) announceOwnership(predecessor wigeonshift.Instance) {
	notice := s.ownerNotice()
	if predecessor.ID != "" {
		s.manager.send(predecessor, notice)
	}
	recipients := s.manager.members.Live()
	if redirected := s.takeRedirected(); len(recipients) > maxAnnounceInstances {
		recipients = redirected
	}
	for _, i := range recipients {
		if i.ID != predecessor.ID {
			s.manager.send(i, notice)
		}
	}
}

// stopServing drops the shard's state and redirects its entries and pending requests to the new owner. The owner is the
// zero instance if it is unknown.
func (s *shard) stopServing(owner wigeonshift.Instance, epoch uint64) {
	s.mu.Lock()
	if s.state == nil {
		s.mu.Unlock()
		return
	}
	entries, pending := s.entries, s.pendingRequests
	s.state, s.entries, s.pendingRequests = nil, nil, nil
	s.wakeAt, s.handoverEpoch = time.Time{}, 0
	s.mu.Unlock()
	s.polling.stop()
	if owner.ID != "" {
		for _, id := range sortedKeys(entries) {
			s.manager.send(entries[id], wigeonshift.OwnerNotice{Shard: s.id, Epoch: epoch, Owner: owner})
		}
	}
	for _, r := range sortedKeys(pending) {
		s.manager.send(entries[pending[r]], wigeonshift.NotOwner{Shard: s.id, Request: r, Owner: owner})
	}
}

// handleOwnerNotice handles the announcement that another instance serves the shard. It completes a pending handover,
// or ends this instance's ownership if the new owner itself announced a later epoch.
func (s *shard) handleOwnerNotice(from wigeonshift.Instance, n wigeonshift.OwnerNotice) {
	s.mu.Lock()
	awaited := s.handoverEpoch != 0 && n.Epoch >= s.handoverEpoch
	s.mu.Unlock()
	if awaited {
		select {
		case s.successorNotices <- n:
		default:
		}
	}
	if awaited {
		return
	}
	if from.ID == n.Owner.ID && s.elector.Supersede(n.Owner, n.Epoch) {
		s.stopServing(n.Owner, n.Epoch)
	}
}

// acceptHandover takes over a shard whose previous owner has already written this instance into the lease row.
func (s *shard) acceptHandover(from wigeonshift.Instance) {
	s.mu.Lock()
	s.predecessor = from
	s.mu.Unlock()
	s.elector.Wake()
}
