package wigeonentry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonscheduler"
)

// eventBuffer is the number of events of one request that wait without blocking their sender.
const eventBuffer = 8

// flight is one accepted request. All fields but the guarded ones belong to the goroutine in loop.
type flight struct {
	service *Service
	request Request
	ask     wigeonshift.PermitRequest
	sink    Sink
	result  Result
	metrics *tierMetrics
	arrived time.Time
	// answered is set when result is final, ended when nothing more is to be done.
	answered, ended bool

	session wigeonshift.PermitSession
	answers <-chan wigeonshift.PermitAnswer
	events  chan wigeonscheduler.Body
	// displaced is signalled when the request has to give way.
	displaced chan struct{}
	timer     *time.Timer
	// began is the time of the first byte of the current permit's dispatch.
	began time.Time

	// offset is the number of tokens delivered to the sink.
	offset atomic.Int64
	// progress is the time of the last sign of life of the current run, in nanoseconds of the Unix time.
	progress atomic.Int64
	// writing is set while a chunk waits for the caller.
	writing atomic.Bool
	// mu is held while a chunk is checked and delivered.
	mu sync.Mutex
	// current is the run whose chunks count. Only the loop changes it, with mu held.
	current *run
}

func newFlight(s *Service, r Request, ask wigeonshift.PermitRequest, sink Sink) *flight {
	return &flight{
		service: s,
		request: r,
		ask:     ask,
		sink:    sink,
		result:  Result{ID: ask.ID},
		metrics: s.counters.tier(ask),
		arrived: time.Now(),
		events:  make(chan wigeonscheduler.Body, eventBuffer),

		displaced: make(chan struct{}, 1),
	}
}

// begin carries the request to its answer.
func (f *flight) begin(ctx context.Context) {
	f.metrics.arrived.Inc(1)
	f.timer = time.NewTimer(f.ask.Deadline.Sub(f.arrived))
	f.apply(ctx, wigeonscheduler.CallerArrived{Ask: f.ask, Claim: f.service.newClaim(f.ask, f.request, f.arrived)})
	gone := ctx.Done()
	for !f.answered {
		select {
		case <-gone:
			gone = nil
			f.apply(ctx, wigeonscheduler.CallerGone{Request: f.ask.ID})
		case b := <-f.events:
			f.apply(ctx, b)
		case a, ok := <-f.answers:
			f.permitAnswered(ctx, a, ok)
		case <-f.displaced:
			f.apply(ctx, wigeonscheduler.Displaced{Request: f.ask.ID})
		case <-f.timer.C:
			f.timeout(ctx)
		}
	}
	if f.ended {
		f.timer.Stop()
	}
}

