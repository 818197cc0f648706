// Package wigeonload sends the requests of a scenario to running nodes. It verifies the full text of every complete
// response and checks against the ledgers of the stand-ins that no request ran too often.
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

const defaultMaxInFlight = 20000

// ErrNoNodes means that the scenario has no nodes.
var ErrNoNodes = errors.New("no nodes to send to")

// Runner runs one scenario once.
type Runner struct {
	scenario    *wigeonscenario.Scenario
	balancer    *balancer
	recorder    *recorder
	ledgers     []ledger
	inFlight    atomic.Int64
	maxInFlight int64
	wg          conc.WaitGroup
	sendUntil   time.Time
}

// Option changes a runner.
type Option func(*Runner)

// WithMaxInFlight limits the requests in flight of open arrival processes. Requests over the limit are not sent and are
// counted in Result.NotSent.
func WithMaxInFlight(n int) Option { return func(r *Runner) { r.maxInFlight = int64(n) } }

// New returns a runner for a scenario.
func New(s *wigeonscenario.Scenario, opts ...Option) *Runner {
	r := &Runner{
		scenario: s, balancer: newBalancer(s.Nodes), recorder: newRecorder(time.Now()), maxInFlight: defaultMaxInFlight,
		ledgers: newLedgers(s.Engines, s.Plains),
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Progress returns the counts so far. It is safe to call during Run.
func (r *Runner) Progress() Progress {
	return r.recorder.progress()
}

// Run sends requests until the duration of the scenario has passed or the context ends, and then waits for the requests
// in flight.
func (r *Runner) Run(ctx context.Context) (*Result, error) {
	if len(r.scenario.Nodes) == 0 {
		return nil, ErrNoNodes
	}
	readBaselines(r.ledgers)
	r.balancer.start(ctx)
	defer r.balancer.close()
	start := time.Now()
	r.recorder.start = start
	r.sendUntil = start.Add(r.scenario.Duration.Duration)
	sendCtx, cancel := context.WithDeadline(ctx, r.sendUntil)
	defer cancel()
	for i := range r.scenario.Classes {
		r.startClass(sendCtx, i)
	}
	<-sendCtx.Done()
	sendDuration := time.Since(start)
	r.wg.Wait()
	return r.finish(start, sendDuration), nil
}

// finish returns the result with the ledger checks.
func (r *Runner) finish(start time.Time, sendDuration time.Duration) *Result {
	elapsed := time.Since(start)
	res := r.recorder.result()
	res.Scenario, res.Seed, res.Nodes = r.scenario.Name, r.scenario.Seed, r.scenario.Nodes
	res.ElapsedMS, res.SendMS = elapsed.Milliseconds(), sendDuration.Milliseconds()
	r.checkLedgers(res)
	return res
}

// startClass starts the arrival process of a class, which sends requests until ctx ends.
func (r *Runner) startClass(ctx context.Context, index int) {
	arrival := r.scenario.Classes[index].Arrival
	if arrival.Process == wigeonscenario.ProcessOpen {
		o := &openLoop{runner: r, ctx: ctx, arrival: arrival, generator: r.scenario.NewGenerator(index, 0)}
		r.wg.Go(o.run)
		return
	}
	for part := range arrival.Callers {
		c := &closedLoop{runner: r, ctx: ctx, arrival: arrival, generator: r.scenario.NewGenerator(index, part)}
		r.wg.Go(c.run)
	}
}

// openLoop sends the requests of a class at random times, independently of the responses.
type openLoop struct {
	runner    *Runner
	ctx       context.Context //nolint:containedctx // It ends the loop.
	arrival   wigeonscenario.Arrival
	generator *wigeonscenario.Generator
}

func (o *openLoop) run() {
	var elapsed time.Duration
	start := time.Now()
	for {
		elapsed += o.arrival.InterArrivalTime(o.generator.Random(), elapsed)
		if !sleep(o.ctx, time.Until(start.Add(elapsed))) {
			return
		}
		req := o.generator.Next()
		if o.runner.inFlight.Load() >= o.runner.maxInFlight {
			o.runner.recorder.recordNotSent()
			continue
		}
		t := &requestTask{runner: o.runner, req: req}
		o.runner.inFlight.Add(1)
		o.runner.wg.Go(t.run)
	}
}

// closedLoop is one caller that sends its next request after the response to its last one and a pause.
type closedLoop struct {
	runner    *Runner
	ctx       context.Context //nolint:containedctx // It ends the loop.
	arrival   wigeonscenario.Arrival
	generator *wigeonscenario.Generator
}

func (c *closedLoop) run() {
	for sleep(c.ctx, c.arrival.ThinkTime(c.generator.Random())) {
		t := &requestTask{runner: c.runner, req: c.generator.Next()}
		c.runner.inFlight.Add(1)
		t.run()
	}
}

// requestTask sends one request, and sends it again after failures.
type requestTask struct {
	runner *Runner
	req    wigeonscenario.Request
}

func (t *requestTask) run() {
	defer t.runner.inFlight.Add(-1)
	rec := t.runner.recorder
	start := time.Now()
	deadline := start.Add(t.req.Class.Deadline.Duration)
	rec.recordRequest(&t.req)
	var o outcome
	for resends := 0; ; resends++ {
		rec.recordSend(&t.req, resends > 0)
		o = t.runner.balancer.send(&t.req, time.Until(deadline))
		rec.recordOutcome(&t.req, &o)
		delay, ok := o.resendDelay()
		if !ok || resends >= t.req.Class.Resends || time.Until(deadline) <= delay {
			break
		}
		sleep(context.Background(), delay)
	}
	if o.kind == OutcomeGood && time.Now().After(deadline) {
		o.kind = OutcomeLate
	}
	rec.recordCompletion(&t.req, &o, time.Since(start))
}

// sleep waits for a duration and reports whether it passed before the context ended.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	return wigeonclock.Sleep(ctx, d)
}
