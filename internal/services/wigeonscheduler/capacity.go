package wigeonscheduler

import (
	"math"

	"wigeonshift"
)

// Steps of the learned capacity.
const (
	capacityGrowth = 0.5
	capacityShrink = 0.5
	minCapacity    = 2
	// slowTokens is the time between tokens, in targets, and paceSpread the pace against the endpoint's best one from
	// which fewer streams are taken. Prefills between the tokens slow streams down without any fault of their number,
	// so both are far from the ordinary.
	slowTokens = 5.0
	paceSpread = 4.0
	// batchForget lets a capacity that an engine's report bounded grow again, for each report without waiting.
	batchForget = 0.1
	// minWaitingReports is the number of load reports in a row with requests waiting that bounds the capacity.
	minWaitingReports = 3
)

// growCapacity lets an endpoint that answers in time at its limit take more.
func (s *Shard) growCapacity(e *endpoint) {
	if e.spec.MaxConcurrent > 0 {
		return
	}
	limit := float64(s.settings.MaxCapacity)
	if e.batchLimit > 0 {
		limit = math.Min(limit, e.batchLimit)
	}
	e.capacity = math.Min(limit, e.capacity+capacityGrowth)
	s.unblock()
}

// adaptCapacity lets an endpoint whose streams are slow take fewer.
func (s *Shard) adaptCapacity(e *endpoint, pace float64) {
	if e.spec.MaxConcurrent > 0 {
		return
	}
	bound := math.Max(slowTokens*s.settings.TokenPaceTarget.Seconds(), paceSpread*e.speed.bestPace)
	if pace > bound {
		e.capacity = math.Max(minCapacity, e.capacity-capacityShrink)
	}
}

// loadReported learns from an engine's lagging report. Own knowledge of what is in flight goes before its counts; only
// requests that waited at the engine tell something new: how many streams it runs at once.
func (s *Shard) loadReported(b LoadReported) {
	e := s.endpoints[b.Endpoint]
	if e == nil {
		return
	}
	r := b.Report
	s.noteIncarnation(e, r)
	if e.draining != r.Draining {
		e.draining = r.Draining
		s.unblock()
	}
	if len(r.Models) > 0 {
		s.noteModels(e, r.Models)
	}
	if r.CacheCapacity > 0 {
		e.cache.limit = min(maxCacheBlocks, max(1, r.CacheCapacity/wigeonshift.PrefixBlockTokens))
	}
	e.noteWaiting(r)
}

// noteWaiting learns the number of streams an engine runs at once. A single report with requests waiting says
// nothing, because they may just have come in; several in a row bound the capacity.
func (e *endpoint) noteWaiting(r wigeonshift.LoadReport) {
	if r.Waiting == 0 || r.Running == 0 {
		e.waitingReports, e.waitingRunning = 0, 0
		if e.batchLimit > 0 {
			e.batchLimit += batchForget
		}
		return
	}
	e.waitingReports++
	e.waitingRunning = max(e.waitingRunning, r.Running)
	if e.waitingReports >= minWaitingReports {
		e.batchLimit = float64(e.waitingRunning)
		e.capacity = math.Max(1, math.Min(e.capacity, e.batchLimit))
	}
}

// cacheReported corrects the predicted cache of an endpoint.
func (s *Shard) cacheReported(b CacheReported) {
	if e := s.endpoints[b.Endpoint]; e != nil {
		e.cache.apply(b.Batch, s.now)
	}
}
