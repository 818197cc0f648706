package wigeondispatch

import (
	"cmp"
	"slices"
	"sort"
	"strconv"
	"strings"

	"wigeonshift"
)

const (
	// maxUngroupedInstances is the largest number of instances that form a single group.
	maxUngroupedInstances = 12
	// groupSize is the target number of instances in each group of a larger fleet.
	groupSize = 8
	// minEndpointsPerGroup is the minimum number of endpoints per group for the endpoints of a service to be divided among
	// the groups.
	minEndpointsPerGroup = 2
)

// Groups divides the instances of a large fleet into groups, so that the number of messages per instance doesn't grow
// with the fleet. The members of a group report every change of their load to each other and prefer the endpoints that
// are assigned to their group. All members of a group are in the same availability zone.
type Groups struct {
	// groupByInstance maps an instance ID to the name of its group. It is empty if all instances form a single group.
	groupByInstance map[string]string
	// groupsPerZone holds the number of groups in each availability zone.
	groupsPerZone map[string]int
	// names lists the names of all groups in alphabetical order.
	names []string
}

// NewGroups divides instances into groups within their availability zones; a small fleet stays undivided. The result
// depends only on the set of instances, not on their order, so that all instances with the same list get the same
// groups.
func NewGroups(instances []wigeonshift.Instance) *Groups {
	g := &Groups{groupByInstance: map[string]string{}, groupsPerZone: map[string]int{}}
	sorted := append([]wigeonshift.Instance(nil), instances...)
	sort.Slice(sorted, func(i, k int) bool { return sorted[i].Address < sorted[k].Address })
	sizes := map[string]int{}
	for _, i := range sorted {
		sizes[i.Zone]++
	}
	if len(sorted) <= maxUngroupedInstances {
		sizes = map[string]int{}
	}
	for zone, n := range sizes {
		g.groupsPerZone[zone] = (n + groupSize - 1) / groupSize
		for k := range g.groupsPerZone[zone] {
			g.names = append(g.names, groupName(zone, k))
		}
	}
	sort.Strings(g.names)
	ranks := map[string]int{}
	for _, i := range sorted {
		if n := g.groupsPerZone[i.Zone]; n > 0 {
			g.groupByInstance[i.ID] = groupName(i.Zone, ranks[i.Zone]%n)
			ranks[i.Zone]++
		}
	}
	return g
}

func groupName(zone string, index int) string { return zone + "/" + strconv.Itoa(index) }

// Count returns the number of groups, at least 1.
func (g *Groups) Count() int { return max(len(g.names), 1) }

// SameGroup reports whether two instances are in the same group.
func (g *Groups) SameGroup(a, b string) bool { return g.groupByInstance[a] == g.groupByInstance[b] }

// turnGroup returns the group whose turn it is with something that is done by one group at a time; empty if there are no groups.
func (g *Groups) turnGroup(subject string, turn int64) string {
	best, bestScore := "", uint64(0)
	key := subject + "/" + strconv.FormatInt(turn, 10)
	for _, name := range g.names {
		if score := wigeonshift.RendezvousScore(key, name); best == "" || score > bestScore {
			best, bestScore = name, score
		}
	}
	return best
}

// candidates returns the groups to which the endpoints of a zone can be assigned: the groups of the zone, or all groups
// if the zone has none.
func (g *Groups) candidates(zone string) []string {
	n := g.groupsPerZone[zone]
	if n == 0 {
		return g.names
	}
	names := make([]string, 0, n)
	for k := range n {
		names = append(names, groupName(zone, k))
	}
	return names
}

// assignEndpoints returns the group that each endpoint is assigned to; the members of the group prefer it. The groups
// of a zone get nearly the same number of endpoints, and keep most of their endpoints when others are added or
// removed.
func (g *Groups) assignEndpoints(records []wigeonshift.EndpointRecord) map[string]string {
	byZone := map[string][]wigeonshift.EndpointRecord{}
	for _, r := range records {
		byZone[r.Zone] = append(byZone[r.Zone], r)
	}
	owners := make(map[string]string, len(records))
	for zone, endpoints := range byZone {
		assignEvenly(endpoints, g.candidates(zone), owners)
	}
	return owners
}

