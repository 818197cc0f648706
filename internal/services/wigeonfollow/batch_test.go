package wigeonfollow_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against pauses after a change that exceed the bounds of a fleet: those of fleets of one group stay as short as they were,
// since their bounds are shorter by a second.
var _ = Describe("Following changes that follow each other", func() {
	DescribeTable("knows the latest in time", func(count int, configurationTime, endpointsTime time.Duration) {
		for since := time.Duration(0); since < 1500*time.Millisecond; since += 150 * time.Millisecond {
			runWithFakeClock(func(g Gomega, s *fakeStore, first *testFollower) {
				f := newFleet(s, first, count)
				defer f.stop()
				s.put(config, "config", `{"version":5}`)
				s.put(endpoints, "a", leaving)
				advance(since)
				s.put(config, "config", `{"version":6}`)
				advance(configurationTime)
				g.Expect(f.having(6)).To(Equal(count), "%v after another version", since)
				s.put(endpoints, "b", leaving)
				advance(endpointsTime)
				for _, follower := range f.all {
					g.Expect(follower.readyIDs()).To(BeEmpty())
				}
			})
		}
	},
		Entry("three instances", 3, time.Millisecond, 345*time.Millisecond),
		Entry("nine", 9, time.Millisecond, 435*time.Millisecond),
		Entry("twelve", 12, time.Millisecond, 480*time.Millisecond),
		Entry("thirty", 30, 901*time.Millisecond, 1301*time.Millisecond))
})
