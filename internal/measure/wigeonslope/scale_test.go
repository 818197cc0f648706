package wigeonslope

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// tinyScale keeps the series runnable within a test.
func tinyScale() Scale {
	return Scale{
		Endpoints: []int{2, 4}, Organisations: []int{1, 20}, Queued: []int{20, 40}, Peers: []int{1, 2}, Permits: []int{5, 10},
		Nodes: []int{1, 2}, Shards: []int{1, 2}, Polled: []int{1, 2}, Running: []int{0, 5}, TreeNodes: []int{9, 100}, FleetEndpoints: []int{50, 200},
		Requests: 200, Repeats: 1, Settle: 100 * time.Millisecond, Window: 200 * time.Millisecond,
	}
}

var _ = Describe("Scale", func() {
	s := tinyScale()
	for _, m := range s.Measurements() {
		It("measures "+m.Name, func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			series, err := m.Run(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(series).NotTo(BeEmpty())
			for _, one := range series {
				Expect(len(one.Points)).To(BeNumerically(">=", 2), one.Name)
				Expect(one.Unit).NotTo(BeEmpty())
			}
		})
	}

	It("takes three or more sizes by default", func() {
		d := DefaultScale()
		for _, sizes := range [][]int{
			d.Endpoints, d.Organisations, d.Queued, d.Peers, d.Permits, d.Nodes, d.Shards, d.Polled, d.Running, d.TreeNodes, d.FleetEndpoints,
		} {
			Expect(len(sizes)).To(BeNumerically(">=", 3))
		}
	})

	It("queues and grants what the reducer's measurements ask for", func() {
		b := newShardBench(16, 4, nearDeadline)
		for range 400 {
			b.step(32)
		}
		Expect(b.queued()).To(BeNumerically("<=", 32))
		Expect(len(b.running) + b.queued()).To(BeNumerically("~", 32, 16))
	})

	It("reaches 1,500 nodes within the hops that the bound of 12 s leaves room for", func() {
		parents := make(map[string]string)
		for _, i := range placed(1500) {
			parents[i.ID] = ""
		}
		Expect(hops(parents)).To(Equal(2))
		series, err := Scale{TreeNodes: []int{1500}}.MeasureTree(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(series[0].Points[0].Y).To(BeNumerically("<=", 5))
	})
})
