package wigeonhedge

import (
	"fmt"
	"testing"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHedge(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonhedge")
}

func candidate(route string, promptTokens int) Candidate {
	GinkgoHelper()
	c, err := NewCandidate(Request{Kind: wigeonshift.RouteIdempotent, Service: "model", Route: route, PromptTokens: promptTokens})
	Expect(err).NotTo(HaveOccurred())
	return c
}

var _ = Describe("Candidate", func() {
	// A second run of any other request would break the guarantee of at most one run.
	DescribeTable("is made only of requests that may run twice", func(kind wigeonshift.RouteKind, resumable, allowed bool) {
		c, err := NewCandidate(Request{Kind: kind, Resumable: resumable, Service: "model", Route: "r"})
		Expect(err == nil).To(Equal(allowed))
		Expect(c.IsValid()).To(Equal(allowed))
		if !allowed {
			Expect(err).To(MatchError(ErrNotRepeatable))
		}
	},
		Entry("idempotent", wigeonshift.RouteIdempotent, false, true),
		Entry("resumable stream", wigeonshift.RouteStreaming, true, true),
		Entry("other stream", wigeonshift.RouteStreaming, false, false),
		Entry("not idempotent", wigeonshift.RouteNonIdempotent, false, false),
		Entry("not idempotent, marked resumable", wigeonshift.RouteNonIdempotent, true, false),
		Entry("unknown kind", wigeonshift.RouteKind(""), true, false),
	)

	It("has no delay as the zero value", func() {
		d := NewDelays(0.5)
		for range 100 {
			d.Record(0, Candidate{}, time.Second)
		}
		Expect(d.Delay(0, Candidate{})).To(BeZero())
	})
})

var _ = Describe("Delays", func() {
	It("are the percentile of each class", func() {
		d := NewDelays(0.9)
		for i := range 100 {
			d.Record(time.Second, candidate("short", 100), time.Duration(i)*time.Millisecond)
			d.Record(time.Second, candidate("short", 5000), time.Duration(i)*10*time.Millisecond)
		}
		Expect(d.Delay(time.Second, candidate("short", 250))).To(BeNumerically("~", 90*time.Millisecond, 6*time.Millisecond))
		Expect(d.Delay(time.Second, candidate("short", 6000))).To(BeNumerically("~", 900*time.Millisecond, 60*time.Millisecond))
		Expect(d.Delay(time.Second, candidate("long", 100))).To(BeZero(), "another route")
	})

	It("need samples beyond the percentile", func() {
		d := NewDelays(0.97)
		for range 64 {
			d.Record(0, candidate("r", 0), time.Second)
		}
		Expect(d.Delay(0, candidate("r", 0))).To(BeZero())
		for range 8 {
			d.Record(0, candidate("r", 0), time.Second)
		}
		Expect(d.Delay(0, candidate("r", 0))).NotTo(BeZero())
	})

	It("forget samples that are too old, so that a change of load counts", func() {
		d := NewDelays(0.5)
		for range 16 {
			d.Record(0, candidate("r", 0), time.Second)
		}
		Expect(d.Delay(spans*spanLength-1, candidate("r", 0))).NotTo(BeZero())
		Expect(d.Delay(spans*spanLength, candidate("r", 0))).To(BeZero())
	})

	It("are kept for a bounded number of classes, of which unused ones make room", func() {
		d := NewDelays(0.5)
		for i := range 2 * maxClasses {
			d.Record(0, candidate(fmt.Sprint(i), 0), time.Second)
		}
		Expect(d.classes).To(HaveLen(maxClasses))
		d.Record(spans*spanLength, candidate("new", 0), time.Second)
		Expect(d.classes).To(HaveLen(1))
	})
})
