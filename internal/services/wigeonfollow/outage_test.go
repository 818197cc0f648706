package wigeonfollow_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// partlyDownStore refuses the calls for one table while refusing is set.
type partlyDownStore struct {
	*fakeStore
	table    wigeonshift.RoutingTable
	refusing atomic.Bool
}

func (s *partlyDownStore) Follow(
	ctx context.Context, table wigeonshift.RoutingTable, after uint64, wait time.Duration,
) (wigeonshift.TablePage, error) {
	if s.refusing.Load() && table == s.table {
		return wigeonshift.TablePage{}, wigeonshift.ErrUnavailable
	}
	return s.fakeStore.Follow(ctx, table, after, wait)
}

var _ = Describe("Following a store that refuses calls", func() {
	// Guards against calls by each table of each instance: a store that was away for 3 s got 36 of each instance.
	It("calls it for one table only", func() {
		runWithFakeClock(func(g Gomega, s *fakeStore, _ *testFollower) {
			advance(5 * time.Second)
			s.update(func(s *fakeStore) { s.down = true; s.wake() })
			advance(time.Second)
			s.update(func(s *fakeStore) { s.calls = 0 })
			advance(4 * time.Second)
			g.Expect(s.calls).To(BeNumerically("<=", 20), "a call each 0.25 s at most; 32 by four tables")
			g.Expect(s.calls).To(BeNumerically(">=", 5))
		})
	})

	It("knows within a second of its return what all tables missed", func() {
		for end := 2 * time.Second; end < 4*time.Second; end += 100 * time.Millisecond {
			runWithFakeClock(func(g Gomega, s *fakeStore, f *testFollower) {
				s.update(func(s *fakeStore) { s.down = true; s.wake() })
				advance(end)
				s.update(func(s *fakeStore) { s.down = false })
				s.put(config, "config", `{"version":5}`)
				s.put(endpoints, "a", leaving)
				advance(time.Second)
				g.Expect(f.seenVersions()).To(Equal([]uint64{1, 5}))
				g.Expect(f.readyIDs()).To(Equal([]string{"b"}))
			})
		}
	})

	// Guards against two calls of each table at the store's return, one to find it back and one that is held.
	It("calls it once for each table but the probe's at its return", func() {
		runWithFakeClock(func(g Gomega, s *fakeStore, f *testFollower) {
			f.SetPeersHeard(2)
			advance(20 * time.Second)
			s.update(func(s *fakeStore) { s.down = true; s.wake() })
			advance(3 * time.Second)
			s.update(func(s *fakeStore) { s.down, s.calls = false, 0 })
			advance(time.Second)
			g.Expect(s.calls).To(BeNumerically("<=", 5))
		})
	})

	// Guards against endpoints that wait for the probe while that gets no answer: a draining endpoint got requests for 3.4 s after an
	// instance had reached the store again, though its peers had the row.
	It("asks again for a table of which a peer has newer rows, whatever becomes of the probe", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g, s := NewWithT(t), &partlyDownStore{fakeStore: newFakeStore(), table: config}
			s.put(config, "config", `{"version":1}`)
			s.put(endpoints, "a", ready)
			f := startFollowerOf(s, "i0", func(int) {})
			defer f.Stop()
			advance(100 * time.Millisecond)
			s.refusing.Store(true)
			s.update(func(s *fakeStore) { s.down = true; s.wake() })
			advance(4 * time.Second)
			s.update(func(s *fakeStore) { s.down = false })
			s.put(endpoints, "a", leaving)
			for range 4 {
				f.RepollEndpoints()
				advance(250 * time.Millisecond)
			}
			g.Expect(f.readyIDs()).To(BeEmpty())
		})
	})

	// Guards against tables that wait for the return of another one.
	DescribeTable("follows the other tables if it refuses one", func(refused wigeonshift.RoutingTable, known time.Duration) {
		synctest.Test(suiteT, func(t *testing.T) {
			g, s := NewWithT(t), &partlyDownStore{fakeStore: newFakeStore(), table: refused}
			s.put(config, "config", `{"version":1}`)
			s.put(endpoints, "a", ready)
			f := startFollowerOf(s, "i0", func(int) {})
			defer f.Stop()
			advance(100 * time.Millisecond)
			s.refusing.Store(true)
			advance(4 * time.Second)
			s.put(config, "config", `{"version":5}`)
			s.put(endpoints, "a", leaving)
			advance(known)
			if refused == config {
				g.Expect(f.readyIDs()).To(BeEmpty())
			} else {
				g.Expect(f.knownVersion()).To(Equal(uint64(5)))
			}
			s.refusing.Store(false)
			advance(time.Second)
			g.Expect(f.readyIDs()).To(BeEmpty())
			g.Expect(f.knownVersion()).To(Equal(uint64(5)))
		})
	}, Entry("configuration", config, time.Second), Entry("endpoints", endpoints, 100*time.Millisecond))
})
