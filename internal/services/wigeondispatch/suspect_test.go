package wigeondispatch

import (
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// newVariant returns an idempotent request with the given query and headers, whose organisation, method, path and body
// are those of all others.
func (h *reducerHarness) newVariant(query, headers wigeonshift.Fingerprint) *Job {
	j := h.newIdempotentJob(1000 + 100*query + headers)
	j.MaxAttempts = 1
	j.Shared = wigeonshift.SharedFingerprints{Content: 1, Query: 10 + query, Headers: 50 + headers}
	return j
}

// crash sends a request and lets its endpoint crash. The endpoint starts again under its ID.
func (h *reducerHarness) crash(j *Job) []Effect {
	GinkgoHelper()
	h.dispatch(j)
	effects := h.lose(j, wigeonshift.LivenessEnded)
	h.restartEndpoints("a", "b", "c", "d", "e")
	return effects
}

// answer sends a request and answers it.
func (h *reducerHarness) answer(j *Job) []Effect {
	GinkgoHelper()
	h.dispatch(j)
	return h.end(j, OutcomeDone, false)
}

// dispatch sends a request that must be sent at once, be it as a trial.
func (h *reducerHarness) dispatch(j *Job) {
	GinkgoHelper()
	Expect(effectsOf[Dispatch](h.arrive(j))).To(HaveLen(1))
}

// restartEndpoints lists endpoints with a new start.
func (h *reducerHarness) restartEndpoints(ids ...string) []Effect {
	h.starts++
	records := crashRecords(ids...)
	for i := range records {
		records[i].StartedAtMillis = int64(1 + h.starts)
	}
	return h.state.Reduce(EndpointsListed{At: h.at, Records: records})
}

var _ = Describe("Requests that share their content", func() {
	var h *reducerHarness
	BeforeEach(func() { h = newHarness(crashRecords("a", "b", "c", "d", "e")...) })

	It("don't clear the one that crashes endpoints by their answers, and are sent when it is refused", func() {
		for query := range wigeonshift.Fingerprint(3) {
			h.crash(h.newVariant(0, 0))
			Expect(effectsOf[ClearCrashes](h.answer(h.newVariant(1+query, 0)))).To(BeEmpty())
		}
		Expect(onlyRefusal(h.arrive(h.newVariant(0, 0))).Reason).To(Equal(ReasonQuarantined))
		for query := range wigeonshift.Fingerprint(20) {
			h.answer(h.newVariant(1+query, 0))
		}
		Expect(onlyRefusal(h.arrive(h.newVariant(0, 0))).Reason).To(Equal(ReasonQuarantined))
	})

	It("are sent although they were there when it crashed endpoints", func() {
		for query := range wigeonshift.Fingerprint(3) {
			h.restartEndpoints("a")
			poison, sound := h.newVariant(0, 0), h.newVariant(1+query, 0)
			onlyDispatchEndpoint(h.arrive(poison))
			onlyDispatchEndpoint(h.arrive(sound))
			check := effectsOf[CheckEndpoint](h.end(sound, OutcomeLost, true))
			h.end(poison, OutcomeLost, true)
			Expect(effectsOf[ReportCrash](h.check(check[0], wigeonshift.LivenessEnded))).To(HaveLen(2))
		}
		h.restartEndpoints("a")
		Expect(onlyRefusal(h.arrive(h.newVariant(0, 0))).Reason).To(Equal(ReasonQuarantined))
		onlyDispatchEndpoint(h.arrive(h.newVariant(9, 0)))
	})

	It("are refused if it changes its query, or its headers", func() {
		for n := range wigeonshift.Fingerprint(3) {
			h.crash(h.newVariant(n, 0))
		}
		refusal := onlyRefusal(h.arrive(h.newVariant(9, 0)))
		Expect(refusal.Reason).To(Equal(ReasonQuarantined))
		Expect(refusal.RetryAfter).To(Equal(3 * trialDelayPerCrash))
		Expect(refusal.Crashes).To(HaveLen(3))
		h = newHarness(crashRecords("a", "b", "c", "d", "e")...)
		for n := range wigeonshift.Fingerprint(3) {
			h.crash(h.newVariant(0, n))
		}
		Expect(onlyRefusal(h.arrive(h.newVariant(0, 9))).Reason).To(Equal(ReasonQuarantined))
		onlyDispatchEndpoint(h.arrive(h.newIdempotentJob(7)))
	})

	It("are sent if it keeps its query and changes its headers", func() {
		for n := range wigeonshift.Fingerprint(3) {
			h.crash(h.newVariant(0, n))
		}
		Expect(onlyRefusal(h.arrive(h.newVariant(0, 9))).Reason).To(Equal(ReasonQuarantined))
		onlyDispatchEndpoint(h.arrive(h.newVariant(1, 20)))
	})

	It("are sent if they were answered before, while it changes its query", func() {
		h.answer(h.newVariant(1, 0))
		for n := range wigeonshift.Fingerprint(3) {
			h.crash(h.newVariant(5+n, 0))
		}
		h.answer(h.newVariant(1, 0))
		Expect(onlyRefusal(h.arrive(h.newVariant(2, 0))).Reason).To(Equal(ReasonQuarantined))
	})

	// In a storm of crashes, requests of all kinds are there.
	It("are sent while endpoints crash under other requests more often", func() {
		for n := range wigeonshift.Fingerprint(3) {
			h.crash(h.newVariant(n, 0))
			for k := range wigeonshift.Fingerprint(2) {
				j := h.newIdempotentJob(100 + 10*n + k)
				j.MaxAttempts = 1
				h.crash(j)
			}
		}
		onlyDispatchEndpoint(h.arrive(h.newVariant(9, 0)))
	})

	It("are tried one at a time after a while, until enough were answered", func() {
		for n := range wigeonshift.Fingerprint(3) {
			h.crash(h.newVariant(n, 0))
		}
		h.at += 3 * trialDelayPerCrash
		for n := range wigeonshift.Fingerprint(3 * trialAnswersPerCrash) {
			trial := h.newVariant(10+n, 0)
			effects := h.arrive(trial)
			Expect(effectsOf[StartTrial](effects)).To(HaveLen(1))
			Expect(effectsOf[Dispatch](effects)).To(HaveLen(1))
			Expect(onlyRefusal(h.arrive(h.newVariant(50+n, 0))).Reason).To(Equal(ReasonQuarantined))
			h.end(trial, OutcomeDone, false)
		}
		onlyDispatchEndpoint(h.arrive(h.newVariant(80, 0)))
		onlyDispatchEndpoint(h.arrive(h.newVariant(81, 0)))
	})

	It("aren't tried again soon after a trial that crashed its endpoint", func() {
		for n := range wigeonshift.Fingerprint(3) {
			h.crash(h.newVariant(n, 0))
		}
		h.at += 3 * trialDelayPerCrash
		h.crash(h.newVariant(10, 0))
		h.at += 3 * trialDelayPerCrash
		Expect(onlyRefusal(h.arrive(h.newVariant(11, 0))).RetryAfter).To(Equal(trialDelayPerCrash))
		h.at += trialDelayPerCrash
		Expect(effectsOf[StartTrial](h.arrive(h.newVariant(12, 0)))).To(HaveLen(1))
	})

	It("are tried sooner if the same one comes again", func() {
		for n := range wigeonshift.Fingerprint(3) {
			h.crash(h.newVariant(n, 0))
		}
		for range trialRefusals {
			onlyRefusal(h.arrive(h.newVariant(10, 0)))
		}
		h.answer(h.newVariant(10, 0))
		h.answer(h.newVariant(10, 0))
		onlyRefusal(h.arrive(h.newVariant(11, 0)))
	})

	It("are tried at once if one of them may have caused most of the crashes", func() {
		h.crash(h.newVariant(0, 0))
		h.crash(h.newVariant(0, 0))
		h.crash(h.newVariant(1, 0))
		trial := h.newVariant(2, 0)
		Expect(effectsOf[StartTrial](h.arrive(trial))).To(HaveLen(1))
		Expect(h.arrive(h.newVariant(3, 0))).To(BeEmpty(), "it waits for the end of the trial")
		Expect(effectsOf[Dispatch](h.end(trial, OutcomeDone, false))).To(HaveLen(1))
		onlyDispatchEndpoint(h.arrive(h.newVariant(4, 0)))
	})

	// Reports of the crashes under one request arrive one by one, those of others that were there between them.
	It("wait while another instance has the turn if one of them may have caused most of the crashes", func() {
		h.crash(h.newVariant(0, 0))
		h.crash(h.newVariant(0, 0))
		h.crash(h.newVariant(1, 0))
		h.state.Reduce(InstancesListed{At: h.at, Instances: []wigeonshift.Instance{{ID: h.state.settings.Instance}, {ID: "other"}}})
		for h.state.hasTrialTurn(1) {
			h.at += trialTurn
			h.state.now = h.at
		}
		Expect(h.arrive(h.newVariant(2, 0))).To(BeEmpty())
		third := wigeonshift.Crash{Fingerprint: h.newVariant(0, 0).Fingerprint, Shared: h.newVariant(0, 0).Shared, Endpoint: "x@1", At: h.state.wallClock()}
		effects := h.state.Reduce(CrashesListed{At: h.at, CrashEvidence: wigeonshift.CrashEvidence{Crashes: append(h.state.crashes.All(), third)}})
		Expect(effectsOf[Dispatch](effects)).To(HaveLen(1))
	})

	It("are tried by one instance at a time", func() {
		h.state.Reduce(InstancesListed{At: h.at, Instances: []wigeonshift.Instance{{ID: h.state.settings.Instance}, {ID: "other"}}})
		own := 0
		for n := range 100 {
			h.at = time.Duration(n) * trialTurn
			h.state.now = h.at
			if h.state.hasTrialTurn(1) {
				own++
			}
		}
		Expect(own).To(BeNumerically("~", 50, 25))
	})

	It("aren't tried while it is another instance's turn", func() {
		for n := range wigeonshift.Fingerprint(3) {
			h.crash(h.newVariant(n, 0))
		}
		h.state.Reduce(InstancesListed{At: h.at, Instances: []wigeonshift.Instance{{ID: h.state.settings.Instance}, {ID: "other"}}})
		tried := map[bool]int{}
		for n := range wigeonshift.Fingerprint(20) {
			h.at += 3*trialDelayPerCrash + trialTurn
			trials := effectsOf[StartTrial](h.arrive(h.newVariant(10+n, 0)))
			tried[h.state.hasTrialTurn(1)] += len(trials)
			if len(trials) > 0 {
				h.end(&Job{ID: h.lastID}, OutcomeRejected, false)
			}
		}
		Expect(tried[false]).To(BeZero())
		Expect(tried[true]).To(BeNumerically(">", 0))
	})

	// Whether the endpoint crashed is known later, if it fell silent.
	It("aren't tried for a while after a trial that was lost, even if the same one comes again", func() {
		for n := range wigeonshift.Fingerprint(3) {
			h.crash(h.newVariant(n, 0))
		}
		for range trialRefusals {
			onlyRefusal(h.arrive(h.newVariant(10, 0)))
			onlyRefusal(h.arrive(h.newVariant(11, 0)))
		}
		trial := h.newVariant(10, 0)
		h.dispatch(trial)
		h.lose(trial, wigeonshift.LivenessUnknown)
		onlyRefusal(h.arrive(h.newVariant(11, 0)))
		h.at += 3 * trialDelayPerCrash
		h.dispatch(h.newVariant(11, 0))
	})
})

var _ = Describe("A quarantined request", func() {
	It("stays so after a single answer", func() {
		h := newHarness(crashRecords("a", "b", "c", "d", "e")...)
		running := h.newVariant(0, 0)
		onlyDispatchEndpoint(h.arrive(running))
		for range 3 {
			h.crash(h.newVariant(0, 0))
		}
		Expect(effectsOf[ClearCrashes](h.end(running, OutcomeDone, false))).To(BeEmpty())
		Expect(onlyRefusal(h.arrive(h.newVariant(0, 0))).Reason).To(Equal(ReasonQuarantined))
	})

	It("is released by as many answers as there were crashes", func() {
		h := newHarness(crashRecords("a", "b", "c", "d", "e")...)
		var running []*Job
		for range 3 {
			running = append(running, h.newVariant(0, 0))
			onlyDispatchEndpoint(h.arrive(running[len(running)-1]))
		}
		for range 3 {
			h.crash(h.newVariant(0, 0))
		}
		var cleared []ClearCrashes
		for _, j := range running {
			cleared = append(cleared, effectsOf[ClearCrashes](h.end(j, OutcomeDone, false))...)
		}
		Expect(cleared).To(HaveLen(1))
		onlyDispatchEndpoint(h.arrive(h.newVariant(0, 0)))
	})

	// An endpoint may answer with an error before it runs a request.
	It("isn't cleared by an answer without success", func() {
		h := newHarness(crashRecords("a", "b", "c", "d", "e")...)
		h.crash(h.newVariant(0, 0))
		j := h.newVariant(0, 0)
		onlyDispatchEndpoint(h.arrive(j))
		effects := h.state.Reduce(AttemptEnded{At: h.at, Job: j.ID, Outcome: OutcomeDone})
		Expect(effectsOf[ClearCrashes](effects)).To(BeEmpty())
	})
})

var _ = Describe("An endpoint that falls silent", func() {
	var h *reducerHarness
	BeforeEach(func() { h = newHarness(crashRecords("a")...) })

	// lists replaces the list of endpoints by those with the given IDs.
	lists := func(ids ...string) []Effect {
		return h.state.Reduce(EndpointsListed{At: h.at, Records: crashRecords(ids...)})
	}

	// abandon sends a request and ends it before the endpoint was silent for the stall timeout.
	abandon := func(j *Job) {
		onlyDispatchEndpoint(h.arrive(j))
		h.at += 10 * time.Millisecond
		Expect(effectsOf[CheckEndpoint](h.end(j, OutcomeAbandoned, false))).To(BeEmpty())
	}

	It("counts as crashed under a request that ended before the stall timeout", func() {
		abandon(h.newVariant(0, 0))
		Expect(effectsOf[ReportCrash](lists("b"))).To(HaveLen(1))
	})

	It("counts as crashed under a stream that had sent an event", func() {
		j := h.newVariant(0, 0)
		onlyDispatchEndpoint(h.arrive(j))
		h.at += 10 * time.Millisecond
		h.state.Reduce(FirstEventReceived{At: h.at, Job: j.ID})
		h.at += 100 * time.Millisecond
		h.end(j, OutcomeAbandoned, false)
		Expect(effectsOf[ReportCrash](lists("b"))).To(ConsistOf(HaveField("Crash.MidRun", false)))
	})

	// The time for which it was silent is no part of the run.
	It("counts in full under a stream whose caller left long after its only event", func() {
		for events, midRun := range map[int]bool{1: false, 1000: true} {
			h = newHarness(crashRecords("a")...)
			j := h.newVariant(0, 0)
			onlyDispatchEndpoint(h.arrive(j))
			h.at += 10 * time.Millisecond
			h.state.Reduce(FirstEventReceived{At: h.at, Job: j.ID})
			h.at += 3 * time.Second
			h.state.Reduce(AttemptEnded{At: h.at, Job: j.ID, Outcome: OutcomeAbandoned, Events: events})
			Expect(effectsOf[ReportCrash](lists("b"))).To(ConsistOf(HaveField("Crash.MidRun", midRun)))
		}
	})

	// Sound requests that were answered between the crash and its notice aren't suspected for it.
	It("counts as crashed at the time at which it got the request", func() {
		h.at += time.Second
		sentAt := h.state.settings.StartedAt.Add(h.at)
		abandon(h.newVariant(0, 0))
		h.at += 3 * time.Second
		Expect(effectsOf[ReportCrash](lists("b"))).To(ConsistOf(HaveField("Crash.At", sentAt)))
	})

	It("counts as crashed as soon as another one has its address", func() {
		abandon(h.newVariant(0, 0))
		records := crashRecords("a", "b")
		records[1].Address, records[1].StartedAtMillis = records[0].Address, 2
		effects := h.state.Reduce(EndpointsListed{At: h.at, Records: records})
		Expect(effectsOf[ReportCrash](effects)).To(ConsistOf(HaveField("Crash.Endpoint", "a@1")))
	})

	It("had not crashed if it answered a later request", func() {
		abandon(h.newVariant(0, 0))
		h.at += 10 * time.Millisecond
		h.answer(h.newVariant(1, 0))
		Expect(effectsOf[ReportCrash](lists("b"))).To(BeEmpty())
	})

	// The endpoint starts again under its ID and answers before the list shows it.
	It("counts as crashed although its next process has answered", func() {
		abandon(h.newVariant(0, 0))
		h.at += 100 * time.Millisecond
		h.answer(h.newVariant(1, 0))
		h.at += 100 * time.Millisecond
		records := crashRecords("a")
		records[0].StartedAtMillis = 2
		effects := h.state.Reduce(EndpointsListed{At: h.at, Records: records})
		Expect(effectsOf[ReportCrash](effects)).To(HaveLen(1))
	})

	It("doesn't count for a request that was ended long before its connections broke", func() {
		abandon(h.newVariant(0, 0))
		h.at += unverifiedLossAge + time.Second
		j := h.newVariant(1, 0)
		onlyDispatchEndpoint(h.arrive(j))
		Expect(effectsOf[ReportCrash](h.lose(j, wigeonshift.LivenessEnded))).To(ConsistOf(HaveField("Crash.Fingerprint", j.Fingerprint)))
	})
})

var _ = Describe("An endpoint that fails a request", func() {
	// fail lets endpoints answer a request with errors until it has no endpoint left.
	fail := func(h *reducerHarness, j *Job) (suspects []Suspect) {
		for effects := h.arrive(j); len(effectsOf[Dispatch](effects)) > 0; {
			effects = h.end(j, OutcomeFailed, true)
			suspects = append(suspects, effectsOf[Suspect](effects)...)
		}
		return suspects
	}

	// A request that fails everywhere says nothing of the endpoints, however often its caller sends it.
	It("isn't paused if only this request fails", func() {
		h := newHarness(crashRecords("a", "b", "c")...)
		for range 3 * suspectFailureThreshold {
			Expect(fail(h, h.newVariant(0, 0))).To(BeEmpty())
		}
		h.dispatch(h.newVariant(1, 0))
	})

	It("is paused if others fail too", func() {
		h := newHarness(crashRecords("a")...)
		var suspects []Suspect
		for n := range wigeonshift.Fingerprint(suspectFailureThreshold) {
			suspects = append(suspects, fail(h, h.newVariant(n, 0))...)
		}
		Expect(suspects).To(HaveLen(1))
	})
})
