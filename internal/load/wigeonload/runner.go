// Package wigeonload sends a scenario's requests to running nodes, verifies every answer whole and checks from
// outside, against the stand-ins' ledgers, that nothing ran too often.
package wigeonload

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"wigeonshift/internal/load/wigeonscenario"
	"wigeonshift/internal/modules/wigeonclock"

	"github.com/sourcegraph/conc"
)

// defaultInFlight bounds the requests in flight.
const defaultInFlight = 20000

// ErrNoNodes reports a run without nodes to send to.
var ErrNoNodes = errors.New("no nodes to send to")

// Runner runs one scenario once.
type Runner struct {
	scenario *wigeonscenario.Scenario
	balancer *balancer
	recorder *recorder
	ledgers  []ledger
	inFlight atomic.Int64
	limit    int64
	wg       conc.WaitGroup
	end      time.Time
}

// Option changes a runner.
type Option func(*Runner)

// WithMaxInFlight bounds the requests in flight; what would exceed it is not sent and counted.
func WithMaxInFlight(n int) Option { return func(r *Runner) { r.limit = int64(n) } }

// New returns a runner.
func New(s *wigeonscenario.Scenario, opts ...Option) *Runner {
	r := &Runner{
		scenario: s, balancer: newBalancer(s.Nodes), recorder: newRecorder(time.Now()), limit: defaultInFlight,
		ledgers: newLedgers(s.Engines, s.Plains),
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Progress tells how far the run has come. It is safe during Run.
func (r *Runner) Progress() Progress {
	return r.recorder.progress()
}

// Run sends until the scenario's duration has passed or the context ends, then waits for the requests in flight.
func (r *Runner) Run(ctx context.Context) (*Result, error) {
	if len(r.scenario.Nodes) == 0 {
		return nil, ErrNoNodes
	}
	readLedgers(r.ledgers)
	r.balancer.start(ctx)
	defer r.balancer.close()
	start := time.Now()
	r.recorder.start = start
	r.end = start.Add(r.scenario.Duration.Duration)
	sending, cancel := context.WithDeadline(ctx, r.end)
	defer cancel()
	for i := range r.scenario.Classes {
		r.startClass(sending, i)
	}
	<-sending.Done()
	sent := time.Since(start)
	r.wg.Wait()
	return r.finish(start, sent), nil
}

// finish compares the ledgers and fills in the result.
func (r *Runner) finish(start time.Time, sent time.Duration) *Result {
	elapsed := time.Since(start)
	res := r.recorder.result()
	res.Scenario, res.Seed, res.Nodes = r.scenario.Name, r.scenario.Seed, r.scenario.Nodes
	res.ElapsedMS, res.SendMS = elapsed.Milliseconds(), sent.Milliseconds()
	r.compare(res)
	return res
}

func (r *Runner) startClass(ctx context.Context, index int) {
	arrival := r.scenario.Classes[index].Arrival
	if arrival.Process == wigeonscenario.ProcessOpen {
		o := &openClass{runner: r, ctx: ctx, arrival: arrival, source: r.scenario.NewGenerator(index, 0)}
		r.wg.Go(o.run)
		return
	}
	for part := range arrival.Callers {
		c := &closedCaller{runner: r, ctx: ctx, arrival: arrival, source: r.scenario.NewGenerator(index, part)}
		r.wg.Go(c.run)
	}
}

// openClass sends requests at random times.
type openClass struct {
	runner  *Runner
	ctx     context.Context //nolint:containedctx // It ends the loop.
	arrival wigeonscenario.Arrival
	source  *wigeonscenario.Generator
}

func (o *openClass) run() {
	var elapsed time.Duration
	start := time.Now()
	for {
		elapsed += o.arrival.InterArrivalTime(o.source.Random(), elapsed)
		if !wait(o.ctx, time.Until(start.Add(elapsed))) {
			return
		}
		draw := o.source.Next()
		if o.runner.inFlight.Load() >= o.runner.limit {
			o.runner.recorder.skipped()
			continue
		}
		j := &job{runner: o.runner, draw: draw}
		o.runner.inFlight.Add(1)
		o.runner.wg.Go(j.run)
	}
}

// closedCaller sends the next request when the answer to the last one came.
type closedCaller struct {
	runner  *Runner
	ctx     context.Context //nolint:containedctx // It ends the loop.
	arrival wigeonscenario.Arrival
	source  *wigeonscenario.Generator
}

func (c *closedCaller) run() {
	for wait(c.ctx, c.arrival.ThinkTime(c.source.Random())) {
		j := &job{runner: c.runner, draw: c.source.Next()}
		c.runner.inFlight.Add(1)
		j.run()
	}
}

// job is one request with its resends.
type job struct {
	runner *Runner
	draw   wigeonscenario.Request
}

func (j *job) run() {
	defer j.runner.inFlight.Add(-1)
	book := j.runner.recorder
	start := time.Now()
	deadline := start.Add(j.draw.Class.Deadline.Duration)
	book.began(&j.draw)
	var o outcome
	for send := 0; ; send++ {
		book.sending(&j.draw, send > 0)
		o = j.runner.balancer.send(&j.draw, time.Until(deadline))
		book.answered(&j.draw, &o)
		pause, again := o.resend()
		if !again || send >= j.draw.Class.Resends || time.Until(deadline) <= pause {
			break
		}
		wait(context.Background(), pause)
	}
	if o.ending == EndingGood && time.Now().After(deadline) {
		o.ending = EndingLate
	}
	book.ended(&j.draw, &o, time.Since(start))
}

// wait waits; it is false when the context ended.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	return wigeonclock.Sleep(ctx, d)
}
