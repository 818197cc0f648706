package wigeonbench

import (
	"slices"
	"time"

	"wigeonshift"
	"wigeonshift/internal/policy/wigeontrace"
	"wigeonshift/internal/services/wigeonscheduler"
)

// outcome is how a request ended.
type outcome string

// Outcomes of a request. Only outcomeUseful counts as goodput.
const (
	outcomeOpen    outcome = ""
	outcomeUseful  outcome = "useful"
	outcomeRefused outcome = "refused"
	// outcomeTimeout means that the caller left at its deadline.
	outcomeTimeout outcome = "timeout"
	// outcomeLost means that the engine was lost with the request.
	outcomeLost outcome = "lost"
	// outcomePreempted means that a higher tier took the slot for good.
	outcomePreempted outcome = "preempted"
)

// call is one request at its entry, a trivial responder.
type call struct {
	request *wigeontrace.Request
	outcome outcome
	reason  wigeonshift.RefusalReason
	attempt *attempt
	// attempts counts spent permits that did not run.
	attempts int
	avoid    []string
	// computed and repeated are the prompt tokens of all attempts.
	computed, repeated int
	firstToken         time.Duration
}

// attempt is one dispatch to an engine.
type attempt struct {
	request  *wigeontrace.Request
	call     *call
	permit   wigeonshift.Permit
	engine   *engine
	sequence *sequence
	sent     time.Duration
	computed int
	repeated int
	ended    bool
}

// arrive takes a caller's request and asks for a permit.
func (w *world) arrive(r *wigeontrace.Request) {
	c := &call{request: r}
	w.calls[r.ID] = c
	w.ordered = append(w.ordered, c)
	w.ask(c)
	w.after(r.Deadline, func() { w.leave(c) })
}

// ask asks the policy for a permit.
func (w *world) ask(c *call) {
	r := c.request
	w.send(wigeonscheduler.PermitRequested{Entry: "entry", Request: wigeonshift.PermitRequest{
		ID: r.ID, Shard: shardID, Organisation: r.Organisation, Rank: r.Rank, Model: r.Model,
		Deadline: epoch.Add(r.Arrival + r.Deadline), PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, Prefix: r.Prefix,
		Fingerprint: r.Fingerprint, NonIdempotent: r.NonIdempotent, Attempt: c.attempts, Avoid: c.avoid,
	}})
}

// end settles a call once and for all.
func (w *world) end(c *call, o outcome, reason wigeonshift.RefusalReason) {
	if c.outcome != outcomeOpen {
		return
	}
	c.outcome, c.reason = o, reason
	w.open--
}

// leave ends a call whose caller has waited to its deadline.
func (w *world) leave(c *call) {
	if c.outcome != outcomeOpen {
		return
	}
	w.end(c, outcomeTimeout, "")
	if c.attempt == nil || c.attempt.ended {
		w.send(wigeonscheduler.PermitCancelled{Entry: "entry", Request: c.request.ID})
		return
	}
	w.cancel(c.attempt)
}

// cancel drops an attempt at its engine and reports it.
func (w *world) cancel(a *attempt) {
	if a.ended {
		return
	}
	if a.sequence != nil {
		a.sequence.gone = true
	}
	w.finish(a, wigeonshift.AttemptCancelled)
}

// finish ends an attempt and reports its state.
func (w *world) finish(a *attempt, state wigeonshift.AttemptState) {
	a.ended = true
	a.call.computed += a.computed
	a.call.repeated += a.repeated
	w.report(a, state)
}

// report tells the policy the state of an attempt.
func (w *world) report(a *attempt, state wigeonshift.AttemptState) {
	r := wigeonshift.AttemptReport{
		Request: a.request.ID, Shard: shardID, Token: a.permit.Token, Endpoint: a.permit.Endpoint, State: state, Elapsed: w.now - a.sent,
	}
	if a.sequence != nil {
		r.TokensDone, r.CachedTokens = a.sequence.output, a.sequence.cached
	}
	w.send(wigeonscheduler.AttemptReported{Entry: "entry", Report: r})
}

