package wigeonscheduler

import (
	"fmt"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// oneSlot limits an endpoint to one request at a time.
func oneSlot(s *wigeonshift.EndpointSpec) { s.MaxConcurrent = 1 }

// longRequest makes a request run for a long time and gives it a distant deadline.
func (ts *testShard) longRequest(q *wigeonshift.PermitRequest) {
	q.MaxTokens, q.Deadline = 2000, ts.now.Add(time.Hour)
}

// runToFirstToken starts a request of a rank and runs it until its first token.
func (ts *testShard) runToFirstToken(id string, rank int) *wigeonshift.Permit {
	GinkgoHelper()
	p := ts.ask(id, rank, ts.longRequest)[wigeonshift.RequestID(id)][0].Grant
	Expect(p).NotTo(BeNil())
	ts.report(p, wigeonshift.AttemptStarted)
	ts.report(p, wigeonshift.AttemptFirstToken)
	return p
}

var _ = Describe("Tier order", func() {
	// queue queues requests of a rank behind a running one that none of them can preempt.
	queue := func(ts *testShard, rank, n int) {
		ts.runToFirstToken("running", 0)
		for i := range n {
			Expect(ts.ask(fmt.Sprint("queued", i), rank, ts.longRequest)).To(BeEmpty(), "request %d is queued", i)
		}
	}
	urgent := func(ts *testShard) func(*wigeonshift.PermitRequest) {
		return func(q *wigeonshift.PermitRequest) { q.MaxTokens, q.Deadline = 10, ts.now.Add(5*time.Second) }
	}

	It("does not refuse a request because of work queued at lower tiers", func() {
		ts := newTestShard(1, oneSlot)
		queue(ts, 3, 3)
		Expect(ts.ask("higher", 1, urgent(ts))).To(BeEmpty(), "the request is queued before them")
	})

	It("refuses a request that the queued work of higher tiers would make miss its deadline", func() {
		ts := newTestShard(1, oneSlot)
		queue(ts, 1, 3)
		Expect(ts.ask("lower", 3, urgent(ts))["lower"][0].Refuse).NotTo(BeNil())
	})

	It("counts the work queued at the same tier", func() {
		ts := newTestShard(1, oneSlot)
		queue(ts, 1, 3)
		Expect(ts.ask("equal", 1, urgent(ts))["equal"][0].Refuse).NotTo(BeNil())
	})

	It("preempts the lowest tier of an endpoint first", func() {
		for _, order := range [][]int{{2, 3}, {3, 2}} {
			ts := newTestShard(1, nil)
			for _, rank := range order {
				ts.runToFirstToken(fmt.Sprint("rank", rank), rank)
			}
			answers := ts.ask("high", 0, nil)
			Expect(answers["rank3"][0].Revoke.Action).To(Equal(wigeonshift.RevokePause))
			Expect(answers).NotTo(HaveKey(wigeonshift.RequestID("rank2")))
		}
	})

	It("preempts neither the same nor a higher tier", func() {
		ts := newTestShard(1, nil)
		ts.runToFirstToken("equal", 2)
		ts.runToFirstToken("higher", 1)
		Expect(ts.ask("next", 2, ts.longRequest)).To(BeEmpty())
	})

	It("preempts neither the same tier nor a non-idempotent request of a lower tier", func() {
		ts := newTestShard(2, oneSlot)
		ts.runToFirstToken("equal", 2)
		lower := ts.ask("lower", 3, func(q *wigeonshift.PermitRequest) {
			ts.longRequest(q)
			q.NonIdempotent = true
		})["lower"][0].Grant
		ts.report(lower, wigeonshift.AttemptStarted)
		Expect(ts.ask("next", 2, ts.longRequest)).To(BeEmpty())
	})

	It("does not resume a paused request while a higher tier runs", func() {
		ts := newTestShard(1, oneSlot)
		paused := ts.runToFirstToken("paused", 2)
		high := ts.ask("high", 0, nil)["high"][0].Grant
		ts.report(paused, wigeonshift.AttemptPaused)
		ts.report(high, wigeonshift.AttemptStarted)
		Expect(ts.ask("middle", 1, ts.longRequest)).To(BeEmpty())
		answers := ts.report(high, wigeonshift.AttemptFinished)
		Expect(answers["middle"][0].Grant).NotTo(BeNil())
		ts.report(answers["middle"][0].Grant, wigeonshift.AttemptStarted)
		ts.report(answers["middle"][0].Grant, wigeonshift.AttemptFirstToken)
		ts.now = ts.now.Add(time.Second)
		Expect(ts.send(Tick{})).To(BeEmpty())
	})

	It("resumes a paused request before it grants a queued one of the same tier", func() {
		ts := newTestShard(1, oneSlot)
		paused := ts.runToFirstToken("paused", 2)
		high := ts.ask("high", 0, nil)["high"][0].Grant
		ts.report(paused, wigeonshift.AttemptPaused)
		ts.report(high, wigeonshift.AttemptStarted)
		ts.ask("waiting", 2, ts.longRequest)
		answers := ts.report(high, wigeonshift.AttemptFinished)
		Expect(answers["paused"][0].Revoke.Action).To(Equal(wigeonshift.RevokeResume))
		Expect(answers).NotTo(HaveKey(wigeonshift.RequestID("waiting")))
	})
})
