package wigeonclaim_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonclaim"
	"wigeonshift/internal/models/wigeonstore"
	"wigeonshift/internal/standin/wigeonplatform"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suiteT *testing.T

func TestWigeonclaim(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonclaim")
}

// instance is one instance's claim store over the shared platform.
func instance(t *testing.T, core *wigeonplatform.Core, opts ...wigeonclaim.Option) *wigeonclaim.Store {
	guard := wigeonstore.New(core, wigeonstore.WithBudget(1e4, 1e4, 1e4))
	s := wigeonclaim.New(guard, guard, opts...)
	_ = s.Start(t.Context())
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	return s
}

func claim(key, token string) wigeonshift.Claim {
	return wigeonshift.Claim{
		Key: key, Token: wigeonshift.AttemptToken(token), Fingerprint: 7, State: wigeonshift.ClaimHeld,
		At: time.Now(), Expires: time.Now().Add(time.Hour),
	}
}

func ended(c wigeonshift.Claim, state wigeonshift.ClaimState, body []byte) wigeonshift.Claim {
	c.State, c.Status, c.Body = state, 201, body
	return c
}

// try claims with an entry's patience.
func try(s *wigeonclaim.Store, c wigeonshift.Claim) (wigeonshift.Claim, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return s.Claim(ctx, c)
}

func bubble(test func(t *testing.T, g *WithT, core *wigeonplatform.Core)) {
	synctest.Test(suiteT, func(t *testing.T) { test(t, NewWithT(t), wigeonplatform.NewCore()) })
}

