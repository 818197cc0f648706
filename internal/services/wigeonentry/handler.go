package wigeonentry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonscheduler"
)

// eventBuffer is the number of events of one request that are buffered before their sender blocks.
const eventBuffer = 8

// requestHandler handles one admitted request. Only one goroutine runs it: first the caller of Do in runUntilAnswered,
// then the background task in loop. Fields that are not atomic, channels or guarded by mu belong to that goroutine.
type requestHandler struct {
	service       *Service
	request       Request
	permitRequest wigeonshift.PermitRequest
	sink          Sink
	result        Result
	metrics       *tierMetrics
	arrivedAt     time.Time
	// answered is set when result is final. ended is set when the request needs no more work.
	answered, ended bool

	permitSession wigeonshift.PermitSession
	permitAnswers <-chan wigeonshift.PermitAnswer
	events        chan wigeonscheduler.EventBody
	// displaced is signalled when a request of a higher tier needs this request's place.
	displaced chan struct{}
	timer     *time.Timer
	// startedAt is the time at which the first byte was sent with the current permit.
	startedAt time.Time

	// deliveredTokens is the number of tokens written to the sink.
	deliveredTokens atomic.Int64
	// lastProgressNanos is the time of the current run's last progress, as Unix time in nanoseconds.
	lastProgressNanos atomic.Int64
	// writingToCaller is set while a chunk is being written to the caller.
	writingToCaller atomic.Bool
	// mu is held while a chunk is checked and written to the caller.
	mu sync.Mutex
	// currentRun is the run whose chunks are accepted. Only the goroutine that runs the handler changes it, with mu held.
	currentRun *attemptRun
}

func newRequestHandler(s *Service, r Request, pr wigeonshift.PermitRequest, sink Sink) *requestHandler {
	return &requestHandler{
		service:       s,
		request:       r,
		permitRequest: pr,
		sink:          sink,
		result:        Result{ID: pr.ID},
		metrics:       s.counters.tier(pr),
		arrivedAt:     time.Now(),
		events:        make(chan wigeonscheduler.EventBody, eventBuffer),

		displaced: make(chan struct{}, 1),
	}
}

// runUntilAnswered processes events until the request's answer is final.
func (h *requestHandler) runUntilAnswered(ctx context.Context) {
	h.metrics.arrived.Inc(1)
	h.timer = time.NewTimer(h.permitRequest.Deadline.Sub(h.arrivedAt))
	h.applyEvent(ctx, wigeonscheduler.CallerArrived{PermitRequest: h.permitRequest,
		Claim: h.service.newClaim(h.permitRequest, h.request, h.arrivedAt)})
	callerDone := ctx.Done()
	for !h.answered {
		select {
		case <-callerDone:
			callerDone = nil
			h.applyEvent(ctx, wigeonscheduler.CallerDisconnected{Request: h.permitRequest.ID})
		case b := <-h.events:
			h.applyEvent(ctx, b)
		case a, ok := <-h.permitAnswers:
			h.handlePermitAnswer(ctx, a, ok)
		case <-h.displaced:
			h.applyEvent(ctx, wigeonscheduler.Displaced{Request: h.permitRequest.ID})
		case <-h.timer.C:
			h.handleTimer(ctx)
		}
	}
	if h.ended {
		h.timer.Stop()
	}
}

