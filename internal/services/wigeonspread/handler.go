package wigeonspread

import (
	"errors"
	"time"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonconfig"
)

// handleEvent processes one event. It must only be called from run.
func (s *Spread) handleEvent(e event) {
	now := time.Now()
	switch m := e.message.(type) {
	case wigeonshift.ConfigurationPush:
		s.handlePush(e.from, m, now)
	case wigeonshift.ConfigurationSnapshot:
		s.handleSnapshot(e.from, m, now)
	case wigeonshift.ConfigurationAsk:
		s.recordPeerVersion(e.from, m.Have, now)
		s.replyToAsk(e.from, m.Have)
	case wigeonshift.ConfigurationHave:
		s.handleHave(e.from, m, now)
	default:
		s.handlePlatformEvent(e, now)
	}
}

// handlePlatformEvent applies a configuration or changes that this instance read from or wrote to the platform.
func (s *Spread) handlePlatformEvent(e event, now time.Time) {
	if e.configuration != nil {
		s.activate(e.configuration, e.changes, true, now)
		return
	}
	if err := s.applyChanges(e.changes, e.fromPlatform, now); err != nil {
		s.log.WithError(err).Warn("failed to apply configuration changes from platform")
	}
}

// handlePush applies pushed changes and acknowledges them. If earlier changes are missing, it asks the sender for them.
func (s *Spread) handlePush(from wigeonshift.Instance, m wigeonshift.ConfigurationPush, now time.Time) {
	if len(m.Changes) == 0 {
		return
	}
	newest := m.Changes[len(m.Changes)-1].Version
	err := s.applyChanges(m.Changes, false, now)
	s.recordPeerVersion(from, newest, now)
	switch {
	case errors.Is(err, wigeonconfig.ErrVersionGap):
		s.enqueueMessage(from, wigeonshift.ConfigurationAsk{Have: s.active.version()})
	case err != nil:
		s.scope.Counter("configurationChangeRejected").Inc(1)
		s.log.WithError(err).WithField("instance", from.ID).Error("failed to apply configuration changes pushed by peer")
	default:
		s.enqueueMessage(from, wigeonshift.ConfigurationHave{Version: s.active.version()})
	}
}

// handleSnapshot activates a peer's snapshot if it is newer, and acknowledges it.
func (s *Spread) handleSnapshot(from wigeonshift.Instance, m wigeonshift.ConfigurationSnapshot, now time.Time) {
	if m.Version > s.active.version() {
		c, err := wigeonconfig.Decode(m.Document)
		if err != nil || c.Version != m.Version {
			s.scope.Counter("configurationChangeRejected").Inc(1)
			s.log.WithError(err).WithField("instance", from.ID).Error("invalid configuration snapshot from peer")
			return
		}
		s.activate(c, nil, false, now)
	}
	s.recordPeerVersion(from, m.Version, now)
	s.enqueueMessage(from, wigeonshift.ConfigurationHave{Version: s.active.version()})
}

// handleHave records the version that a peer reports. It asks a newer peer for its changes, and sends the remaining
// changes to one that is catching up.
func (s *Spread) handleHave(from wigeonshift.Instance, m wigeonshift.ConfigurationHave, now time.Time) {
	previous := s.recordPeerVersion(from, m.Version, now)
	version := s.active.version()
	switch {
	case m.Version > version:
		s.enqueueMessage(from, wigeonshift.ConfigurationAsk{Have: version})
	case m.Version < version && m.Version > previous:
		// The instance has applied some of the changes, so send the rest. One that made no progress gets them with the
		// next repeated push.
		s.sendChangesAfter(from, m.Version)
	}
}

// replyToAsk sends an instance the changes that it misses, or confirms that its version is the newest known. If the
// instance is ahead, it asks for that instance's changes.
func (s *Spread) replyToAsk(to wigeonshift.Instance, have uint64) {
	version := s.active.version()
	switch {
	case have < version:
		s.sendChangesOrSnapshot(to, have)
	case have > version:
		s.enqueueMessage(to, wigeonshift.ConfigurationAsk{Have: version})
	default:
		s.enqueueMessage(to, wigeonshift.ConfigurationHave{Version: version})
	}
}

// recordPeerVersion records the version that a peer reported, and returns the one that it reported before. A version
// that is not newer than the active one counts as a confirmation.
func (s *Spread) recordPeerVersion(from wigeonshift.Instance, version uint64, now time.Time) (previous uint64) {
	own := s.active.version()
	previous = s.peerVersions.record(from.ID, version, own, now)
	if p := s.pendingPushes[from.ID]; p != nil && version >= p.version {
		delete(s.pendingPushes, from.ID)
	}
	if s.queriedPeerID == from.ID {
		s.queriedPeerID = ""
		s.nextQueryAt = now.Add(jitter(s.settings.ParentQueryPeriod))
	}
	if s.Current() != nil && version <= own {
		requiredPeers := min(s.settings.StartupPeers, len(s.tree.Load().peers))
		s.confirmation.confirmByPeer(from.ID, now, requiredPeers, s.settings.StartupTimeout)
	}
	return previous
}

// applyChanges applies changes to the active configuration and activates the result.
func (s *Spread) applyChanges(changes []wigeonshift.Change, fromPlatform bool, now time.Time) error {
	base := s.active.get()
	if base == nil {
		base = &wigeonshift.Configuration{}
	}
	next, err := wigeonconfig.ApplyChanges(base, changes)
	if err != nil {
		return err
	}
	if next != base {
		s.activate(next, changes, fromPlatform, now)
	}
	return nil
}

// activate makes a configuration the active one if it is newer, and forwards it to peers.
func (s *Spread) activate(c *wigeonshift.Configuration, changes []wigeonshift.Change, fromPlatform bool, now time.Time) {
	previous := s.active.version()
	if !s.active.set(c) {
		return
	}
	for _, ch := range changes {
		if ch.Version > previous {
			s.recentChanges.add(ch)
		}
	}
	if len(changes) == 0 {
		s.recentChanges = changeLog{}
	}
	s.repository.CacheIfNewer(c)
	s.peerVersions.markLagging(c.Version, now)
	s.scope.Gauge("configurationVersion").Update(float64(c.Version))
	s.log.WithFields(map[string]any{"version": c.Version, "before": previous}).Info("configuration activated")
	s.forward(fromPlatform, now)
}