// assignEvenly assigns each endpoint to the group with the highest rendezvous score (a hash of both names) for it
// among the groups that can still take one. The score keeps most assignments when endpoints change, and the limit on
// each group keeps the numbers even. It adds the result to owners.
func assignEvenly(endpoints []wigeonshift.EndpointRecord, names []string, owners map[string]string) {
	if len(names) == 0 {
		return
	}
	slices.SortFunc(endpoints, func(a, b wigeonshift.EndpointRecord) int {
		return cmp.Or(cmp.Compare(assignmentScore(a), assignmentScore(b)), strings.Compare(a.ID, b.ID))
	})
	capacity := map[string]int{}
	for k := range endpoints {
		capacity[names[k%len(names)]]++
	}
	for _, r := range endpoints {
		best, bestScore := "", uint64(0)
		for _, name := range names {
			score := wigeonshift.RendezvousScore(r.ID, name)
			if capacity[name] > 0 && (best == "" || score > bestScore) {
				best, bestScore = name, score
			}
		}
		capacity[best]--
		owners[r.ID] = best
	}
}

// assignmentScore orders the endpoints of a zone for the assignment. The order of the others stays the same when an
// endpoint is removed, so that few assignments change.
func assignmentScore(r wigeonshift.EndpointRecord) uint64 {
	return wigeonshift.RendezvousScore(r.ID, r.Zone)
}

// updateGroups divides the listed instances into groups (instances that report every change of their load to each
// other). It then updates the preferred endpoints and the quota shares, because both depend on the groups.
func (s *State) updateGroups(instances []wigeonshift.Instance) {
	s.instances = max(len(instances), 1)
	s.groups = NewGroups(instances)
	s.instanceIDs = s.instanceIDs[:0]
	for _, i := range instances {
		s.instanceIDs = append(s.instanceIDs, i.ID)
	}
	s.groupIDs = s.groupIDs[:0]
	for _, id := range s.instanceIDs {
		if id != s.settings.Instance && s.groups.SameGroup(id, s.settings.Instance) {
			s.groupIDs = append(s.groupIDs, id)
		}
	}
	for name, p := range s.peers {
		p.inGroup = s.groups.SameGroup(name, s.settings.Instance)
	}
	s.updateMembers()
	s.markOtherGroupEndpoints()
	s.recomputePeerLoads()
	s.updateQuotaShares()
	for _, r := range s.rollouts.byService {
		s.setRolloutInstances(r)
	}
}

// markOtherGroupEndpoints marks the endpoints that are assigned to other groups, which this instance uses only if no
// other endpoint can accept a request. It marks none for services with too few endpoints to divide. If this instance's
// group has no endpoint of a service, it marks none either, so that the instance uses all of them.
func (s *State) markOtherGroupEndpoints() {
	own := s.groups.groupByInstance[s.settings.Instance]
	for _, p := range s.pools {
		p.divided = len(p.endpoints) >= minEndpointsPerGroup*s.groups.Count()
		ownCount := 0
		owners := s.endpointGroups(p)
		for _, e := range p.endpoints {
			e.otherGroup = p.divided && own != "" && owners[e.record.ID] != own
			if !e.otherGroup {
				ownCount++
			}
		}
		if ownCount == 0 {
			for _, e := range p.endpoints {
				e.otherGroup = false
			}
		}
		s.setAllowances(p)
		p.listOwnEndpoints()
	}
}

// endpointGroups returns the group that each endpoint of a service is assigned to.
func (s *State) endpointGroups(p *pool) map[string]string {
	records := make([]wigeonshift.EndpointRecord, 0, len(p.endpoints))
	for _, e := range p.endpoints {
		records = append(records, e.record)
	}
	return s.groups.assignEndpoints(records)
}
