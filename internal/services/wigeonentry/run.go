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

// errAbandoned ends the stream of a run that was replaced.
var errAbandoned = errors.New("run was abandoned")

// run is one run of an attempt: the dispatch, or a resume of its stream.
type run struct {
	flight *flight
	number int
	permit wigeonshift.Permit
	resume bool
	offset int
	wait   time.Duration
	// mismatch is set by chunk when a chunk belongs to another attempt or place.
	mismatch bool
	// sinkFailed is set by chunk when the caller took no more.
	sinkFailed bool
	// progressed is set after the first chunk.
	progressed bool
	ctx        context.Context //nolint:containedctx // ends with the run, which outlives the call that starts it
	cancel     context.CancelFunc
	generated  wigeonshift.GenerateResult
	answer     wigeonshift.ServiceAnswer
}

// start makes a run the current one and starts it.
func (f *flight) start(r *run) {
	r.ctx, r.cancel = context.WithCancel(f.service.running)
	f.setCurrent(r)
	f.arm(time.Now())
	f.service.startRun(r)
}

// run carries out the run and posts its end.
func (r *run) run() {
	defer r.cancel()
	err := r.call()
	f := r.flight
	if r.ctx.Err() != nil {
		return
	}
	if r.sinkFailed {
		r.post(wigeonscheduler.CallerGone{Request: f.ask.ID})
		return
	}
	end := r.end(r.outcome(err))
	end.CachedTokens = r.generated.CachedTokens
	end.ConnectRefused = errors.Is(err, syscall.ECONNREFUSED)
	if err != nil {
		f.logger().WithError(err).WithField("endpoint", r.permit.Endpoint).Debug("run ended")
	}
	r.post(end)
}

func (r *run) call() error {
	endpoint := r.flight.service.dialer.Endpoint(r.permit.Address)
	if r.flight.request.Call != nil {
		return r.callService(endpoint)
	}
	var err error
	if r.resume {
		if err := r.sleep(); err != nil {
			return err
		}
		r.generated, err = endpoint.Resume(r.ctx, r.permit.Token, r.offset, r.chunk)
		return err
	}
	g := r.flight.request.Generate
	r.generated, err = endpoint.Generate(r.ctx, wigeonshift.GenerateRequest{
		Token:     r.permit.Token,
		Model:     g.Model,
		Prompt:    g.Prompt,
		MaxTokens: g.MaxTokens,
	}, r.began, r.chunk)
	return err
}

func (r *run) callService(endpoint wigeonshift.Endpoint) error {
	c := r.flight.request.Call
	var err error
	r.answer, err = endpoint.Call(r.ctx, wigeonshift.ServiceCall{
		Token:       r.permit.Token,
		Method:      c.Method,
		Path:        c.Path,
		ContentType: c.ContentType,
		Body:        c.Body,

		NonIdempotent: r.flight.ask.NonIdempotent,
	}, r.began)
	return err
}

// sleep waits before a resume.
func (r *run) sleep() error {
	if r.wait <= 0 {
		return nil
	}
	t := time.NewTimer(r.wait)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-r.ctx.Done():
		return r.ctx.Err()
	}
}

// began reports that the first byte is about to be written.
func (r *run) began() {
	r.post(wigeonscheduler.AttemptBegan{Request: r.flight.ask.ID, Run: r.number})
}

// chunk checks a chunk and hands it to the caller. Only the current run's chunks in their order pass.
func (r *run) chunk(c wigeonshift.Chunk) error {
	f := r.flight
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.current != r || r.ctx.Err() != nil:
		f.service.counters.add("entryChunksDiscarded", "late", 1)
		return errAbandoned
	case c.Token != r.permit.Token:
		return r.reject("token")
	case int64(c.Offset) != f.offset.Load() || c.Count < 0:
		return r.reject("offset")
	}
	done := c.Offset + c.Count
	if !r.progressed && done > 0 {
		r.progressed = true
		if f.offset.Load() == 0 {
			f.metrics.firstToken.RecordDuration(time.Since(f.arrived))
		}
		r.post(wigeonscheduler.AttemptProgressed{Request: f.ask.ID, Run: r.number, TokensDone: done})
	}
	if err := r.write(c.Text); err != nil {
		return err
	}
	f.offset.Store(int64(done))
	return nil
}

// write hands text to the caller, who may be slow.
func (r *run) write(text string) error {
	f := r.flight
	f.writing.Store(true)
	err := f.sink.Write(r.ctx, text)
	f.progress.Store(time.Now().UnixNano())
	f.writing.Store(false)
	if err != nil {
		r.sinkFailed = true
		return oops.In("entry").Wrapf(err, "write to caller")
	}
	return nil
}

// reject discards a chunk that is not the next one of this answer.
func (r *run) reject(why string) error {
	r.mismatch = true
	r.flight.service.counters.add("entryChunksDiscarded", why, 1)
	return wigeonshift.ErrAnswerMismatch
}

// post hands an event to the flight unless the run was abandoned.
func (r *run) post(b wigeonscheduler.Body) {
	select {
	case r.flight.events <- b:
	case <-r.ctx.Done():
	}
}

// outcome classifies the end of the run.
func (r *run) outcome(err error) wigeonscheduler.AttemptOutcome {
	switch {
	case r.mismatch || errors.Is(err, wigeonshift.ErrAnswerMismatch):
		return wigeonscheduler.OutcomeMismatch
	case errors.Is(err, wigeonshift.ErrNotRun):
		return wigeonscheduler.OutcomeNotRun
	case errors.Is(err, wigeonshift.ErrEndpointLost), errors.Is(err, wigeonshift.ErrProgressTimeout):
		return wigeonscheduler.OutcomeLost
	case err != nil:
		return wigeonscheduler.OutcomeFailed
	case r.flight.request.Call != nil:
		return r.callOutcome()
	default:
		return r.streamOutcome()
	}
}

func (r *run) callOutcome() wigeonscheduler.AttemptOutcome {
	if r.answer.Token != r.permit.Token {
		r.flight.service.counters.add("entryAnswersDiscarded", "token", 1)
		return wigeonscheduler.OutcomeMismatch
	}
	return wigeonscheduler.OutcomeFinished
}

// streamOutcome accepts the end of a stream only if every token of it was delivered.
func (r *run) streamOutcome() wigeonscheduler.AttemptOutcome {
	if r.generated.Token != r.permit.Token {
		r.flight.service.counters.add("entryAnswersDiscarded", "token", 1)
		return wigeonscheduler.OutcomeMismatch
	}
	if r.generated.TokensDone != r.flight.delivered() {
		r.flight.service.counters.add("entryAnswersDiscarded", "length", 1)
		return wigeonscheduler.OutcomeLost
	}
	if r.generated.Finish == wigeonshift.FinishPaused {
		return wigeonscheduler.OutcomePaused
	}
	return wigeonscheduler.OutcomeFinished
}

// end returns the event that ends the run.
func (r *run) end(outcome wigeonscheduler.AttemptOutcome) wigeonscheduler.AttemptEnded {
	return wigeonscheduler.AttemptEnded{
		Request:    r.flight.ask.ID,
		Run:        r.number,
		Outcome:    outcome,
		TokensDone: r.flight.delivered(),
	}
}

// delivered returns the number of tokens handed to the sink.
func (f *flight) delivered() int { return int(f.offset.Load()) }
