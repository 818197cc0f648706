package wigeondispatch

import (
	"slices"
	"time"

	"wigeonshift/internal/services/wigeonforecast"
)

const (
	// overdueShare is the share of its whole expected time that a request is expected to run on once it has taken longer.
	overdueShare = 0.1
	// expectedShare is the share of the expected work that counts against a request that is queued. Some of that work is refused
	// itself.
	expectedShare = 0.5
	// unknownSlotTime is the time that each queued request is expected to take while no endpoint is available. Endpoints are
	// usually available again soon.
	unknownSlotTime = time.Second
	// minKnownRate is the smallest rate of requests per second of an endpoint with a limit at which the limit tells when it takes the next
	// one. Below that, it depends on when the limit ends.
	minKnownRate = 1
	// levelWorkSamples is the number of requests over which the work of a priority level is averaged.
	levelWorkSamples = 16
)

// capacity is what a pool keeps for forecasts.
type capacity struct {
	forecast wigeonforecast.Forecast
	// builtFor is the event for which forecast was built; zero once it no longer holds.
	builtFor uint64
	// levelWork is the mean time in a slot of the requests of each priority level; zero as long as there were none.
	levelWork [priorityLevels]time.Duration
	// reservations are those for refused callers.
	reservations wigeonforecast.Reservations
	// meanWork is the mean of all of them.
	meanWork time.Duration
	// arrivals are those of each priority level, in seconds of a slot.
	arrivals [priorityLevels]wigeonforecast.Arrivals
	// expected is the sum of the rates before each level, at the time expectedAt.
	expected   [priorityLevels]wigeonforecast.Rate
	expectedAt time.Duration
	// recheckedAt is the time of the latest forecast for requests that are queued.
	recheckedAt time.Duration
}

// forecastOf returns the forecast of a service's free slots on the endpoints of this instance's group.
func (s *State) forecastOf(p *pool) *wigeonforecast.Forecast {
	f := &p.capacity.forecast
	if p.capacity.builtFor == s.events {
		return f
	}
	f.Reset()
	for _, e := range p.ownEndpoints {
		if e.available(s.now) {
			s.addSlots(f, e)
		}
	}
	p.capacity.builtFor = s.events
	return f
}

// addSlots adds the slots of an endpoint that this group can use to a forecast. Requests beyond the slots take the first ends and aren't added.
func (s *State) addSlots(f *wigeonforecast.Forecast, e *endpoint) {
	period, slots := e.slotTime(), e.concurrency()
	free := e.freeSlots()
	if e.isLimited() {
		rate := s.groupRate(e)
		free = min(free, s.groupTokens(e))
		if rate < minKnownRate {
			f.AddFree(free, wigeonforecast.Horizon)
			return
		}
		period = max(period, time.Duration(float64(slots)/rate*float64(time.Second)))
		f.AddFree(free, period)
		f.AddRuns(slots-free, period)
		return
	}
	f.AddFree(free, period)
	own := min(len(e.runs), slots-free)
	for _, j := range e.runs[:own] {
		f.AddRun(s.expectedLeft(e, j), period)
	}
	f.AddRuns(slots-free-own, period)
}

// slotTime returns the mean time that a request is in a slot of the endpoint: that of all endpoints at this one's pace.
func (e *endpoint) slotTime() time.Duration {
	mean, typical := e.pool.slotTime(), e.pool.typicalTimings()
	own, all := e.decodeStep, typical.decodeStep
	if e.pool.profile == nil {
		own, all = e.plain, typical.plain
	}
	if own <= 0 || all <= 0 {
		return mean
	}
	return time.Duration(float64(mean) * float64(own) / float64(all))
}

// slotTime returns the mean time that a request is in a slot. Before the first request has ended, it is that which is expected of those
// that have arrived.
func (p *pool) slotTime() time.Duration {
	switch {
	case p.meanSlotTime > 0:
		return p.meanSlotTime
	case p.capacity.meanWork > 0:
		return p.capacity.meanWork
	default:
		return defaultTimings.plain
	}
}

