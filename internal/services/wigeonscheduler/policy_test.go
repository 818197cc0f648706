package wigeonscheduler

import (
	"fmt"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Policy", func() {
	It("pauses a lower tier for a higher one and resumes it afterwards", func() {
		ts := newTestShard(1, func(s *wigeonshift.EndpointSpec) { s.MaxConcurrent = 1 })
		low := ts.ask("low", 3, nil)["low"][0].Grant
		ts.report(low, wigeonshift.AttemptStarted)
		ts.report(low, wigeonshift.AttemptFirstToken)
		answers := ts.ask("high", 0, nil)
		Expect(answers["low"][0].Revoke.Action).To(Equal(wigeonshift.RevokePause))
		high := answers["high"][0].Grant
		Expect(high).NotTo(BeNil())
		ts.report(low, wigeonshift.AttemptPaused)
		ts.report(high, wigeonshift.AttemptStarted)
		Expect(ts.report(high, wigeonshift.AttemptFinished)["low"][0].Revoke.Action).To(Equal(wigeonshift.RevokeResume))
	})

	It("never interrupts a non-idempotent request", func() {
		ts := newTestShard(1, func(s *wigeonshift.EndpointSpec) { s.MaxConcurrent = 1 })
		low := ts.ask("low", 3, func(q *wigeonshift.PermitRequest) { q.NonIdempotent = true })["low"][0].Grant
		ts.report(low, wigeonshift.AttemptStarted)
		ts.report(low, wigeonshift.AttemptFirstToken)
		Expect(ts.ask("high", 0, nil)).To(BeEmpty())
	})

	It("shares a tier among organisations by their weights, however much each has queued", func() {
		ts := newTestShard(1, func(s *wigeonshift.EndpointSpec) { s.MaxConcurrent = 1 })
		ts.send(ConfigurationChanged{Version: 2, Endpoints: map[string]wigeonshift.EndpointSpec{
			"e0": {Address: "a", State: wigeonshift.EndpointActive, Models: []string{"m"}, MaxConcurrent: 1},
		}, Product: &wigeonshift.Product{Organisations: map[string]wigeonshift.Organisation{"big": {Weight: 1}, "small": {Weight: 3}}}})
		running := ts.ask("first", 1, nil)["first"][0].Grant
		owner := map[wigeonshift.RequestID]string{}
		for i := range 80 {
			name := "big"
			if i >= 50 {
				name = "small"
			}
			id := fmt.Sprint("q", i)
			owner[wigeonshift.RequestID(id)] = name
			ts.ask(id, 1, func(q *wigeonshift.PermitRequest) {
				q.Organisation, q.PromptTokens, q.MaxTokens = name, 2000, 10
				q.Deadline = ts.now.Add(time.Hour)
			})
		}
		served := map[string]int{}
		for range 32 {
			ts.report(running, wigeonshift.AttemptStarted)
			for id, answers := range ts.report(running, wigeonshift.AttemptFinished) {
				running = answers[0].Grant
				served[owner[id]]++
			}
		}
		Expect(served["small"]).To(BeNumerically("~", 24, 2))
	})

	It("orders an endpoint to load a model whose demand stays high, fenced by the epoch and only while the lease is held", func() {
		ts := newTestShard(4, nil)
		specs := map[string]wigeonshift.EndpointSpec{}
		for i := range 4 {
			model := "m"
			if i == 3 {
				model = "n"
			}
			specs[fmt.Sprint("e", i)] = wigeonshift.EndpointSpec{Address: "a", State: wigeonshift.EndpointActive, Models: []string{model}, MaxConcurrent: 2}
		}
		ts.send(ConfigurationChanged{Version: 2, Endpoints: specs, Product: &wigeonshift.Product{}})
		ts.ask("m", 1, nil)
		var reserved *ReserveWeightSlot
		for i := 0; i < 100 && reserved == nil; i++ {
			for k := range 4 {
				ts.ask(fmt.Sprintf("n%d.%d", i, k), 1, func(q *wigeonshift.PermitRequest) { q.Model, q.MaxTokens = "n", 400 })
			}
			ts.now = ts.now.Add(200 * time.Millisecond)
			for _, ef := range Reduce(ts.st, Event{At: ts.now, Body: Tick{}}) {
				if w, ok := ef.(ReserveWeightSlot); ok {
					reserved = &w
				}
			}
		}
		Expect(reserved).NotTo(BeNil())
		Expect(reserved.Model).To(Equal("n"))
		granted := WeightSlotAnswered{Endpoint: reserved.Endpoint, Model: "n"}
		effects := Reduce(ts.st, Event{At: ts.now, Body: granted})
		Expect(effects).To(ContainElement(HaveField("Order.Fence", uint64(1))))
		ts.send(LeaseExpired{})
		Expect(Reduce(ts.st, Event{At: ts.now, Body: granted})).NotTo(ContainElement(BeAssignableToTypeOf(SendOrder{})))
	})

	It("passes a request to another shard with free slots before it preempts lower tiers", func() {
		ts := newTestShard(1, func(s *wigeonshift.EndpointSpec) { s.MaxConcurrent = 1 })
		low := ts.ask("low", 3, nil)["low"][0].Grant
		ts.report(low, wigeonshift.AttemptStarted)
		ts.report(low, wigeonshift.AttemptFirstToken)
		ts.send(SummaryReceived{Summary: wigeonshift.ShardSummary{Shard: "p/s/r/1", Epoch: 1, FreeSlots: 1, LowestPriorityRunning: -1}})
		answers := ts.ask("high", 0, nil)
		Expect(*answers["high"][0].Spill).To(Equal(wigeonshift.ShardID("p/s/r/1")))
		Expect(answers).NotTo(HaveKey(wigeonshift.RequestID("low")))
	})
})
