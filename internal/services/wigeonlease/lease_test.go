package wigeonlease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonlease"
	"wigeonshift/internal/standin/wigeonplatform"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suiteT *testing.T

func TestWigeonlease(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonlease")
}

const shardID = wigeonshift.ShardID("p/s/r/0")

// stallingTable is a table whose commits can be delayed, as if the calling process were paused.
type stallingTable struct {
	*wigeonplatform.Core
	mu    sync.Mutex
	until time.Time
}

func (s *stallingTable) waitWhileStalled() {
	s.mu.Lock()
	until := s.until
	s.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (s *stallingTable) stallFor(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = time.Now().Add(d)
}

func (s *stallingTable) Commit(ctx context.Context, tx wigeonshift.Transaction) ([]uint64, error) {
	s.waitWhileStalled()
	defer s.waitWhileStalled()
	return s.Core.Commit(ctx, tx)
}

// testElector is the elector of one instance with the events that it has reported.
type testElector struct {
	*wigeonlease.Elector
	table  *stallingTable
	id     string
	events []wigeonlease.Event
	cancel context.CancelFunc
}

// startElectors starts count electors with the ranks 0 to count-1.
func startElectors(core *wigeonplatform.Core, count int) (all []*testElector, stop func()) {
	var wg sync.WaitGroup
	for i := range count {
		e := &testElector{table: &stallingTable{Core: core}, id: fmt.Sprintf("n%d", i)}
		e.Elector = wigeonlease.NewElector(shardID, wigeonshift.Instance{ID: e.id}, wigeonlease.NewStore(e.table),
			func(ev wigeonlease.Event) { e.events = append(e.events, ev) })
		e.SetRank(i)
		ctx, cancel := context.WithCancel(context.Background())
		e.cancel = cancel
		wg.Add(1)
		go func() {
			defer wg.Done()
			e.Run(ctx)
		}()
		all = append(all, e)
	}
	return all, func() {
		for _, e := range all {
			e.cancel()
		}
		wg.Wait()
	}
}

// holders returns the electors that hold the lease now.
func holders(all []*testElector) []*testElector {
	return slices.DeleteFunc(slices.Clone(all), func(e *testElector) bool {
		_, ok := e.Held()
		return !ok
	})
}

var _ = Describe("Leases", func() {
	It("never have two holders at once, and epochs never decrease, under random faults", func() {
		holderChanges := uint64(0)
		for seed := range uint64(60) {
			synctest.Test(suiteT, func(t *testing.T) {
				g := NewWithT(t)
				random := rand.New(rand.NewPCG(seed, 1))
				core := wigeonplatform.NewCore(wigeonplatform.WithSeed(seed))
				all, stop := startElectors(core, 4)
				store := wigeonlease.NewStore(core)
				epoch := uint64(0)
				for step := range 1200 {
					if step%40 == 0 {
						core.SetFaults(randomFaults(random))
						paused := append(holders(all), all[random.IntN(len(all))])[0]
						paused.table.stallFor(time.Duration(random.IntN(8)) * time.Second)
					}
					time.Sleep(50 * time.Millisecond)
					g.Expect(len(holders(all))).To(BeNumerically("<=", 1), "seed %d step %d", seed, step)
				}
				core.SetFaults(wigeonplatform.Faults{})
				time.Sleep(12 * time.Second)
				g.Expect(holders(all)).To(HaveLen(1), "seed %d", seed)
				row, err := store.Read(context.Background(), shardID)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(row.Holder.ID).To(Equal(holders(all)[0].id))
				stop()
				holderByEpoch := map[uint64]string{}
				for _, e := range all {
					last := uint64(0)
					for _, ev := range e.events {
						g.Expect(ev.Epoch).To(BeNumerically(">=", last))
						last = ev.Epoch
						if ev.Kind == wigeonlease.Acquired {
							g.Expect(holderByEpoch[ev.Epoch]).To(BeElementOf("", e.id), "each epoch has one holder")
							holderByEpoch[ev.Epoch] = e.id
						}
					}
					epoch = max(epoch, last)
				}
				holderChanges += epoch - 1
			})
		}
		Expect(holderChanges).To(BeNumerically(">", 60), "the faults cause holder changes")
	})

	It("cause only the stated call rate and have a new holder within the stated time after a kill", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			core := wigeonplatform.NewCore()
			all, stop := startElectors(core, 4)
			time.Sleep(10 * time.Second)
			g.Expect(holders(all)).To(Equal(all[:1]))
			before := core.Counts()
			time.Sleep(100 * time.Second)
			after := core.Counts()
			reads, writes := float64(after.Reads-before.Reads)/100, float64(after.Writes-before.Writes)/100
			GinkgoWriter.Printf("one shard: %.2f writes/s, %.2f reads/s\n", writes, reads)
			g.Expect(writes).To(BeNumerically("<=", 1/wigeonlease.RenewPeriod.Seconds()+0.02))
			// Because of jitter, watchers read up to a tenth early. The second reads half as often as the first, the third a
			// third as often.
			g.Expect(reads).To(BeNumerically("<=", (1+1/2.0+1/3.0)/0.9/wigeonlease.WatchPeriod.Seconds()+0.05))

			all[0].cancel()
			killedAt := time.Now()
			for len(holders(all[1:])) == 0 {
				time.Sleep(time.Millisecond)
			}
			GinkgoWriter.Printf("new holder after %v\n", time.Since(killedAt))
			g.Expect(time.Since(killedAt)).To(BeNumerically("<=", wigeonlease.WatchPeriod+wigeonlease.Duration+time.Millisecond))
			g.Expect(holders(all[1:])).To(Equal(all[1:2]))
			stop()
		})
	})

	It("get a new epoch when a process restarts under the same id", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			core := wigeonplatform.NewCore()
			first, stop := startElectors(core, 1)
			time.Sleep(time.Second)
			stop()
			restarted, stop := startElectors(core, 1)
			time.Sleep(time.Second)
			stop()
			g.Expect(first[0].events).To(Equal([]wigeonlease.Event{{Kind: wigeonlease.Acquired, Epoch: 1}}))
			g.Expect(restarted[0].events).To(Equal([]wigeonlease.Event{{Kind: wigeonlease.Acquired, Epoch: 2}}))
		})
	})

	It("are transferred at once even if the answer is lost, and the former holder can't transfer them again", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			core := wigeonplatform.NewCore()
			all, stop := startElectors(core, 3)
			time.Sleep(5 * time.Second)
			core.SetFaults(wigeonplatform.Faults{LoseNext: 1})
			all[0].SetRank(-1)
			synctest.Wait()
			epoch, err := all[0].Transfer(context.Background(), wigeonshift.Instance{ID: all[2].id})
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(epoch).To(BeEquivalentTo(2))
			g.Expect(holders(all)).To(BeEmpty())
			all[2].Wake()
			synctest.Wait()
			g.Expect(holders(all)).To(Equal(all[2:]))
			_, err = all[0].Transfer(context.Background(), wigeonshift.Instance{ID: all[1].id})
			g.Expect(err).To(MatchError(wigeonshift.ErrNotOwner))
			time.Sleep(10 * time.Second)
			g.Expect(holders(all)).To(Equal(all[2:]))
			stop()
		})
	})
})

// randomFaults returns the faults of the platform for the next two seconds.
func randomFaults(r *rand.Rand) wigeonplatform.Faults {
	switch r.IntN(5) {
	case 0:
		return wigeonplatform.Faults{Outage: true}
	case 1:
		return wigeonplatform.Faults{Silent: true}
	case 2:
		return wigeonplatform.Faults{LatencyMS: int64(r.IntN(1500))}
	case 3:
		return wigeonplatform.Faults{LostAnswers: 0.5, LateByMS: int64(r.IntN(3000))}
	default:
		return wigeonplatform.Faults{}
	}
}