// loop processes the events of an answered request in the background until it needs no more work.
func (h *requestHandler) loop() {
	defer h.service.taskDone(&h.service.backgroundTasks)
	defer h.service.unregister(h)
	defer h.timer.Stop()
	ctx := h.service.baseCtx
	h.resetTimer(time.Now())
	for !h.ended {
		select {
		case b := <-h.events:
			h.applyEvent(ctx, b)
		case a, ok := <-h.permitAnswers:
			h.handlePermitAnswer(ctx, a, ok)
		case <-h.timer.C:
			h.handleTimer(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// handlePermitAnswer processes an answer of the shard's owner. ok is false if the session was closed because no owner
// was found.
func (h *requestHandler) handlePermitAnswer(ctx context.Context, a wigeonshift.PermitAnswer, ok bool) {
	if !ok {
		h.permitAnswers = nil
		h.applyEvent(ctx, wigeonscheduler.PermitFailed{Request: h.permitRequest.ID})
		return
	}
	leaving := a.Grant != nil && h.service.isEndpointLeaving(h.permitRequest, a.Grant.Endpoint)
	h.applyEvent(ctx, wigeonscheduler.PermitAnswered{Request: h.permitRequest.ID, Answer: a, Leaving: leaving})
}

// handleTimer ends the request at its deadline. It treats a run without progress as lost.
func (h *requestHandler) handleTimer(ctx context.Context) {
	now := time.Now()
	if !h.answered && !now.Before(h.permitRequest.Deadline) {
		h.applyEvent(ctx, wigeonscheduler.DeadlineReached{Request: h.permitRequest.ID})
		return
	}
	if r := h.currentRun; r != nil && h.idleTimeLeft(now) <= 0 {
		h.service.counters.add("entryStreamTimeouts", "", 1)
		h.setCurrentRun(nil)
		h.applyEvent(ctx, r.endEvent(wigeonscheduler.OutcomeLost))
	}
	h.resetTimer(now)
}

// idleTimeLeft returns the time that the current run may still go without progress. While a chunk is being written to a
// slow caller, the run is not considered idle.
func (h *requestHandler) idleTimeLeft(now time.Time) time.Duration {
	bound := h.service.settings.StreamTimeout
	switch {
	case h.writingToCaller.Load():
		return bound
	case h.deliveredTokens.Load() == 0:
		bound = h.service.settings.FirstTokenTimeout
	}
	return bound - time.Duration(now.UnixNano()-h.lastProgressNanos.Load())
}

// resetTimer sets the timer to the earliest of the deadline of an unanswered request, the current run's idle timeout and
// StreamTimeout from now.
func (h *requestHandler) resetTimer(now time.Time) {
	wait := h.service.settings.StreamTimeout
	if h.currentRun != nil {
		wait = min(wait, h.idleTimeLeft(now))
	}
	if !h.answered {
		wait = min(wait, h.permitRequest.Deadline.Sub(now))
	}
	h.timer.Reset(max(wait, time.Millisecond))
}

// applyEvent passes an event to the reducer and executes the effects.
func (h *requestHandler) applyEvent(ctx context.Context, b wigeonscheduler.EventBody) {
	for _, e := range h.service.reduce(b) {
		h.executeEffect(ctx, e)
	}
}

func (h *requestHandler) executeEffect(ctx context.Context, e wigeonscheduler.Effect) {
	switch e := e.(type) {
	case wigeonscheduler.Displace:
		h.service.signalDisplaced(e.Request)
	case wigeonscheduler.WriteClaim:
		h.writeClaim(ctx, e.Claim)
	case wigeonscheduler.SettleClaim:
		h.settleClaim(e.Claim)
	case wigeonscheduler.RequestPermit:
		h.requestPermit(ctx, e.PermitRequest)
	case wigeonscheduler.ClosePermit:
		h.closePermitSession()
	case wigeonscheduler.Dispatch:
		h.startRun(&attemptRun{handler: h, number: e.Run, permit: e.Permit})
	case wigeonscheduler.ResumeStream:
		h.startRun(&attemptRun{handler: h, number: e.Run, permit: e.Permit,
			resume: true, resumeOffset: e.Offset, resumeDelay: e.Wait})
	case wigeonscheduler.PauseStream:
		h.startPause(e)
	case wigeonscheduler.CancelStream:
		h.cancelStream(e.Permit)
	case wigeonscheduler.ReportAttempt:
		h.reportAttempt(e.Report)
	case wigeonscheduler.AnswerCaller:
		h.recordAnswer(e)
	case wigeonscheduler.EndRequest:
		h.setCurrentRun(nil)
		h.ended = true
	case wigeonscheduler.Count:
		h.service.counters.add(e.Name, e.Label, e.Delta)
	}
}

// requestPermit opens a permit session with the shard's owner. The reducer returns RequestPermit only as the last
// effect of an event, because a failure applies another event.
func (h *requestHandler) requestPermit(ctx context.Context, pr wigeonshift.PermitRequest) {
	h.permitRequest = pr
	askCtx, cancel := context.WithDeadline(ctx, pr.Deadline)
	defer cancel()
	session, err := h.service.broker.RequestPermit(askCtx, pr)
	if err != nil {
		h.logger().WithError(err).Warn("permit request failed: no owner could be asked")
		h.applyEvent(ctx, wigeonscheduler.PermitFailed{Request: h.permitRequest.ID})
		return
	}
	h.permitSession = session
	h.permitAnswers = session.Answers()
}

// closePermitSession closes the session with the owner, if there is one.
func (h *requestHandler) closePermitSession() {
	if h.permitSession != nil {
		h.permitSession.Close()
	}
	h.permitSession, h.permitAnswers = nil, nil
}

// reportAttempt sends the owner a report on the attempt, with the time since its first byte was sent.
func (h *requestHandler) reportAttempt(r wigeonshift.AttemptReport) {
	if h.permitSession == nil {
		return
	}
	if r.State == wigeonshift.AttemptStarted {
		h.startedAt = time.Now()
	}
	if !h.startedAt.IsZero() {
		r.Elapsed = time.Since(h.startedAt)
	}
	h.permitSession.Report(r)
}

// recordAnswer sets the request's final result. Chunks that arrive later are discarded.
func (h *requestHandler) recordAnswer(a wigeonscheduler.AnswerCaller) {
	h.answered = true
	h.ended = !a.Continues
	h.result.Refusal = a.Refusal
	switch {
	case a.Replay != nil:
		h.result.Replayed = true
		h.result.Answer = wigeonshift.ServiceAnswer{
			Token:       a.Replay.Token,
			Status:      a.Replay.Status,
			ContentType: a.Replay.ContentType,
			Body:        a.Replay.Body,
		}
	case a.Refusal == nil:
		h.metrics.completed.Inc(1)
		h.result.Generated = h.currentRun.generated
		h.result.Answer = h.currentRun.answer
	}
	if h.ended {
		h.setCurrentRun(nil)
	}
}

// setCurrentRun replaces the current run and cancels the previous one. Chunks of the previous run are discarded.
func (h *requestHandler) setCurrentRun(r *attemptRun) {
	if h.currentRun != nil {
		// Cancel before locking mu: a chunk may hold mu while it waits for a slow caller, and the cancellation ends the
		// wait.
		h.currentRun.cancel()
	}
	h.mu.Lock()
	h.currentRun = r
	h.mu.Unlock()
	h.lastProgressNanos.Store(time.Now().UnixNano())
}
