package wigeondispatch

import (
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Brittle endpoints", func() {
	var h *reducerHarness
	// say reports what an endpoint says of its brittleness in the response to a request that was sent now.
	say := func(id string, brittle wigeonshift.EndpointLimit) []Effect {
		return h.state.Reduce(EndpointSignalled{
			At: h.at, EndpointID: id, StartedAtMillis: h.state.endpoints[id].record.StartedAtMillis, Brittle: brittle, DispatchedAt: h.at,
			Limit: wigeonshift.EndpointLimit{Unreadable: true},
		})
	}
	listInstances := func(ids ...string) {
		instances := []wigeonshift.Instance{{ID: h.state.settings.Instance}}
		for _, id := range ids {
			instances = append(instances, wigeonshift.Instance{ID: id})
		}
		h.state.Reduce(InstancesListed{At: h.at, Instances: instances, Complete: true})
		for _, id := range ids {
			h.state.Reduce(PeerReported{At: h.at, Peer: id})
		}
	}
	// fill lets another instance run requests in all slots of an endpoint but some.
	fill := func(peer, id string, free int) {
		load := wigeonshift.EndpointLoad{Endpoint: id, Running: h.state.endpoints[id].slots() - free}
		h.state.Reduce(PeerReported{At: h.at, Peer: peer, Load: wigeonshift.LoadNotice{Endpoints: []wigeonshift.EndpointLoad{load}}})
	}
	dispatchesWithin := func(d time.Duration) int {
		n := 0
		for end := h.at + d; h.at < end; h.at += 25 * time.Millisecond {
			n += len(effectsOf[Dispatch](h.arrive(h.newJob())))
		}
		return n
	}
	BeforeEach(func() {
		h = newHarness(crashRecords("a")...)
		h.at = time.Second
	})

	It("are reported, and so is the end", func() {
		Expect(effectsOf[BrittleRecorded](say("a", limitOf(4)))).To(ConsistOf(HaveField("RejectionsPerSecond", 4.0)))
		Expect(say("a", limitOf(4))).To(BeEmpty(), "nothing new")
		h.at += time.Second
		Expect(effectsOf[BrittleRecorded](say("a", wigeonshift.EndpointLimit{}))).To(ConsistOf(HaveField("Ended", true)))
	})

	// Each of nine instances learned of its own rejections only: three of them made an endpoint fall.
	It("get nothing for a while after another member of the group was rejected", func() {
		say("a", limitOf(2))
		listInstances("p")
		report := func(rejections int) {
			load := wigeonshift.EndpointLoad{Endpoint: "a", Rejections: rejections}
			h.state.Reduce(PeerReported{At: h.at, Peer: "p", Load: wigeonshift.LoadNotice{Endpoints: []wigeonshift.EndpointLoad{load}}})
		}
		report(1)
		Expect(dispatchesWithin(brittleRejectionPause)).To(BeZero())
		report(1)
		Expect(dispatchesWithin(groupReportDelay*2)).NotTo(BeZero(), "the same rejection once more")
	})

	It("count the requests that were rejected in the reports to others", func() {
		say("a", limitOf(2))
		j := h.newJob()
		h.arrive(j)
		h.end(j, OutcomeRejected, true)
		Expect(h.state.Load().Endpoints).To(ConsistOf(And(HaveField("Endpoint", "a"), HaveField("Rejections", 1))))
	})

	It("are forgotten if no answer says so for a while", func() {
		say("a", limitOf(4))
		h.at += brittleMemory + time.Millisecond
		Expect(effectsOf[BrittleRecorded](h.state.Reduce(Tick{At: h.at}))).To(ConsistOf(HaveField("Ended", true)))
	})

	It("get no request that would wait there", func() {
		say("a", limitOf(4))
		Expect(dispatchesWithin(3 * time.Second)).To(Equal(h.state.endpoints["a"].slots()))
	})

	It("get one request of the instance whose turn it is for a single free slot", func() {
		listInstances("b", "c", "d")
		say("a", limitOf(4))
		fill("b", "a", 1)
		Expect(dispatchesWithin(placeTurn)).To(BeNumerically("<=", 1))
		Expect(dispatchesWithin(4 * placeTurn)).To(BeNumerically("<=", 1))
	})

	It("get the request that follows one's own at once", func() {
		own := h.newJob()
		h.dispatch(own)
		listInstances("b", "c", "d")
		fill("b", "a", 1)
		say("a", limitOf(4))
		Expect(h.arrive(h.newJob())).To(BeEmpty(), "it waits")
		ended := h.state.Reduce(AttemptEnded{At: h.at, Job: own.ID, Outcome: OutcomeDone, Succeeded: true})
		Expect(effectsOf[Dispatch](ended)).To(HaveLen(1))
	})

	// One request ended, and the instance sent five to the endpoint, which had one free slot.
	It("get one request for each of one's own that has ended, however many wait", func() {
		own := h.newJob()
		h.dispatch(own)
		listInstances("b", "c", "d")
		fill("b", "a", 3)
		say("a", limitOf(4))
		// Another member comes first.
		for h.state.groupShareOf(h.state.endpoints["a"], brittleTurn).place < 2 {
			h.at += groupReportDelay
		}
		for range 3 {
			Expect(h.arrive(h.newJob())).To(BeEmpty(), "it waits")
		}
		ended := h.state.Reduce(AttemptEnded{At: h.at, Job: own.ID, Outcome: OutcomeDone, Succeeded: true})
		Expect(effectsOf[Dispatch](ended)).To(HaveLen(1))
	})

	It("get none for a while after a rejection", func() {
		say("a", limitOf(4))
		d := effectsOf[Dispatch](h.arrive(h.newJob()))[0]
		h.state.Reduce(AttemptEnded{At: h.at, Job: d.Job, Outcome: OutcomeRejected, Answerable: true})
		Expect(dispatchesWithin(brittleRejectionPause - 50*time.Millisecond)).To(BeZero())
		Expect(dispatchesWithin(time.Second)).NotTo(BeZero())
	})

	It("are used but for one slot while one of the other instances is down", func() {
		listInstances("b", "c", "d")
		h.state.Reduce(PeerLost{At: h.at, Peer: "d"})
		say("a", limitOf(4))
		for range 60 {
			h.at += 50 * time.Millisecond
			h.state.Reduce(PeerReported{At: h.at, Peer: "b"})
			h.state.Reduce(PeerReported{At: h.at, Peer: "c"})
			h.arrive(h.newJob())
		}
		Expect(h.state.endpoints["a"].running()).To(BeNumerically(">=", h.state.endpoints["a"].slots()-1))
	})

	It("get little from an instance that can't reach the others", func() {
		listInstances("b", "c")
		for _, id := range []string{"b", "c"} {
			h.state.Reduce(PeerLost{At: h.at, Peer: id})
		}
		say("a", limitOf(4))
		slots := h.state.endpoints["a"].slots()
		Expect(dispatchesWithin(3 * time.Second)).To(Equal(max(slots-2, 0)))
	})
})
