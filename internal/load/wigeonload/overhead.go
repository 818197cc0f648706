package wigeonload

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"wigeonshift"
	"wigeonshift/internal/load/wigeonscenario"
	"wigeonshift/internal/services/wigeonendpoint"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
)

// sliceLength is the time for which one path is measured before the other has its turn.
const sliceLength = time.Second

// Errors of an overhead measurement.
var (
	// ErrNoCompletions reports a scenario whose first class doesn't fit the measurement.
	ErrNoCompletions = errors.New("the overhead needs a first class of completions with a closed process")
	// errWrong reports an answer on the direct path that isn't the request's.
	errWrong = errors.New("wrong answer")
)

// Overhead compares the path through the nodes with the one straight to an engine, measured by turns in one run.
type Overhead struct {
	Engine  string     `json:"engine"`
	Callers int        `json:"callers"`
	Node    PathResult `json:"node"`
	Direct  PathResult `json:"direct"`
	// AddedP50MS and AddedP99MS are the differences of the quantiles in milliseconds.
	AddedP50MS float64 `json:"addedP50Ms"`
	AddedP99MS float64 `json:"addedP99Ms"`
	// RateRatio is the nodes' requests a second to the direct ones.
	RateRatio float64 `json:"rateRatio"`
	// NodeRequestsPerCore is requests for each second of the node processes' CPU time; 0 when no process was named.
	NodeRequestsPerCore float64 `json:"nodeRequestsPerCore"`
}

// PathResult is what one path achieved.
type PathResult struct {
	Requests int64 `json:"requests"`
	Failed   int64 `json:"failed"`
	// Failures counts the failed requests by what was said.
	Failures  map[string]int64 `json:"failures,omitempty"`
	Seconds   float64          `json:"seconds"`
	PerSecond float64          `json:"perSecond"`
	Total     Quantiles        `json:"total"`
	// LoadCPUMicros is this process's CPU time for each request, in microseconds.
	LoadCPUMicros float64 `json:"loadCpuMicros"`
	// NodeCPUMicros is the node processes' CPU time for each request, in microseconds.
	NodeCPUMicros float64 `json:"nodeCpuMicros"`
}

// path is one way to an engine.
type path struct {
	send      func(ctx context.Context, d *wigeonscenario.Request) error
	histogram *hdrhistogram.Histogram
	failures  map[string]int64
	seconds   float64
	loadCPU   time.Duration
	nodeCPU   time.Duration
}

// MeasureOverhead runs the scenario's first class by turns through the nodes and straight to an engine. The CPU time
// of the named processes is read where there are any.
func (r *Runner) MeasureOverhead(ctx context.Context, engine string, processes []int) (*Overhead, error) {
	class := &r.scenario.Classes[0]
	if class.Kind != wigeonscenario.KindCompletion || class.Arrival.Process != wigeonscenario.ProcessClosed {
		return nil, ErrNoCompletions
	}
	if len(r.scenario.Nodes) == 0 {
		return nil, ErrNoNodes
	}
	r.balancer.start(ctx)
	defer r.balancer.close()
	dialer := wigeonendpoint.New()
	defer dialer.CloseIdle()
	direct, node := newPath(directTo(dialer.Endpoint(engine))), newPath(r.throughNodes)
	end := time.Now().Add(r.scenario.Duration.Duration)
	for slice := 0; time.Now().Before(end) && ctx.Err() == nil; slice++ {
		for _, p := range []*path{direct, node} {
			if err := r.measure(ctx, p, slice, processes); err != nil {
				return nil, err
			}
		}
		if slice == 0 {
			// The first turn opened the connections.
			direct.reset()
			node.reset()
		}
	}
	return overhead(engine, class.Arrival.Callers, node, direct), nil
}

func newPath(send func(context.Context, *wigeonscenario.Request) error) *path {
	return &path{send: send, histogram: newHistogram(), failures: map[string]int64{}}
}

func (p *path) reset() {
	p.histogram.Reset()
	clear(p.failures)
	p.seconds, p.loadCPU, p.nodeCPU = 0, 0, 0
}

