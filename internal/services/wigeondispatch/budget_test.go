package wigeondispatch

import (
	"testing"
	"time"
	"unsafe"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Retry budget", func() {
	const window = 10 * time.Second
	newBudget := func() *retryBudget { return newRetryBudget(Settings{RetryRatio: 0.2, RetryWindow: window}) }
	// countRequests counts n requests at a time.
	countRequests := func(b *retryBudget, at time.Duration, n int) {
		for range n {
			b.countRequest(at)
		}
	}

	It("counts the mean of the window and of the one before it", func() {
		b := newBudget()
		countRequests(b, 30*time.Second, 100)
		Expect(b.decide(31*time.Second, 0, 0).Limit).To(Equal(10.0), "in one of the two windows")
		countRequests(b, 36*time.Second, 100)
		Expect(b.decide(38*time.Second, 0, 0).Limit).To(Equal(20.0), "in both windows")
		Expect(b.decide(41*time.Second, 0, 0).Limit).To(Equal(10.0), "the first ones are in no window that begins now")
		Expect(b.decide(46*time.Second, 0, 0).Limit).To(BeZero())
	})

	It("doesn't count requests that may have been sent before both windows", func() {
		b := newBudget()
		countRequests(b, 20*time.Second, 100)
		end := 20*time.Second + window - MaxArrivalDelay - maxReceiveDelay
		Expect(b.decide(end-100*time.Millisecond, 0, 0).Limit).To(Equal(10.0))
		Expect(b.decide(end+100*time.Millisecond, 0, 0).Limit).To(BeZero(), "in a window that begins when the resend may arrive")
	})

	It("allows more than the instance's part in no window, wherever the requests were in the one before", func() {
		b := newBudget()
		countRequests(b, 20*time.Second, 200)
		sent := 0
		for at := 21 * time.Second; at < 60*time.Second; at += 50 * time.Millisecond {
			for b.decide(at, 3, 0).Allowed {
				b.recordArrival(b.countResend(at), at)
				sent++
			}
		}
		Expect(sent).To(BeNumerically("<=", 20+3*4))
		Expect(sent).To(BeNumerically(">=", 20+3*3))
	})

	DescribeTable("counts a resend from its arrival on", func(arrivesAfter, counts time.Duration) {
		b := newBudget()
		slot := b.countResend(20 * time.Second)
		if arrivesAfter > 0 {
			b.recordArrival(slot, 20*time.Second+arrivesAfter)
		}
		Expect(b.decide(20*time.Second+counts-200*time.Millisecond, 1, 0).Allowed).To(BeFalse())
		Expect(b.decide(20*time.Second+counts+200*time.Millisecond, 1, 0).Allowed).To(BeTrue())
	},
		Entry("known by the answer", 100*time.Millisecond, window+100*time.Millisecond),
		Entry("unknown", time.Duration(0), window+MaxArrivalDelay),
		Entry("after an answer that came too late to tell", 3*time.Second, window+MaxArrivalDelay),
	)

	It("doesn't count a resend that is only reserved", func() {
		b := newBudget()
		Expect(b.decide(time.Second, 2, 1).Allowed).To(BeTrue())
		Expect(b.decide(time.Second, 2, 2).Allowed).To(BeFalse(), "two are promised to queued requests")
		Expect(b.decide(time.Second, 2, 0).Resends).To(BeZero())
	})

	It("forgets everything after a long pause", func() {
		b := newBudget()
		countRequests(b, time.Second, 100)
		b.countResend(time.Second)
		Expect(b.decide(time.Hour, 0, 0)).To(Equal(ResendDecision{}))
	})
})