// loop carries an answered request on to its end.
func (f *flight) loop() {
	defer f.service.finished(&f.service.background)
	defer f.service.leave(f)
	defer f.timer.Stop()
	ctx := f.service.running
	f.arm(time.Now())
	for !f.ended {
		select {
		case b := <-f.events:
			f.apply(ctx, b)
		case a, ok := <-f.answers:
			f.permitAnswered(ctx, a, ok)
		case <-f.timer.C:
			f.timeout(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (f *flight) permitAnswered(ctx context.Context, a wigeonshift.PermitAnswer, ok bool) {
	if !ok {
		f.answers = nil
		f.apply(ctx, wigeonscheduler.PermitFailed{Request: f.ask.ID})
		return
	}
	leaving := a.Grant != nil && f.service.isLeaving(f.ask, a.Grant.Endpoint)
	f.apply(ctx, wigeonscheduler.PermitAnswered{Request: f.ask.ID, Answer: a, Leaving: leaving})
}

// timeout ends the request at its deadline and a run that went silent.
func (f *flight) timeout(ctx context.Context) {
	now := time.Now()
	if !f.answered && !now.Before(f.ask.Deadline) {
		f.apply(ctx, wigeonscheduler.DeadlineReached{Request: f.ask.ID})
		return
	}
	if r := f.current; r != nil && f.silenceLeft(now) <= 0 {
		f.service.counters.add("entryStreamTimeouts", "", 1)
		f.setCurrent(nil)
		f.apply(ctx, r.end(wigeonscheduler.OutcomeLost))
	}
	f.arm(now)
}

// silenceLeft is the time that the current run may still be silent. A run that waits for a slow caller is not.
func (f *flight) silenceLeft(now time.Time) time.Duration {
	bound := f.service.settings.StreamTimeout
	switch {
	case f.writing.Load():
		return bound
	case f.offset.Load() == 0:
		bound = f.service.settings.FirstTokenTimeout
	}
	return bound - time.Duration(now.UnixNano()-f.progress.Load())
}

// arm sets the timer to the deadline, the end of the allowed silence or the next look at it, whichever comes first.
func (f *flight) arm(now time.Time) {
	wait := f.service.settings.StreamTimeout
	if f.current != nil {
		wait = min(wait, f.silenceLeft(now))
	}
	if !f.answered {
		wait = min(wait, f.ask.Deadline.Sub(now))
	}
	f.timer.Reset(max(wait, time.Millisecond))
}

// apply passes an event through the reducer and carries out the effects.
func (f *flight) apply(ctx context.Context, b wigeonscheduler.Body) {
	for _, e := range f.service.reduce(b) {
		f.carryOut(ctx, e)
	}
}

func (f *flight) carryOut(ctx context.Context, e wigeonscheduler.Effect) {
	switch e := e.(type) {
	case wigeonscheduler.Displace:
		f.service.displace(e.Request)
	case wigeonscheduler.WriteClaim:
		f.writeClaim(ctx, e.Claim)
	case wigeonscheduler.SettleClaim:
		f.settleClaim(e.Claim)
	case wigeonscheduler.AskPermit:
		f.askPermit(ctx, e.Ask)
	case wigeonscheduler.ClosePermit:
		f.closePermit()
	case wigeonscheduler.Dispatch:
		f.start(&run{flight: f, number: e.Run, permit: e.Permit})
	case wigeonscheduler.ResumeStream:
		f.start(&run{flight: f, number: e.Run, permit: e.Permit, resume: true, offset: e.Offset, wait: e.Wait})
	case wigeonscheduler.PauseStream:
		f.pause(e)
	case wigeonscheduler.CancelStream:
		f.cancelStream(e.Permit)
	case wigeonscheduler.ReportAttempt:
		f.report(e.Report)
	case wigeonscheduler.AnswerCaller:
		f.answer(e)
	case wigeonscheduler.EndRequest:
		f.setCurrent(nil)
		f.ended = true
	case wigeonscheduler.Count:
		f.service.counters.add(e.Name, e.Label, e.Delta)
	}
}

// askPermit opens a session with the owner. It is the last effect of its event.
func (f *flight) askPermit(ctx context.Context, ask wigeonshift.PermitRequest) {
	f.ask = ask
	askCtx, cancel := context.WithDeadline(ctx, ask.Deadline)
	defer cancel()
	session, err := f.service.broker.Ask(askCtx, ask)
	if err != nil {
		f.logger().WithError(err).Warn("no owner to ask for a permit")
		f.apply(ctx, wigeonscheduler.PermitFailed{Request: f.ask.ID})
		return
	}
	f.session = session
	f.answers = session.Answers()
}

func (f *flight) closePermit() {
	if f.session != nil {
		f.session.Close()
	}
	f.session, f.answers = nil, nil
}

func (f *flight) report(r wigeonshift.AttemptReport) {
	if f.session == nil {
		return
	}
	if r.State == wigeonshift.AttemptStarted {
		f.began = time.Now()
	}
	if !f.began.IsZero() {
		r.Elapsed = time.Since(f.began)
	}
	f.session.Report(r)
}

// answer makes the answer final. Chunks that come later are dropped.
func (f *flight) answer(a wigeonscheduler.AnswerCaller) {
	f.answered = true
	f.ended = !a.Continues
	f.result.Refusal = a.Refusal
	switch {
	case a.Replay != nil:
		f.result.Replayed = true
		f.result.Answer = wigeonshift.ServiceAnswer{
			Token:       a.Replay.Token,
			Status:      a.Replay.Status,
			ContentType: a.Replay.ContentType,
			Body:        a.Replay.Body,
		}
	case a.Refusal == nil:
		f.metrics.completed.Inc(1)
		f.result.Generated = f.current.generated
		f.result.Answer = f.current.answer
	}
	if f.ended {
		f.setCurrent(nil)
	}
}

// setCurrent replaces the current run; the one before it is abandoned.
func (f *flight) setCurrent(r *run) {
	if f.current != nil {
		// The cancellation frees a chunk that waits for a slow caller with mu held.
		f.current.cancel()
	}
	f.mu.Lock()
	f.current = r
	f.mu.Unlock()
	f.progress.Store(time.Now().UnixNano())
}
