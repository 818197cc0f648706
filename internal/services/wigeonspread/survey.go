package wigeonspread

import (
	"context"
	"slices"
	"time"

	"wigeonshift"
)

// Bounds of a survey.
const (
	maxSurveyed  = 64
	surveyPeriod = 20 * time.Millisecond
)

// Survey asks live instances for their versions, those heard of longest ago first and at most 64 of them, and returns
// what is known when all have answered or the context has ended.
func (s *Spread) Survey(ctx context.Context) []wigeonshift.InstanceVersion {
	since := time.Now()
	asked := s.versions.stalest(s.members.Live(), maxSurveyed)
	for _, i := range asked {
		s.send(i, wigeonshift.ConfigurationAsk{Have: s.force.version()})
	}
	t := time.NewTicker(surveyPeriod)
	defer t.Stop()
	for !s.versions.heardSince(asked, since) {
		select {
		case <-ctx.Done():
			return s.Versions()
		case <-t.C:
		}
	}
	return s.Versions()
}

// stalest returns the instances heard of longest ago, without this one.
func (b *versionBook) stalest(live []wigeonshift.Instance, count int) []wigeonshift.Instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	var others []wigeonshift.Instance
	for _, i := range live {
		if i.ID != b.self.ID {
			others = append(others, i)
		}
	}
	slices.SortStableFunc(others, func(x, y wigeonshift.Instance) int {
		return b.heardAt(x.ID).Compare(b.heardAt(y.ID))
	})
	return others[:min(count, len(others))]
}

// heardSince reports whether all instances told their version after a time.
func (b *versionBook) heardSince(instances []wigeonshift.Instance, since time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, i := range instances {
		if b.heardAt(i.ID).Before(since) {
			return false
		}
	}
	return true
}

// heardAt returns when an instance last told its version; the zero time means never. The lock is held.
func (b *versionBook) heardAt(id string) time.Time {
	if k := b.known[id]; k != nil {
		return k.heardAt
	}
	return time.Time{}
}
