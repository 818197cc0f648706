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
func (r *rig) longRequest(q *wigeonshift.PermitRequest) {
	q.MaxTokens, q.Deadline = 2000, r.now.Add(time.Hour)
}

// runToFirstToken starts a request of a rank and runs it until its first token.
func (r *rig) runToFirstToken(id string, rank int) *wigeonshift.Permit {
	GinkgoHelper()
	p := r.ask(id, rank, r.longRequest)[wigeonshift.RequestID(id)][0].Grant
	Expect(p).NotTo(BeNil())
	r.report(p, wigeonshift.AttemptStarted)
	r.report(p, wigeonshift.AttemptFirstToken)
	return p
}

var _ = Describe("Tier order", func() {
	// queue queues requests of a rank behind a running one that none of them can preempt.
	queue := func(r *rig, rank, n int) {
		r.runToFirstToken("running", 0)
		for i := range n {
			Expect(r.ask(fmt.Sprint("queued", i), rank, r.longRequest)).To(BeEmpty(), "request %d is queued", i)
		}
	}
	urgent := func(r *rig) func(*wigeonshift.PermitRequest) {
		return func(q *wigeonshift.PermitRequest) { q.MaxTokens, q.Deadline = 10, r.now.Add(5*time.Second) }
	}

	It("does not refuse a request because of work queued at lower tiers", func() {
		r := newRig(1, oneSlot)
		queue(r, 3, 3)
		Expect(r.ask("higher", 1, urgent(r))).To(BeEmpty(), "the request is queued before them")
	})

	It("refuses a request that the queued work of higher tiers would make miss its deadline", func() {
		r := newRig(1, oneSlot)
		queue(r, 1, 3)
		Expect(r.ask("lower", 3, urgent(r))["lower"][0].Refuse).NotTo(BeNil())
	})

	It("counts the work queued at the same tier", func() {
		r := newRig(1, oneSlot)
		queue(r, 1, 3)
		Expect(r.ask("equal", 1, urgent(r))["equal"][0].Refuse).NotTo(BeNil())
	})

	It("preempts the lowest tier of an endpoint first", func() {
		for _, order := range [][]int{{2, 3}, {3, 2}} {
			r := newRig(1, nil)
			for _, rank := range order {
				r.runToFirstToken(fmt.Sprint("rank", rank), rank)
			}
			answers := r.ask("high", 0, nil)
			Expect(answers["rank3"][0].Revoke.Action).To(Equal(wigeonshift.RevokePause))
			Expect(answers).NotTo(HaveKey(wigeonshift.RequestID("rank2")))
		}
	})

	It("preempts neither the same nor a higher tier", func() {
		r := newRig(1, nil)
		r.runToFirstToken("equal", 2)
		r.runToFirstToken("higher", 1)
		Expect(r.ask("next", 2, r.longRequest)).To(BeEmpty())
	})

	It("preempts neither the same tier nor a non-idempotent request of a lower tier", func() {
		r := newRig(2, oneSlot)
		r.runToFirstToken("equal", 2)
		lower := r.ask("lower", 3, func(q *wigeonshift.PermitRequest) {
			r.longRequest(q)
			q.NonIdempotent = true
		})["lower"][0].Grant
		r.report(lower, wigeonshift.AttemptStarted)
		Expect(r.ask("next", 2, r.longRequest)).To(BeEmpty())
	})

	It("does not resume a paused request while a higher tier runs", func() {
		r := newRig(1, oneSlot)
		paused := r.runToFirstToken("paused", 2)
		high := r.ask("high", 0, nil)["high"][0].Grant
		r.report(paused, wigeonshift.AttemptPaused)
		r.report(high, wigeonshift.AttemptStarted)
		Expect(r.ask("middle", 1, r.longRequest)).To(BeEmpty())
		answers := r.report(high, wigeonshift.AttemptFinished)
		Expect(answers["middle"][0].Grant).NotTo(BeNil())
		r.report(answers["middle"][0].Grant, wigeonshift.AttemptStarted)
		r.report(answers["middle"][0].Grant, wigeonshift.AttemptFirstToken)
		r.now = r.now.Add(time.Second)
		Expect(r.send(Ticked{})).To(BeEmpty())
	})

	It("resumes a paused request before it grants a queued one of the same tier", func() {
		r := newRig(1, oneSlot)
		paused := r.runToFirstToken("paused", 2)
		high := r.ask("high", 0, nil)["high"][0].Grant
		r.report(paused, wigeonshift.AttemptPaused)
		r.report(high, wigeonshift.AttemptStarted)
		r.ask("waiting", 2, r.longRequest)
		answers := r.report(high, wigeonshift.AttemptFinished)
		Expect(answers["paused"][0].Revoke.Action).To(Equal(wigeonshift.RevokeResume))
		Expect(answers).NotTo(HaveKey(wigeonshift.RequestID("waiting")))
	})
})
