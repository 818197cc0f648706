package wigeonspread

import (
	"context"
	"slices"
	"time"

	"wigeonshift"
)

// Limits of a survey.
const (
	maxSurveyedInstances = 64
	surveyCheckPeriod    = 20 * time.Millisecond
)

// QueryVersions asks live instances for their versions: at most 64, and those first whose last report is oldest. It
// returns the known versions of all live instances once all those asked have replied or the context has ended.
func (s *Spread) QueryVersions(ctx context.Context) []wigeonshift.InstanceVersion {
	since := time.Now()
	queried := s.peerVersions.leastRecentlyReported(s.members.Live(), maxSurveyedInstances)
	for _, i := range queried {
		s.enqueueMessage(i, wigeonshift.ConfigurationAsk{Have: s.active.version()})
	}
	t := time.NewTicker(surveyCheckPeriod)
	defer t.Stop()
	for !s.peerVersions.allReportedSince(queried, since) {
		select {
		case <-ctx.Done():
			return s.Versions()
		case <-t.C:
		}
	}
	return s.Versions()
}

// leastRecentlyReported returns up to count live instances, except this one, whose last reports are oldest.
func (t *peerVersionTable) leastRecentlyReported(live []wigeonshift.Instance, count int) []wigeonshift.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	var others []wigeonshift.Instance
	for _, i := range live {
		if i.ID != t.self.ID {
			others = append(others, i)
		}
	}
	slices.SortStableFunc(others, func(x, y wigeonshift.Instance) int {
		return t.lastReportedAt(x.ID).Compare(t.lastReportedAt(y.ID))
	})
	return others[:min(count, len(others))]
}

// allReportedSince reports whether all instances have reported their versions since the given time.
func (t *peerVersionTable) allReportedSince(instances []wigeonshift.Instance, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range instances {
		if t.lastReportedAt(i.ID).Before(since) {
			return false
		}
	}
	return true
}

// lastReportedAt returns when an instance last reported its version; the zero time means never. The caller holds the
// lock.
func (t *peerVersionTable) lastReportedAt(id string) time.Time {
	if v := t.byInstanceID[id]; v != nil {
		return v.reportedAt
	}
	return time.Time{}
}