var _ = Describe("Crash points", func() {
	It("before the claim: a store that is down proves that nothing was claimed", func() {
		bubble(func(t *testing.T, g *WithT, core *wigeonplatform.Core) {
			core.SetFaults(wigeonplatform.Faults{Outage: true})
			_, err := try(instance(t, core), claim("k", "a"))
			g.Expect(err).To(MatchError(wigeonshift.ErrUnavailable))
			g.Expect(errors.Is(err, wigeonshift.ErrOutcomeUnknown)).To(BeFalse())
			core.SetFaults(wigeonplatform.Faults{})
			_, err = try(instance(t, core), claim("k", "b"))
			g.Expect(err).NotTo(HaveOccurred())
		})
	})

	It("after the claim's effect with the answer lost: it is settled, and no other attempt gets the key", func() {
		bubble(func(t *testing.T, g *WithT, core *wigeonplatform.Core) {
			core.SetFaults(wigeonplatform.Faults{LoseNext: 1, LateByMS: 300})
			_, err := try(instance(t, core), claim("k", "a"))
			g.Expect(err).NotTo(HaveOccurred())
			existing, err := try(instance(t, core), claim("k", "b"))
			g.Expect(err).To(MatchError(wigeonshift.ErrAlreadyClaimed))
			g.Expect(existing.Token).To(BeEquivalentTo("a"))
		})
	})

	It("after the claim's effect, with the store silent from then on: unknown, and released later", func() {
		bubble(func(t *testing.T, g *WithT, core *wigeonplatform.Core) {
			core.SetFaults(wigeonplatform.Faults{LoseNext: 1, LateByMS: 20_000})
			time.AfterFunc(5*time.Millisecond, func() { core.SetFaults(wigeonplatform.Faults{Silent: true}) })
			s := instance(t, core)
			_, err := try(s, claim("k", "a"))
			g.Expect(err).To(MatchError(wigeonshift.ErrOutcomeUnknown))
			time.Sleep(10 * time.Second)
			core.SetFaults(wigeonplatform.Faults{})
			time.Sleep(3 * time.Second)
			g.Expect(s.Settle(t.Context(), ended(claim("k", "a"), wigeonshift.ClaimReleased, nil))).To(Succeed())
			time.Sleep(20 * time.Second)
			_, err = try(instance(t, core), claim("k", "b"))
			g.Expect(err).NotTo(HaveOccurred(), "the write that came late must not hold the key")
		})
	})

	It("after dispatch: the key of a dead instance is never given again before it expires", func() {
		bubble(func(t *testing.T, g *WithT, core *wigeonplatform.Core) {
			dead := instance(t, core)
			_, err := try(dead, claim("k", "a"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(dead.Stop(t.Context())).To(Succeed())
			for range 50 {
				time.Sleep(time.Minute)
				existing, err := try(instance(t, core), claim("k", "b"))
				g.Expect(err).To(MatchError(wigeonshift.ErrAlreadyClaimed))
				g.Expect(existing.State).To(Equal(wigeonshift.ClaimHeld))
			}
			g.Expect(dead.Start(t.Context())).To(Succeed())
		})
	})

	It("before the outcome: a repeat gets the whole recorded outcome or none", func() {
		bubble(func(t *testing.T, g *WithT, core *wigeonplatform.Core) {
			s := instance(t, core, wigeonclaim.WithMaxRowBody(100))
			for _, size := range []int{10, 5000} {
				key, body := fmt.Sprint(size), bytes.Repeat([]byte("x"), size)
				_, err := try(s, claim(key, "a"))
				g.Expect(err).NotTo(HaveOccurred())
				core.SetFaults(wigeonplatform.Faults{Outage: true})
				g.Expect(s.Settle(t.Context(), ended(claim(key, "a"), wigeonshift.ClaimDone, body))).NotTo(Succeed())
				core.SetFaults(wigeonplatform.Faults{LoseNext: 1})
				time.Sleep(5 * time.Second)
				existing, err := try(instance(t, core), claim(key, "b"))
				g.Expect(err).To(MatchError(wigeonshift.ErrAlreadyClaimed))
				g.Expect(existing.State).To(Equal(wigeonshift.ClaimHeld))
				for s.Settle(t.Context(), ended(claim(key, "a"), wigeonshift.ClaimDone, body)) != nil {
					time.Sleep(time.Second)
				}
				existing, err = try(instance(t, core), claim(key, "b"))
				g.Expect(err).To(MatchError(wigeonshift.ErrAlreadyClaimed))
				g.Expect(existing).To(And(HaveField("Status", 201), HaveField("Body", Equal(body))))
			}
		})
	})
})

var _ = Describe("Claim", func() {
	It("gives each key to at most one of racing attempts, whatever answers are lost", func() {
		bubble(func(t *testing.T, g *WithT, core *wigeonplatform.Core) {
			core.SetFaults(wigeonplatform.Faults{LostAnswers: 0.2, LateByMS: 700, LatencyMS: 30})
			var mu sync.Mutex
			held := map[string]int{}
			var wg sync.WaitGroup
			random := rand.New(rand.NewPCG(3, 3))
			for i := range 4 {
				s := instance(t, core)
				for n := range 100 {
					key := fmt.Sprint(random.IntN(150))
					pause := time.Duration(random.IntN(300)) * time.Millisecond
					wg.Go(func() {
						time.Sleep(pause)
						if _, err := try(s, claim(key, fmt.Sprint(i, "-", n))); err == nil {
							mu.Lock()
							held[key]++
							mu.Unlock()
						}
					})
				}
			}
			wg.Wait()
			g.Expect(held).NotTo(BeEmpty())
			for key, count := range held {
				g.Expect(count).To(Equal(1), "key %s", key)
			}
		})
	})

	It("refuses the key's other request, and only that, in a batch", func() {
		bubble(func(t *testing.T, g *WithT, core *wigeonplatform.Core) {
			s := instance(t, core, wigeonclaim.WithLanes(1))
			_, err := try(s, claim("k3", "old"))
			g.Expect(err).NotTo(HaveOccurred())
			before := core.Counts().Writes
			errs := make([]error, 20)
			var wg sync.WaitGroup
			for i := range errs {
				wg.Go(func() {
					c := claim(fmt.Sprint("k", i), "new")
					c.Fingerprint = 8
					_, errs[i] = try(s, c)
				})
			}
			wg.Wait()
			for i, err := range errs {
				if i == 3 {
					g.Expect(err).To(And(MatchError(wigeonshift.ErrAlreadyClaimed), MatchError(wigeonclaim.ErrKeyReused)))
				} else {
					g.Expect(err).NotTo(HaveOccurred(), "claim %d", i)
				}
			}
			g.Expect(core.Counts().Writes-before).To(BeNumerically("<=", 3), "written in batches")
		})
	})

	It("adds no more latency than its linger", func() {
		bubble(func(t *testing.T, g *WithT, core *wigeonplatform.Core) {
			s := instance(t, core)
			start := time.Now()
			_, err := try(s, claim("k", "a"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(time.Since(start)).To(BeNumerically("<=", wigeonclaim.DefaultLinger))
		})
	})

	// The figures of docs/measurements/claims.md: go test -v ./internal/models/wigeonclaim
	DescribeTable("bounds the latency that batching adds", func(perSecond int) {
		bubble(func(t *testing.T, g *WithT, core *wigeonplatform.Core) {
			const trip = 10 * time.Millisecond
			core.SetFaults(wigeonplatform.Faults{LatencyMS: trip.Milliseconds()})
			s := instance(t, core)
			latencies := make([]time.Duration, perSecond)
			var wg sync.WaitGroup
			for i := range latencies {
				time.Sleep(time.Second / time.Duration(perSecond))
				wg.Go(func() {
					start := time.Now()
					_, err := try(s, claim(fmt.Sprint(i), "a"))
					g.Expect(err).NotTo(HaveOccurred())
					latencies[i] = time.Since(start)
				})
			}
			wg.Wait()
			slices.Sort(latencies)
			longest := latencies[perSecond-1]
			t.Logf("%d claims/s, a write takes %s: %d writes; claims take %s at the median, %s at most",
				perSecond, trip, core.Counts().Writes, latencies[perSecond/2], longest)
			// At worst a claim waits for one batch in flight on each lane and for its own linger.
			g.Expect(longest).To(BeNumerically("<=", 2*trip+2*wigeonclaim.DefaultLinger))
		})
	},
		Entry("few", 10),
		Entry("many", 500),
		Entry("very many", 5000),
	)

	It("gives a released or expired key again, and sweeps expired rows and bodies", func() {
		bubble(func(t *testing.T, g *WithT, core *wigeonplatform.Core) {
			sweeping := func() bool { return true }
			s := instance(t, core, wigeonclaim.WithMaxRowBody(1), wigeonclaim.WithSweeper(sweeping, time.Second))
			_, err := try(s, claim("k", "a"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.Settle(t.Context(), ended(claim("k", "a"), wigeonshift.ClaimReleased, nil))).To(Succeed())
			_, err = try(s, claim("k", "b"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.Settle(t.Context(), ended(claim("k", "a"), wigeonshift.ClaimReleased, nil))).To(Succeed())
			_, err = try(s, claim("k", "c"))
			g.Expect(err).To(MatchError(wigeonshift.ErrAlreadyClaimed), "a late release of another attempt")
			g.Expect(s.Settle(t.Context(), ended(claim("k", "b"), wigeonshift.ClaimDone, []byte("body")))).To(Succeed())
			g.Expect(core.ListObjects(t.Context(), "claim/", "", 9)).To(HaveLen(1))
			_, err = try(s, claim("again", "a"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.Settle(t.Context(), ended(claim("again", "a"), wigeonshift.ClaimReleased, nil))).To(Succeed())
			time.Sleep(30 * time.Minute)
			_, err = try(s, claim("again", "b"))
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(29 * time.Minute)
			g.Expect(core.Scan(t.Context(), "claim/", "", 9)).To(HaveLen(2))
			time.Sleep(5 * time.Minute)
			g.Expect(core.Scan(t.Context(), "claim/", "", 9)).To(ConsistOf(HaveField("Key", "claim/again")))
			time.Sleep(30 * time.Minute)
			g.Expect(core.Scan(t.Context(), "claim", "", 9)).To(BeEmpty(), "claims and their entries by expiry")
			g.Expect(core.ListObjects(t.Context(), "claim/", "", 9)).To(BeEmpty())
		})
	})
})
