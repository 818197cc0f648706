package wigeondispatch

import (
	"fmt"
	"slices"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// instancesOf returns n instances in a number of zones. The first is the instance under test.
func instancesOf(n, zones int) []wigeonshift.Instance {
	out := []wigeonshift.Instance{{ID: "own", Address: "10.0.0.0:1", Zone: "z0"}}
	for i := 1; i < n; i++ {
		out = append(out, wigeonshift.Instance{
			ID: fmt.Sprintf("i%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: fmt.Sprintf("z%d", i%zones),
		})
	}
	return out
}

var _ = Describe("Groups", func() {
	It("puts all instances of a small fleet into one group", func() {
		g := NewGroups(instancesOf(maxUngroupedInstances, 3))
		Expect(g.Count()).To(Equal(1))
		Expect(g.SameGroup("own", "i5")).To(BeTrue())
	})

	It("divides each zone into groups of similar size, whatever the order of the instances", func() {
		instances := instancesOf(59, 4)
		g := NewGroups(instances)
		reversed := slices.Clone(instances)
		slices.Reverse(reversed)
		other := NewGroups(reversed)
		sizes := map[string]int{}
		for _, i := range instances {
			Expect(other.groupByInstance[i.ID]).To(Equal(g.groupByInstance[i.ID]))
			Expect(g.groupByInstance[i.ID]).To(HavePrefix(i.Zone + "/"))
			sizes[g.groupByInstance[i.ID]]++
		}
		for name, n := range sizes {
			Expect(n).To(BeNumerically("~", groupSize, 1), name)
		}
	})

	// endpointsOf returns n endpoints in four zones.
	endpointsOf := func(n int) []wigeonshift.EndpointRecord {
		var out []wigeonshift.EndpointRecord
		for k := range n {
			out = append(out, wigeonshift.EndpointRecord{ID: fmt.Sprintf("e%d", k), Zone: fmt.Sprintf("z%d", k%4)})
		}
		return out
	}

	It("assigns every endpoint to a group of its zone, nearly the same number to each group", func() {
		for _, instances := range []int{59, 72} {
			for _, endpoints := range []int{60, 140} {
				g := NewGroups(instancesOf(instances, 4))
				used := map[string]int{}
				owners := g.assignEndpoints(endpointsOf(endpoints))
				for _, r := range endpointsOf(endpoints) {
					Expect(owners[r.ID]).To(HavePrefix(r.Zone + "/"))
					used[owners[r.ID]]++
				}
				for _, name := range g.names {
					Expect(used[name]).To(BeNumerically("~", endpoints/g.Count(), 1), name)
				}
			}
		}
	})

	It("changes few assignments when an endpoint is removed", func() {
		g := NewGroups(instancesOf(72, 4))
		before, after := g.assignEndpoints(endpointsOf(60)), g.assignEndpoints(endpointsOf(59))
		moved := 0
		for id, owner := range after {
			if before[id] != owner {
				moved++
			}
		}
		Expect(moved).To(BeNumerically("<=", 3))
	})

	It("distributes the endpoints of a zone without instances over the groups of other zones", func() {
		g := NewGroups(instancesOf(59, 4))
		used := map[string]int{}
		for id, owner := range g.assignEndpoints([]wigeonshift.EndpointRecord{{ID: "a", Zone: "far"}, {ID: "b", Zone: "far"}}) {
			Expect(id).NotTo(BeEmpty())
			used[owner]++
		}
		Expect(used).To(HaveLen(2))
	})

	It("uses endpoints of other groups only if those of its own group are full and the others are not busy", func() {
		var records []wigeonshift.EndpointRecord
		for k := range 40 {
			r := newRecord(fmt.Sprintf("e%02d", k))
			r.Zone = fmt.Sprintf("z%d", k%4)
			r.Slots = 4
			records = append(records, r)
		}
		h := newHarness(records...)
		h.state.Reduce(InstancesListed{Instances: instancesOf(59, 4)})
		p := h.state.pool("model")
		own := 0
		for _, e := range p.endpoints {
			if !e.otherGroup {
				own += e.slots()
			}
		}
		Expect(own).To(BeNumerically(">", 0))
		for range own {
			e := h.state.endpoints[onlyDispatchEndpoint(h.arrive(h.newJob()))]
			Expect(e.otherGroup).To(BeFalse())
		}
		for range len(p.endpoints) {
			h.arrive(h.newJob())
		}
		for _, e := range p.endpoints {
			if e.otherGroup {
				Expect(e.running()).To(BeNumerically("<=", 3))
			}
		}
	})

	It("doesn't divide a service with few endpoints", func() {
		h := newHarness(newRecord("a"), newRecord("b"))
		h.state.Reduce(InstancesListed{Instances: instancesOf(59, 4)})
		for _, e := range h.state.pool("model").endpoints {
			Expect(e.otherGroup).To(BeFalse())
		}
	})
})
