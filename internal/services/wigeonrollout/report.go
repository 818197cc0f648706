package wigeonrollout

import (
	"slices"
	"time"

	"wigeonshift"
)

// peerReport is the latest report of another instance.
type peerReport struct {
	wigeonshift.RolloutReport
	at time.Duration
}

// Report returns what this instance tells the others.
func (r *Rollout) Report(now time.Duration) wigeonshift.RolloutReport {
	report := wigeonshift.RolloutReport{
		Service: r.order.Service, OrderRevision: r.order.Revision, Age: r.Age(now), State: r.state, Condemned: r.condemned,
		Stage: r.stage, OthersRunning: r.capacity.OthersRunning, HasSeenOthers: r.hasSeenOthers,
	}
	if !r.state.Final() {
		report.Counts = r.evidence.counts()
	}
	return report
}

// showsOthers reports whether the sender of a report knows of an endpoint of another version since the order.
func showsOthers(report wigeonshift.RolloutReport) bool {
	isOthers := func(c wigeonshift.RolloutCount) bool { return !c.OnTarget }
	return report.HasSeenOthers || report.OthersRunning > 0 || slices.ContainsFunc(report.Counts, isOthers)
}

// Merge adds the latest report of another instance. It ignores reports on other orders. Reports of instances that have ended
// stay, as their evidence holds.
func (r *Rollout) Merge(peer string, report wigeonshift.RolloutReport, now time.Duration) {
	if report.OrderRevision != r.order.Revision {
		return
	}
	known, exists := r.peers[peer]
	if !exists && len(r.peers) >= maxPeers {
		return
	}
	if len(report.Counts) > wigeonshift.MaxRolloutCounts {
		report.Counts = report.Counts[:wigeonshift.MaxRolloutCounts]
	}
	r.peers[peer] = peerReport{RolloutReport: report, at: now}
	r.evidence.replace(known.Counts, report.Counts)
	r.contactAt = now
	r.hasSeenOthers = r.hasSeenOthers || showsOthers(report)
	if report.Age > 0 && report.Age <= 2*r.order.Duration {
		r.Start(now, report.Age)
	}
	if report.State != "" {
		r.Settle(report.State)
	}
	if r.condemned == "" {
		r.condemned = report.Condemned
	}
}

// forgetOverdue forgets what other instances that have fallen silent said of their running attempts.
func (r *Rollout) forgetOverdue(now time.Duration) {
	for name, p := range r.peers {
		if now-p.at <= maxReportAge || !slices.ContainsFunc(p.Counts, isOverdueCount) {
			continue
		}
		counts := slices.Clone(p.Counts)
		for i := range counts {
			counts[i].Overdue = 0
		}
		r.evidence.replace(p.Counts, counts)
		p.Counts = counts
		r.peers[name] = p
	}
}

func isOverdueCount(c wigeonshift.RolloutCount) bool { return c.Overdue > 0 }

// BadAnswers returns the number of bad answers of the target version that this instance has seen. Each is worth telling all
// instances at once.
func (r *Rollout) BadAnswers() int {
	n := 0
	for _, p := range r.evidence.own {
		n += p.target.failed + p.target.slow
	}
	return n
}

// HasSibling reports whether another instance that precedes this one has reported lately. Then that one reads the store.
func (r *Rollout) HasSibling(now time.Duration, precedes func(peer string) bool) bool {
	for name, p := range r.peers {
		if now-p.at <= time.Duration(contactShare*float64(r.settings.RollbackWithin)) && precedes(name) {
			return true
		}
	}
	return false
}
