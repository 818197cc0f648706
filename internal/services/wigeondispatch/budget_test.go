package wigeondispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Retry budgets of a fleet", func() {
	const (
		instances = 6
		step      = 100 * time.Millisecond
		window    = 10 * time.Second
		slack     = 52.0
		ratio     = 0.2
	)
	settings := Settings{RetryRatio: ratio, RetrySlack: slack, RetrySlackDelay: window, RetryWindow: window}

	// Each instance counts its own resends only, and forgets them when it is restarted. It must not get another full share
	// of the slack while the resends of its predecessor still count.
	DescribeTable("keep the limit of the deployment in every window while instances are restarted", func(restarts int) {
		budgets := make([]*retryBudget, instances)
		for i := range budgets {
			budgets[i] = newRetryBudget(settings, 0)
		}
		var resends, requests []int
		for at := window; at < 4*window; at += step {
			sentResends, sentRequests := 0, 0
			for i, b := range budgets {
				if restarts > 0 && i < restarts && at%(window/4) == 0 {
					b = newRetryBudget(settings, at)
					budgets[i] = b
				}
				b.countRequest(at)
				sentRequests++
				for b.tryResend(at, slack/instances).Allowed {
					sentResends++
				}
			}
			resends, requests = append(resends, sentResends), append(requests, sentRequests)
		}
		steps := int(window / step)
		for end := steps; end <= len(resends); end++ {
			resent, requested := sum(resends[end-steps:end]), sum(requests[end-steps:end])
			Expect(resent).To(BeNumerically("<=", ratio*float64(requested)+slack), "window that ends at step %d", end)
		}
		Expect(sum(resends)).To(BeNumerically(">", ratio*float64(sum(requests))/2), "resends are allowed at all")
	},
		Entry("none", 0), Entry("one instance", 1), Entry("half of them", instances/2), Entry("all of them", instances),
	)
})

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
