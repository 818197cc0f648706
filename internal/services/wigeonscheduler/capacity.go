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

// growCapacity raises the capacity, the learned concurrency limit, of an endpoint that is at its limit and still
// answers in time. MaxCapacity and batchLimit (the number of streams that the engine was seen to run at once) bound it.
// A configured limit is not changed.
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

// reduceCapacityIfSlow lowers the capacity of an endpoint whose streams are slow, so that fewer share it. The pace must
// be far above both the target and the endpoint's best pace, because prefills between tokens also slow streams down. A
// configured limit stays.
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
// report lags, and uses the report's counts only to learn how many streams the engine runs at once. The report also
// shows a restart, a drain, the loaded models and the cache size.
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

// learnBatchLimit learns the number of streams an engine runs at once: it is the number that run while others wait. A
// single report with waiting requests is not enough because they may have just arrived; minWaitingReports in a row set
// the limit. A report without waiting requests raises it a little.
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
