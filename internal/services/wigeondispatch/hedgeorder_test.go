package wigeondispatch

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// hedgeOrder reports the attempts of one request in a random order that a shell may use.
type hedgeOrder struct {
	t *rapid.T
	h *hedgeHarness
	j *Job
	// running holds the attempts that run, by whether they are a hedge; first is the dispatch of the one that isn't.
	running map[bool]bool
	first   Dispatch
	// attempts counts the attempts that may have reached an endpoint.
	attempts          int
	mayHaveRun, ended bool
}

// apply follows the effects on the request.
func (o *hedgeOrder) apply(effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Dispatch:
			o.check(!o.running[false] && !o.running[true] && !o.ended, "a retry beside a running attempt")
			o.first, o.running[false] = e, true
			o.attempts++
		case Hedge:
			o.check(o.running[false] && !o.running[true], "a hedge without a first attempt")
			o.running[true] = true
			o.attempts++
		case Abandon:
			for _, isHedge := range []bool{false, true} {
				o.end(isHedge, OutcomeLost)
			}
		case Refuse:
			o.check(!o.mayHaveRun && !o.ended, "a request that may have run is refused as not run")
			o.ended = true
		case Failure:
			o.check(!o.ended, "a second answer")
			o.ended = true
		}
	}
}

func (o *hedgeOrder) check(holds bool, fault string) {
	if !holds {
		o.t.Fatal(fault)
	}
}

// end reports the end of an attempt if it runs.
func (o *hedgeOrder) end(isHedge bool, outcome Outcome) {
	if !o.running[isHedge] {
		return
	}
	delete(o.running, isHedge)
	switch outcome {
	case OutcomeNotSent, OutcomeDelayed:
		o.attempts--
	case OutcomeLost, OutcomeFailed:
		o.mayHaveRun = true
	case OutcomeDone, OutcomeAbandoned:
		o.ended = true
	}
	o.apply(o.h.state.Reduce(AttemptEnded{
		At: o.h.at, Job: o.j.ID, Outcome: outcome, Hedge: isHedge, Succeeded: outcome == OutcomeDone, Answerable: true,
	}))
}

// win lets an attempt win, so that the other one is cancelled.
func (o *hedgeOrder) win(isHedge bool) {
	if !o.running[isHedge] {
		return
	}
	o.apply(o.h.state.Reduce(FirstEventReceived{At: o.h.at, Job: o.j.ID, Hedge: isHedge}))
	o.end(!isHedge, OutcomeCancelled)
}

func (o *hedgeOrder) step() {
	o.h.at += time.Duration(rapid.IntRange(0, 300).Draw(o.t, "millis")) * time.Millisecond
	isHedge := rapid.Bool().Draw(o.t, "hedge")
	switch rapid.IntRange(0, 5).Draw(o.t, "step") {
	case 0, 1:
		o.apply(o.h.state.Reduce(HedgeDue{At: o.h.at, Job: o.j.ID, DispatchedAt: o.first.DecidedAt}))
	case 2:
		o.win(isHedge)
	case 3:
		o.apply(o.h.state.Reduce(AttemptStalled{At: o.h.at, Job: o.j.ID}))
	default:
		o.end(isHedge, rapid.SampledFrom([]Outcome{
			OutcomeNotSent, OutcomeDelayed, OutcomeRejected, OutcomeMisplaced, OutcomeFailed, OutcomeLost,
		}).Draw(o.t, "outcome"))
	}
}

// finish ends what runs with an answer or with the caller's leaving, in any order.
func (o *hedgeOrder) finish() {
	isHedge := rapid.Bool().Draw(o.t, "last")
	if rapid.Bool().Draw(o.t, "answered") {
		o.win(isHedge)
		o.end(isHedge, OutcomeDone)
	}
	for _, x := range []bool{isHedge, !isHedge} {
		o.end(x, OutcomeAbandoned)
	}
	o.h.state.Reduce(RequestWithdrawn{At: o.h.at, Job: o.j.ID})
}

// In any order of events the request has at most MaxAttempts runs and one end, isn't refused after it may have run, and leaves neither
// load nor a job behind.
func TestHedgeOrder(t *testing.T) {
	RegisterTestingT(t)
	defer GinkgoRecover()
	rapid.Check(t, func(t *rapid.T) {
		for range hedgeOrders {
			checkHedgeOrder(t)
		}
	})
}

// hedgeOrders is the number of requests of each check. A second hedge beside the same attempt showed once in 500 requests.
const hedgeOrders = 30

func checkHedgeOrder(t *rapid.T) {
	h := newHedgeHarness(newRecord("a"), newRecord("b"), newRecord("c"), newRecord("d"))
	o := &hedgeOrder{t: t, h: h, j: h.newIdempotent(), running: map[bool]bool{}}
	o.j.MaxAttempts, o.j.Fingerprint = rapid.IntRange(2, 4).Draw(t, "maxAttempts"), 7
	o.apply(h.arrive(o.j))
	for range rapid.IntRange(0, 8).Draw(t, "steps") {
		o.step()
		o.check(o.attempts <= o.j.MaxAttempts, "too many attempts")
	}
	o.finish()
	o.check(len(h.state.jobs) == 0, "the job is left")
	for id, e := range h.state.endpoints {
		o.check(e.ownLoad == load{}, "load is left on "+id)
	}
	o.check(h.state.retryBudget("model").Reserved() == 0, "a resend is left reserved")
}
