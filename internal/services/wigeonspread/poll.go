package wigeonspread

import (
	"context"
	"time"

	"wigeonshift"
)

// Bounds of polling.
const (
	pollTimeout = 40 * time.Second
	// fetchedPause is the time until the poll that confirms what was just fetched.
	fetchedPause = 50 * time.Millisecond
	// maxPolledChanges is the gap up to which changes are read one by one; a larger one is loaded from a snapshot.
	maxPolledChanges = 300
)

// poller reads the platform: at the start, in its period, and when peers fall silent.
type poller struct {
	spread *Spread
	// loaded is set once the platform has confirmed the version in force.
	loaded bool
}

func (p *poller) run(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	polledAt := time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-p.spread.due:
			p.snapshot(ctx, c)
		case <-t.C:
			fetched := false
			if !p.loaded || time.Since(polledAt) >= p.period() {
				fetched = p.poll(ctx)
				polledAt = time.Now()
			}
			if fetched {
				p.loaded = false
				t.Reset(fetchedPause)
				continue
			}
			t.Reset(jitter(p.spread.settings.PollPeriod))
		}
	}
}

// period returns how often this instance polls now.
func (p *poller) period() time.Duration {
	s := p.spread
	_, heard := s.confirm.state()
	switch {
	case s.tree.Load().polls:
		return 0
	case time.Since(heard) > s.settings.ConfirmBound/2:
		return s.settings.PollPeriod
	default:
		return s.settings.BackstopPeriod
	}
}

// poll reads the head, and what it names if that is newer. It reports whether it fetched something; the version in
// force counts as confirmed only by a later poll that finds nothing newer.
func (p *poller) poll(ctx context.Context) (fetched bool) {
	s := p.spread
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	h, err := s.repository.Head(ctx)
	if err != nil {
		s.scope.Counter("configurationPollFailed").Inc(1)
		return false
	}
	have := s.force.version()
	switch {
	case h.Version < have:
		s.log.WithFields(map[string]any{"head": h.Version, "version": have}).Error("the platform's head is older than the version in force")
		return false
	case h.Version == have && s.Current() != nil:
		p.loaded = true
		s.confirm.settle(time.Now())
		return false
	}
	if err := p.fetch(ctx, have, h.Version); err != nil {
		s.log.WithError(err).Warn("configuration not read")
		return false
	}
	return true
}

// fetch reads what follows a version and hands it to run.
func (p *poller) fetch(ctx context.Context, have, head uint64) error {
	s := p.spread
	if have == 0 || head-have > maxPolledChanges {
		c, err := s.repository.LoadVersion(ctx, head)
		if err == nil {
			s.offer(event{loaded: c, origin: true})
		}
		return err
	}
	for have < head {
		changes, err := s.repository.Changes(ctx, have, maxPushChanges)
		if err != nil || len(changes) == 0 {
			return err
		}
		s.offer(event{changes: changes, origin: true})
		have = changes[len(changes)-1].Version
	}
	return nil
}

func (p *poller) snapshot(ctx context.Context, c *wigeonshift.Configuration) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if err := p.spread.repository.SnapshotIfDue(ctx, c); err != nil {
		p.spread.log.WithError(err).WithField("version", c.Version).Warn("no snapshot of the configuration")
	}
}
