package wigeonquota

import (
	"fmt"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// These specs replay an organisation that asks for somewhat more than its rate for as long as the day lasts, after a burst: a
// token bucket alone then grants the rate, although a window may hold the burst too.
var _ = Describe("Quota of an organisation that asks steadily for more than its rate", func() {
	const (
		rate, burst  = 34_000.0, 123_000.0
		window       = 8 * time.Second
		windowLimit  = rate*8 + burst
		allowedUnits = windowLimit*1.1 + 110_000
	)
	tolerance := Tolerance{Overage: 0.1, Slack: 110_000, Window: window}
	limit := tolerance.LimitOf(wigeonshift.RoutedOrganisation{UnitsPerSecond: rate, Burst: burst, CountsTokens: true})

	It("grants most of what the limit of a window holds, without a window beyond the tolerance", func() {
		for seed := range uint64(5) {
			for _, loadFactor := range []float64{1.2, 1.35, 2, 6} {
				load := fmt.Sprintf("seed %v, %v times the rate", seed, loadFactor)
				f := newQuotaSimulation(seed, 7, 7, limit)
				f.simulate(0, 40*time.Second, loadFactor*rate, 1)
				requested, granted := f.totals(16 * time.Second)
				owed := min(requested, windowLimit*3)
				Expect(granted/owed).To(BeNumerically(">", 0.88), load)
				Expect(f.maxGranted(window)).To(BeNumerically("<=", allowedUnits), load)
			}
		}
	})

	It("keeps within the tolerance in surges after idle times", func() {
		for seed := range uint64(5) {
			for _, loadFactor := range []float64{1.5, 4, 8} {
				f := newQuotaSimulation(seed, 7, 7, limit)
				for from := time.Duration(0); from < 60*time.Second; from += 12 * time.Second {
					f.simulate(from, from+5*time.Second, 0.3*rate, 1)
					f.simulate(from+5*time.Second, from+12*time.Second, loadFactor*rate, 1)
				}
				Expect(f.maxGranted(window)).To(BeNumerically("<=", allowedUnits), "seed %v, %v times the rate", seed, loadFactor)
			}
		}
	})

	It("adds nothing until the use of all instances has been known for a window", func() {
		q := New(limit, 0)
		q.SetShares(Shares{Share: 0.5, GroupFairShare: 1, MemberShare: 0.5}, 0)
		q.refill(20 * time.Second)
		q.SetShares(Shares{Share: 1, GroupFairShare: 1, MemberShare: 0.5}, 20*time.Second)
		q.balance = 0
		q.topUp(21 * time.Second)
		q.topUp(27 * time.Second)
		Expect(q.balance).To(BeZero())
		q.topUp(29 * time.Second)
		Expect(q.balance).To(BeNumerically(">", 0.0))
	})
})

var _ = Describe("windowUsage", func() {
	It("takes a correction from what was counted last", func() {
		w := windowUsage{slotLength: time.Second}
		w.add(100, 0)
		w.add(50, 3*time.Second)
		w.add(-70, 5*time.Second)
		Expect(w.headroom(1000, 0, 0, 5*time.Second)).To(BeNumerically("~", 920))
		Expect(w.headroom(1000, 0, 0, 18*time.Second)).To(BeNumerically("~", 1000), "nothing is left after the first slot has gone")
		w.add(-10, 18*time.Second)
		Expect(w.headroom(1000, 0, 0, 18*time.Second)).To(BeNumerically("~", 1000), "there was nothing to take back")
	})

	It("returns what no later window makes too much", func() {
		w := windowUsage{slotLength: time.Second}
		w.add(100, 0)
		w.add(50, 10*time.Second)
		Expect(w.headroom(1000, 0, 0, 10*time.Second)).To(BeNumerically("~", 850))
		Expect(w.headroom(1000, 0, 10, 10*time.Second)).To(BeNumerically("~", 1000-50-160), "the refill of a window counts")
		Expect(w.headroom(1000, 300, 0, 10*time.Second)).To(BeNumerically("~", 550))
		Expect(w.headroom(1000, 0, 0, 18*time.Second)).To(BeNumerically("~", 950), "the first use has left the window")
		Expect(w.headroom(1000, 0, 0, time.Hour)).To(BeNumerically("~", 1000))
	})
})
