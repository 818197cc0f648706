package wigeondispatch

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// burstRequestKinds are the kinds of requests that arrive together in a burst: long reviews, drafts and short verdicts.
var burstRequestKinds = []fleetKind{
	{
		tier: 0, requestsPerSecond: 25, promptTokens: 6600, answerTokens: 380, sizeSigma: 1, objective: 800 * time.Millisecond,
		patience: 3200 * time.Millisecond, timeout: 15 * time.Second, value: 7.6, late: 0.29,
	},
	{
		tier: 1, requestsPerSecond: 37, promptTokens: 690, answerTokens: 290, sizeSigma: 1, objective: 400 * time.Millisecond,
		patience: 2400 * time.Millisecond, timeout: 12 * time.Second, value: 2.1, late: 0.3,
	},
	{
		tier: 2, requestsPerSecond: 45, promptTokens: 1860, answerTokens: 25, sizeSigma: 0.8, objective: 400 * time.Millisecond,
		patience: 2400 * time.Millisecond, timeout: 3 * time.Second, value: 0.32, late: 0.3,
	},
}

// burstLoadFactor returns the factor on the load at a time: 2 in two intervals, otherwise 1.
func burstLoadFactor(at time.Duration) float64 {
	switch {
	case at > 5*time.Second && at < 10*time.Second, at > 15*time.Second && at < 18*time.Second:
		return 2
	default:
		return 1
	}
}

// shortBurstKinds are kinds of requests that endpoints can serve in bursts of twice the usual load, if they run them a little late.
var shortBurstKinds = []fleetKind{
	{
		tier: 0, requestsPerSecond: 50, promptTokens: 2950, answerTokens: 54, sizeSigma: 1, objective: 500 * time.Millisecond,
		patience: 2 * time.Second, timeout: 4 * time.Second, value: 5.4, late: 0.1,
	},
	{
		tier: 1, requestsPerSecond: 53, promptTokens: 1860, answerTokens: 24, sizeSigma: 0.8, objective: 400 * time.Millisecond,
		patience: 2 * time.Second, timeout: 3 * time.Second, value: 2, late: 0.1,
	},
	{
		tier: 2, requestsPerSecond: 27, promptTokens: 600, answerTokens: 280, sizeSigma: 1, objective: 300 * time.Millisecond,
		patience: 2400 * time.Millisecond, timeout: 12 * time.Second, value: 0.66, late: 0.1,
	},
}

var _ = Describe("Overload", func() {
	It("refuses at most one request in 1,000 for good in a burst that the endpoints can serve", func() {
		refusedAgain, requests := 0, 0
		for seed := range uint64(6) {
			f := newFleetSimulation(seed, 7, 18, 5, shortBurstKinds)
			f.simulate(30*time.Second, burstLoadFactor)
			AddReportEntry("fleet", f.summary())
			refusedAgain += f.counts.callerRetriesRefused
			requests += len(f.requests)
		}
		Expect(refusedAgain).To(BeNumerically("<=", requests/1000))
	})

	It("earns most of the achievable value in bursts of twice the capacity", func() {
		sum, valueShareBound := 0.0, 0.0
		for seed := range uint64(6) {
			f := newFleetSimulation(seed, 9, 9, 12, burstRequestKinds)
			f.simulate(30*time.Second, burstLoadFactor)
			AddReportEntry("fleet", f.summary())
			sum += f.valueShare()
			valueShareBound += f.valueShareBound()
			large := float64(f.counts.largeServed) / float64(f.counts.largeRequests)
			Expect(large).To(BeNumerically(">=", f.served()/2), "share of the largest requests that were served")
		}
		AddReportEntry("mean", fmt.Sprintf("mean value share %.4f, upper bound %.4f", sum/6, valueShareBound/6))
		Expect(sum / valueShareBound).To(BeNumerically(">", 0.6))
	})
})
