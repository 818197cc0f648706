package wigeonscheduler

import (
	"math"

	"wigeonshift"
)

// Steps and bounds for adjusting an endpoint's capacity.
const (
	capacityIncrement = 0.5
	capacityDecrement = 0.5
	minCapacity       = 2
	// Above maxTargetPaceFactor times TokenPaceTarget and maxBestPaceFactor times the endpoint's bestSecondsPerToken,
	// the capacity shrinks. Prefills that run between tokens also slow streams down, whatever the number of streams, so
	// both factors are far above normal variation.
	maxTargetPaceFactor = 5.0
	maxBestPaceFactor   = 4.0
	// batchLimitIncrement raises a learned batch limit for each load report without waiting requests.
	batchLimitIncrement = 0.1
	// minWaitingReports is the number of consecutive load reports with waiting requests that sets the batch limit.
	minWaitingReports = 3
)

// growCapacity raises the capacity of an endpoint that is at its limit and still answers in time.
func (s *Shard) growCapacity(e *endpoint) {
	if e.spec.MaxConcurrent > 0 {
		return
	}
	limit := float64(s.settings.MaxCapacity)
	if e.batchLimit > 0 {
		limit = math.Min(limit, e.batchLimit)
	}
	e.capacity = math.Min(limit, e.capacity+capacityIncrement)
	s.unblockLanes()
}

// reduceCapacityIfSlow lowers the capacity of an endpoint whose streams are slow.
func (s *Shard) reduceCapacityIfSlow(e *endpoint, pace float64) {
	if e.spec.MaxConcurrent > 0 {
		return
	}
	bound := math.Max(maxTargetPaceFactor*s.settings.TokenPaceTarget.Seconds(), maxBestPaceFactor*e.speed.bestSecondsPerToken)
	if pace > bound {
		e.capacity = math.Max(minCapacity, e.capacity-capacityDecrement)
	}
}

// handleLoadReported applies an engine's load report. The owner keeps its own count of attempts in flight because the
// report lags, and uses the report's counts only to learn how many streams the engine runs at once.
func (s *Shard) handleLoadReported(b LoadReported) {
	e := s.endpoints[b.Endpoint]
	if e == nil {
		return
	}
	r := b.Report
	s.updateIncarnation(e, r)
	if e.draining != r.Draining {
		e.draining = r.Draining
		s.unblockLanes()
	}
	if len(r.Models) > 0 {
		s.updateModels(e, r.Models)
	}
	if r.CacheCapacity > 0 {
		e.cache.maxBlocks = min(maxCacheBlocks, max(1, r.CacheCapacity/wigeonshift.PrefixBlockTokens))
	}
	e.learnBatchLimit(r)
}

// learnBatchLimit learns the number of streams an engine runs at once. A single report with waiting requests is not
// enough because they may have just arrived; minWaitingReports in a row set the limit.
func (e *endpoint) learnBatchLimit(r wigeonshift.LoadReport) {
	if r.Waiting == 0 || r.Running == 0 {
		e.waitingReports, e.maxRunningWhileWaiting = 0, 0
		if e.batchLimit > 0 {
			e.batchLimit += batchLimitIncrement
		}
		return
	}
	e.waitingReports++
	e.maxRunningWhileWaiting = max(e.maxRunningWhileWaiting, r.Running)
	if e.waitingReports >= minWaitingReports {
		e.batchLimit = float64(e.maxRunningWhileWaiting)
		e.capacity = math.Max(1, math.Min(e.capacity, e.batchLimit))
	}
}

// handleCacheReported corrects the predicted prefix cache of an endpoint.
func (s *Shard) handleCacheReported(b CacheReported) {
	if e := s.endpoints[b.Endpoint]; e != nil {
		e.cache.applyEvents(b.Batch, s.now)
	}
}
