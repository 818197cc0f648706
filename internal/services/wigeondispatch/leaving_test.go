package wigeondispatch

import (
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// list passes a list of endpoints, as of a revision, to the reducer.
func (h *reducerHarness) list(revision uint64, records ...wigeonshift.EndpointRecord) {
	h.state.Reduce(EndpointsListed{At: h.at, Records: records, Revision: revision})
}

// tell passes what another instance knows of leaving endpoints to this one.
func (h *reducerHarness) tell(from *reducerHarness, revision uint64) {
	notice := from.state.Load()
	notice.EndpointsRevision = revision
	h.state.Reduce(PeerReported{At: h.at, Peer: "peer", Load: notice})
}

// An instance that was cut off from the store sent requests to an endpoint for over three seconds after its row had been acknowledged
// as leaving, though its peers knew.
var _ = Describe("An endpoint that a peer knows to be leaving", func() {
	var informed, late *reducerHarness
	a, b := newRecord("a"), newRecord("b")
	leaving := a
	leaving.Leaving = true

	BeforeEach(func() {
		informed, late = newHarness(), newHarness()
		for _, h := range []*reducerHarness{informed, late} {
			h.at = time.Second
			h.list(1, a, b)
		}
	})

	It("gets no requests", func() {
		informed.list(2, leaving, b)
		late.tell(informed, 2)
		Expect(onlyDispatchEndpoint(late.arrive(late.newJob()))).To(Equal("b"))
		Expect(late.state.endpoints["a"].available(late.at)).To(BeFalse())
	})

	It("gets none after an older list of its own", func() {
		informed.list(5, leaving, b)
		late.tell(informed, 5)
		late.list(4, a, b)
		Expect(onlyDispatchEndpoint(late.arrive(late.newJob()))).To(Equal("b"))
	})

	It("gets none if its row is gone", func() {
		informed.list(2, b)
		late.tell(informed, 2)
		Expect(onlyDispatchEndpoint(late.arrive(late.newJob()))).To(Equal("b"))
	})

	It("gets none if its row came in after the peer's word", func() {
		informed.list(2, b)
		late.list(1, b)
		late.tell(informed, 2)
		late.list(1, a)
		Expect(effectsOf[Dispatch](late.arrive(late.newJob()))).To(BeEmpty())
	})

	It("gets requests if its row has come back since", func() {
		informed.list(2, b)
		late.tell(informed, 2)
		late.list(3, a)
		Expect(onlyDispatchEndpoint(late.arrive(late.newJob()))).To(Equal("a"))
	})

	It("gets requests once no peer has told of it for a while", func() {
		informed.list(2, b)
		late.list(1, a)
		late.tell(informed, 2)
		late.at += peerLeavingTime
		late.state.Reduce(Tick{At: late.at})
		Expect(onlyDispatchEndpoint(late.arrive(late.newJob()))).To(Equal("a"))
	})

	It("is told of only for a while once its row is gone", func() {
		informed.list(2, b)
		Expect(informed.state.Load().Leaving).To(Equal([]string{a.ID + "@0"}))
		informed.at += departureMemory
		informed.state.Reduce(Tick{At: informed.at})
		Expect(informed.state.Load().Leaving).To(BeEmpty())
	})
})
