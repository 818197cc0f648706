package wigeonentry

import (
	"context"
	"errors"
	"syscall"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonscheduler"

	"github.com/samber/oops"
)

// errAbandoned ends the stream of a run that is no longer the current one.
var errAbandoned = errors.New("run was abandoned")

// attemptRun is one exchange of an attempt with its endpoint: the dispatch, or a resume of the stream.
type attemptRun struct {
	handler *requestHandler
	// number identifies the run in events of the reducer.
	number       int
	permit       wigeonshift.Permit
	resume       bool
	resumeOffset int
	resumeDelay  time.Duration
	// mismatch is set by onChunk if a chunk has the wrong token or offset.
	mismatch bool
	// sinkFailed is set if a chunk could not be written to the caller.
	sinkFailed bool
	// progressReported is set once the run's first tokens were reported to the handler.
	progressReported bool
	ctx              context.Context //nolint:containedctx // ends with the run, which outlives the call that starts it
	cancel           context.CancelFunc
	generated        wigeonshift.GenerateResult
	answer           wigeonshift.ServiceAnswer
}

// startRun makes r the current run and starts it on a worker.
func (h *requestHandler) startRun(r *attemptRun) {
	r.ctx, r.cancel = context.WithCancel(h.service.baseCtx)
	h.setCurrentRun(r)
	h.resetTimer(time.Now())
	h.service.assignWorker(r)
}

// run performs the exchange and posts its outcome, unless the run was cancelled.
func (r *attemptRun) run() {
	defer r.cancel()
	err := r.callEndpoint()
	h := r.handler
	if r.ctx.Err() != nil {
		return
	}
	if r.sinkFailed {
		r.postEvent(wigeonscheduler.CallerDisconnected{Request: h.permitRequest.ID})
		return
	}
	end := r.endEvent(r.outcome(err))
	end.CachedTokens = r.generated.CachedTokens
	end.ConnectRefused = errors.Is(err, syscall.ECONNREFUSED)
	if err != nil {
		h.logger().WithError(err).WithField("endpoint", r.permit.Endpoint).Debug("run ended")
	}
	r.postEvent(end)
}

// callEndpoint sends the dispatch or resume to the endpoint and waits for its end.
func (r *attemptRun) callEndpoint() error {
	endpoint := r.handler.service.dialer.Endpoint(r.permit.Address)
	if r.handler.request.Call != nil {
		return r.callService(endpoint)
	}
	var err error
	if r.resume {
		if err := r.waitBeforeResume(); err != nil {
			return err
		}
		r.generated, err = endpoint.Resume(r.ctx, r.permit.Token, r.resumeOffset, r.onChunk)
		return err
	}
	g := r.handler.request.Generate
	r.generated, err = endpoint.Generate(r.ctx, wigeonshift.GenerateRequest{
		Token:     r.permit.Token,
		Model:     g.Model,
		Prompt:    g.Prompt,
		MaxTokens: g.MaxTokens,
	}, r.onStart, r.onChunk)
	return err
}

func (r *attemptRun) callService(endpoint wigeonshift.Endpoint) error {
	c := r.handler.request.Call
	var err error
	r.answer, err = endpoint.Call(r.ctx, wigeonshift.ServiceCall{
		Token:       r.permit.Token,
		Method:      c.Method,
		Path:        c.Path,
		ContentType: c.ContentType,
		Body:        c.Body,

		NonIdempotent: r.handler.permitRequest.NonIdempotent,
	}, r.onStart)
	return err
}

// waitBeforeResume waits for resumeDelay or until the run is cancelled.
func (r *attemptRun) waitBeforeResume() error {
	if r.resumeDelay <= 0 {
		return nil
	}
	t := time.NewTimer(r.resumeDelay)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-r.ctx.Done():
		return r.ctx.Err()
	}
}

// onStart tells the handler that the first byte is about to be written to the endpoint.
func (r *attemptRun) onStart() {
	r.postEvent(wigeonscheduler.AttemptStarted{Request: r.handler.permitRequest.ID, Run: r.number})
}

