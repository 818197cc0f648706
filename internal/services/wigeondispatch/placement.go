package wigeondispatch

import (
	"math"
	"time"
)

const (
	// decodeShare is the weight of the decode time against the time to the first event.
	decodeShare = 0.3
	// failurePenalty is what a failure costs in the choice of an endpoint.
	failurePenalty = 3 * time.Second
	// foreignZoneTime is the cost of an endpoint in another availability zone.
	foreignZoneTime = 2 * time.Millisecond
)

// estimate is the expected course of a request on an endpoint.
type estimate struct {
	// first is the time to the first event, or to a plain answer.
	first time.Duration
	// cost orders the endpoints.
	cost float64
}

// estimate returns the expected course of a request on an endpoint.
func (s *State) estimate(e *endpoint, j *Job) estimate {
	wait := e.queueWait()
	out := estimate{}
	if j.HasTokens {
		pending := e.own.prefill + e.others.prefill + j.PromptTokens
		out.first = wait + time.Duration(pending)*e.prefill + time.Duration(e.pool.eventTokens())*e.step
		out.cost = float64(out.first) + decodeShare*float64(time.Duration(j.ExpectedAnswerTokens)*e.step)
	} else {
		out.first = wait + e.plain
		out.cost = float64(out.first) * (1 + float64(e.running())/float64(e.slots()))
	}
	out.cost += e.failureRate * float64(failurePenalty)
	if e.record.Zone != s.settings.Zone {
		out.cost += float64(foreignZoneTime)
	}
	return out
}

// queueWait is the time that a new request waits in the endpoint's own queue.
func (e *endpoint) queueWait() time.Duration {
	ahead := e.running() - e.slots() + 1
	if ahead <= 0 {
		return 0
	}
	return e.pool.meanTime * time.Duration(ahead) / time.Duration(e.slots())
}

// fits reports whether an endpoint may get a request besides what it runs.
func (s *State) fits(e *endpoint, j *Job) bool {
	if !e.usable(s.now) || j.hasFailedOn(e.record.ID) {
		return false
	}
	if e.running() >= e.slots()+overshootOf(int(j.Tier)) {
		return false
	}
	if e.running() >= e.slots() && e.queueWait() > queueTarget {
		return false
	}
	if p := e.pool.profile; p != nil && p.CacheTokens > 0 && e.running() > 0 {
		return e.own.reserved+e.others.reserved+j.footprint() <= p.CacheTokens
	}
	return true
}

// place returns the best endpoint for a request, nil when none fits.
func (s *State) place(p *pool, j *Job) *endpoint {
	var best *endpoint
	bestCost := math.Inf(1)
	for _, e := range p.endpoints {
		if !s.fits(e, j) {
			continue
		}
		if c := s.estimate(e, j).cost; c < bestCost {
			best, bestCost = e, c
		}
	}
	return best
}
