package wigeonfollow_test

import (
	"fmt"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// applyTime is the time after a change, or after connections have fallen silent, by which it must be known. It leaves a second of the
// users' bounds to what follows.
const applyTime = 2 * time.Second

// fleet is a number of followers of one store.
type fleet struct {
	store *fakeStore
	all   []*testFollower
}

// newFleet adds followers to the one that a test has, which hear of each other.
func newFleet(s *fakeStore, first *testFollower, count int) *fleet {
	f := &fleet{store: s, all: []*testFollower{first}}
	for n := 1; n < count; n++ {
		f.all = append(f.all, startFollower(s, fmt.Sprint("i", n)))
	}
	for n := range count {
		s.put(instances, fmt.Sprint("i", n), fmt.Sprintf(`{"ID":"i%d","Address":"192.0.2.%d:1"}`, n, n))
	}
	f.setHeard(count - 1)
	advance(45 * time.Second)
	return f
}

func (f *fleet) setHeard(peers int) {
	for _, follower := range f.all {
		follower.SetPeersHeard(peers)
	}
}

// having returns how many followers have a version.
func (f *fleet) having(version uint64) int {
	n := 0
	for _, follower := range f.all {
		if versions := follower.seenVersions(); versions[len(versions)-1] == version {
			n++
		}
	}
	return n
}

func (f *fleet) stop() {
	for _, follower := range f.all[1:] {
		follower.Stop()
	}
}

// Guards against versions that come late because all instances wait for polls whose connections have fallen silent.
var _ = Describe("Following when open connections fall silent", func() {
	// eachMoment plays a silence at different moments after the latest change of the configuration.
	eachMoment := func(count int, check func(g Gomega, f *fleet, version uint64)) {
		for since := time.Duration(0); since < 12*time.Second; since += 400 * time.Millisecond {
			runWithFakeClock(func(g Gomega, s *fakeStore, first *testFollower) {
				f := newFleet(s, first, count)
				defer f.stop()
				s.put(config, "config", `{"version":5}`)
				advance(since)
				s.silenceOpen()
				s.put(config, "config", `{"version":6}`)
				check(g, f, 6)
			})
		}
	}

	DescribeTable("gets a new version to one instance in time if connections to the store are silent", func(count int) {
		eachMoment(count, func(g Gomega, f *fleet, version uint64) {
			advance(applyTime)
			g.Expect(f.having(version)).To(BeNumerically(">", 0))
		})
	}, Entry("three instances", 3), Entry("six", 6), Entry("nine", 9), Entry("thirty", 30), Entry("sixty", 60))

	DescribeTable("gets a new version to all instances in time if those to peers are silent, too", func(count int) {
		eachMoment(count, func(g Gomega, f *fleet, version uint64) {
			advance(1200 * time.Millisecond)
			f.setHeard(0)
			advance(applyTime - 1200*time.Millisecond)
			g.Expect(f.having(version)).To(Equal(count))
		})
	}, Entry("three instances", 3), Entry("nine", 9), Entry("thirty", 30))

	It("has a new version in time without peers", func() {
		for since := time.Duration(0); since < 4*time.Second; since += 100 * time.Millisecond {
			runWithFakeClock(func(g Gomega, s *fakeStore, f *testFollower) {
				s.put(config, "config", `{"version":5}`)
				advance(since)
				s.silenceOpen()
				s.put(config, "config", `{"version":6}`)
				advance(applyTime + 100*time.Millisecond)
				g.Expect(f.seenVersions()).To(Equal([]uint64{1, 5, 6}))
			})
		}
	})

	// Guards against a long first poll for endpoints of an instance that hears no peers after its start.
	It("knows an endpoint that leaves in time without peers after the start", func() {
		for since := time.Duration(0); since < 4*time.Second; since += 100 * time.Millisecond {
			runWithFakeClock(func(g Gomega, s *fakeStore, f *testFollower) {
				advance(since)
				s.silenceOpen()
				s.put(endpoints, "a", leaving)
				advance(applyTime + 100*time.Millisecond)
				g.Expect(f.readyIDs()).To(Equal([]string{"b"}))
			})
		}
	})

	It("knows an endpoint that leaves in time without peers", func() {
		runWithFakeClock(func(g Gomega, s *fakeStore, f *testFollower) {
			advance(10 * time.Second)
			s.silenceOpen()
			s.put(endpoints, "a", leaving)
			advance(applyTime + 100*time.Millisecond)
			g.Expect(f.readyIDs()).To(Equal([]string{"b"}))
		})
	})

	// A request to poll again came while the follower paused after a change. It was dropped, and the next poll went on a silent
	// connection.
	It("opens a new connection for a request that comes between two polls", func() {
		runWithFakeClock(func(g Gomega, s *fakeStore, f *testFollower) {
			s.put(endpoints, "a", leaving)
			advance(time.Millisecond)
			before := s.reconnects
			f.RepollEndpoints()
			advance(2 * time.Second)
			g.Expect(s.reconnects).To(BeNumerically(">", before))
		})
	})

	DescribeTable("makes few calls while nothing changes", func(count, wanted int) {
		runWithFakeClock(func(g Gomega, s *fakeStore, first *testFollower) {
			f := newFleet(s, first, count)
			defer f.stop()
			s.update(func(s *fakeStore) { s.calls = 0 })
			advance(time.Minute)
			g.Expect(float64(s.calls)/float64(count)).To(BeNumerically("<=", wanted), "calls of an instance in a minute")
		})
	},
		// 60 s at the earlier waits: 8.75 s for two tables and 15 s for two; with 60 instances 16.25 s and 30 s.
		Entry("nine instances", 9, 25), Entry("thirty", 30, 17), Entry("sixty", 60, 12))

	It("doesn't lose rows of other tables", func() {
		runWithFakeClock(func(g Gomega, s *fakeStore, first *testFollower) {
			f := newFleet(s, first, 9)
			defer f.stop()
			s.silenceOpen()
			s.put(wigeonshift.TableQuarantine, "7/a@1", "{}")
			advance(8 * time.Second)
			for _, follower := range f.all {
				g.Expect(follower.crashes.rows).To(HaveKeyWithValue("7/a@1", true))
			}
		})
	})
})
