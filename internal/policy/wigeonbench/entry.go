package wigeonbench

import (
	"slices"
	"time"

	"wigeonshift"
	"wigeonshift/internal/policy/wigeontrace"
	"wigeonshift/internal/services/wigeonscheduler"
)

// outcome is the outcome of a request.
type outcome string

// Outcomes of a request. Only outcomeUseful counts as goodput: the caller got the whole response before the deadline.
const (
	outcomePending outcome = ""
	outcomeUseful  outcome = "useful"
	outcomeRefused outcome = "refused"
	// outcomeTimeout means that the caller disconnected at its deadline.
	outcomeTimeout outcome = "timeout"
	// outcomeLost means that the engine crashed while it had the request.
	outcomeLost outcome = "lost"
	// outcomePreempted means that the policy cancelled the attempt in favour of a higher tier.
	outcomePreempted outcome = "preempted"
)

// call is the state of one request at the simulated entry.
type call struct {
	request *wigeontrace.Request
	outcome outcome
	reason  wigeonshift.RefusalReason
	attempt *attempt
	// notRunAttempts counts the attempts whose engine refused the connection.
	notRunAttempts int
	avoid          []string
	// computedTokens and repeatedTokens are the prompt tokens of all attempts that ended.
	computedTokens, repeatedTokens int
	firstTokenLatency              time.Duration
}

// attempt is the use of one permit at an engine.
type attempt struct {
	request        *wigeontrace.Request
	call           *call
	permit         wigeonshift.Permit
	engine         *engine
	sequence       *sequence
	grantedAt      time.Duration
	computedTokens int
	repeatedTokens int
	ended          bool
}

// handleArrival starts the call of a request, asks for a permit and sets a timer for the caller's deadline.
func (s *simulation) handleArrival(r *wigeontrace.Request) {
	c := &call{request: r}
	s.calls[r.ID] = c
	s.callsByArrival = append(s.callsByArrival, c)
	s.requestPermit(c)
	s.scheduleAfter(r.Deadline, func() { s.handleCallerDeadline(c) })
}

// requestPermit asks the policy for a permit.
func (s *simulation) requestPermit(c *call) {
	r := c.request
	s.send(wigeonscheduler.PermitRequested{Entry: "entry", Request: wigeonshift.PermitRequest{
		ID: r.ID, Shard: shardID, Organisation: r.Organisation, Rank: r.Rank, Model: r.Model,
		Deadline: startTime.Add(r.Arrival + r.Deadline), PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens, Prefix: r.Prefix,
		Fingerprint: r.Fingerprint, NonIdempotent: r.NonIdempotent, Attempt: c.notRunAttempts, Avoid: c.avoid,
	}})
}

// endCall sets the outcome of a call unless it already has one.
func (s *simulation) endCall(c *call, o outcome, reason wigeonshift.RefusalReason) {
	if c.outcome != outcomePending {
		return
	}
	c.outcome, c.reason = o, reason
	s.pendingCalls--
}

// handleCallerDeadline ends a pending call whose deadline has passed and cancels its permit request or attempt.
func (s *simulation) handleCallerDeadline(c *call) {
	if c.outcome != outcomePending {
		return
	}
	s.endCall(c, outcomeTimeout, "")
	if c.attempt == nil || c.attempt.ended {
		s.send(wigeonscheduler.PermitCancelled{Entry: "entry", Request: c.request.ID})
		return
	}
	s.cancelAttempt(c.attempt)
}

// cancelAttempt removes an attempt from its engine and reports it as cancelled.
func (s *simulation) cancelAttempt(a *attempt) {
	if a.ended {
		return
	}
	if a.sequence != nil {
		a.sequence.removed = true
	}
	s.endAttempt(a, wigeonshift.AttemptCancelled)
}

// endAttempt ends an attempt, adds its prompt tokens to the call and reports its state.
func (s *simulation) endAttempt(a *attempt, state wigeonshift.AttemptState) {
	a.ended = true
	a.call.computedTokens += a.computedTokens
	a.call.repeatedTokens += a.repeatedTokens
	s.reportAttempt(a, state)
}

// reportAttempt reports the state of an attempt to the policy.
func (s *simulation) reportAttempt(a *attempt, state wigeonshift.AttemptState) {
	r := wigeonshift.AttemptReport{
		Request: a.request.ID, Shard: shardID, Token: a.permit.Token, Endpoint: a.permit.Endpoint, State: state, Elapsed: s.now - a.grantedAt,
	}
	if a.sequence != nil {
		r.TokensDone, r.CachedTokens = a.sequence.outputTokens, a.sequence.cachedTokens
	}
	s.send(wigeonscheduler.AttemptReported{Entry: "entry", Report: r})
}