// expectedLeft returns the expected time until the running attempt of a request ends.
func (s *State) expectedLeft(e *endpoint, j *Job) time.Duration {
	elapsed := s.now - j.dispatchedAt
	if !j.HasTokens {
		return max(e.plain-elapsed, time.Duration(overdueShare*float64(e.plain)))
	}
	prefill := time.Duration(j.unreadTokens()) * e.prefill
	decode := time.Duration(j.ExpectedAnswerTokens) * e.decodeStep
	left := prefill + decode - elapsed
	if j.firstEventLatency > 0 {
		left = decode - (elapsed - j.firstEventLatency)
	}
	return max(left, time.Duration(overdueShare*float64(prefill+decode)))
}

// slotWork returns the expected time in a slot of a request on an endpoint with the mean timings.
func (p *pool) slotWork(j *Job) time.Duration {
	typical := p.typicalTimings()
	if !j.HasTokens {
		return max(typical.plain, minCost)
	}
	work := typical.prefill*time.Duration(j.PromptTokens) + typical.decodeStep*time.Duration(j.ExpectedAnswerTokens)
	return max(work, minCost)
}

// recordLevelWork adds a request to the mean work and to the arrivals of its priority level.
func (p *pool) recordLevelWork(j *Job, at time.Duration) {
	level := p.priorityLevel(j, at)
	work, mean := p.slotWork(j), &p.capacity.levelWork[level]
	if *mean == 0 {
		*mean = work
	}
	*mean += (work - *mean) / levelWorkSamples
	if p.capacity.meanWork == 0 {
		p.capacity.meanWork = work
	}
	p.capacity.meanWork += (work - p.capacity.meanWork) / levelWorkSamples
	p.capacity.arrivals[level].Add(work.Seconds(), at)
}

// expectedBefore returns the work that is expected to arrive before a level at all members of the group, which get nearly the same
// number of requests.
func (s *State) expectedBefore(p *pool, level int) wigeonforecast.Rate {
	c := &p.capacity
	if s.now >= c.expectedAt+wigeonforecast.Step || c.expectedAt == 0 {
		var sum wigeonforecast.Rate
		for l := range c.arrivals {
			c.expected[l] = sum
			sum = sum.Plus(c.arrivals[l].Rate(s.now))
		}
		c.expectedAt = s.now
	}
	return c.expected[level].Times(float64(1+len(s.members)) / p.slotTime().Seconds())
}

// takenUpTo returns how many mean slot times the queued requests at a level and before it need.
func (p *pool) takenUpTo(level int, b backlog) float64 {
	taken, mean := 0.0, p.slotTime()
	for l := range level + 1 {
		n := b.own[l] + b.peers[l]
		if n == 0 {
			continue
		}
		weight := 1.0
		if work := p.capacity.levelWork[l]; work > 0 {
			weight = float64(work) / float64(mean)
		}
		taken += float64(n) * weight
	}
	return taken
}

// forecastStart returns when a request can start, given the requests of the same or a higher priority that are queued here
// and at the other instances of the group, and those of a higher priority that are expected. A request that becomes late meanwhile loses
// its priority. Those of the highest rank go before all that is expected, but for later ones of their own rank.
func (s *State) forecastStart(p *pool, j *Job, b backlog) wigeonforecast.Start {
	level := p.priorityLevel(j, s.now)
	ahead := b.own.countUpTo(level) + b.peers.countUpTo(level)
	if ahead < s.freeSlots(p) {
		return wigeonforecast.Start{Confidence: 1}
	}
	if s.forecastOf(p).IsEmpty() {
		return wigeonforecast.Start{Wait: time.Duration(ahead) * unknownSlotTime}
	}
	start := s.startAtLevel(p, level, b)
	if isTopLevel(level) {
		return start
	}
	if later := p.priorityLevel(j, s.now+start.Wait); later > level {
		start = s.startAtLevel(p, later, b)
	}
	return start
}

// startAtLevel returns when a request of a priority level can start.
func (s *State) startAtLevel(p *pool, level int, b backlog) wigeonforecast.Start {
	var expected wigeonforecast.Rate
	if !isTopLevel(level) {
		expected = s.expectedBefore(p, level).Times(expectedShare)
	}
	return s.forecastOf(p).Start(wigeonforecast.Competition{
		Taken: p.takenUpTo(level, b), Expected: expected,
		Reserved: p.capacity.reservations.Ahead(level, s.now),
	})
}

// removeRun removes a request from those that run on the endpoint.
func (e *endpoint) removeRun(j *Job) {
	if i := slices.Index(e.runs, j); i >= 0 {
		e.runs = slices.Delete(e.runs, i, i+1)
	}
}
