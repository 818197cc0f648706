package wigeondispatch

import (
	"math"
	"slices"
	"time"
)

// Queued requests are ordered by priority level. A higher tier of organisations goes before a lower one. Within a tier,
// requests of routes of the highest rank go before all others, so that none of them is refused while others start. Among these and
// among the others, the level depends on the ratio of a request's value to the endpoint time that it uses, so that an overloaded
// service delivers as much value as possible.
const (
	// priorityLevels is the number of priority levels for which instances report their queued requests.
	priorityLevels = tiers * levelsPerTier
	// tiers is the number of tiers that are distinguished; all lower ones share the last. levelsPerTier is the number of
	// levels within a tier.
	tiers         = 4
	levelsPerTier = 24
	// lastTopLevel is the last level in a tier for routes of the highest rank. The first one is for requests that failed over, the
	// second one for callers that return as told.
	lastTopLevel = 11
	// middleLevel is the level of a value of midTierValue, before the levels of lower ranks are put behind lastTopLevel by
	// lowerRankLevels.
	middleLevel     = 8
	lowerRankLevels = 8
	// levelValueRatio is the ratio of the value per time of one level to that of the next.
	levelValueRatio = 1.3
	// midTierValue is the value of a request of mean cost that belongs to the middle level of its tier.
	midTierValue = 0.4
)

// The value of a request is relative to a request of mean size on a route of the highest rank that can be on time.
const (
	// rankValueFactor is the ratio of the value of a rank of routes to the value of the rank above it.
	rankValueFactor = 0.3
	// callerRetryValueFactor reduces the value of a request whose caller was refused before, because its answer will be
	// late. It is higher than lateValueFactor, because another refusal would make all the caller's waiting useless.
	callerRetryValueFactor = 0.6
	// lateValueFactor reduces the value of a request whose answer will be late.
	lateValueFactor = 0.3
	// reservedValueFactor increases the value of a request whose caller returns as told, so that it goes before most new ones of
	// its rank.
	reservedValueFactor = 2
	// fixedValueShare is the share of the value that doesn't depend on the size of the request. maxSizeValueFactor is the
	// maximum value of a request relative to one of the mean size of its route.
	fixedValueShare    = 0.3
	maxSizeValueFactor = 4
)

// priorityLevel returns the priority level of a request that would start at the given time; level 0 goes first. The
// tier of the organisation decides first, then the value of the request for the endpoint time that it uses. A request
// that failed over (moved from an endpoint that may have run it) goes first within its tier, because its caller may
// already have a part of the answer.
func (p *pool) priorityLevel(j *Job, at time.Duration) int {
	tier := min(max(int(j.Tier), 0), tiers-1)
	if j.failedOver {
		return tier * levelsPerTier
	}
	value := math.Pow(rankValueFactor, float64(max(j.RouteTier, 0)))
	isTop := j.RouteTier <= 0
	switch {
	case isTop && j.isReserved:
		return tier*levelsPerTier + 1
	case j.isReserved:
		value *= reservedValueFactor
	case j.isCallerRetry():
		value *= callerRetryValueFactor
	case j.LatencyObjective > 0 && at > j.latestStart(p.typicalFirstEvent(j)):
		value *= lateValueFactor
	}
	value *= p.sizeValueFactor(j) * float64(max(p.meanCost, minCost)) / float64(p.cost(j))
	level := middleLevel - int(math.Round(math.Log(value/midTierValue)/math.Log(levelValueRatio)))
	if isTop {
		level = min(max(level, 1), lastTopLevel)
	} else {
		level = min(max(level+lowerRankLevels, lastTopLevel+1), levelsPerTier-1)
	}
	return tier*levelsPerTier + level
}

// isTopLevel reports whether a level is that of routes of the highest rank.
func isTopLevel(level int) bool { return level%levelsPerTier <= lastTopLevel }