// handleAnswer handles the policy's answer to a permit request.
func (s *simulation) handleAnswer(f wigeonscheduler.AnswerPermit) {
	c := s.calls[f.Request]
	if c == nil {
		return
	}
	switch {
	case f.Answer.Grant != nil:
		s.handleGrant(c, *f.Answer.Grant)
	case f.Answer.Refuse != nil:
		if c.attempt == nil || c.attempt.ended {
			s.endCall(c, outcomeRefused, f.Answer.Refuse.Reason)
		}
	case f.Answer.Revoke != nil:
		s.handleRevocation(c, f.Answer.Revoke)
	}
}

// handleGrant sends the request to its engine, or cancels the permit if the call has ended. It ignores grants while an
// attempt is in flight.
func (s *simulation) handleGrant(c *call, p wigeonshift.Permit) {
	if c.attempt != nil && !c.attempt.ended {
		return
	}
	if c.outcome != outcomePending {
		s.send(wigeonscheduler.PermitCancelled{Entry: "entry", Request: c.request.ID})
		return
	}
	a := &attempt{request: c.request, call: c, permit: p, engine: s.engineByName[p.Endpoint], grantedAt: s.now}
	c.attempt = a
	s.scheduleAfter(messageDelay, func() { s.startAttempt(a) })
}

// startAttempt adds an attempt to its engine's queue.
func (s *simulation) startAttempt(a *attempt) {
	if a.ended {
		return
	}
	if !a.engine.alive {
		s.handleConnectionRefused(a)
		return
	}
	a.sequence = a.engine.enqueue(a)
	s.reportAttempt(a, wigeonshift.AttemptStarted)
	s.startStep(a.engine)
}

// handleConnectionRefused reports that an attempt did not run and asks for a permit for another engine. It refuses the
// call after maxAttempts attempts.
func (s *simulation) handleConnectionRefused(a *attempt) {
	c := a.call
	a.ended = true
	s.send(wigeonscheduler.AttemptReported{Entry: "entry", Report: wigeonshift.AttemptReport{
		Request: c.request.ID, Shard: shardID, Token: a.permit.Token, Endpoint: a.permit.Endpoint,
		State: wigeonshift.AttemptNotRun, ConnectRefused: true,
	}})
	c.notRunAttempts++
	c.avoid = append(slices.Clone(c.avoid), a.permit.Endpoint)
	if c.notRunAttempts >= maxAttempts {
		s.endCall(c, outcomeRefused, wigeonshift.ReasonRetryBudget)
		return
	}
	s.requestPermit(c)
}

// handleRevocation pauses, resumes or cancels an attempt.
func (s *simulation) handleRevocation(c *call, r *wigeonshift.Revocation) {
	a := c.attempt
	if a == nil || a.ended || a.permit.Token != r.Token {
		return
	}
	switch r.Action {
	case wigeonshift.RevokePause:
		if a.sequence != nil {
			a.sequence.paused = true
			s.reportAttempt(a, wigeonshift.AttemptPaused)
		}
	case wigeonshift.RevokeResume:
		if a.sequence != nil && a.sequence.paused {
			s.scheduleAfter(messageDelay, func() { s.resumeAttempt(a) })
		}
	case wigeonshift.RevokeCancel:
		s.endCall(c, outcomePreempted, wigeonshift.ReasonPreempted)
		s.cancelAttempt(a)
	}
}

// resumeAttempt resumes a paused attempt at the end of the engine's queue.
func (s *simulation) resumeAttempt(a *attempt) {
	if a.ended || !a.sequence.paused {
		return
	}
	a.sequence.paused = false
	e := a.engine
	if i := slices.Index(e.running, a.sequence); i >= 0 {
		e.running = slices.Delete(slices.Clone(e.running), i, i+1)
		e.waiting = append(e.waiting, a.sequence)
	}
	s.reportAttempt(a, wigeonshift.AttemptResumed)
	s.startStep(e)
}

// handleToken handles a token that an engine generated: it reports the first one and ends the call after the last one.
func (s *simulation) handleToken(e *engine, q *sequence) {
	a := q.attempt
	if q.outputTokens == 1 {
		a.call.firstTokenLatency = s.now + messageDelay - a.request.Arrival
		s.scheduleAfter(messageDelay, func() {
			if !a.ended {
				s.reportAttempt(a, wigeonshift.AttemptFirstToken)
			}
		})
	}
	if q.outputTokens < a.request.OutputTokens {
		return
	}
	q.removed = true
	s.scheduleAfter(messageDelay, func() {
		if a.ended {
			return
		}
		s.endCall(a.call, outcomeUseful, "")
		s.endAttempt(a, wigeonshift.AttemptFinished)
	})
	_ = e
}

// handleEngineLoss ends a call whose engine crashed. It does not retry the request because it may have run.
func (s *simulation) handleEngineLoss(a *attempt) {
	if a.ended {
		return
	}
	s.endCall(a.call, outcomeLost, wigeonshift.ReasonOutcomeUnknown)
	s.endAttempt(a, wigeonshift.AttemptLost)
}
