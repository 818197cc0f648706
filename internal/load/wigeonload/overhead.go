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

// turnDuration is how long one path is measured before the measurement switches to the other.
const turnDuration = time.Second

// Errors of an overhead measurement.
var (
	// ErrUnsuitableClass means that the first class of the scenario cannot be used to measure the overhead.
	ErrUnsuitableClass = errors.New("measuring the overhead needs a first class of kind completion with a closed process")
	// errWrongResponse means that a response on the direct path differs from the one expected for its request. The text
	// is a key of PathResult.Failures.
	errWrongResponse = errors.New("wrong answer")
)

// Overhead compares the path through the nodes with the direct path to an engine. One run measures both alternately.
type Overhead struct {
	Engine  string     `json:"engine"`
	Callers int        `json:"callers"`
	Node    PathResult `json:"node"`
	Direct  PathResult `json:"direct"`
	// AddedP50MS and AddedP99MS are the quantiles of the latency through the nodes minus those of the direct path.
	AddedP50MS float64 `json:"addedP50Ms"`
	AddedP99MS float64 `json:"addedP99Ms"`
	// RateRatio is the request rate through the nodes divided by the rate on the direct path.
	RateRatio float64 `json:"rateRatio"`
	// NodeRequestsPerCore is the number of requests per second of CPU time of the node processes. It is 0 if no processes
	// were given.
	NodeRequestsPerCore float64 `json:"nodeRequestsPerCore"`
}

// PathResult is the result of one path.
type PathResult struct {
	Requests int64 `json:"requests"`
	Failed   int64 `json:"failed"`
	// Failures counts the failed requests by error text.
	Failures  map[string]int64 `json:"failures,omitempty"`
	Seconds   float64          `json:"seconds"`
	PerSecond float64          `json:"perSecond"`
	Total     Quantiles        `json:"total"`
	// LoadCPUMicros is the CPU time of this process per request in microseconds.
	LoadCPUMicros float64 `json:"loadCpuMicros"`
	// NodeCPUMicros is the CPU time of the node processes per request in microseconds.
	NodeCPUMicros float64 `json:"nodeCpuMicros"`
}

// path is one path to an engine and its measurements.
type path struct {
	send      func(ctx context.Context, req *wigeonscenario.Request) error
	histogram *hdrhistogram.Histogram
	failures  map[string]int64
	seconds   float64
	loadCPU   time.Duration
	nodeCPU   time.Duration
}

// MeasureOverhead sends the requests of the scenario's first class alternately through the nodes and directly to an
// engine. pids are the process IDs of the nodes, whose CPU time is read. The list may be empty.
func (r *Runner) MeasureOverhead(ctx context.Context, engine string, pids []int) (*Overhead, error) {
	class := &r.scenario.Classes[0]
	if class.Kind != wigeonscenario.KindCompletion || class.Arrival.Process != wigeonscenario.ProcessClosed {
		return nil, ErrUnsuitableClass
	}
	if len(r.scenario.Nodes) == 0 {
		return nil, ErrNoNodes
	}
	r.balancer.start(ctx)
	defer r.balancer.close()
	dialer := wigeonendpoint.New()
	defer dialer.CloseIdle()
	direct, node := newPath(directSender(dialer.Endpoint(engine))), newPath(r.sendThroughNodes)
	end := time.Now().Add(r.scenario.Duration.Duration)
	for turn := 0; time.Now().Before(end) && ctx.Err() == nil; turn++ {
		for _, p := range []*path{direct, node} {
			if err := r.measureTurn(ctx, p, turn, pids); err != nil {
				return nil, err
			}
		}
		if turn == 0 {
			// The first turn is discarded because it includes the time to open connections.
			direct.reset()
			node.reset()
		}
	}
	return newOverhead(engine, class.Arrival.Callers, node, direct), nil
}

func newPath(send func(context.Context, *wigeonscenario.Request) error) *path {
	return &path{send: send, histogram: newHistogram(), failures: map[string]int64{}}
}

// reset discards the measurements so far.
func (p *path) reset() {
	p.histogram.Reset()
	clear(p.failures)
	p.seconds, p.loadCPU, p.nodeCPU = 0, 0, 0
}

// measureTurn measures one path for one turn. The turn number selects the requests, so that both paths get the same ones
// in a turn and each turn has different ones.
func (r *Runner) measureTurn(ctx context.Context, p *path, turn int, pids []int) error {
	ctx, cancel := context.WithTimeout(ctx, turnDuration)
	defer cancel()
	nodeBefore, err := processCPUTime(pids)
	if err != nil {
		return err
	}
	loadBefore, start := ownCPUTime(), time.Now()
	callers := r.scenario.Classes[0].Arrival.Callers
	workers := make([]*pathCaller, callers)
	var wg conc.WaitGroup
	for i := range workers {
		workers[i] = &pathCaller{
			ctx: ctx, path: p, histogram: newHistogram(), failures: map[string]int64{},
			generator: r.scenario.NewGenerator(0, turn*callers+i),
		}
		wg.Go(workers[i].run)
	}
	wg.Wait()
	p.seconds += time.Since(start).Seconds()
	p.loadCPU += ownCPUTime() - loadBefore
	nodeAfter, err := processCPUTime(pids)
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

// pathCaller is one caller of a closed process on one path.
type pathCaller struct {
	ctx       context.Context //nolint:containedctx // It ends the loop.
	path      *path
	histogram *hdrhistogram.Histogram
	generator *wigeonscenario.Generator
	failures  map[string]int64
}

func (c *pathCaller) run() {
	for c.ctx.Err() == nil {
		req := c.generator.Next()
		start := time.Now()
		// The end of the turn does not cancel requests in flight, so that both paths count only complete requests.
		if err := c.path.send(context.WithoutCancel(c.ctx), &req); err != nil {
			c.failures[err.Error()]++
			continue
		}
		recordDuration(c.histogram, time.Since(start), 1)
	}
}

// sendThroughNodes sends a request once through the nodes and returns an error unless the response is good.
func (r *Runner) sendThroughNodes(_ context.Context, req *wigeonscenario.Request) error {
	o := r.balancer.send(req, req.Class.Deadline.Duration)
	if o.kind == OutcomeGood {
		return nil
	}
	return fmt.Errorf("%s %s %s", o.kind, o.refusal.Reason, o.detail)
}

// directSender returns a function that sends requests directly to an engine.
func directSender(endpoint wigeonshift.Endpoint) func(context.Context, *wigeonscenario.Request) error {
	return func(ctx context.Context, req *wigeonscenario.Request) error {
		var text strings.Builder
		generateRequest := wigeonshift.GenerateRequest{
			Token: wigeonshift.AttemptToken(uuid.NewString()), Model: req.Class.Model,
			Prompt: enginePrompt(req), MaxTokens: req.MaxTokens,
		}
		_, err := endpoint.Generate(ctx, generateRequest, nil, func(c wigeonshift.Chunk) error {
			text.WriteString(c.Text)
			return nil
		})
		if err != nil {
			return err
		}
		o := outcome{kind: OutcomeGood, text: text.String()}
		if o = o.verify(req); o.kind != OutcomeGood {
			return errWrongResponse
		}
		return nil
	}
}

func newOverhead(engine string, callers int, node, direct *path) *Overhead {
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
		Requests: p.histogram.TotalCount(), Failures: p.failures, Seconds: p.seconds, Total: quantilesOf(p.histogram),
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
