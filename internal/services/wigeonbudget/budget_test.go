package wigeonbudget

import (
	"testing"
	"time"
	"unsafe"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBudget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonbudget")
}

var _ = Describe("Retry budget", func() {
	const window = 10 * time.Second
	newBudget := func() *Budget { return New(0.2, window) }
	// countRequests counts n requests at a time.
	countRequests := func(b *Budget, at time.Duration, n int) {
		for range n {
			b.CountRequest(at)
		}
	}

	It("counts the mean of the window and of the one before it", func() {
		b := newBudget()
		countRequests(b, 30*time.Second, 100)
		Expect(b.Decide(31*time.Second, 0, 0).Limit).To(Equal(10.0), "in one of the two windows")
		countRequests(b, 36*time.Second, 100)
		Expect(b.Decide(38*time.Second, 0, 0).Limit).To(Equal(20.0), "in both windows")
		Expect(b.Decide(41*time.Second, 0, 0).Limit).To(Equal(10.0), "the first ones are in no window that begins now")
		Expect(b.Decide(46*time.Second, 0, 0).Limit).To(BeZero())
	})

	It("doesn't count requests that may have been sent before both windows", func() {
		b := newBudget()
		countRequests(b, 20*time.Second, 100)
		end := 20*time.Second + window - MaxArrivalDelay - MaxReceiveDelay
		Expect(b.Decide(end-100*time.Millisecond, 0, 0).Limit).To(Equal(10.0))
		Expect(b.Decide(end+100*time.Millisecond, 0, 0).Limit).To(BeZero(), "in a window that begins when the resend may arrive")
	})

	It("allows more than the instance's part in no window, wherever the requests were in the one before", func() {
		b := newBudget()
		countRequests(b, 20*time.Second, 200)
		sent := 0
		for at := 21 * time.Second; at < 60*time.Second; at += 50 * time.Millisecond {
			for b.Decide(at, 3, 0).Allowed {
				b.RecordArrival(b.CountResend(at), at)
				sent++
			}
		}
		Expect(sent).To(BeNumerically("<=", 20+3*4))
		Expect(sent).To(BeNumerically(">=", 20+3*3))
	})

	DescribeTable("counts a resend from its arrival on", func(arrivesAfter, counts time.Duration) {
		b := newBudget()
		slot := b.CountResend(20 * time.Second)
		if arrivesAfter > 0 {
			b.RecordArrival(slot, 20*time.Second+arrivesAfter)
		}
		Expect(b.Decide(20*time.Second+counts-200*time.Millisecond, 1, 0).Allowed).To(BeFalse())
		Expect(b.Decide(20*time.Second+counts+200*time.Millisecond, 1, 0).Allowed).To(BeTrue())
	},
		Entry("known by the answer", 100*time.Millisecond, window+100*time.Millisecond),
		Entry("unknown", time.Duration(0), window+MaxArrivalDelay),
		Entry("after an answer that came too late to tell", 3*time.Second, window+MaxArrivalDelay),
	)

	It("doesn't count a resend that is only reserved", func() {
		b := newBudget()
		Expect(b.Decide(time.Second, 2, 1).Allowed).To(BeTrue())
		Expect(b.Decide(time.Second, 2, 2).Allowed).To(BeFalse(), "two are promised to queued requests")
		Expect(b.Decide(time.Second, 2, 0).Resends).To(BeZero())
	})

	It("forgets everything after a long pause", func() {
		b := newBudget()
		countRequests(b, time.Second, 100)
		b.CountResend(time.Second)
		Expect(b.Decide(time.Hour, 0, 0)).To(Equal(Decision{}))
	})
})

// BenchmarkResendDecision measures one decision of a retry budget with a full history.
func BenchmarkResendDecision(b *testing.B) {
	budget := New(0.2, 10*time.Second)
	at := time.Duration(0)
	for at < time.Minute {
		at += 25 * time.Millisecond
		budget.CountRequest(at)
	}
	for b.Loop() {
		budget.Decide(at, 1, 0)
	}
	b.ReportMetric(float64(unsafe.Sizeof(*budget)), "bytes")
}
