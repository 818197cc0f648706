package wigeonspread

import (
	"context"
	"math/rand/v2"
	"time"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonconfig"
)

// outgoing is one message on its way out.
type outgoing struct {
	to      wigeonshift.Instance
	message wigeonshift.PeerMessage
}

// delivery is a push that was not acknowledged yet.
type delivery struct {
	to      wigeonshift.Instance
	version uint64
	tries   int
	again   time.Time
}

// runSender sends messages. Several senders keep one dead peer from holding up the others.
func (s *Spread) runSender(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-s.outbox:
			s.transmit(ctx, o)
		}
	}
}

func (s *Spread) transmit(ctx context.Context, o outgoing) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := s.network.Send(ctx, o.to, o.message); err != nil {
		s.scope.Counter("configurationSendFailed").Inc(1)
		s.log.WithError(err).WithField("instance", o.to.ID).Debug("configuration message not sent")
	}
}

// send queues a message. A full queue loses it; repeats and backstops make up for that.
func (s *Spread) send(to wigeonshift.Instance, m wigeonshift.PeerMessage) {
	select {
	case s.outbox <- outgoing{to: to, message: m}:
	default:
		s.scope.Counter("configurationOutboxFull").Inc(1)
	}
}

// push brings an instance up to the version in force, unless it has told that it is.
func (s *Spread) push(to wigeonshift.Instance, now time.Time) {
	version := s.force.version()
	if to.ID == s.network.Self().ID || s.versions.version(to.ID) >= version {
		return
	}
	if d := s.pending[to.ID]; d != nil && d.version == version {
		return
	}
	s.pending[to.ID] = &delivery{to: to, version: version, tries: 1, again: now.Add(s.settings.AckTimeout)}
	s.sendNewer(to, s.versions.version(to.ID))
}

// sendNewer sends what follows the version an instance has. For one that told none it sends the newest change: if
// the instance misses more, it asks.
func (s *Spread) sendNewer(to wigeonshift.Instance, have uint64) {
	if have == 0 {
		have = s.force.version() - 1
	}
	if changes, ok := s.recent.after(have); ok {
		s.send(to, wigeonshift.ConfigurationPush{Changes: changes})
		return
	}
	s.send(to, wigeonshift.ConfigurationHave{Version: s.force.version()})
}

// sendMissing answers an instance that asked, with a snapshot when the changes don't reach back.
func (s *Spread) sendMissing(to wigeonshift.Instance, have uint64) {
	if changes, ok := s.recent.after(have); ok && have > 0 {
		s.send(to, wigeonshift.ConfigurationPush{Changes: changes})
		return
	}
	c := s.force.get()
	if s.snapshot.Version != c.Version {
		document, err := wigeonconfig.Encode(c)
		if err != nil {
			s.log.WithError(err).Error("no snapshot for a peer")
			return
		}
		s.snapshot = wigeonshift.ConfigurationSnapshot{Version: c.Version, Document: document}
	}
	s.scope.Counter("configurationSnapshotsSent").Inc(1)
	s.send(to, s.snapshot)
}

// forward pushes the version in force down the tree; its origin also pushes to the heads of all regions.
func (s *Spread) forward(origin bool, now time.Time) {
	t := s.tree.Load()
	if origin {
		for _, h := range t.heads() {
			s.push(h, now)
		}
	}
	for _, c := range t.children(s.network.Self()) {
		s.push(c, now)
	}
}

// tick repeats pushes that were not acknowledged, and asks for what is newer.
func (s *Spread) tick(now time.Time) {
	for id, d := range s.pending {
		if now.Before(d.again) {
			continue
		}
		if d.tries < s.settings.PushTries {
			d.tries++
			d.again = now.Add(s.settings.AckTimeout)
			s.scope.Counter("configurationPushRepeated").Inc(1)
			s.sendNewer(d.to, s.versions.version(id))
			continue
		}
		delete(s.pending, id)
		s.scope.Counter("configurationPushAdopted").Inc(1)
		for _, c := range s.tree.Load().children(d.to) {
			s.push(c, now)
		}
	}
	if !now.Before(s.askAt) {
		s.ask(now)
	}
	confirmed := 0.0
	if s.Confirmed() {
		confirmed = 1
	}
	s.scope.Gauge("configurationConfirmed").Update(confirmed)
}

// ask asks for what is newer: the parent, or others while the start is not settled or the last one asked was silent.
func (s *Spread) ask(now time.Time) {
	t := s.tree.Load()
	have := wigeonshift.ConfigurationAsk{Have: s.force.version()}
	others := t.others
	if settled, _ := s.confirm.state(); !settled {
		s.askAt = now.Add(jitter(s.settings.StartWait / 2))
		for _, n := range rand.Perm(len(others))[:min(s.settings.StartPeers, len(others))] {
			s.send(others[n], have)
		}
		return
	}
	// Silence is repeated to another instance soon; an answer moves askAt to the next period.
	s.askAt = now.Add(s.settings.AckTimeout)
	to, ok := t.parent()
	if s.asked != "" && len(others) > 0 {
		to, ok = others[rand.N(len(others))], true
	}
	s.asked = ""
	if !ok {
		s.askAt = now.Add(jitter(s.settings.AskPeriod))
		return
	}
	s.asked = to.ID
	s.send(to, have)
}
