package wigeonspread

import (
	"context"
	"time"

	"wigeonshift"
)

// Limits of polling.
const (
	pollTimeout = 40 * time.Second
	// confirmationPollDelay is the delay between fetching a version and the poll that confirms it.
	confirmationPollDelay = 50 * time.Millisecond
	// maxVersionGap is the largest number of missing versions that are fetched as changes. If more are missing, the
	// configuration is loaded from a snapshot instead.
	maxVersionGap = 300
)

// poller polls the platform for newer versions: at startup, periodically, and when confirmations from peers stop.
type poller struct {
	spread *Spread
	// platformConfirmed is set once the platform has confirmed the active version.
	platformConfirmed bool
}

// run polls and writes due snapshots until the context ends.
func (p *poller) run(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	polledAt := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-p.spread.snapshotCandidates:
			p.writeSnapshotIfDue(ctx, c)
		case <-t.C:
			fetched := false
			if !p.platformConfirmed || time.Since(polledAt) >= p.pollPeriod() {
				fetched = p.poll(ctx)
				polledAt = time.Now()
			}
			if fetched {
				p.platformConfirmed = false
				t.Reset(confirmationPollDelay)
				continue
			}
			t.Reset(jitter(p.spread.settings.PollPeriod))
		}
	}
}

// pollPeriod returns the current poll period of this instance. 0 means a poll at each tick of the timer, which has the
// period PollPeriod.
func (p *poller) pollPeriod() time.Duration {
	s := p.spread
	_, confirmedAt := s.confirmation.state()
	switch {
	case s.tree.Load().isPoller:
		return 0
	case time.Since(confirmedAt) > s.settings.ConfirmationTimeout/2:
		return s.settings.PollPeriod
	default:
		return s.settings.FallbackPollPeriod
	}
}

// poll reads the head row and fetches the version it names if that is newer. It reports whether it fetched anything. The
// active version is confirmed only by a later poll that finds nothing newer.
func (p *poller) poll(ctx context.Context) (fetched bool) {
	s := p.spread
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	h, err := s.repository.Head(ctx)
	if err != nil {
		s.scope.Counter("configurationPollFailed").Inc(1)
		return false
	}
	have := s.active.version()
	switch {
	case h.Version < have:
		s.log.WithFields(map[string]any{"head": h.Version, "version": have}).Error("platform's configuration head is older than the active version")
		return false
	case h.Version == have && s.Current() != nil:
		p.platformConfirmed = true
		s.confirmation.confirmByPlatform(time.Now())
		return false
	}
	if err := p.fetch(ctx, have, h.Version); err != nil {
		s.log.WithError(err).Warn("failed to fetch configuration from platform")
		return false
	}
	return true
}

// fetch reads the versions after have up to head and queues them for run.
func (p *poller) fetch(ctx context.Context, have, head uint64) error {
	s := p.spread
	if have == 0 || head-have > maxVersionGap {
		c, err := s.repository.LoadVersion(ctx, head)
		if err == nil {
			s.enqueueEvent(event{configuration: c, fromPlatform: true})
		}
		return err
	}
	for have < head {
		changes, err := s.repository.Changes(ctx, have, maxPushChanges)
		if err != nil || len(changes) == 0 {
			return err
		}
		s.enqueueEvent(event{changes: changes, fromPlatform: true})
		have = changes[len(changes)-1].Version
	}
	return nil
}

// writeSnapshotIfDue stores a snapshot of the configuration on the platform if one is due for its version.
func (p *poller) writeSnapshotIfDue(ctx context.Context, c *wigeonshift.Configuration) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if err := p.spread.repository.SnapshotIfDue(ctx, c); err != nil {
		p.spread.log.WithError(err).WithField("version", c.Version).Warn("failed to store configuration snapshot on platform")
	}
}
