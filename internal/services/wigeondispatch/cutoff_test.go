package wigeondispatch

import (
	"fmt"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("An instance that reaches no endpoint", func() {
	var h *reducerHarness
	// lose loses a request, which was sent before the first failure, without a sign of its endpoint.
	lose := func(o Outcome) []Effect {
		j := h.newJob()
		h.dispatch(j)
		j.dispatchedAt -= 10 * time.Millisecond
		return h.state.Reduce(AttemptEnded{At: h.at, Job: j.ID, Outcome: o, Answerable: true})
	}
	// answerProbes reports the results of all probes among effects and returns the effects of the last one.
	answerProbes := func(effects []Effect, reached bool) []Effect {
		var out []Effect
		for _, p := range effectsOf[ProbeEndpoint](effects) {
			out = h.state.Reduce(EndpointProbed{At: h.at, EndpointID: p.EndpointID, Reached: reached})
		}
		return out
	}
	// suspect makes the reducer probe endpoints, and returns the effects with the probes.
	suspect := func() []Effect {
		lose(OutcomeLost)
		lose(OutcomeLost)
		return lose(OutcomeLost)
	}
	cutOff := func() []Effect { return answerProbes(suspect(), false) }
	passedTo := func(effects []Effect) string {
		GinkgoHelper()
		passes := effectsOf[PassOn](effects)
		Expect(passes).To(HaveLen(1))
		return passes[0].Peer
	}
	BeforeEach(func() {
		h = newHarness(crashRecords("a", "b", "c", "d", "e", "f")...)
		h.at = time.Second
		instances := []wigeonshift.Instance{{ID: h.state.settings.Instance}, {ID: "p1"}, {ID: "p2"}}
		h.state.Reduce(InstancesListed{At: h.at, Instances: instances, Complete: true})
		for _, i := range instances[1:] {
			h.state.Reduce(PeerReported{At: h.at, Peer: i.ID})
		}
	})

	It("probes other endpoints before it believes so", func() {
		Expect(effectsOf[ProbeEndpoint](lose(OutcomeLost))).To(BeEmpty())
		Expect(effectsOf[ProbeEndpoint](lose(OutcomeNotSent))).To(BeEmpty())
		probes := effectsOf[ProbeEndpoint](lose(OutcomeLost))
		Expect(probes).To(HaveLen(cutOffProbes))
		for _, p := range probes {
			Expect(h.state.reach.failed).NotTo(HaveKey(p.EndpointID))
		}
	})

	It("isn't cut off if a probe reaches an endpoint", func() {
		probes := effectsOf[ProbeEndpoint](suspect())
		h.state.Reduce(EndpointProbed{At: h.at, EndpointID: probes[0].EndpointID})
		h.state.Reduce(EndpointProbed{At: h.at, EndpointID: probes[1].EndpointID, Reached: true})
		h.state.Reduce(EndpointProbed{At: h.at, EndpointID: probes[2].EndpointID})
		Expect(effectsOf[PassOn](h.arrive(h.newJob()))).To(BeEmpty())
		Expect(h.state.IsCutOff()).To(BeFalse())
	})

	It("isn't cut off if an endpoint answers between failures", func() {
		lose(OutcomeLost)
		lose(OutcomeLost)
		answered := h.newJob()
		h.dispatch(answered)
		h.end(answered, OutcomeRejected, true)
		Expect(effectsOf[ProbeEndpoint](lose(OutcomeLost))).To(BeEmpty())
	})

	It("suspects it when attempts hang at two endpoints and nothing answers", func() {
		h.dispatch(h.newJob())
		h.dispatch(h.newJob())
		h.at += hangingTime - time.Millisecond
		Expect(effectsOf[ProbeEndpoint](h.state.Reduce(Tick{At: h.at}))).To(BeEmpty())
		h.at += time.Millisecond
		Expect(effectsOf[ProbeEndpoint](h.state.Reduce(Tick{At: h.at}))).To(HaveLen(cutOffProbes))
	})

	It("passes requests on to its peers in turn", func() {
		Expect(effectsOf[CutOffRecorded](cutOff())).To(ConsistOf(HaveField("Ended", false)))
		first := passedTo(h.arrive(h.newJob()))
		second := passedTo(h.arrive(h.newJob()))
		Expect([]string{first, second}).To(ConsistOf("p1", "p2"))
		Expect(passedTo(h.arrive(h.newJob()))).To(Equal(first))
	})

	It("passes on what waits", func() {
		for len(effectsOf[Dispatch](h.arrive(h.newJob()))) > 0 {
		}
		h.at += hangingTime - 10*time.Millisecond
		Expect(effectsOf[Dispatch](h.arrive(h.newJob()))).To(BeEmpty())
		h.at += 10 * time.Millisecond
		Expect(effectsOf[PassOn](answerProbes(h.state.Reduce(Tick{At: h.at}), false))).NotTo(BeEmpty())
	})

	It("passes no more on at once than its bound", func() {
		cutOff()
		n := 0
		for range 2 * maxPassedOn {
			n += len(effectsOf[PassOn](h.arrive(h.newJob())))
		}
		Expect(n).To(Equal(maxPassedOn))
	})

	It("passes on what waited for its bound as soon as a request has come back", func() {
		cutOff()
		first := h.newJob()
		h.arrive(first)
		for range maxPassedOn {
			h.arrive(h.newJob())
		}
		ended := h.state.Reduce(PassEnded{At: h.at, Job: first.ID, Outcome: OutcomeDone})
		Expect(effectsOf[PassOn](ended)).To(HaveLen(1))
		Expect(h.state.reach.passing).To(Equal(maxPassedOn))
	})

	It("finds the one peer among many that isn't cut off", func() {
		instances := []wigeonshift.Instance{{ID: h.state.settings.Instance}}
		for n := range 2 * maxPassAttempts {
			instances = append(instances, wigeonshift.Instance{ID: fmt.Sprint("p", n)})
		}
		h.state.Reduce(InstancesListed{At: h.at, Instances: instances, Complete: true})
		for _, i := range instances[1:] {
			h.state.Reduce(PeerReported{At: h.at, Peer: i.ID})
		}
		cutOff()
		j := h.newJob()
		effects, asked := h.arrive(j), map[string]bool{}
		for range instances[2:] {
			asked[passedTo(effects)] = true
			effects = h.state.Reduce(PassEnded{At: h.at, Job: j.ID, Outcome: OutcomeMisplaced, Answerable: true})
		}
		Expect(asked).NotTo(HaveKey(passedTo(effects)))
		Expect(asked).To(HaveLen(len(instances) - 2))
	})

	It("asks instances of other groups if its whole group is cut off, three of them for one request", func() {
		var instances []wigeonshift.Instance
		for n := range 2 * maxUngroupedInstances {
			instances = append(instances, wigeonshift.Instance{ID: fmt.Sprint("p", n), Address: fmt.Sprint("p", n), Zone: "z"})
		}
		instances = append(instances, wigeonshift.Instance{ID: h.state.settings.Instance, Address: "p", Zone: "z"})
		h.state.Reduce(InstancesListed{At: h.at, Instances: instances, Complete: true})
		for _, i := range instances[:len(instances)-1] {
			h.state.Reduce(PeerReported{At: h.at, Peer: i.ID})
		}
		cutOff()
		j := h.newJob()
		effects := h.arrive(j)
		for range h.state.members {
			Expect(h.state.groups.SameGroup(passedTo(effects), h.state.settings.Instance)).To(BeTrue())
			effects = h.state.Reduce(PassEnded{At: h.at, Job: j.ID, Outcome: OutcomeMisplaced, Answerable: true})
		}
		for range maxPassAttempts {
			Expect(h.state.groups.SameGroup(passedTo(effects), h.state.settings.Instance)).To(BeFalse())
			effects = h.state.Reduce(PassEnded{At: h.at, Job: j.ID, Outcome: OutcomeMisplaced, Answerable: true})
		}
		Expect(onlyRefusal(effects).Reason).To(Equal(ReasonCutOff))
	})

	It("refuses at once while its peers reach no endpoint either, and asks them again after a while", func() {
		cutOff()
		j := h.newJob()
		h.arrive(j)
		for range 2 {
			h.state.Reduce(PassEnded{At: h.at, Job: j.ID, Outcome: OutcomeMisplaced, Answerable: true})
		}
		Expect(onlyRefusal(h.arrive(h.newJob())).Reason).To(Equal(ReasonCutOff))
		h.at += peerRefusalPause
		h.state.Reduce(Tick{At: h.at})
		passedTo(h.arrive(h.newJob()))
	})

	It("passes nothing on that another instance has passed on to it", func() {
		cutOff()
		j := h.newJob()
		j.PassedOn = true
		Expect(onlyRefusal(h.arrive(j)).Reason).To(Equal(ReasonCutOff))
	})

	It("gives a request to another peer if the first hasn't got it, and refuses it as not run in the end", func() {
		cutOff()
		j := h.newJob()
		first := passedTo(h.arrive(j))
		second := passedTo(h.state.Reduce(PassEnded{At: h.at, Job: j.ID, Outcome: OutcomeNotSent, Answerable: true}))
		Expect(second).NotTo(Equal(first))
		ended := h.state.Reduce(PassEnded{At: h.at, Job: j.ID, Outcome: OutcomeMisplaced, Answerable: true})
		Expect(onlyRefusal(ended).Reason).To(Equal(ReasonCutOff))
		Expect(h.state.reach.passing).To(BeZero())
	})

	It("never says not run of a request that a peer may have run", func() {
		cutOff()
		j := h.newJob()
		h.arrive(j)
		ended := h.state.Reduce(PassEnded{At: h.at, Job: j.ID, Outcome: OutcomeLost, Answerable: true})
		Expect(effectsOf[Refuse](ended)).To(BeEmpty())
		Expect(effectsOf[PassOn](ended)).To(BeEmpty(), "it must not run twice")
		Expect(effectsOf[Failure](ended)).To(ConsistOf(HaveField("Reason", ReasonLost)))
	})

	// A request whose first attempt was lost was refused by the peer, and its caller was told that it had not run.
	It("tells with a request whether it may have run before, and fails it when the peers refuse it", func() {
		j := h.newJob()
		j.Kind, j.MaxAttempts = wigeonshift.RouteIdempotent, 2
		h.dispatch(j)
		lose(OutcomeLost)
		lose(OutcomeLost)
		probes := lose(OutcomeLost)
		answerProbes(probes, false)
		effects := h.state.Reduce(AttemptEnded{At: h.at, Job: j.ID, Outcome: OutcomeLost, Answerable: true})
		passes := effectsOf[PassOn](effects)
		Expect(passes).To(ConsistOf(HaveField("MayHaveRun", true)))
		for range maxPassAttempts {
			effects = h.state.Reduce(PassEnded{At: h.at, Job: j.ID, Outcome: OutcomeRejected, Answerable: true})
		}
		Expect(effectsOf[Refuse](effects)).To(BeEmpty())
		Expect(effectsOf[Failure](effects)).To(ConsistOf(HaveField("Reason", ReasonLost)))
	})

	It("passes a request on once more that may run twice", func() {
		cutOff()
		j := h.newJob()
		j.Kind = wigeonshift.RouteIdempotent
		first := passedTo(h.arrive(j))
		Expect(passedTo(h.state.Reduce(PassEnded{At: h.at, Job: j.ID, Outcome: OutcomeLost, Answerable: true}))).NotTo(Equal(first))
	})

	It("forgets a passed-on request whose caller left", func() {
		cutOff()
		j := h.newJob()
		h.arrive(j)
		h.state.Reduce(RequestWithdrawn{At: h.at, Job: j.ID})
		Expect(h.state.reach.passing).To(BeZero())
		Expect(h.state.jobs).NotTo(HaveKey(j.ID))
	})

	It("counts no crash while connections are refused", func() {
		cutOff()
		j := h.newJob()
		j.Fingerprint = 7
		e := h.state.endpoints["a"]
		h.state.losses[e.incarnation()] = &losses{byFingerprint: map[wigeonshift.Fingerprint]loss{7: {}}}
		effects := h.state.Reduce(EndpointChecked{At: h.at, EndpointID: "a", StartedAtMillis: e.record.StartedAtMillis, Liveness: wigeonshift.LivenessEnded})
		Expect(effectsOf[ReportCrash](effects)).To(BeEmpty())
	})

	// One request had crashed all endpoints. It looked like a cut, so that the last crashes weren't counted and the request ran again.
	It("counts crashes of endpoints one after the other, also if none is left", func() {
		h = newHarness(crashRecords("a", "b", "c", "d")...)
		h.at = time.Second
		crash := func(id string) {
			e := h.state.endpoints[id]
			h.state.losses[e.incarnation()] = &losses{checking: true, byFingerprint: map[wigeonshift.Fingerprint]loss{7: {}}}
			h.state.recordSilence(e, h.newJob(), OutcomeLost)
			h.state.Reduce(EndpointChecked{At: h.at, EndpointID: id, StartedAtMillis: e.record.StartedAtMillis, Liveness: wigeonshift.LivenessEnded})
		}
		for _, id := range []string{"a", "b", "c", "d"} {
			crash(id)
		}
		Expect(h.state.crashes.Crashes(7)).To(HaveLen(4))
	})

	It("doesn't take endpoints that were down before for a cut", func() {
		fail := func(id string) { h.state.recordSilence(h.state.endpoints[id], h.newJob(), OutcomeNotSent) }
		fail("a")
		fail("b")
		h.state.recordReachable("c")
		fail("a")
		fail("b")
		Expect(h.state.reach.failed).To(BeEmpty())
		h.state.recordReachable("a")
		fail("a")
		Expect(h.state.reach.failed).To(HaveKey("a"), "it was reached meanwhile")
	})

	It("is cut off if endpoints were lost one after the other until none was left", func() {
		for i, id := range []string{"a", "b", "c", "d", "e", "f"} {
			Expect(h.state.isSuspected()).To(BeFalse(), "before %s", id)
			h.state.recordSilence(h.state.endpoints[id], h.newJob(), OutcomeNotSent)
			if i < 5 {
				h.state.recordReachable("f")
			}
		}
		Expect(h.state.isSuspected()).To(BeTrue())
	})

	It("doesn't take endpoints for a cut that still took a request after the first failure", func() {
		for range cutOffEndpoints + 1 {
			j := h.newJob()
			h.dispatch(j)
			h.state.Reduce(AttemptEnded{At: h.at, Job: j.ID, Outcome: OutcomeLost, Answerable: true})
			h.at += time.Millisecond
		}
		Expect(h.state.IsCutOff()).To(BeFalse())
	})

	It("has an endpoint checked together with others", func() {
		j := h.newJob()
		j.Fingerprint = 7
		h.dispatch(j)
		checks := effectsOf[CheckEndpoint](h.state.Reduce(AttemptEnded{At: h.at, Job: j.ID, Outcome: OutcomeLost, Answerable: true}))
		Expect(checks).To(HaveLen(1))
		Expect(checks[0].Others).To(HaveLen(cutOffProbes))
		Expect(checks[0].Others).NotTo(ContainElement(HaveField("EndpointID", checks[0].EndpointID)))
	})

	It("serves by itself once a probe reaches an endpoint", func() {
		cutOff()
		h.at += cutOffProbeInterval
		ended := answerProbes(h.state.Reduce(Tick{At: h.at}), true)
		Expect(effectsOf[CutOffRecorded](ended)).To(BeEmpty(), "the first probe has ended it")
		Expect(h.state.IsCutOff()).To(BeFalse())
		Expect(effectsOf[Dispatch](h.arrive(h.newJob()))).To(HaveLen(1))
	})

	It("refuses what no peer takes", func() {
		cutOff()
		for _, id := range []string{"p1", "p2"} {
			h.state.Reduce(PeerLost{At: h.at, Peer: id})
		}
		Expect(effectsOf[PassOn](h.arrive(h.newJob()))).To(BeEmpty())
	})
})