// answered takes an answer of the policy.
func (w *world) answered(f wigeonscheduler.AnswerPermit) {
	c := w.calls[f.Request]
	if c == nil {
		return
	}
	switch {
	case f.Answer.Grant != nil:
		w.granted(c, *f.Answer.Grant)
	case f.Answer.Refuse != nil:
		if c.attempt == nil || c.attempt.ended {
			w.end(c, outcomeRefused, f.Answer.Refuse.Reason)
		}
	case f.Answer.Revoke != nil:
		w.revoked(c, f.Answer.Revoke)
	}
}

// granted dispatches a call.
func (w *world) granted(c *call, p wigeonshift.Permit) {
	if c.attempt != nil && !c.attempt.ended {
		return
	}
	if c.outcome != outcomeOpen {
		w.send(wigeonscheduler.PermitCancelled{Entry: "entry", Request: c.request.ID})
		return
	}
	a := &attempt{request: c.request, call: c, permit: p, engine: w.byName[p.Endpoint], sent: w.now}
	c.attempt = a
	w.after(hop, func() { w.dispatched(a) })
}

// dispatched hands an attempt to its engine.
func (w *world) dispatched(a *attempt) {
	if a.ended {
		return
	}
	if !a.engine.alive {
		w.notRun(a)
		return
	}
	a.sequence = a.engine.add(a)
	w.report(a, wigeonshift.AttemptStarted)
	w.work(a.engine)
}

// notRun asks for another permit after an engine refused the connection.
func (w *world) notRun(a *attempt) {
	c := a.call
	a.ended = true
	w.send(wigeonscheduler.AttemptReported{Entry: "entry", Report: wigeonshift.AttemptReport{
		Request: c.request.ID, Shard: shardID, Token: a.permit.Token, Endpoint: a.permit.Endpoint,
		State: wigeonshift.AttemptNotRun, ConnectRefused: true,
	}})
	c.attempts++
	c.avoid = append(slices.Clone(c.avoid), a.permit.Endpoint)
	if c.attempts >= maxAttempts {
		w.end(c, outcomeRefused, wigeonshift.ReasonRetryBudget)
		return
	}
	w.ask(c)
}

// revoked pauses, resumes or cancels an attempt.
func (w *world) revoked(c *call, r *wigeonshift.Revocation) {
	a := c.attempt
	if a == nil || a.ended || a.permit.Token != r.Token {
		return
	}
	switch r.Action {
	case wigeonshift.RevokePause:
		if a.sequence != nil {
			a.sequence.paused = true
			w.report(a, wigeonshift.AttemptPaused)
		}
	case wigeonshift.RevokeResume:
		if a.sequence != nil && a.sequence.paused {
			w.after(hop, func() { w.resumed(a) })
		}
	case wigeonshift.RevokeCancel:
		w.end(c, outcomePreempted, wigeonshift.ReasonPreempted)
		w.cancel(a)
	}
}

// resumed lets a paused stream run again, behind what waits at the engine.
func (w *world) resumed(a *attempt) {
	if a.ended || !a.sequence.paused {
		return
	}
	a.sequence.paused = false
	e := a.engine
	if i := slices.Index(e.running, a.sequence); i >= 0 {
		e.running = slices.Delete(slices.Clone(e.running), i, i+1)
		e.waiting = append(e.waiting, a.sequence)
	}
	w.report(a, wigeonshift.AttemptResumed)
	w.work(e)
}

// token passes a generated token on.
func (w *world) token(e *engine, q *sequence) {
	a := q.attempt
	if q.output == 1 {
		a.call.firstToken = w.now + hop - a.request.Arrival
		w.after(hop, func() {
			if !a.ended {
				w.report(a, wigeonshift.AttemptFirstToken)
			}
		})
	}
	if q.output < a.request.OutputTokens {
		return
	}
	q.gone = true
	w.after(hop, func() {
		if a.ended {
			return
		}
		w.end(a.call, outcomeUseful, "")
		w.finish(a, wigeonshift.AttemptFinished)
	})
	_ = e
}

// lost ends a call whose engine was lost; it may have run, so it is not sent elsewhere.
func (w *world) lost(a *attempt) {
	if a.ended {
		return
	}
	w.end(a.call, outcomeLost, wigeonshift.ReasonOutcomeUnknown)
	w.finish(a, wigeonshift.AttemptLost)
}
