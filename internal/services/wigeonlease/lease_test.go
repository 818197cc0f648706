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

// stall is a table whose calls wait while it is stalled, as those of a paused process do.
type stall struct {
	*wigeonplatform.Core
	mu    sync.Mutex
	until time.Time
}

func (s *stall) wait() {
	s.mu.Lock()
	until := s.until
	s.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (s *stall) pause(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = time.Now().Add(d)
}

func (s *stall) Commit(ctx context.Context, tx wigeonshift.Transaction) ([]uint64, error) {
	s.wait()
	defer s.wait()
	return s.Core.Commit(ctx, tx)
}

// bidder is one instance with its keeper and what it was told.
type bidder struct {
	*wigeonlease.Keeper
	table   *stall
	id      string
	notices []wigeonlease.Notice
	cancel  context.CancelFunc
}

// bidders starts keepers of ranks 0 and up.
func bidders(core *wigeonplatform.Core, count int) (all []*bidder, stop func()) {
	var wg sync.WaitGroup
	for i := range count {
		b := &bidder{table: &stall{Core: core}, id: fmt.Sprintf("n%d", i)}
		b.Keeper = wigeonlease.NewKeeper(shardID, wigeonshift.Instance{ID: b.id}, wigeonlease.NewStore(b.table),
			func(n wigeonlease.Notice) { b.notices = append(b.notices, n) })
		b.SetRank(i)
		ctx, cancel := context.WithCancel(context.Background())
		b.cancel = cancel
		wg.Add(1)
		go func() {
			defer wg.Done()
			b.Run(ctx)
		}()
		all = append(all, b)
	}
	return all, func() {
		for _, b := range all {
			b.cancel()
		}
		wg.Wait()
	}
}

func holders(all []*bidder) []*bidder {
	return slices.DeleteFunc(slices.Clone(all), func(b *bidder) bool {
		_, ok := b.Held()
		return !ok
	})
}

var _ = Describe("Leases", func() {
	It("never has two holders, and epochs never fall, under random faults", func() {
		moves := uint64(0)
		for seed := range uint64(60) {
			synctest.Test(suiteT, func(t *testing.T) {
				g := NewWithT(t)
				random := rand.New(rand.NewPCG(seed, 1))
				core := wigeonplatform.NewCore(wigeonplatform.WithSeed(seed))
				all, stop := bidders(core, 4)
				store := wigeonlease.NewStore(core)
				epoch := uint64(0)
				for step := range 1200 {
					if step%40 == 0 {
						core.SetFaults(randomFaults(random))
						paused := append(holders(all), all[random.IntN(len(all))])[0]
						paused.table.pause(time.Duration(random.IntN(8)) * time.Second)
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
				epochs := map[uint64]string{}
				for _, b := range all {
					last := uint64(0)
					for _, n := range b.notices {
						g.Expect(n.Epoch).To(BeNumerically(">=", last))
						last = n.Epoch
						if n.Kind == wigeonlease.Acquired {
							g.Expect(epochs[n.Epoch]).To(BeElementOf("", b.id), "one epoch, one holder")
							epochs[n.Epoch] = b.id
						}
					}
					epoch = max(epoch, last)
				}
				moves += epoch - 1
			})
		}
		Expect(moves).To(BeNumerically(">", 60), "the faults move leases")
	})

	It("costs the stated number of calls and is followed within the stated time", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			core := wigeonplatform.NewCore()
			all, stop := bidders(core, 4)
			time.Sleep(10 * time.Second)
			g.Expect(holders(all)).To(Equal(all[:1]))
			before := core.Counts()
			time.Sleep(100 * time.Second)
			after := core.Counts()
			reads, writes := float64(after.Reads-before.Reads)/100, float64(after.Writes-before.Writes)/100
			GinkgoWriter.Printf("one shard: %.2f writes/s, %.2f reads/s\n", writes, reads)
			g.Expect(writes).To(BeNumerically("<=", 1/wigeonlease.RenewPeriod.Seconds()+0.02))
			// Watchers read up to a tenth early, and the second and third half and a third as often as the first.
			g.Expect(reads).To(BeNumerically("<=", (1+1/2.0+1/3.0)/0.9/wigeonlease.WatchPeriod.Seconds()+0.05))

			all[0].cancel()
			killed := time.Now()
			for len(holders(all[1:])) == 0 {
				time.Sleep(time.Millisecond)
			}
			GinkgoWriter.Printf("followed after %v\n", time.Since(killed))
			g.Expect(time.Since(killed)).To(BeNumerically("<=", wigeonlease.WatchPeriod+wigeonlease.Duration+time.Millisecond))
			g.Expect(holders(all[1:])).To(Equal(all[1:2]))
			stop()
		})
	})

	It("takes a new epoch when a process restarts under the same id", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			core := wigeonplatform.NewCore()
			first, stop := bidders(core, 1)
			time.Sleep(time.Second)
			stop()
			again, stop := bidders(core, 1)
			time.Sleep(time.Second)
			stop()
			g.Expect(first[0].notices).To(Equal([]wigeonlease.Notice{{Kind: wigeonlease.Acquired, Epoch: 1}}))
			g.Expect(again[0].notices).To(Equal([]wigeonlease.Notice{{Kind: wigeonlease.Acquired, Epoch: 2}}))
		})
	})

	It("hands over at once, also when the answer is lost, and keeps out of the former holder's hands", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			core := wigeonplatform.NewCore()
			all, stop := bidders(core, 3)
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

// randomFaults returns a platform's state for two seconds.
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
