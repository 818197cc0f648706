package wigeonslope

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// tinyScale returns sizes that are small enough for a test.
func tinyScale() Scale {
	return Scale{
		Endpoints: []int{2, 4}, Organisations: []int{1, 20}, QueuedRequests: []int{20, 40}, PeersPerNode: []int{1, 2}, Permits: []int{5, 10},
		Nodes: []int{1, 2}, Shards: []int{1, 2}, PolledEndpoints: []int{1, 2}, RunningAttempts: []int{0, 5}, TreeNodes: []int{9, 100}, FleetEndpoints: []int{50, 200},
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
			for _, measured := range series {
				Expect(len(measured.Points)).To(BeNumerically(">=", 2), measured.Name)
				Expect(measured.Unit).NotTo(BeEmpty())
			}
		})
	}

	It("has three or more sizes of each kind by default", func() {
		d := DefaultScale()
		for _, sizes := range [][]int{
			d.Endpoints, d.Organisations, d.QueuedRequests, d.PeersPerNode, d.Permits, d.Nodes, d.Shards, d.PolledEndpoints, d.RunningAttempts, d.TreeNodes, d.FleetEndpoints,
		} {
			Expect(len(sizes)).To(BeNumerically(">=", 3))
		}
	})

	It("keeps about as many requests running or queued as the given concurrency", func() {
		b := newShardBench(16, 4, shortDeadline)
		for range 400 {
			b.step(32)
		}
		Expect(b.queueLength()).To(BeNumerically("<=", 32))
		Expect(len(b.runningPermits) + b.queueLength()).To(BeNumerically("~", 32, 16))
	})

	It("reaches 1,500 nodes in few enough hops for the limit of 12 s", func() {
		parents := make(map[string]string)
		for _, i := range instancesInZones(1500) {
			parents[i.ID] = ""
		}
		Expect(maxPushHops(parents)).To(Equal(2))
		series, err := Scale{TreeNodes: []int{1500}}.MeasureTree(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(series[0].Points[0].Y).To(BeNumerically("<=", 5))
	})
})
