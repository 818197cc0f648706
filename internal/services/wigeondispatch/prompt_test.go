package wigeondispatch

import (
	"fmt"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// sharedPromptKinds are kinds of requests whose prompts begin with one of many shared parts, as in the users' large deployment.
var sharedPromptKinds = []fleetKind{
	{
		tier: 0, requestsPerSecond: 17, promptTokens: 2000, answerTokens: 200, sizeSigma: 0.7, objective: 800 * time.Millisecond,
		patience: 3200 * time.Millisecond, timeout: 12 * time.Second, value: 6.6, late: 0.3, subjects: 60, sharedTokens: 4000,
	},
	{
		tier: 1, requestsPerSecond: 20, promptTokens: 400, answerTokens: 200, sizeSigma: 0.7, objective: 400 * time.Millisecond,
		patience: 2400 * time.Millisecond, timeout: 10 * time.Second, value: 2.2, late: 0.3, subjects: 60, sharedTokens: 300,
	},
}

// sharedPromptResult is the result of the same loads with and without placement by the parts of prompts.
type sharedPromptResult struct {
	readAgain, readAgainBlind int
	value, valueBlind         float64
}

// simulateSharedPrompts runs the load of sharedPromptKinds, multiplied by a factor.
func simulateSharedPrompts(instances, engines int, factor float64) sharedPromptResult {
	var r sharedPromptResult
	const seeds = 4
	for seed := range uint64(seeds) {
		for _, hidesParts := range []bool{false, true} {
			f := newFleetSimulation(seed, instances, engines, 6, sharedPromptKinds)
			f.hidesParts = hidesParts
			f.simulate(30*time.Second, func(time.Duration) float64 { return factor })
			AddReportEntry("fleet", fmt.Sprintf("parts hidden %t, read again %d, kept %d, %s", hidesParts, f.counts.tokensReadAgain,
				f.counts.tokensKept, f.summary()))
			if hidesParts {
				r.readAgainBlind += f.counts.tokensReadAgain
				r.valueBlind += f.valueShare() / seeds
			} else {
				r.readAgain += f.counts.tokensReadAgain
				r.value += f.valueShare() / seeds
			}
		}
	}
	return r
}

var _ = Describe("Placement by the parts of prompts", func() {
	It("reads fewer tokens again in a single group and serves more at the worst load", func() {
		calm := simulateSharedPrompts(9, 9, 0.75)
		Expect(calm.readAgain).To(BeNumerically("<", calm.readAgainBlind))
		Expect(calm.value).To(BeNumerically(">", 0.99), "nearly everything is on time")
		worst := simulateSharedPrompts(9, 9, 2)
		Expect(worst.readAgain).To(BeNumerically("<", worst.readAgainBlind))
		Expect(worst.value).To(BeNumerically(">=", worst.valueBlind))
	})

	It("reads fewer tokens again in a fleet of several groups", func() {
		for _, factor := range []float64{1, 2, 2.5} {
			r := simulateSharedPrompts(18, 12, factor)
			Expect(r.readAgain).To(BeNumerically("<", r.readAgainBlind), "load %v", factor)
		}
	})

	It("reads at most a third of what is read again without it, in a fleet of several groups", func() {
		skipIfKnownRed()
		r := simulateSharedPrompts(18, 12, 1)
		Expect(r.readAgain).To(BeNumerically("<=", r.readAgainBlind/3))
	})

	It("serves as much as without it in a fleet of several groups at the worst load", func() {
		skipIfKnownRed()
		r := simulateSharedPrompts(18, 12, 2.5)
		Expect(r.value).To(BeNumerically(">=", r.valueBlind))
	})
})

var _ = Describe("keptPrompts", func() {
	job := func(ids ...string) *Job {
		j := &Job{PromptTokens: 1000}
		for _, id := range ids {
			j.PromptParts = append(j.PromptParts, wigeonshift.PromptPart{ID: id, Tokens: 100})
		}
		j.promptKeys = newPromptKeys(j)
		return j
	}

	It("counts the parts from the start of the prompt that were sent to the endpoint", func() {
		var k keptPrompts
		k.record(job("a", "b", "c").promptKeys, 0)
		Expect(k.tokens(job("a", "b", "d"), time.Second)).To(Equal(200))
		Expect(k.tokens(job("b"), time.Second)).To(BeZero(), "a part counts only after the same parts")
		Expect(k.tokens(job("a", "c"), time.Second)).To(Equal(100))
		Expect(k.tokens(job(), time.Second)).To(BeZero())
		Expect(k.tokens(job("a", "b", "c"), keptPromptTime+1)).To(BeZero(), "the parts have expired")
	})

	It("never counts more than the prompt", func() {
		var k keptPrompts
		j := job("a", "b", "c")
		j.PromptTokens = 150
		k.record(j.promptKeys, 0)
		Expect(k.tokens(j, 0)).To(Equal(150))
	})

	It("keeps a request with few shared tokens off a home in another group", func() {
		few := &Job{PromptTokens: 3000, PromptParts: []wigeonshift.PromptPart{{ID: "shared", Tokens: 60}, {ID: "own", Tokens: 2000}}}
		many := &Job{PromptTokens: 3000, PromptParts: []wigeonshift.PromptPart{{ID: "shared", Tokens: 1000}, {ID: "own", Tokens: 2000}}}
		for _, j := range []*Job{few, many} {
			j.promptKeys = newPromptKeys(j)
		}
		Expect(few.mayUseDistantHome()).To(BeFalse())
		Expect(many.mayUseDistantHome()).To(BeTrue())
		Expect((&Job{PromptTokens: 100}).mayUseDistantHome()).To(BeFalse(), "it has no parts")
	})

	It("expects the same of an endpoint before and after a request is sent there", func() {
		s := New(Settings{Instance: "a", RetryWindow: 10 * time.Second})
		s.Reduce(EndpointsListed{Records: []wigeonshift.EndpointRecord{{ID: "e", Service: "s", Slots: 4}}})
		j := &Job{
			ID: 1, Service: "s", Deadline: time.Minute, CallerPatience: time.Minute, MaxAttempts: 1, HasTokens: true, PromptTokens: 20_000,
			PromptParts: []wigeonshift.PromptPart{{ID: "p", Tokens: 20_000}}, Kind: wigeonshift.RouteStreaming,
		}
		before := s.estimate(newEndpoint(wigeonshift.EndpointRecord{ID: "e"}, s.pool("s")), j).firstEvent
		s.Reduce(RequestArrived{Job: j})
		e := s.endpoints["e"]
		e.ownLoad = load{}
		Expect(s.estimate(e, j).firstEvent).To(Equal(before))
	})

	It("forgets on a tick what is no longer kept", func() {
		s := New(Settings{Instance: "a", RetryWindow: 10 * time.Second})
		s.Reduce(EndpointsListed{Records: []wigeonshift.EndpointRecord{{ID: "e", Service: "s", Slots: 4}}})
		s.Reduce(RequestArrived{At: time.Second, Job: &Job{
			ID: 1, Service: "s", Arrived: time.Second, Deadline: time.Minute, CallerPatience: time.Minute, MaxAttempts: 1, HasTokens: true,
			PromptTokens: 1000, PromptParts: []wigeonshift.PromptPart{{ID: "p", Tokens: 100}},
		}})
		Expect(s.endpoints["e"].kept.usedAt).To(HaveLen(1))
		for at := 2 * time.Second; at < 3*keptPromptTime; at += time.Second {
			s.Reduce(Tick{At: at})
		}
		Expect(s.endpoints["e"].kept.usedAt).To(BeEmpty())
	})

	It("stays bounded", func() {
		var k keptPrompts
		for i := range 10 * maxKeptParts {
			k.record(job(fmt.Sprint(i)).promptKeys, time.Duration(i)*time.Millisecond)
			Expect(len(k.usedAt)).To(BeNumerically("<=", maxKeptParts))
		}
	})
})
