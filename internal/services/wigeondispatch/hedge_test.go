package wigeondispatch

import (
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonbudget"
	"wigeonshift/internal/services/wigeonhedge"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// hedgeHarness is a reducer whose idempotent requests are hedged after about 100 ms.
type hedgeHarness struct{ *reducerHarness }

func newHedgeHarness(records ...wigeonshift.EndpointRecord) *hedgeHarness {
	GinkgoHelper()
	h := &hedgeHarness{newHarness(records...)}
	s := h.state
	s.settings.HedgeShare, s.settings.HedgePercentile = 1, 0.5
	s.hedging = newHedging(s.settings)
	j := h.newIdempotent()
	c, err := wigeonhedge.NewCandidate(wigeonhedge.Request{
		Kind: j.Kind, Service: j.Service, Route: j.Route, PromptTokens: j.PromptTokens,
	})
	Expect(err).NotTo(HaveOccurred())
	for range 16 {
		s.hedging.delays.Record(0, c, 100*time.Millisecond)
		s.hedging.limits.CountRequest(0, j.Service)
	}
	return h
}

func (h *hedgeHarness) newIdempotent() *Job {
	j := h.newJob()
	j.Kind = wigeonshift.RouteIdempotent
	return j
}

// send sends a request and returns the effect.
func (h *hedgeHarness) send(j *Job) Dispatch {
	GinkgoHelper()
	effects := h.arrive(j)
	Expect(effects).To(HaveLen(1))
	return effects[0].(Dispatch)
}

// due lets the delay pass and returns the effects.
func (h *hedgeHarness) due(d Dispatch) []Effect {
	h.at += d.HedgeDelay
	return h.state.Reduce(HedgeDue{At: h.at, Job: d.Job, DispatchedAt: d.DecidedAt})
}

// hedged sends a request and its hedge.
func (h *hedgeHarness) hedged() (*Job, Dispatch, Hedge) {
	GinkgoHelper()
	j := h.newIdempotent()
	first := h.send(j)
	effects := h.due(first)
	Expect(effects).To(ConsistOf(BeAssignableToTypeOf(Hedge{})))
	return j, first, effects[0].(Hedge)
}

// endHedge ends the second attempt.
func (h *hedgeHarness) endHedge(j *Job, o Outcome) []Effect {
	return h.state.Reduce(AttemptEnded{At: h.at, Job: j.ID, Outcome: o, Hedge: true, Succeeded: o == OutcomeDone, Answerable: true})
}

var _ = Describe("Hedges", func() {
	It("are off by default and then cost no delays", func() {
		h := newHarness(newRecord("a"), newRecord("b"))
		j := h.newJob()
		j.Kind = wigeonshift.RouteIdempotent
		Expect(h.arrive(j)[0].(Dispatch).HedgeDelay).To(BeZero())
		Expect(h.state.hedging).To(BeNil())
		Expect(j.candidate.IsValid()).To(BeFalse())
	})

	It("go to another endpoint as one of the attempts, charged once and counted as a resend", func() {
		h := newHedgeHarness(newRecord("a"), newRecord("b"))
		h.at = time.Second // The quota has been refilled.
		j := h.newIdempotent()
		j.Organisation = "limited"
		first := h.send(j)
		hedge := h.due(first)[0].(Hedge)
		Expect(hedge.EndpointID).NotTo(Equal(first.EndpointID))
		Expect(hedge.Attempt).To(Equal(2))
		Expect(hedge.Candidate.IsValid()).To(BeTrue())
		Expect(hedge.MaxSendDelay).To(Equal(wigeonbudget.MaxSendDelay))
		Expect(h.state.quotas["limited"].Used()).To(Equal(j.Units))
		Expect(h.state.retryBudget("model").Decide(h.at, 10, 0).Resends).To(Equal(1))
		Expect(h.state.Load().Endpoints).To(HaveLen(2))
	})

	DescribeTable("have no delay", func(change func(j *Job)) {
		h := newHedgeHarness(newRecord("a"), newRecord("b"))
		j := h.newIdempotent()
		change(j)
		Expect(h.send(j).HedgeDelay).To(BeZero())
		Expect(effectsOf[Hedge](h.state.Reduce(HedgeDue{At: h.at, Job: j.ID}))).To(BeEmpty(), "an event has no effect either")
	},
		Entry("if the request must not run twice", func(j *Job) { j.Kind = wigeonshift.RouteNonIdempotent }),
		Entry("for a stream that can't be resumed", func(j *Job) { j.Kind = wigeonshift.RouteStreaming }),
		Entry("for a route with one attempt", func(j *Job) { j.MaxAttempts = 1 }),
		Entry("if too little time is left", func(j *Job) { j.Deadline = minResendTimeLeft - 1 }),
	)

	DescribeTable("are refused", func(expected HedgeObstacle, change func(h *hedgeHarness)) {
		h := newHedgeHarness(newRecord("a"), newRecord("b"), newRecord("c"))
		first := h.send(h.newIdempotent())
		change(h)
		Expect(effectsOf[HedgeRefused](h.due(first))).To(ConsistOf(HedgeRefused{Job: first.Job, Obstacle: expected}))
	},
		Entry("while the instance stops", HedgeStopping, func(h *hedgeHarness) {
			h.state.Reduce(StopAnnounced{EndsAt: time.Hour})
		}),
		Entry("while the instances aren't known", HedgeUnknownInstances, func(h *hedgeHarness) { h.state.settings.AwaitsList = true }),
		Entry("of a cut-off instance", HedgeCutOff, func(h *hedgeHarness) { h.state.reach.isCutOff = true }),
		Entry("of suspected requests", HedgeSuspected, func(h *hedgeHarness) { h.state.jobs[h.lastID].isTrial = true }),
		Entry("of brittle services", HedgeInNeed, func(h *hedgeHarness) { h.state.pools["model"].brittle = &brittleness{} }),
		Entry("while a request is queued at the group", HedgeQueued, func(h *hedgeHarness) {
			h.state.Reduce(PeerReported{Peer: "other", Load: wigeonshift.LoadNotice{
				Services: []wigeonshift.ServiceWait{{Service: "model", QueuedByLevel: []int{1}}},
			}})
		}),
		Entry("while few slots are free", HedgeBusy, func(h *hedgeHarness) { h.occupySlots(2) }),
		Entry("beyond their limit", HedgeLimit, func(h *hedgeHarness) {
			for range 16 {
				h.state.hedging.limits.CountHedge(0, "model")
			}
		}),
		Entry("of the reserve for retries after failures", HedgeBudget, func(h *hedgeHarness) {
			for range 5 {
				h.state.retryBudget("model").CountResend(0)
			}
		}),
		Entry("if no other endpoint takes them", HedgeNoEndpoint, func(h *hedgeHarness) {
			for _, e := range h.state.endpoints {
				e.consecutiveFailures = 1
			}
		}),
	)

	It("aren't sent beside an attempt that has begun, ended or isn't the first", func() {
		h := newHedgeHarness(newRecord("a"), newRecord("b"), newRecord("c"))
		begun, ended, repeated := h.send(h.newIdempotent()), h.send(h.newIdempotent()), h.send(h.newIdempotent())
		h.state.Reduce(FirstEventReceived{At: h.at, Job: begun.Job})
		Expect(h.due(begun)).To(BeEmpty())
		h.end(h.state.jobs[ended.Job], OutcomeDone, false)
		Expect(h.due(ended)).To(BeEmpty())
		h.end(h.state.jobs[repeated.Job], OutcomeRejected, true)
		Expect(h.due(repeated)).To(BeEmpty())
	})

	It("release their load when cancelled, as neither failure nor success", func() {
		for _, hedgeWins := range []bool{false, true} {
			h := newHedgeHarness(newRecord("a"), newRecord("b"))
			j, first, hedge := h.hedged()
			j.Fingerprint = 7
			loser, endLoser, endWinner := hedge.EndpointID, h.endHedge, func() []Effect { return h.end(j, OutcomeDone, false) }
			if hedgeWins {
				loser, endWinner = first.EndpointID, func() []Effect { return h.endHedge(j, OutcomeDone) }
				endLoser = func(j *Job, o Outcome) []Effect { return h.end(j, o, false) }
			}
			e := h.state.endpoints[loser]
			e.consecutiveFailures, e.failureRate = 1, 0.5
			h.at += 10 * time.Millisecond
			Expect(effectsOf[CheckEndpoint](endLoser(j, OutcomeCancelled))).To(BeEmpty(), "the endpoint isn't suspected")
			Expect(e.running()).To(BeZero())
			Expect([]float64{float64(e.consecutiveFailures), e.failureRate}).To(Equal([]float64{1, 0.5}))
			Expect(h.state.suspected(j)).To(BeFalse())
			endWinner()
			Expect(h.state.jobs).To(BeEmpty())
			Expect(h.state.Load().Endpoints).To(BeEmpty())
		}
	})

	It("end with the caller, in any order", func() {
		for _, hedgeFirst := range []bool{false, true} {
			h := newHedgeHarness(newRecord("a"), newRecord("b"))
			j, _, _ := h.hedged()
			if hedgeFirst {
				h.endHedge(j, OutcomeAbandoned)
			}
			Expect(effectsOf[Dispatch](h.end(j, OutcomeAbandoned, false))).To(BeEmpty())
			if !hedgeFirst {
				h.endHedge(j, OutcomeAbandoned)
			}
			Expect(h.state.jobs).To(BeEmpty())
			Expect(h.state.Load().Endpoints).To(BeEmpty())
		}
	})

	It("carry the request on when the first attempt fails, and the reverse; it is never refused as not run then", func() {
		for _, hedgeFirst := range []bool{false, true} {
			h := newHedgeHarness(newRecord("a"), newRecord("b"), newRecord("c"))
			j, _, _ := h.hedged()
			fail := []func(o Outcome) []Effect{
				func(o Outcome) []Effect { return h.end(j, o, true) }, func(o Outcome) []Effect { return h.endHedge(j, o) },
			}
			if hedgeFirst {
				fail[0], fail[1] = fail[1], fail[0]
			}
			effects := fail[0](OutcomeLost)
			Expect(effectsOf[Dispatch](effects)).To(BeEmpty())
			Expect(effectsOf[Failure](effects)).To(BeEmpty())
			Expect(effectsOf[Failure](fail[1](OutcomeRejected))).To(ConsistOf(HaveField("Reason", ReasonLost)))
			Expect(h.state.jobs).To(BeEmpty())
		}
	})

	It("that weren't sent leave their attempt to a retry", func() {
		h := newHedgeHarness(newRecord("a"), newRecord("b"), newRecord("c"))
		j, _, _ := h.hedged()
		Expect(h.endHedge(j, OutcomeNotSent)).NotTo(ContainElement(BeAssignableToTypeOf(Dispatch{})))
		d := effectsOf[Dispatch](h.end(j, OutcomeLost, true))
		Expect(d).To(HaveLen(1))
		Expect(d[0].HedgeDelay).To(BeZero(), "a retry isn't hedged")
		Expect(h.end(j, OutcomeDone, false)).To(BeEmpty())
		Expect(h.state.jobs).To(BeEmpty())
	})

	It("are tried again elsewhere if their answer breaks off after they have won", func() {
		h := newHedgeHarness(newRecord("a"), newRecord("b"), newRecord("c"))
		j, _, hedge := h.hedged()
		j.MaxAttempts = 3
		h.state.Reduce(FirstEventReceived{At: h.at, Job: j.ID, Hedge: true})
		h.end(j, OutcomeCancelled, false)
		d := effectsOf[Dispatch](h.endHedge(j, OutcomeLost))
		Expect(d).To(HaveLen(1))
		Expect(d[0].EndpointID).NotTo(Equal(hedge.EndpointID))
		Expect(h.end(j, OutcomeDone, false)).To(BeEmpty(), "it is an attempt like any other")
		Expect(h.state.jobs).To(BeEmpty())
	})

	It("count the time of a cancelled first attempt, so that the delay doesn't fall with each hedge that wins", func() {
		h := newHedgeHarness(newRecord("a"), newRecord("b"))
		h.state.settings.RetrySlack = 1000
		before := h.send(h.newIdempotent()).HedgeDelay
		h.state.Reduce(AttemptEnded{At: h.at, Job: h.lastID, Outcome: OutcomeAbandoned})
		for range 40 {
			for range 2 {
				h.state.hedging.limits.CountRequest(h.at, "model")
			}
			j, _, _ := h.hedged()
			h.state.Reduce(FirstEventReceived{At: h.at, Job: j.ID, Hedge: true})
			h.end(j, OutcomeCancelled, false)
			h.endHedge(j, OutcomeDone)
			fast := h.newIdempotent()
			h.send(fast)
			h.at += before / 2
			h.state.Reduce(FirstEventReceived{At: h.at, Job: fast.ID})
			h.end(fast, OutcomeDone, false)
			h.at += time.Second
		}
		Expect(h.send(h.newIdempotent()).HedgeDelay).To(BeNumerically(">=", before))
	})
})
