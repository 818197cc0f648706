package wigeondispatch

import (
	"sort"
	"strconv"

	"wigeonshift"
)

const (
	// ungrouped is the number of instances up to which all of them form one group.
	ungrouped = 12
	// groupSize is the number of instances in a group of a larger fleet.
	groupSize = 8
	// minEndpoints is the number of endpoints for each group from which a service is divided among the groups.
	minEndpoints = 2
)

// Groups divides a large fleet, so that the messages of an instance don't grow with the fleet. The members of a group
// tell each other every change of their load and use endpoints of their own first. Groups lie within availability zones.
type Groups struct {
	// members holds the group of each instance.
	members map[string]string
	// zones holds the number of groups in each availability zone.
	zones map[string]int
	names []string
}

// NewGroups divides the instances. All instances that know the same list come to the same groups.
func NewGroups(instances []wigeonshift.Instance) *Groups {
	g := &Groups{members: map[string]string{}, zones: map[string]int{}}
	sorted := append([]wigeonshift.Instance(nil), instances...)
	sort.Slice(sorted, func(i, k int) bool { return sorted[i].Address < sorted[k].Address })
	sizes := map[string]int{}
	for _, i := range sorted {
		sizes[i.Zone]++
	}
	if len(sorted) <= ungrouped {
		sizes = map[string]int{}
	}
	for zone, n := range sizes {
		g.zones[zone] = (n + groupSize - 1) / groupSize
		for k := range g.zones[zone] {
			g.names = append(g.names, groupName(zone, k))
		}
	}
	sort.Strings(g.names)
	ranks := map[string]int{}
	for _, i := range sorted {
		if n := g.zones[i.Zone]; n > 0 {
			g.members[i.ID] = groupName(i.Zone, ranks[i.Zone]%n)
			ranks[i.Zone]++
		}
	}
	return g
}

func groupName(zone string, index int) string { return zone + "/" + strconv.Itoa(index) }

// Count is the number of groups, at least 1.
func (g *Groups) Count() int { return max(len(g.names), 1) }

// Together reports whether two instances are in one group.
func (g *Groups) Together(a, b string) bool { return g.members[a] == g.members[b] }

// ofEndpoint is the group that uses an endpoint first.
func (g *Groups) ofEndpoint(r wigeonshift.EndpointRecord) string {
	if len(g.names) == 0 {
		return ""
	}
	names := g.names
	if n := g.zones[r.Zone]; n > 0 {
		names = make([]string, 0, n)
		for k := range n {
			names = append(names, groupName(r.Zone, k))
		}
	}
	best, bestScore := "", uint64(0)
	for _, name := range names {
		if score := wigeonshift.RendezvousScore(r.ID, name); best == "" || score > bestScore {
			best, bestScore = name, score
		}
	}
	return best
}

// group takes the instances and marks the endpoints that other groups use first.
func (s *State) group(instances []wigeonshift.Instance) {
	s.instances = max(len(instances), 1)
	s.groups = NewGroups(instances)
	s.markForeign()
	s.shareQuotas()
}

// markForeign marks the endpoints of divided services that other groups use first. An instance whose group has no
// endpoint of a service uses all of them.
func (s *State) markForeign() {
	own := s.groups.members[s.settings.Instance]
	for _, p := range s.pools {
		divided := len(p.endpoints) >= minEndpoints*s.groups.Count()
		kept := 0
		for _, e := range p.endpoints {
			e.foreign = divided && own != "" && s.groups.ofEndpoint(e.record) != own
			if !e.foreign {
				kept++
			}
		}
		if kept > 0 {
			continue
		}
		for _, e := range p.endpoints {
			e.foreign = false
		}
	}
}