// onChunk checks a chunk and writes it to the caller. It accepts only chunks of the current run, in order.
func (r *attemptRun) onChunk(c wigeonshift.Chunk) error {
	h := r.handler
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.currentRun != r || r.ctx.Err() != nil:
		h.service.counters.add("entryChunksDiscarded", "late", 1)
		return errAbandoned
	case c.Token != r.permit.Token:
		return r.rejectChunk("token")
	case int64(c.Offset) != h.deliveredTokens.Load() || c.Count < 0:
		return r.rejectChunk("offset")
	}
	done := c.Offset + c.Count
	if !r.progressReported && done > 0 {
		r.progressReported = true
		if h.deliveredTokens.Load() == 0 {
			h.metrics.firstToken.RecordDuration(time.Since(h.arrivedAt))
		}
		r.postEvent(wigeonscheduler.AttemptProgressed{Request: h.permitRequest.ID, Run: r.number, TokensDone: done})
	}
	if err := r.writeToCaller(c.Text); err != nil {
		return err
	}
	h.deliveredTokens.Store(int64(done))
	return nil
}

// writeToCaller writes text to the caller. The run is not considered idle during the write, because the caller may be
// slow.
func (r *attemptRun) writeToCaller(text string) error {
	h := r.handler
	h.writingToCaller.Store(true)
	err := h.sink.Write(r.ctx, text)
	h.lastProgressNanos.Store(time.Now().UnixNano())
	h.writingToCaller.Store(false)
	if err != nil {
		r.sinkFailed = true
		return oops.In("entry").Wrapf(err, "write to caller")
	}
	return nil
}

// rejectChunk counts a chunk that is not the next one of this attempt, and returns the error that ends the stream.
func (r *attemptRun) rejectChunk(reason string) error {
	r.mismatch = true
	r.handler.service.counters.add("entryChunksDiscarded", reason, 1)
	return wigeonshift.ErrAnswerMismatch
}

// postEvent passes an event to the handler, unless the run was cancelled.
func (r *attemptRun) postEvent(b wigeonscheduler.EventBody) {
	select {
	case r.handler.events <- b:
	case <-r.ctx.Done():
	}
}

// outcome classifies the end of the run by its error, or by its answer if there was no error.
func (r *attemptRun) outcome(err error) wigeonscheduler.AttemptOutcome {
	switch {
	case r.mismatch || errors.Is(err, wigeonshift.ErrAnswerMismatch):
		return wigeonscheduler.OutcomeMismatch
	case errors.Is(err, wigeonshift.ErrNotRun):
		return wigeonscheduler.OutcomeNotRun
	case errors.Is(err, wigeonshift.ErrEndpointLost), errors.Is(err, wigeonshift.ErrProgressTimeout):
		return wigeonscheduler.OutcomeLost
	case err != nil:
		return wigeonscheduler.OutcomeFailed
	case r.handler.request.Call != nil:
		return r.callOutcome()
	default:
		return r.streamOutcome()
	}
}

// callOutcome accepts the answer of a plain service only if it belongs to this attempt.
func (r *attemptRun) callOutcome() wigeonscheduler.AttemptOutcome {
	if r.answer.Token != r.permit.Token {
		r.handler.service.counters.add("entryAnswersDiscarded", "token", 1)
		return wigeonscheduler.OutcomeMismatch
	}
	return wigeonscheduler.OutcomeFinished
}

// streamOutcome accepts the end of a stream only if it belongs to this attempt and every token was delivered.
func (r *attemptRun) streamOutcome() wigeonscheduler.AttemptOutcome {
	if r.generated.Token != r.permit.Token {
		r.handler.service.counters.add("entryAnswersDiscarded", "token", 1)
		return wigeonscheduler.OutcomeMismatch
	}
	if r.generated.TokensDone != r.handler.delivered() {
		r.handler.service.counters.add("entryAnswersDiscarded", "length", 1)
		return wigeonscheduler.OutcomeLost
	}
	if r.generated.Finish == wigeonshift.FinishPaused {
		return wigeonscheduler.OutcomePaused
	}
	return wigeonscheduler.OutcomeFinished
}

// endEvent returns the event that reports the end of the run.
func (r *attemptRun) endEvent(outcome wigeonscheduler.AttemptOutcome) wigeonscheduler.AttemptEnded {
	return wigeonscheduler.AttemptEnded{
		Request:    r.handler.permitRequest.ID,
		Run:        r.number,
		Outcome:    outcome,
		TokensDone: r.handler.delivered(),
	}
}

// delivered returns the number of tokens written to the sink.
func (h *requestHandler) delivered() int { return int(h.deliveredTokens.Load()) }