// measure runs one slice of one path.
func (r *Runner) measure(ctx context.Context, p *path, slice int, processes []int) error {
	ctx, cancel := context.WithTimeout(ctx, sliceLength)
	defer cancel()
	nodeBefore, err := processTime(processes)
	if err != nil {
		return err
	}
	loadBefore, start := ownTime(), time.Now()
	callers := r.scenario.Classes[0].Arrival.Callers
	workers := make([]*pathCaller, callers)
	var wg conc.WaitGroup
	for i := range workers {
		workers[i] = &pathCaller{
			ctx: ctx, path: p, histogram: newHistogram(), failures: map[string]int64{}, source: r.scenario.NewGenerator(0, slice*callers+i),
		}
		wg.Go(workers[i].run)
	}
	wg.Wait()
	p.seconds += time.Since(start).Seconds()
	p.loadCPU += ownTime() - loadBefore
	nodeAfter, err := processTime(processes)
	if err != nil {
		return err
	}
	p.nodeCPU += nodeAfter - nodeBefore
	for _, w := range workers {
		p.histogram.Merge(w.histogram)
		for failure, n := range w.failures {
			p.failures[failure] += n
		}
	}
	return nil
}

// pathCaller is one closed caller on one path.
type pathCaller struct {
	ctx       context.Context //nolint:containedctx // It ends the loop.
	path      *path
	histogram *hdrhistogram.Histogram
	source    *wigeonscenario.Generator
	failures  map[string]int64
}

func (c *pathCaller) run() {
	for c.ctx.Err() == nil {
		draw := c.source.Next()
		start := time.Now()
		// A request that has begun is finished, so that both paths count whole requests only.
		if err := c.path.send(context.WithoutCancel(c.ctx), &draw); err != nil {
			c.failures[err.Error()]++
			continue
		}
		record(c.histogram, time.Since(start), 1)
	}
}

// throughNodes sends a request through the nodes.
func (r *Runner) throughNodes(_ context.Context, d *wigeonscenario.Request) error {
	o := r.balancer.send(d, d.Class.Deadline.Duration)
	if o.ending == EndingGood {
		return nil
	}
	return fmt.Errorf("%s %s %s", o.ending, o.refusal.Reason, o.detail)
}

// directTo sends requests straight to an engine.
func directTo(endpoint wigeonshift.Endpoint) func(context.Context, *wigeonscenario.Request) error {
	return func(ctx context.Context, d *wigeonscenario.Request) error {
		var text strings.Builder
		request := wigeonshift.GenerateRequest{
			Token: wigeonshift.AttemptToken(uuid.NewString()), Model: d.Class.Model,
			Prompt: enginePrompt(d), MaxTokens: d.MaxTokens,
		}
		_, err := endpoint.Generate(ctx, request, nil, func(c wigeonshift.Chunk) error {
			text.WriteString(c.Text)
			return nil
		})
		if err != nil {
			return err
		}
		o := outcome{ending: EndingGood, text: text.String()}
		if o = o.verify(d); o.ending != EndingGood {
			return errWrong
		}
		return nil
	}
}

func overhead(engine string, callers int, node, direct *path) *Overhead {
	o := &Overhead{Engine: engine, Callers: callers, Node: node.result(), Direct: direct.result()}
	o.AddedP50MS = o.Node.Total.P50 - o.Direct.Total.P50
	o.AddedP99MS = o.Node.Total.P99 - o.Direct.Total.P99
	if o.Direct.PerSecond > 0 {
		o.RateRatio = o.Node.PerSecond / o.Direct.PerSecond
	}
	if node.nodeCPU > 0 {
		o.NodeRequestsPerCore = float64(o.Node.Requests) / node.nodeCPU.Seconds()
	}
	return o
}

func (p *path) result() PathResult {
	res := PathResult{
		Requests: p.histogram.TotalCount(), Failures: p.failures, Seconds: p.seconds, Total: quantiles(p.histogram),
	}
	for _, n := range p.failures {
		res.Failed += n
	}
	if res.Requests == 0 || p.seconds == 0 {
		return res
	}
	res.PerSecond = float64(res.Requests) / p.seconds
	res.LoadCPUMicros = float64(p.loadCPU.Microseconds()) / float64(res.Requests)
	res.NodeCPUMicros = float64(p.nodeCPU.Microseconds()) / float64(res.Requests)
	return res
}
