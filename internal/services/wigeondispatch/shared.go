package wigeondispatch

import (
	"cmp"
	"math"
	"slices"

	"wigeonshift"
)

// A service with few endpoints is used by all groups of a large fleet. Groups report to each other only every two seconds, so what
// they report of such an endpoint says nothing of its free slots now: all of them would send to the endpoint that was idle in the
// latest reports, and none to the others. Each group gets a fixed part of what an endpoint may have at a time instead, and members
// of a group, who report at once, share this part.

// sharedQueuePerSlot is the number of plain requests that wait at an endpoint for each of its slots when all groups use their whole
// parts. It makes up for groups that don't use theirs, and adds at most the same multiple of the service time to the latency.
const sharedQueuePerSlot = 2

// isShared reports whether several groups use the endpoint. Brittle endpoints and those that name a limit have rules of their own.
func (e *endpoint) isShared() bool {
	return e.pool.shared && e.pool.brittle == nil && !e.isLimited()
}

// groupRunning returns the number of requests that this instance's group runs on the endpoint.
func (e *endpoint) groupRunning() int { return e.ownLoad.running + e.groupLoad }

// freeSlots returns the number of further requests that the endpoint can start at once, or that this group may send to it if groups
// share it.
func (e *endpoint) freeSlots() int {
	if e.isShared() {
		return max(e.allowance-e.groupRunning(), 0)
	}
	return max(e.slots()-e.running(), 0)
}

// concurrency returns the number of requests that this instance's group can run on the endpoint at a time.
func (e *endpoint) concurrency() int {
	if e.isShared() {
		return e.allowance
	}
	return e.slots()
}

// mayBorrow reports whether this instance may send a request to an endpoint of another group. All other groups together may use what
// the latest reports leave free of otherGroupMaxLoadShare of its slots, each of them its part: they learn of each other's requests
// only after seconds, and what was free then would be taken by all of them.
func (s *State) mayBorrow(e *endpoint) bool {
	own := s.groups.groupByInstance[s.settings.Instance]
	free := int(math.Ceil(otherGroupMaxLoadShare*float64(e.slots()))) - (e.running() - e.groupRunning())
	return free > 0 && e.groupRunning() < s.groups.part(e.record.ID, own, free)
}

// setAllowances divides what the endpoints of a service may have at a time among the groups, if they share the endpoints.
func (s *State) setAllowances(p *pool) {
	own := s.groups.groupByInstance[s.settings.Instance]
	p.shared = !p.divided && own != "" && len(p.endpoints) > 0
	if !p.shared {
		return
	}
	granted := 0
	for _, e := range p.endpoints {
		e.allowance = s.groups.part(e.record.ID, own, e.capacity())
		granted += e.allowance
	}
	if granted == 0 {
		s.groups.preferred(p.endpoints, own).allowance = 1
	}
}

// capacity returns the number of requests that the endpoint may have at a time, in its slots and waiting there.
func (e *endpoint) capacity() int {
	if e.pool.profile != nil {
		return e.slots() + maxEndpointQueue
	}
	return e.slots() * (1 + sharedQueuePerSlot)
}

// part returns the part of a group in a number of things at an endpoint. The parts of all groups add up to the number and differ by
// at most one; which groups get one more differs between endpoints.
func (g *Groups) part(endpointID, group string, n int) int {
	if len(g.names) == 0 {
		return n
	}
	part, rest := n/len(g.names), n%len(g.names)
	own, ahead := wigeonshift.RendezvousScore(endpointID, group), 0
	for _, name := range g.names {
		if wigeonshift.RendezvousScore(endpointID, name) > own {
			ahead++
		}
	}
	if ahead < rest {
		part++
	}
	return part
}

// preferred returns the endpoint that a group uses if it gets no part of any: there are more groups than the endpoints can serve at a
// time.
func (g *Groups) preferred(endpoints []*endpoint, group string) *endpoint {
	return slices.MaxFunc(endpoints, func(a, b *endpoint) int {
		return cmp.Compare(wigeonshift.RendezvousScore(group, a.record.ID), wigeonshift.RendezvousScore(group, b.record.ID))
	})
}
