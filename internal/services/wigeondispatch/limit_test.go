package wigeondispatch

import (
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// answerLimit reports what the response to a request that was sent some time ago says of the limit of an endpoint.
func (h *reducerHarness) answerLimit(id string, limit wigeonshift.EndpointLimit, sentAgo time.Duration) []Effect {
	return h.state.Reduce(EndpointSignalled{
		At: h.at, EndpointID: id, StartedAtMillis: h.state.endpoints[id].record.StartedAtMillis, Limit: limit,
		DispatchedAt: h.at - sentAgo,
	})
}

// limitOf returns the statement of a limit.
func limitOf(requestsPerSecond float64) wigeonshift.EndpointLimit {
	return wigeonshift.EndpointLimit{Stated: true, RequestsPerSecond: requestsPerSecond}
}

var _ = Describe("The limit of an endpoint", func() {
	var h *reducerHarness
	BeforeEach(func() { h = newHarness(crashRecords("a")...) })

	It("is reported when it is named, changes and ends", func() {
		named := effectsOf[LimitRecorded](h.answerLimit("a", limitOf(4.1), 0))
		Expect(named).To(ConsistOf(HaveField("RequestsPerSecond", 4.1)))
		Expect(h.answerLimit("a", limitOf(4.1), 0)).To(BeEmpty(), "nothing new")
		Expect(effectsOf[LimitRecorded](h.answerLimit("a", limitOf(2), 0))).To(ConsistOf(HaveField("RequestsPerSecond", 2.0)))
		h.at += time.Second
		ended := effectsOf[LimitRecorded](h.answerLimit("a", wigeonshift.EndpointLimit{}, 10*time.Millisecond))
		Expect(ended).To(ConsistOf(And(HaveField("Ended", true), HaveField("Duration", time.Second))))
	})

	It("doesn't end with a late response or one that can't be read", func() {
		h.answerLimit("a", limitOf(4.1), 0)
		h.at += time.Second
		Expect(h.answerLimit("a", wigeonshift.EndpointLimit{}, 2*time.Second)).To(BeEmpty())
		Expect(h.answerLimit("a", wigeonshift.EndpointLimit{Unreadable: true}, 0)).To(BeEmpty())
		Expect(h.state.endpoints["a"].isLimited()).To(BeTrue())
	})

	It("isn't that of its next process", func() {
		h.answerLimit("a", limitOf(4.1), 0)
		h.restartEndpoints("a")
		Expect(h.state.endpoints["a"].isLimited()).To(BeFalse())
	})
})
