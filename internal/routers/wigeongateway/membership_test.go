package wigeongateway

import (
	"fmt"
	"sync"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Membership", func() {
	start := time.Unix(1000, 0)
	// fleet returns 32 instances in two zones. Those from index firstRestarted on have restarted and so have a new ID.
	fleet := func(firstRestarted int) []wigeonshift.Instance {
		var out []wigeonshift.Instance
		for k := range 32 {
			i := wigeonshift.Instance{
				ID: fmt.Sprintf("i%d-a", k), Address: fmt.Sprintf("192.0.2.%d:1", k), Zone: fmt.Sprintf("z%d", k%2),
			}
			if k >= firstRestarted {
				i.ID = fmt.Sprintf("i%d-b", k)
			}
			out = append(out, i)
		}
		return out
	}

	It("skips this instance's own row and divides the others by group", func() {
		m := &membership{self: fleet(32)[0]}
		Expect(m.replace(fleet(32), start)).To(HaveLen(32))
		sameGroup, otherGroups := m.peers()
		Expect(sameGroup).To(HaveLen(7))
		Expect(otherGroups).To(HaveLen(24))
	})

	// Instances that restart while the store is down are known by their new IDs only to those that they have reached.
	It("adds the instances that a peer knows, and keeps those that it has found itself", func() {
		m := &membership{self: fleet(0)[0]}
		m.add(fleet(0)[1], start)
		all := m.merge(fleet(32), start)
		Expect(all).To(HaveLen(32))
		Expect(all).To(ContainElements(fleet(0)[0], fleet(0)[1], fleet(32)[2]))
		Expect(m.all()).To(ConsistOf(all))
	})

	// Two peers that were discovered at the same time each replaced the list without the other.
	It("keeps all instances that are added at the same time", func() {
		for range 200 {
			m := &membership{self: fleet(32)[0]}
			var tasks sync.WaitGroup
			for _, i := range fleet(32)[1:9] {
				tasks.Go(func() { m.add(i, start) })
			}
			tasks.Wait()
			sameGroup, otherGroups := m.peers()
			Expect(len(sameGroup) + len(otherGroups)).To(Equal(8))
		}
	})

	It("counts all other groups' instances as new while this instance is new, and later only restarted ones", func() {
		m := &membership{self: fleet(32)[0]}
		m.replace(fleet(32), start)
		Expect(m.newInstances(start.Add(time.Second))).To(HaveLen(24))
		Expect(m.newInstances(start.Add(newInstancePeriod))).To(BeEmpty())
		restart := start.Add(time.Minute)
		m.replace(fleet(24), restart)
		for _, i := range m.newInstances(restart.Add(time.Second)) {
			Expect(i.ID).To(HaveSuffix("-b"))
		}
		Expect(len(m.newInstances(restart.Add(time.Second)))).To(BeNumerically(">=", 4))
		m.replace(fleet(24), restart.Add(2*time.Second))
		Expect(m.newInstances(restart.Add(newInstancePeriod))).To(BeEmpty())
	})
})
