package wigeonfollow_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonfollow"
	"wigeonshift/internal/services/wigeonshare"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// storeLatency is the time of a call to the store in each direction.
const storeLatency = 3 * time.Millisecond

// countingStore counts the calls of a fleet to a store by phase and table.
type countingStore struct {
	*fakeStore
	countMu sync.Mutex
	phase   string
	calls   map[string]map[wigeonshift.RoutingTable]int
}

// count counts a call and returns after the time that it takes to reach the store.
func (s *countingStore) count(table wigeonshift.RoutingTable) {
	s.countMu.Lock()
	if s.calls[s.phase] == nil {
		s.calls[s.phase] = map[wigeonshift.RoutingTable]int{}
	}
	s.calls[s.phase][table]++
	s.countMu.Unlock()
	time.Sleep(storeLatency)
}

func (s *countingStore) List(ctx context.Context, table wigeonshift.RoutingTable) (wigeonshift.TablePage, error) {
	s.count(table)
	defer time.Sleep(storeLatency)
	return s.fakeStore.List(ctx, table)
}

func (s *countingStore) Follow(
	ctx context.Context, table wigeonshift.RoutingTable, after uint64, wait time.Duration,
) (wigeonshift.TablePage, error) {
	s.count(table)
	defer time.Sleep(storeLatency)
	return s.fakeStore.Follow(ctx, table, after, wait)
}

func (s *countingStore) Commit(ctx context.Context, table wigeonshift.RoutingTable, tx wigeonshift.Transaction) (uint64, error) {
	s.count(table)
	defer time.Sleep(storeLatency)
	return s.fakeStore.Commit(ctx, table, tx)
}

// total returns the number of calls of a phase.
func (s *countingStore) total(phase string) int {
	s.countMu.Lock()
	defer s.countMu.Unlock()
	sum := 0
	for _, n := range s.calls[phase] {
		sum += n
	}
	return sum
}

// countedFleet is a fleet whose instances register, follow the store and lease their shares.
type countedFleet struct {
	store     *countingStore
	followers []*testFollower
	shares    []*wigeonshare.Service
	// behind holds since when each follower has lacked what a member of its group knows, by table.
	behind map[wigeonshift.RoutingTable][]time.Time
	// reported is the newest that all groups have reported to each other, by table; reportedAt is when they last did.
	reported   map[wigeonshift.RoutingTable]uint64
	reportedAt time.Time
}

const (
	// groupSize is the number of instances that report what they know to each other.
	groupSize = 8
	// peerRequestDelay and peerRequestInterval are those of an instance that lacks what a peer knows.
	peerRequestDelay, peerRequestInterval = 300 * time.Millisecond, time.Second
	noticeInterval, otherGroupInterval    = 100 * time.Millisecond, 2 * time.Second
)

// play moves the clock forward while the instances exchange notices.
func (f *countedFleet) play(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		advance(min(noticeInterval, time.Until(end)))
		if time.Since(f.reportedAt) >= otherGroupInterval {
			f.reportedAt = time.Now()
			f.reported[config] = newest(f.followers, (*testFollower).knownVersion)
			f.reported[endpoints] = newest(f.followers, (*testFollower).knownEndpoints)
		}
		f.exchange(config, (*testFollower).knownVersion, func(f *testFollower, version uint64) {
			f.RepollConfiguration()
			f.OfferConfiguration([]byte(fmt.Sprintf(`{"version":%d}`, version)))
		})
		f.exchange(endpoints, (*testFollower).knownEndpoints, func(f *testFollower, _ uint64) { f.RepollEndpoints() })
	}
}

// exchange makes instances that have lacked for a while what a member of their group knows ask for it.
func (f *countedFleet) exchange(
	table wigeonshift.RoutingTable, known func(*testFollower) uint64, ask func(f *testFollower, newest uint64),
) {
	behind := f.behind[table]
	for first := 0; first < len(f.followers); first += groupSize {
		group := f.followers[first:min(first+groupSize, len(f.followers))]
		newest := max(newest(group, known), f.reported[table])
		for k, follower := range group {
			switch since := &behind[first+k]; {
			case table == config && follower.BatchesConfiguration():
			case known(follower) >= newest:
				*since = time.Time{}
			case since.IsZero():
				*since = time.Now()
			case time.Since(*since) >= peerRequestDelay:
				*since = time.Now().Add(peerRequestInterval - peerRequestDelay)
				ask(follower, newest)
			}
		}
	}
}

// newest returns the newest that any of the followers knows.
func newest(followers []*testFollower, known func(*testFollower) uint64) uint64 {
	out := uint64(0)
	for _, follower := range followers {
		out = max(out, known(follower))
	}
	return out
}

func (f *testFollower) knownVersion() uint64 {
	versions := f.seenVersions()
	return versions[len(versions)-1]
}

func (f *testFollower) knownEndpoints() uint64 {
	newest, _ := f.EndpointsRevision()
	return newest
}

