package wigeondispatch

import (
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonquarantine"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A request with a feature of several crashes", func() {
	const popular, deadly = wigeonshift.Fingerprint(7_000_001), wigeonshift.Fingerprint(7_000_002)
	var h *reducerHarness
	BeforeEach(func() {
		h = newHarness(crashRecords("a", "b", "c", "d", "e")...)
		h.at = time.Second
	})
	// newRequest returns a request that has nothing but some features in common with others.
	newRequest := func(features ...wigeonshift.Fingerprint) *Job {
		unique := wigeonshift.Fingerprint(1000*int(h.lastID) + 1_000)
		j := h.newIdempotentJob(unique)
		j.MaxAttempts = 1
		j.Shared = wigeonshift.SharedFingerprints{Content: unique + 1, Query: unique + 2, Headers: unique + 3}
		j.Features = features
		return j
	}
	// crashFour lets four endpoints crash under requests with some features, a second apart.
	crashFour := func(features ...wigeonshift.Fingerprint) {
		GinkgoHelper()
		for range 4 {
			h.crash(newRequest(features...))
			h.at += time.Second
		}
	}

	It("is refused until the first trial, whatever else it has", func() {
		crashFour(deadly)
		refusal := onlyRefusal(h.arrive(newRequest(popular, deadly)))
		Expect(refusal.Reason).To(Equal(ReasonQuarantined))
		Expect(refusal.RetryAfter).To(Equal(causeTrialDelay - time.Second))
		Expect(refusal.Cause.Features).To(Equal([]wigeonshift.Fingerprint{deadly}))
		Expect(refusal.Cause.Endpoints).To(HaveLen(4))
		onlyDispatchEndpoint(h.arrive(newRequest(popular)))
	})

	It("is tried once after a while, and not again soon if that crashed an endpoint", func() {
		crashFour(deadly)
		h.at += causeTrialDelay
		trial := newRequest(deadly)
		effects := h.arrive(trial)
		Expect(effectsOf[StartTrial](effects)).To(HaveLen(1))
		Expect(effectsOf[Dispatch](effects)).To(HaveLen(1))
		onlyRefusal(h.arrive(newRequest(deadly)))
		h.lose(trial, wigeonshift.LivenessEnded)
		Expect(onlyRefusal(h.arrive(newRequest(deadly))).RetryAfter).To(Equal(causeTrialDelay))
	})

	It("is tried later and later", func() {
		crashFour(deadly)
		wait := causeTrialDelay
		for n := range freeCauseCrashes {
			h.at += maxCauseTrialDelay
			h.crash(newRequest(deadly))
			if 5+n > freeCauseCrashes {
				wait *= causeTrialFactor
			}
			Expect(onlyRefusal(h.arrive(newRequest(deadly))).RetryAfter).To(Equal(min(wait, maxCauseTrialDelay)))
		}
	})

	It("is sent again once a trial was answered", func() {
		crashFour(deadly)
		h.at += causeTrialDelay
		Expect(effectsOf[ReportAnswer](h.answer(newRequest(deadly)))).To(ConsistOf(HaveField("Answer.Feature", deadly)))
		onlyDispatchEndpoint(h.arrive(newRequest(deadly)))
	})

	It("waits for a trial if it has one of two features that explain the crashes", func() {
		crashFour(popular, deadly)
		onlyRefusal(h.arrive(newRequest(popular, deadly)))
		trial, waiting := newRequest(popular), newRequest(popular)
		Expect(effectsOf[StartTrial](h.arrive(trial))).To(HaveLen(1))
		Expect(h.arrive(waiting)).To(BeEmpty())
		effects := h.end(trial, OutcomeDone, false)
		Expect(effectsOf[ReportAnswer](effects)).To(ConsistOf(HaveField("Answer.Feature", popular)))
		Expect(effectsOf[Dispatch](effects)).To(ConsistOf(HaveField("Job", waiting.ID)))
		onlyRefusal(h.arrive(newRequest(popular, deadly)))
		onlyRefusal(h.arrive(newRequest(deadly)))
	})

	It("lets another one be tried if the caller of the trial leaves", func() {
		crashFour(popular, deadly)
		trial := newRequest(popular)
		Expect(effectsOf[StartTrial](h.arrive(trial))).To(HaveLen(1))
		h.end(trial, OutcomeRejected, false)
		Expect(effectsOf[StartTrial](h.arrive(newRequest(popular)))).To(HaveLen(1))
	})

	It("is tried by one instance at a time", func() {
		crashFour(popular, deadly)
		h.state.Reduce(InstancesListed{At: h.at, Instances: []wigeonshift.Instance{{ID: h.state.settings.Instance}, {ID: "other"}}})
		key := h.state.crashes.Causes()[0].Key()
		for h.state.hasTurn(key, trialTurn) {
			h.at += trialTurn
			h.state.now = h.at
		}
		Expect(h.arrive(newRequest(popular))).To(BeEmpty())
	})

	It("is sent if another instance has shared an answer, which this one shares too if it is its own", func() {
		h.answer(newRequest(popular))
		crashFour(popular, deadly)
		effects := h.state.Reduce(CrashesListed{At: h.at, CrashEvidence: wigeonshift.CrashEvidence{Crashes: h.state.crashes.All()}})
		Expect(effectsOf[ReportAnswer](effects)).To(ConsistOf(HaveField("Answer.Feature", popular)))
		onlyDispatchEndpoint(h.arrive(newRequest(popular)))
		h.state.Reduce(CrashesListed{At: h.at, CrashEvidence: wigeonshift.CrashEvidence{
			Crashes: h.state.crashes.All(), Answers: []wigeonshift.FeatureAnswer{{Feature: deadly, At: h.state.wallClock()}},
		}})
		onlyDispatchEndpoint(h.arrive(newRequest(deadly)))
		Expect(h.state.crashes.JudgeFeatures([]wigeonshift.Fingerprint{popular})).To(Equal(wigeonquarantine.VerdictSend))
	})
})
