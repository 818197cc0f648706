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

// startStore starts the claim store of one instance on the shared platform.
func startStore(t *testing.T, core *wigeonplatform.Core, opts ...wigeonclaim.Option) *wigeonclaim.Store {
	guard := wigeonstore.New(core, wigeonstore.WithRateLimits(1e4, 1e4, 1e4))
	s := wigeonclaim.New(guard, guard, opts...)
	_ = s.Start(t.Context())
	t.Cleanup(func() { _ = s.Stop(context.Background()) })
	return s
}

func newClaim(key, token string) wigeonshift.Claim {
	return wigeonshift.Claim{
		Key: key, Token: wigeonshift.AttemptToken(token), Fingerprint: 7, State: wigeonshift.ClaimHeld,
		At: time.Now(), Expires: time.Now().Add(time.Hour),
	}
}

func withOutcome(c wigeonshift.Claim, state wigeonshift.ClaimState, body []byte) wigeonshift.Claim {
	c.State, c.Status, c.Body = state, 201, body
	return c
}

// claimWithTimeout claims with a deadline of 2 s.
func claimWithTimeout(s *wigeonclaim.Store, c wigeonshift.Claim) (wigeonshift.Claim, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return s.Claim(ctx, c)
}

func runInBubble(test func(t *testing.T, g *WithT, core *wigeonplatform.Core)) {
	synctest.Test(suiteT, func(t *testing.T) { test(t, NewWithT(t), wigeonplatform.NewCore()) })
}

