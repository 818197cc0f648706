package wigeonspread

import (
	"errors"
	"time"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonconfig"
)

// handle applies one event. It runs in run only.
func (s *Spread) handle(e event) {
	now := time.Now()
	switch m := e.message.(type) {
	case wigeonshift.ConfigurationPush:
		s.handlePush(e.from, m, now)
	case wigeonshift.ConfigurationSnapshot:
		s.handleSnapshot(e.from, m, now)
	case wigeonshift.ConfigurationAsk:
		s.heardFrom(e.from, m.Have, now)
		s.answer(e.from, m.Have)
	case wigeonshift.ConfigurationHave:
		s.handleHave(e.from, m, now)
	default:
		s.handleOwn(e, now)
	}
}

// handleOwn takes what this instance learned from the platform.
func (s *Spread) handleOwn(e event, now time.Time) {
	if e.loaded != nil {
		s.install(e.loaded, e.changes, true, now)
		return
	}
	if err := s.apply(e.changes, e.origin, now); err != nil {
		s.log.WithError(err).Warn("configuration change not applied")
	}
}

func (s *Spread) handlePush(from wigeonshift.Instance, m wigeonshift.ConfigurationPush, now time.Time) {
	if len(m.Changes) == 0 {
		return
	}
	newest := m.Changes[len(m.Changes)-1].Version
	err := s.apply(m.Changes, false, now)
	s.heardFrom(from, newest, now)
	switch {
	case errors.Is(err, wigeonconfig.ErrGap):
		s.send(from, wigeonshift.ConfigurationAsk{Have: s.force.version()})
	case err != nil:
		s.scope.Counter("configurationChangeRejected").Inc(1)
		s.log.WithError(err).WithField("instance", from.ID).Error("pushed change can't be applied")
	default:
		s.send(from, wigeonshift.ConfigurationHave{Version: s.force.version()})
	}
}

func (s *Spread) handleSnapshot(from wigeonshift.Instance, m wigeonshift.ConfigurationSnapshot, now time.Time) {
	if m.Version > s.force.version() {
		c, err := wigeonconfig.Decode(m.Document)
		if err != nil || c.Version != m.Version {
			s.scope.Counter("configurationChangeRejected").Inc(1)
			s.log.WithError(err).WithField("instance", from.ID).Error("snapshot can't be read")
			return
		}
		s.install(c, nil, false, now)
	}
	s.heardFrom(from, m.Version, now)
	s.send(from, wigeonshift.ConfigurationHave{Version: s.force.version()})
}

func (s *Spread) handleHave(from wigeonshift.Instance, m wigeonshift.ConfigurationHave, now time.Time) {
	before := s.heardFrom(from, m.Version, now)
	version := s.force.version()
	switch {
	case m.Version > version:
		s.send(from, wigeonshift.ConfigurationAsk{Have: version})
	case m.Version < version && m.Version > before:
		// The instance caught up in part. One that stays where it was waits for the next repeat.
		s.sendNewer(from, m.Version)
	}
}

// answer tells an asking instance what it misses, or that it misses nothing.
func (s *Spread) answer(to wigeonshift.Instance, have uint64) {
	version := s.force.version()
	switch {
	case have < version:
		s.sendMissing(to, have)
	case have > version:
		s.send(to, wigeonshift.ConfigurationAsk{Have: version})
	default:
		s.send(to, wigeonshift.ConfigurationHave{Version: version})
	}
}

// heardFrom notes the version of a peer, and a confirmation if the peer knows nothing newer.
func (s *Spread) heardFrom(from wigeonshift.Instance, version uint64, now time.Time) (before uint64) {
	own := s.force.version()
	before = s.versions.tell(from.ID, version, own, now)
	if d := s.pending[from.ID]; d != nil && version >= d.version {
		delete(s.pending, from.ID)
	}
	if s.asked == from.ID {
		s.asked = ""
		s.askAt = now.Add(jitter(s.settings.AskPeriod))
	}
	if s.Current() != nil && version <= own {
		needed := min(s.settings.StartPeers, len(s.tree.Load().others))
		s.confirm.heardPeer(from.ID, now, needed, s.settings.StartWait)
	}
	return before
}

// apply brings changes into force that follow the version in force.
func (s *Spread) apply(changes []wigeonshift.Change, origin bool, now time.Time) error {
	base := s.force.get()
	if base == nil {
		base = &wigeonshift.Configuration{}
	}
	next, err := wigeonconfig.ApplyChanges(base, changes)
	if err != nil {
		return err
	}
	if next != base {
		s.install(next, changes, origin, now)
	}
	return nil
}

// install brings a configuration into force and passes it on.
func (s *Spread) install(c *wigeonshift.Configuration, changes []wigeonshift.Change, origin bool, now time.Time) {
	before := s.force.version()
	if !s.force.set(c) {
		return
	}
	for _, ch := range changes {
		if ch.Version > before {
			s.recent.add(ch)
		}
	}
	if len(changes) == 0 {
		s.recent = changeLog{}
	}
	s.repository.Observe(c)
	s.versions.advance(c.Version, now)
	s.scope.Gauge("configurationVersion").Update(float64(c.Version))
	s.log.WithFields(map[string]any{"version": c.Version, "before": before}).Info("configuration in force")
	s.forward(origin, now)
}
