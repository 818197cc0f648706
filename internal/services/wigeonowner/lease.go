package wigeonowner

import (
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonlease"
	"wigeonshift/internal/services/wigeonscheduler"
)

// leaseChanged passes a notice of the keeper to the loop.
func (s *shard) leaseChanged(n wigeonlease.Event) {
	select {
	case s.notices <- n:
	case <-s.ctx.Done():
	}
}

// leaseNoticed follows a change of the lease.
func (s *shard) leaseNoticed(n wigeonlease.Event) {
	switch n.Kind {
	case wigeonlease.Acquired:
		s.acquired(n.Epoch)
	case wigeonlease.Expired:
		s.apply(wigeonscheduler.LeaseLapsed{})
	case wigeonlease.Lost:
		s.abdicate(n.Holder, n.Epoch)
	}
}

// acquired starts to serve the shard, or goes on with fenced orders.
func (s *shard) acquired(epoch uint64) {
	if s.m.isDraining() && !s.isOwner() {
		s.decline()
		return
	}
	s.mu.Lock()
	fresh := s.state == nil || s.epoch != epoch
	predecessor := s.predecessor
	s.predecessor = wigeonshift.Instance{}
	now := time.Now()
	c := s.configuration
	if fresh {
		s.state = &wigeonscheduler.State{Shard: wigeonscheduler.NewShard(s.id, s.m.policy...)}
		s.epoch, s.handingOver, s.wakeAt = epoch, 0, time.Time{}
		s.entries = map[string]wigeonshift.Instance{}
		s.waiting = map[wigeonshift.RequestID]string{}
		s.rebuildUntil = now.Add(s.rebuildTime(epoch, predecessor))
	}
	until := s.rebuildUntil
	s.mu.Unlock()
	s.apply(wigeonscheduler.LeaseAcquired{Epoch: epoch, RebuildUntil: until})
	if !fresh {
		return
	}
	if c != nil {
		s.apply(configurationEvent(s.id, c))
	}
	s.startTask(quarantineLoad{s})
	s.pollers.start(s)
	s.announce(predecessor)
}

// decline releases a lease that was handed to this instance while it drains. The next candidate takes it.
func (s *shard) decline() {
	s.m.counters.add("ownerHandOversDeclined", "", 1)
	if _, err := s.keeper.Transfer(s.ctx, wigeonshift.Instance{}); err != nil {
		s.m.log.WithError(err).WithField("shard", s.id).Warn("Lease can't be released")
	}
}

// rebuildTime returns the bound on waiting for entries' reports.
func (s *shard) rebuildTime(epoch uint64, predecessor wigeonshift.Instance) time.Duration {
	switch {
	case epoch == 1:
		return 0
	case predecessor.ID != "":
		return handOverRebuildTime
	default:
		return s.m.rebuildTime
	}
}

// announce tells the former owner, those who looked for one and, in small fleets, every instance that this one
// serves the shard.
func (s *shard) announce(predecessor wigeonshift.Instance) {
	notice := s.notice()
	if predecessor.ID != "" {
		s.m.send(predecessor, notice)
	}
	audience := s.m.members.Live()
	if sought := s.takeSeekers(); len(audience) > announceLimit {
		audience = sought
	}
	for _, i := range audience {
		if i.ID != predecessor.ID {
			s.m.send(i, notice)
		}
	}
}

// abdicate stops serving the shard and redirects everyone who waits to the new owner.
func (s *shard) abdicate(owner wigeonshift.Instance, epoch uint64) {
	s.mu.Lock()
	if s.state == nil {
		s.mu.Unlock()
		return
	}
	entries, waiting := s.entries, s.waiting
	s.state, s.entries, s.waiting = nil, nil, nil
	s.wakeAt, s.handingOver = time.Time{}, 0
	s.mu.Unlock()
	s.pollers.stop()
	if owner.ID != "" {
		for _, id := range sortedKeys(entries) {
			s.m.send(entries[id], wigeonshift.OwnerNotice{Shard: s.id, Epoch: epoch, Owner: owner})
		}
	}
	for _, r := range sortedKeys(waiting) {
		s.m.send(entries[waiting[r]], wigeonshift.NotOwner{Shard: s.id, Request: r, Owner: owner})
	}
}

// ownerNoticed hears that another instance serves the shard.
func (s *shard) ownerNoticed(from wigeonshift.Instance, n wigeonshift.OwnerNotice) {
	s.mu.Lock()
	awaited := s.handingOver != 0 && n.Epoch >= s.handingOver
	s.mu.Unlock()
	if awaited {
		select {
		case s.successor <- n:
		default:
		}
	}
	if awaited {
		return
	}
	if from.ID == n.Owner.ID && s.keeper.Supersede(n.Owner, n.Epoch) {
		s.abdicate(n.Owner, n.Epoch)
	}
}

// succeed takes the shard over from a holder that has written this instance's name into the lease.
func (s *shard) succeed(from wigeonshift.Instance) {
	s.mu.Lock()
	s.predecessor = from
	s.mu.Unlock()
	s.keeper.Wake()
}