// cost returns the endpoint time that a request uses on an endpoint with the mean timings whose slots are all in use,
// so that the value of requests can be compared with what they use. It is the time for the prompt plus the request's
// share of the decode time, which is divided among the slots.
func (p *pool) cost(j *Job) time.Duration {
	typical := p.typicalTimings()
	if !j.HasTokens {
		return max(typical.plain, minCost)
	}
	slots := 1
	if p.profile != nil {
		slots = max(p.profile.Slots, 1)
	}
	decode := typical.decodeStep * time.Duration(j.ExpectedAnswerTokens) / time.Duration(slots)
	return max(typical.prefill*time.Duration(j.PromptTokens)+decode, minCost)
}

const (
	// minCost is the minimum cost of a request. It avoids a division by zero for requests without any work.
	minCost = time.Millisecond
	// costAverageSamples is the number of requests over which sizes and costs are averaged.
	costAverageSamples = 64
)

// recordCost adds a request to the mean size of its route and to the mean cost of the pool. The priority of a request
// compares its size and cost with these means.
func (p *pool) recordCost(j *Job) {
	cost := p.cost(j)
	size, known := p.meanSizes[j.Route]
	if !known {
		size = j.size()
	}
	p.meanSizes[j.Route] = size + (j.size()-size)/costAverageSamples
	if p.meanCost == 0 {
		p.meanCost = cost
	}
	p.meanCost += (cost - p.meanCost) / costAverageSamples
}

// sizeValueFactor returns the value of a request relative to one of the mean size of its route. A fixed share of the
// value is the same for all requests; the rest is proportional to the size, up to a maximum. It is 1 as long as the
// mean isn't known.
func (p *pool) sizeValueFactor(j *Job) float64 {
	size := p.meanSizes[j.Route]
	if size <= 0 {
		return 1
	}
	return min(fixedValueShare+(1-fixedValueShare)*j.size()/size, maxSizeValueFactor)
}

// waitingCounts holds the number of queued requests at each priority level.
type waitingCounts [priorityLevels]int

// countUpTo returns the number of requests at a level and before it, which are those of the same or a higher priority.
func (w waitingCounts) countUpTo(level int) int {
	n := 0
	for _, count := range w[:level+1] {
		n += count
	}
	return n
}

// countBefore returns the number of requests before a level, that is, with a higher priority.
func (w waitingCounts) countBefore(level int) int { return w.countUpTo(level) - w[level] }

// trimmed returns the counts without trailing zeros, for the report to other instances.
func (w waitingCounts) trimmed() []int {
	n := len(w)
	for n > 0 && w[n-1] == 0 {
		n--
	}
	return append([]int(nil), w[:n]...)
}

// queue holds the queued requests of one service in the order in which they were added.
type queue struct {
	jobs []*Job
}

func (q *queue) add(j *Job) { q.jobs = append(q.jobs, j) }

// remove removes a request and reports whether it was queued.
func (q *queue) remove(j *Job) bool {
	i := slices.Index(q.jobs, j)
	if i < 0 {
		return false
	}
	q.jobs = slices.Delete(q.jobs, i, i+1)
	return true
}

// jobsByPriority returns the queued requests in the order in which they are dispatched: by priority level, those of
// one level in queue order. It also returns their counts by level.
func (p *pool) jobsByPriority(at time.Duration) ([]*Job, waitingCounts) {
	byLevel := make([][]*Job, priorityLevels)
	var counts waitingCounts
	for _, j := range p.queue.jobs {
		level := p.priorityLevel(j, at)
		byLevel[level] = append(byLevel[level], j)
		counts[level]++
	}
	return slices.Concat(byLevel...), counts
}

// waitingCounts returns the number of queued requests at each priority level. The levels are computed anew, because a
// request's level changes once it can no longer be on time.
func (p *pool) waitingCounts(at time.Duration) waitingCounts {
	var counts waitingCounts
	for _, j := range p.queue.jobs {
		counts[p.priorityLevel(j, at)]++
	}
	return counts
}