var _ = Describe("Crash points", func() {
	It("before the claim: an unavailable store proves that nothing was claimed", func() {
		runInBubble(func(t *testing.T, g *WithT, core *wigeonplatform.Core) {
			core.SetFaults(wigeonplatform.Faults{Outage: true})
			_, err := claimWithTimeout(startStore(t, core), newClaim("k", "a"))
			g.Expect(err).To(MatchError(wigeonshift.ErrUnavailable))
			g.Expect(errors.Is(err, wigeonshift.ErrOutcomeUnknown)).To(BeFalse())
			core.SetFaults(wigeonplatform.Faults{})
			_, err = claimWithTimeout(startStore(t, core), newClaim("k", "b"))
			g.Expect(err).NotTo(HaveOccurred())
		})
	})

	It("after the claim took effect and its response was lost: the claim is resolved and no other attempt gets the key", func() {
		runInBubble(func(t *testing.T, g *WithT, core *wigeonplatform.Core) {
			core.SetFaults(wigeonplatform.Faults{LoseNext: 1, LateByMS: 300})
			_, err := claimWithTimeout(startStore(t, core), newClaim("k", "a"))
			g.Expect(err).NotTo(HaveOccurred())
			existing, err := claimWithTimeout(startStore(t, core), newClaim("k", "b"))
			g.Expect(err).To(MatchError(wigeonshift.ErrAlreadyClaimed))
			g.Expect(existing.Token).To(BeEquivalentTo("a"))
		})
	})

	It("after the claim took effect, with an unresponsive store from then on: the outcome is unknown and the claim can be released later", func() {
		runInBubble(func(t *testing.T, g *WithT, core *wigeonplatform.Core) {
			core.SetFaults(wigeonplatform.Faults{LoseNext: 1, LateByMS: 20_000})
			time.AfterFunc(5*time.Millisecond, func() { core.SetFaults(wigeonplatform.Faults{Silent: true}) })
			s := startStore(t, core)
			_, err := claimWithTimeout(s, newClaim("k", "a"))
			g.Expect(err).To(MatchError(wigeonshift.ErrOutcomeUnknown))
			time.Sleep(10 * time.Second)
			core.SetFaults(wigeonplatform.Faults{})
			time.Sleep(3 * time.Second)
			g.Expect(s.Settle(t.Context(), withOutcome(newClaim("k", "a"), wigeonshift.ClaimReleased, nil))).To(Succeed())
			time.Sleep(20 * time.Second)
			_, err = claimWithTimeout(startStore(t, core), newClaim("k", "b"))
			g.Expect(err).NotTo(HaveOccurred(), "the delayed write must not hold the key")
		})
	})

	It("after dispatch: the key of a stopped instance cannot be claimed again before it expires", func() {
		runInBubble(func(t *testing.T, g *WithT, core *wigeonplatform.Core) {
			stopped := startStore(t, core)
			_, err := claimWithTimeout(stopped, newClaim("k", "a"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(stopped.Stop(t.Context())).To(Succeed())
			for range 50 {
				time.Sleep(time.Minute)
				existing, err := claimWithTimeout(startStore(t, core), newClaim("k", "b"))
				g.Expect(err).To(MatchError(wigeonshift.ErrAlreadyClaimed))
				g.Expect(existing.State).To(Equal(wigeonshift.ClaimHeld))
			}
			g.Expect(stopped.Start(t.Context())).To(Succeed())
		})
	})

	It("before the outcome: a repeated request gets the complete recorded outcome or none", func() {
		runInBubble(func(t *testing.T, g *WithT, core *wigeonplatform.Core) {
			s := startStore(t, core, wigeonclaim.WithMaxRowBodyBytes(100))
			for _, size := range []int{10, 5000} {
				key, body := fmt.Sprint(size), bytes.Repeat([]byte("x"), size)
				_, err := claimWithTimeout(s, newClaim(key, "a"))
				g.Expect(err).NotTo(HaveOccurred())
				core.SetFaults(wigeonplatform.Faults{Outage: true})
				g.Expect(s.Settle(t.Context(), withOutcome(newClaim(key, "a"), wigeonshift.ClaimDone, body))).NotTo(Succeed())
				core.SetFaults(wigeonplatform.Faults{LoseNext: 1})
				time.Sleep(5 * time.Second)
				existing, err := claimWithTimeout(startStore(t, core), newClaim(key, "b"))
				g.Expect(err).To(MatchError(wigeonshift.ErrAlreadyClaimed))
				g.Expect(existing.State).To(Equal(wigeonshift.ClaimHeld))
				for s.Settle(t.Context(), withOutcome(newClaim(key, "a"), wigeonshift.ClaimDone, body)) != nil {
					time.Sleep(time.Second)
				}
				existing, err = claimWithTimeout(startStore(t, core), newClaim(key, "b"))
				g.Expect(err).To(MatchError(wigeonshift.ErrAlreadyClaimed))
				g.Expect(existing).To(And(HaveField("Status", 201), HaveField("Body", Equal(body))))
			}
		})
	})
})

var _ = Describe("Claim", func() {
	It("gives each key to at most one of several concurrent attempts when responses are lost", func() {
		runInBubble(func(t *testing.T, g *WithT, core *wigeonplatform.Core) {
			core.SetFaults(wigeonplatform.Faults{LostAnswers: 0.2, LateByMS: 700, LatencyMS: 30})
			var mu sync.Mutex
			held := map[string]int{}
			var wg sync.WaitGroup
			random := rand.New(rand.NewPCG(3, 3))
			for i := range 4 {
				s := startStore(t, core)
				for n := range 100 {
					key := fmt.Sprint(random.IntN(150))
					pause := time.Duration(random.IntN(300)) * time.Millisecond
					wg.Go(func() {
						time.Sleep(pause)
						if _, err := claimWithTimeout(s, newClaim(key, fmt.Sprint(i, "-", n))); err == nil {
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

	It("refuses only the request with a reused key within a batch", func() {
		runInBubble(func(t *testing.T, g *WithT, core *wigeonplatform.Core) {
			s := startStore(t, core, wigeonclaim.WithBatchWriters(1))
			_, err := claimWithTimeout(s, newClaim("k3", "old"))
			g.Expect(err).NotTo(HaveOccurred())
			before := core.Counts().Writes
			errs := make([]error, 20)
			var wg sync.WaitGroup
			for i := range errs {
				wg.Go(func() {
					c := newClaim(fmt.Sprint("k", i), "new")
					c.Fingerprint = 8
					_, errs[i] = claimWithTimeout(s, c)
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
			g.Expect(core.Counts().Writes-before).To(BeNumerically("<=", 3), "claims are written in batches")
		})
	})

	It("adds no more latency than the batch delay", func() {
		runInBubble(func(t *testing.T, g *WithT, core *wigeonplatform.Core) {
			s := startStore(t, core)
			start := time.Now()
			_, err := claimWithTimeout(s, newClaim("k", "a"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(time.Since(start)).To(BeNumerically("<=", wigeonclaim.DefaultBatchDelay))
		})
	})

	// Logs the figures in docs/measurements/claims.md: go test -v ./internal/models/wigeonclaim
	DescribeTable("limits the latency that batching adds", func(perSecond int) {
		runInBubble(func(t *testing.T, g *WithT, core *wigeonplatform.Core) {
			const latency = 10 * time.Millisecond
			core.SetFaults(wigeonplatform.Faults{LatencyMS: latency.Milliseconds()})
			s := startStore(t, core)
			latencies := make([]time.Duration, perSecond)
			var wg sync.WaitGroup
			for i := range latencies {
				time.Sleep(time.Second / time.Duration(perSecond))
				wg.Go(func() {
					start := time.Now()
					_, err := claimWithTimeout(s, newClaim(fmt.Sprint(i), "a"))
					g.Expect(err).NotTo(HaveOccurred())
					latencies[i] = time.Since(start)
				})
			}
			wg.Wait()
			slices.Sort(latencies)
			maxLatency := latencies[perSecond-1]
			t.Logf("%d claims/s, write latency %s: %d writes; claim latency median %s, maximum %s",
				perSecond, latency, core.Counts().Writes, latencies[perSecond/2], maxLatency)
			// In the worst case a claim waits for one batch in flight on each batch writer and for its own batch delay.
			g.Expect(maxLatency).To(BeNumerically("<=", 2*latency+2*wigeonclaim.DefaultBatchDelay))
		})
	},
		Entry("few", 10),
		Entry("many", 500),
		Entry("very many", 5000),
	)

	It("lets a released or expired key be claimed again, and sweeps expired rows and bodies", func() {
		runInBubble(func(t *testing.T, g *WithT, core *wigeonplatform.Core) {
			shouldSweep := func() bool { return true }
			s := startStore(t, core, wigeonclaim.WithMaxRowBodyBytes(1), wigeonclaim.WithSweeper(shouldSweep, time.Second))
			_, err := claimWithTimeout(s, newClaim("k", "a"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.Settle(t.Context(), withOutcome(newClaim("k", "a"), wigeonshift.ClaimReleased, nil))).To(Succeed())
			_, err = claimWithTimeout(s, newClaim("k", "b"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.Settle(t.Context(), withOutcome(newClaim("k", "a"), wigeonshift.ClaimReleased, nil))).To(Succeed())
			_, err = claimWithTimeout(s, newClaim("k", "c"))
			g.Expect(err).To(MatchError(wigeonshift.ErrAlreadyClaimed), "a late release by another attempt must not free the key")
			g.Expect(s.Settle(t.Context(), withOutcome(newClaim("k", "b"), wigeonshift.ClaimDone, []byte("body")))).To(Succeed())
			g.Expect(core.ListObjects(t.Context(), "claim/", "", 9)).To(HaveLen(1))
			_, err = claimWithTimeout(s, newClaim("again", "a"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.Settle(t.Context(), withOutcome(newClaim("again", "a"), wigeonshift.ClaimReleased, nil))).To(Succeed())
			time.Sleep(30 * time.Minute)
			_, err = claimWithTimeout(s, newClaim("again", "b"))
			g.Expect(err).NotTo(HaveOccurred())
			time.Sleep(29 * time.Minute)
			g.Expect(core.Scan(t.Context(), "claim/", "", 9)).To(HaveLen(2))
			time.Sleep(5 * time.Minute)
			g.Expect(core.Scan(t.Context(), "claim/", "", 9)).To(ConsistOf(HaveField("Key", "claim/again")))
			time.Sleep(30 * time.Minute)
			g.Expect(core.Scan(t.Context(), "claim", "", 9)).To(BeEmpty(), "expired claims and their index entries must be removed")
			g.Expect(core.ListObjects(t.Context(), "claim/", "", 9)).To(BeEmpty())
		})
	})
})
