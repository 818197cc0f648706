package wigeondispatch

import (
	"slices"
	"sort"
	"time"

	"wigeonshift"
)

// pool holds the endpoints of one service and the requests that are queued for them.
type pool struct {
	name string
	// profile describes the model engines of the service. It is nil for plain services.
	profile *wigeonshift.EngineProfile
	// endpoints is sorted by ID, so that ties between endpoints are resolved the same way in every run.
	endpoints []*endpoint
	// ownEndpoints are those of endpoints that aren't assigned to another group, in the same order.
	ownEndpoints []*endpoint
	// divided is set if the endpoints are divided among the groups of instances.
	divided bool
	// shared is set if all groups use the endpoints, each up to its part.
	shared bool
	// generation counts the changes of endpoints, from 1.
	generation uint64
	queue      queue
	// brittle is what the endpoints say while they are brittle; nil if they aren't.
	brittle *brittleness
	// meanSlotTime is the moving average of the time that a request occupies its slot.
	meanSlotTime time.Duration
	// meanSizes holds the mean size of the requests of each route, in prompt tokens.
	meanSizes map[string]float64
	// meanCost is the mean cost of all requests.
	meanCost time.Duration
	// cachedTimings is the mean of the endpoints' timings. It is valid only while cachedTimingsValid is set.
	cachedTimings      timings
	cachedTimingsValid bool
}

// eventTokens returns the number of tokens in one event of a stream, by which the time of an event is converted to the
// time of a token. It is 1 unless the engine's profile says otherwise.
func (p *pool) eventTokens() int {
	if p.profile == nil || p.profile.EventTokens <= 0 {
		return 1
	}
	return p.profile.EventTokens
}

// typicalTimings returns the mean of the endpoints' timings. The result is cached until a timing or the set of endpoints
// changes, because every comparison of queued requests needs it.
func (p *pool) typicalTimings() timings {
	if !p.cachedTimingsValid {
		p.cachedTimings = meanTimings(p.endpoints)
		p.cachedTimingsValid = true
	}
	return p.cachedTimings
}

// typicalFirstEvent returns the time to the first event of a request on a busy endpoint with the mean timings. It
// tells whether a queued request can still be on time before its endpoint is known. For a plain request (one without
// tokens) it is the time to the answer.
func (p *pool) typicalFirstEvent(j *Job) time.Duration {
	typical := p.typicalTimings()
	if !j.HasTokens {
		return typical.plain
	}
	return busyPrefillFactor*typical.prefill*time.Duration(j.PromptTokens) + typical.decodeStep*time.Duration(p.eventTokens())
}

// busyPrefillFactor is how many times longer the prefill takes on an endpoint that also runs other requests.
const busyPrefillFactor = 2

// add inserts a new endpoint at its place in the order by ID, so that ties between endpoints are resolved the same way
// in every run.
func (p *pool) add(e *endpoint) {
	p.endpoints = append(p.endpoints, e)
	p.cachedTimingsValid = false
	sort.Slice(p.endpoints, func(i, k int) bool { return p.endpoints[i].record.ID < p.endpoints[k].record.ID })
	p.listOwnEndpoints()
}

// remove removes an endpoint, so that the pool sends it no more requests and its timings no longer count in the mean.
func (p *pool) remove(e *endpoint) {
	if i := slices.Index(p.endpoints, e); i >= 0 {
		p.endpoints = slices.Delete(p.endpoints, i, i+1)
		p.cachedTimingsValid = false
		p.listOwnEndpoints()
	}
}

// listOwnEndpoints updates ownEndpoints after a change of endpoints. Decisions look at these alone, so that their cost doesn't
// grow with the number of endpoints of a large service.
func (p *pool) listOwnEndpoints() {
	p.generation++
	p.ownEndpoints = p.ownEndpoints[:0]
	for _, e := range p.endpoints {
		if !e.otherGroup {
			p.ownEndpoints = append(p.ownEndpoints, e)
		}
	}
}

// freeSlots returns the number of free slots on the available endpoints of this instance's group. Endpoints of other
// groups don't count, because they are used only if no endpoint of the own group can accept a request. An endpoint with a limit
// counts with what the limit allows the group.
func (s *State) freeSlots(p *pool) int {
	n := 0
	for _, e := range p.ownEndpoints {
		if !e.available(s.now) {
			continue
		}
		free := e.freeSlots()
		if e.isLimited() {
			free = min(free, s.groupTokens(e))
		}
		n += free
	}
	return n
}

// throughput returns the number of requests per second that the available endpoints of this instance's group can
// finish. It converts the number of queued requests into an expected wait.
func (s *State) throughput(p *pool) float64 {
	mean := p.meanSlotTime
	if mean <= 0 {
		mean = defaultTimings.plain
	}
	sum := 0.0
	for _, e := range p.ownEndpoints {
		if !e.available(s.now) {
			continue
		}
		rate := float64(e.concurrency()) / mean.Seconds()
		if e.isLimited() {
			rate = min(rate, s.groupRate(e))
		}
		sum += rate
	}
	return sum
}

// limited returns the number of endpoints that name limits.
func (p *pool) limited() int {
	n := 0
	for _, e := range p.endpoints {
		if e.isLimited() {
			n++
		}
	}
	return n
}