// startCountedFleet starts all instances within 0.3 s.
func startCountedFleet(count int) *countedFleet {
	store := &countingStore{fakeStore: newFakeStore(), phase: "start", calls: map[string]map[wigeonshift.RoutingTable]int{}}
	store.put(config, "config", `{"version":1}`)
	for e := range 20 {
		store.put(endpoints, fmt.Sprint("e", e), ready)
	}
	f := &countedFleet{store: store, reported: map[wigeonshift.RoutingTable]uint64{}, behind: map[wigeonshift.RoutingTable][]time.Time{
		config: make([]time.Time, count), endpoints: make([]time.Time, count),
	}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	random := rand.New(rand.NewPCG(1, 1))
	startedAt := time.Now()
	for n := range count {
		id := fmt.Sprint("i", n)
		share := wigeonshare.New(wigeonshare.Settings{
			Holder: id, Cooldown: 10500 * time.Millisecond, Clock: func() time.Duration { return time.Since(startedAt) },
			Publish: func(float64, time.Duration) {},
		}, store, log, tally.NoopScope)
		follower := startFollowerOf(store, id, share.SetInstanceCount)
		share.Start(context.Background())
		f.followers, f.shares = append(f.followers, follower), append(f.shares, share)
		row := fmt.Sprintf(`{"ID":"%s","Address":"192.0.2.%d:1"}`, id, n)
		_, _ = store.Commit(context.Background(), instances, wigeonshift.Transaction{
			Writes: []wigeonshift.Write{{Key: id, Value: []byte(row)}},
		})
		time.Sleep(time.Duration(random.Int64N(int64(600*time.Millisecond) / int64(count))))
	}
	for _, follower := range f.followers {
		follower.SetPeersHeard(min(count, groupSize) - 1)
	}
	return f
}

func (f *countedFleet) stop() {
	for n := range f.followers {
		f.followers[n].Stop()
		f.shares[n].Stop()
	}
}

// begin begins a phase.
func (f *countedFleet) begin(phase string, d time.Duration) {
	f.store.countMu.Lock()
	f.store.phase = phase
	f.store.countMu.Unlock()
	f.play(d)
}

// phases are those of a run of 34 s.
var phases = []string{"start", "calm", "endpoints", "configuration", "down", "silent", "returned"}

// run plays 34 s from the start. It checks that each change is known to all instances in time.
func (f *countedFleet) run(g Gomega, count int) {
	f.play(time.Second)
	for _, follower := range f.followers {
		g.Expect(follower.instanceCount()).To(Equal(count), "instances that start together learn of each other within a second")
	}
	f.play(4 * time.Second)
	f.begin("calm", 5*time.Second)
	f.begin("endpoints", 0)
	for e := range 20 {
		f.store.put(endpoints, fmt.Sprint("e", e), leaving)
		f.play(200 * time.Millisecond)
	}
	f.play(applyTime)
	for n := range count {
		g.Expect(f.followers[n].readyIDs()).To(BeEmpty(), "all endpoints are known to leave")
	}
	f.begin("configuration", 0)
	for v := range 13 {
		f.store.put(config, "config", fmt.Sprintf(`{"version":%d}`, v+2))
		f.play(300 * time.Millisecond)
	}
	f.play(applyTime)
	f.expectVersion(g, 14)
	f.store.update(func(s *fakeStore) { s.down = true; s.wake() })
	f.begin("down", 3*time.Second)
	f.store.update(func(s *fakeStore) { s.down = false })
	f.begin("returned", 2500*time.Millisecond)
	f.store.update(func(s *fakeStore) { s.silent, s.silencedAt = true, time.Now() })
	f.store.put(config, "config", `{"version":20}`)
	f.begin("silent", 3*time.Second)
	f.store.update(func(s *fakeStore) { s.silent = false })
	f.begin("returned", 34*time.Second-f.since())
	f.expectVersion(g, 20)
}

func (f *countedFleet) since() time.Duration { return time.Since(f.store.startedAt) }

func (f *countedFleet) expectVersion(g Gomega, version uint64) {
	for _, follower := range f.followers {
		g.Expect(follower.knownVersion()).To(Equal(version))
	}
}

// Guards against calls whose cause can't be found in the metrics.
var _ = Describe("Counted calls", func() {
	It("tell the table and the reason", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g, s, scope := NewWithT(t), newFakeStore(), tally.NewTestScope("", nil)
			s.put(endpoints, "a", ready)
			f := startFollowerOf(s, "i0", func(int) {}, wigeonfollow.WithScope(scope))
			defer f.Stop()
			counted := func(table, reason string) int {
				counter := scope.Snapshot().Counters()["storeCalls+reason="+reason+",table="+table]
				if counter == nil {
					return 0
				}
				return int(counter.Value())
			}
			advance(time.Millisecond)
			g.Expect(counted("endpoints", "list")).To(Equal(1))
			g.Expect(counted("endpoints", "watch")).To(Equal(1))
			s.put(endpoints, "a", leaving)
			advance(time.Second)
			g.Expect(counted("endpoints", "change")).To(Equal(1))
			f.RepollEndpoints()
			advance(time.Millisecond)
			g.Expect(counted("endpoints", "repoll")).To(Equal(1))
			s.update(func(s *fakeStore) { s.down = true; s.wake() })
			advance(time.Second)
			g.Expect(counted("configuration", "retry")).To(BeNumerically(">", 0))
			g.Expect(counted("configuration", "list")).To(Equal(1))
		})
	})
})

// Guards against calls that grow unnoticed: they were the most expensive item of two deployments, also on quiet days.
var _ = Describe("Calls of a fleet to the store in 34 s", func() {
	// Each bound is half of the calls before they were reduced: 1,474 and 5,533.
	DescribeTable("are few", func(count, wanted int) {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			f := startCountedFleet(count)
			defer f.stop()
			f.run(g, count)
			sum := 0
			for _, phase := range phases {
				sum += f.store.total(phase)
				AddReportEntry(fmt.Sprintf("%d instances, %s", count, phase), f.store.calls[phase])
			}
			AddReportEntry(fmt.Sprintf("%d instances, sum", count), sum)
			g.Expect(sum).To(BeNumerically("<=", wanted))
		})
	}, Entry("sixteen instances", 16, 737), Entry("sixty-four", 64, 2766))
})