var _ = Describe("Resends", func() {
	// sentIdempotent returns an idempotent request that was sent to an endpoint.
	sentIdempotent := func(h *reducerHarness) *Job {
		j := h.newJob()
		j.Kind, j.MaxAttempts = wigeonshift.RouteIdempotent, 3
		onlyDispatchEndpoint(h.arrive(j))
		return j
	}

	It("use the share of the fixed number only until its end", func() {
		h := newHarness(newRecord("a"), newRecord("b"), newRecord("c"))
		h.state.Reduce(ShareGranted{Share: 0.2, Until: 500 * time.Millisecond})
		first, second, third := sentIdempotent(h), sentIdempotent(h), sentIdempotent(h)
		Expect(onlyDispatchEndpoint(h.end(first, OutcomeRejected, true))).NotTo(BeEmpty(), "two of ten are allowed")
		h.at = 500 * time.Millisecond
		Expect(onlyRefusal(h.end(second, OutcomeRejected, true)).Resend.Slack).To(BeZero())
		h.state.Reduce(ShareGranted{At: h.at, Share: 0.2, Until: time.Second})
		Expect(onlyDispatchEndpoint(h.end(third, OutcomeRejected, true))).NotTo(BeEmpty())
	})

	It("are limited in the time until they are sent", func() {
		h := newHarness(newRecord("a"), newRecord("b"))
		j := h.newJob()
		Expect(h.arrive(j)[0].(Dispatch).MaxSendDelay).To(BeZero(), "the first attempt is no resend")
		Expect(h.end(j, OutcomeRejected, true)[0].(Dispatch).MaxSendDelay).To(Equal(maxSendDelay))
	})

	It("that were delayed go to any endpoint again, and count against the budget", func() {
		h := newHarness(newRecord("a"), newRecord("b"))
		h.state.Reduce(ShareGranted{Share: 0.2, Until: time.Hour})
		j := sentIdempotent(h)
		to := onlyDispatchEndpoint(h.end(j, OutcomeRejected, true))
		Expect(onlyDispatchEndpoint(h.end(j, OutcomeDelayed, true))).To(Equal(to))
		Expect(onlyRefusal(h.end(j, OutcomeDelayed, true)).Reason).To(Equal(ReasonAttempts), "two resends are used up")
	})

	It("are decided on again when a slot is free", func() {
		h := newHarness(newRecord("a"), newRecord("b"))
		j := sentIdempotent(h)
		others := h.occupySlots(3)
		Expect(h.end(j, OutcomeRejected, true)).To(BeEmpty(), "queued")
		h.state.Reduce(ShareGranted{Share: 0, Until: time.Hour})
		Expect(onlyRefusal(h.end(others[2], OutcomeDone, false)).Reason).To(Equal(ReasonAttempts))
	})

	It("of queued requests are reserved", func() {
		h := newHarness(newRecord("a"), newRecord("b"))
		h.state.Reduce(ShareGranted{Share: 0.1, Until: time.Hour})
		jobs := []*Job{sentIdempotent(h), sentIdempotent(h)}
		h.occupySlots(2)
		Expect(h.end(jobs[0], OutcomeRejected, true)).To(BeEmpty(), "queued")
		Expect(h.state.retryBudget("model").reserved).To(Equal(1))
		refusals := effectsOf[Refuse](h.end(jobs[1], OutcomeRejected, true))
		Expect(refusals).To(ConsistOf(HaveField("Reason", ReasonAttempts)))
		Expect(h.state.retryBudget("model").reserved).To(BeZero(), "the first one got the free slot")
	})

	It("of queued requests that are withdrawn are free again", func() {
		h := newHarness(newRecord("a"), newRecord("b"))
		j := sentIdempotent(h)
		h.occupySlots(3)
		h.end(j, OutcomeRejected, true)
		Expect(h.state.retryBudget("model").reserved).To(Equal(1))
		h.state.Reduce(RequestWithdrawn{At: h.at, Job: j.ID})
		Expect(h.state.retryBudget("model").reserved).To(BeZero())
	})

	It("gain nothing from requests that may have waited while the instance was paused", func() {
		h := newHarness(newRecord("a"))
		h.state.settings.RetryRatio = 1
		requests := func() int {
			before := h.state.retryBudget("model").requests
			h.arrive(h.newJob())
			after := h.state.retryBudget("model").requests
			sum := 0
			for i := range after {
				sum += after[i] - before[i]
			}
			return sum
		}
		for h.at < time.Second {
			h.at += 50 * time.Millisecond
			h.state.Reduce(Tick{At: h.at})
		}
		Expect(requests()).To(Equal(1))
		h.at += 4 * time.Second
		Expect(requests()).To(BeZero(), "before the first tick after the pause")
		for range 9 {
			h.state.Reduce(Tick{At: h.at})
			Expect(requests()).To(BeZero(), "while requests of the pause are read")
			h.at += 50 * time.Millisecond
		}
		for range 2 {
			h.at += 50 * time.Millisecond
			h.state.Reduce(Tick{At: h.at})
		}
		Expect(requests()).To(Equal(1))
	})
})

// BenchmarkResendDecision measures one decision of a retry budget with a full history.
func BenchmarkResendDecision(b *testing.B) {
	budget := newRetryBudget(Settings{RetryRatio: 0.2, RetryWindow: 10 * time.Second})
	at := time.Duration(0)
	for at < time.Minute {
		at += 25 * time.Millisecond
		budget.countRequest(at)
	}
	for b.Loop() {
		budget.decide(at, 1, 0)
	}
	b.ReportMetric(float64(unsafe.Sizeof(*budget)), "bytes")
}
