package wigeondispatch

import (
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// A crashed endpoint comes back at its address under a new ID before the list drops the old one. Each request to the old ID is
// misdirected and uses up an attempt, so that requests with few attempts are refused although other endpoints have free slots.
var _ = Describe("An endpoint whose address belongs to another one now", func() {
	var h *reducerHarness

	BeforeEach(func() {
		h = newHarness(newRecord("a"), newRecord("b"))
		h.at = time.Second
	})

	// misdirect sends a request and answers it as misdirected. It returns the endpoint.
	misdirect := func() string {
		j := h.newJob()
		j.MaxAttempts = 1
		id := onlyDispatchEndpoint(h.arrive(j))
		h.end(j, OutcomeMisplaced, true)
		return id
	}

	It("gets no requests for a while", func() {
		gone := misdirect()
		for elapsed := 50 * time.Millisecond; elapsed < misplacedPause; elapsed += 50 * time.Millisecond {
			h.at += 50 * time.Millisecond
			j := h.newJob()
			Expect(onlyDispatchEndpoint(h.arrive(j))).NotTo(Equal(gone))
			h.end(j, OutcomeDone, false)
		}
	})

	It("is tried again by a single request", func() {
		gone := misdirect()
		h.at += misplacedPause
		h.occupySlots(2)
		Expect(h.state.endpoints[gone].ownLoad.running).To(Equal(1))
		Expect(h.state.endpoints[gone].available(h.at)).To(BeFalse())
	})

	It("is used as before once a request has succeeded there", func() {
		gone := misdirect()
		h.at += misplacedPause
		for _, j := range h.occupySlots(2) {
			h.end(j, OutcomeDone, false)
		}
		Expect(h.state.endpoints[gone].available(h.at)).To(BeTrue())
	})

	It("is paused for longer each time, up to a maximum", func() {
		e := h.state.endpoints["a"]
		pauses := []time.Duration{}
		for range 5 {
			pauses = append(pauses, e.pauseMisplaced(h.at))
		}
		Expect(pauses).To(Equal([]time.Duration{
			misplacedPause, 2 * misplacedPause, 4 * misplacedPause, maxMisplacedPause, maxMisplacedPause,
		}))
	})

	It("is paused by all instances that hear of it", func() {
		gone := misdirect()
		other := newHarness(newRecord("a"), newRecord("b"))
		other.state.Reduce(PeerReported{At: h.at, Peer: "own", Load: h.state.Load()})
		Expect(other.state.endpoints[gone].available(h.at)).To(BeFalse())
		Expect(other.state.Load().Misplaced).To(Equal([]string{gone + "@0"}))
	})

	It("isn't tested by requests with a single attempt, unless there are no others for a while", func() {
		gone := misdirect()
		h.occupySlots(1)
		j := h.newJob()
		j.MaxAttempts = 1
		h.at += misplacedPause
		h.arrive(j)
		Expect(h.state.endpoints[gone].ownLoad.running).To(BeZero())
		h.at += singleUseTestDelay
		h.state.Reduce(Tick{At: h.at})
		j = h.newJob()
		j.MaxAttempts = 1
		h.arrive(j)
		Expect(h.state.endpoints[gone].ownLoad.running).To(Equal(1))
	})

	It("is used at once if the list shows that it has started again", func() {
		gone := misdirect()
		restarted := newRecord(gone)
		restarted.StartedAtMillis = 1
		h.state.Reduce(EndpointsListed{At: h.at, Records: []wigeonshift.EndpointRecord{restarted}})
		Expect(onlyDispatchEndpoint(h.arrive(h.newJob()))).To(Equal(gone))
	})
})
