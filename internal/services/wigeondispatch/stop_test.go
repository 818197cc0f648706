package wigeondispatch

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against requests that are sent so late in a planned stop that the end of the instance cuts them.
var _ = Describe("A stop", func() {
	It("lets no attempt last longer than the instance", func() {
		h := newHarness(newRecord("a"))
		h.state.Reduce(StopAnnounced{At: h.at, EndsAt: 5 * time.Second})
		effects := h.arrive(h.newJob())
		Expect(onlyDispatchEndpoint(effects)).To(Equal("a"))
		Expect(effects[0].(Dispatch).Timeout).To(Equal(5 * time.Second))
	})

	It("shortens the time of requests that wait", func() {
		h := newHarness(newRecord("a"))
		running := h.occupySlots(2)
		Expect(h.arrive(h.newJob())).To(BeEmpty())
		h.state.Reduce(StopAnnounced{At: h.at, EndsAt: 5 * time.Second})
		h.at = 200 * time.Millisecond
		effects := h.end(running[0], OutcomeDone, false)
		Expect(onlyDispatchEndpoint(effects)).To(Equal("a"))
		Expect(effects[0].(Dispatch).Timeout).To(Equal(4800 * time.Millisecond))
	})

	It("refuses a request that waits and can't end before it", func() {
		h := newHarness(newRecord("a"))
		h.occupySlots(2)
		waiting := h.newJob()
		Expect(h.arrive(waiting)).To(BeEmpty())
		h.state.Reduce(StopAnnounced{At: h.at, EndsAt: 600 * time.Millisecond})
		h.at = 580 * time.Millisecond
		Expect(onlyRefusal(h.state.Reduce(Tick{At: h.at})).Job).To(Equal(waiting.ID))
	})

	It("sends a rejected request to no other endpoint when it can't end before it", func() {
		h := newHarness(newRecord("a"), newRecord("b"))
		j := h.newJob()
		Expect(h.arrive(j)).To(HaveLen(1))
		h.state.Reduce(StopAnnounced{At: h.at, EndsAt: time.Second})
		h.at = time.Second - 10*time.Millisecond
		Expect(onlyRefusal(h.end(j, OutcomeRejected, true)).Job).To(Equal(j.ID))
	})
})
