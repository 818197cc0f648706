package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"wigeonshift/internal/load/wigeonload"
	"wigeonshift/internal/load/wigeonreport"
	"wigeonshift/internal/load/wigeonscenario"

	"github.com/schollz/progressbar/v3"
	"github.com/sourcegraph/conc"
)

// progressPeriod is the time between two updates of the progress bar.
const progressPeriod = 250 * time.Millisecond

// errCheckFailed reports that a run violated an invariant.
var errCheckFailed = errors.New("a check failed: see the table of checks")

// errNothingVerified reports a run without any verified response, which must not pass as a success.
var errNothingVerified = errors.New("no response was verified")

// LoadCommand sends the requests of a scenario to running nodes and verifies every response.
type LoadCommand struct {
	Scenario    string        `arg:"" type:"existingfile" help:"Scenario file in TOML."`
	Node        []string      `help:"Address of a node's caller API; repeatable, replaces the scenario's nodes."`
	Engine      []string      `help:"Address of a stand-in engine whose counters are checked; repeatable, replaces the scenario's engines."`
	Plain       []string      `help:"Address of a stand-in plain service whose counters are checked; repeatable, replaces the scenario's plain services."`
	Duration    time.Duration `help:"Time during which requests are sent; replaces the scenario's duration."`
	Seed        *uint64       `help:"Random seed; replaces the scenario's seed."`
	MaxInFlight int           `help:"Maximum number of requests in flight." default:"20000"`
	Direct      string        `help:"Measure the overhead of the nodes: send the scenario's first class alternately through the nodes and directly to the engine at this address."`
	Process     []int         `help:"Process id of a node whose CPU time is measured with --direct; repeatable."`
	JSON        bool          `help:"Print the result as JSON."`
	HTML        string        `help:"Write a report with plots to this file."`
}

// Run runs the scenario. It returns an error if an invariant was violated or no response was verified.
func (c *LoadCommand) Run(ctx context.Context, s Streams) error {
	scenario, err := c.loadScenario()
	if err != nil {
		return errors.Join(errUsage, err)
	}
	runner := wigeonload.New(scenario, wigeonload.WithMaxInFlight(c.MaxInFlight))
	display := startProgressDisplay(ctx, runner, scenario.Duration.Duration, s.Err)
	res, err := c.runScenario(ctx, runner, scenario)
	display.stop()
	if err != nil {
		return err
	}
	if err := c.writeResult(s.Out, res); err != nil {
		return err
	}
	return resultError(res)
}

// resultError returns an error if a check failed or no response was verified.
func resultError(res *wigeonload.Result) error {
	switch {
	case res.Checks.Violated():
		return errCheckFailed
	case res.Overhead != nil && (res.Overhead.Node.Requests == 0 || res.Overhead.Direct.Requests == 0):
		return errNothingVerified
	case res.Overhead == nil && res.Checks.Verified == 0:
		return errNothingVerified
	}
	return nil
}

// runScenario runs the scenario or, with --direct, the overhead measurement.
func (c *LoadCommand) runScenario(
	ctx context.Context, runner *wigeonload.Runner, scenario *wigeonscenario.Scenario,
) (*wigeonload.Result, error) {
	if c.Direct == "" {
		return runner.Run(ctx)
	}
	started := time.Now()
	overhead, err := runner.MeasureOverhead(ctx, c.Direct, c.Process)
	if err != nil {
		return nil, err
	}
	return &wigeonload.Result{
		Scenario: scenario.Name, Seed: scenario.Seed, Nodes: scenario.Nodes, Started: started, Overhead: overhead,
		ElapsedMS: time.Since(started).Milliseconds(), SendMS: time.Since(started).Milliseconds(),
	}, nil
}

// loadScenario reads the scenario file and applies the flags that override it.
func (c *LoadCommand) loadScenario() (*wigeonscenario.Scenario, error) {
	s, err := wigeonscenario.Load(c.Scenario)
	if err != nil {
		return nil, err
	}
	overrideAddresses := func(target *[]string, override []string) {
		if len(override) > 0 {
			*target = override
		}
	}
	overrideAddresses(&s.Nodes, c.Node)
	overrideAddresses(&s.Engines, c.Engine)
	overrideAddresses(&s.Plains, c.Plain)
	if c.Duration > 0 {
		s.Duration.Duration = c.Duration
	}
	if c.Seed != nil {
		s.Seed = *c.Seed
	}
	return s, nil
}

// writeResult writes the HTML report if --html is set, and prints the result as text or JSON.
func (c *LoadCommand) writeResult(out io.Writer, res *wigeonload.Result) error {
	if c.HTML != "" {
		if err := writeFile(c.HTML, func(w io.Writer) error { return wigeonreport.WriteHTML(w, res) }); err != nil {
			return err
		}
	}
	if c.JSON {
		return wigeonreport.WriteJSON(out, res)
	}
	return wigeonreport.WriteText(out, res)
}

func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}

// progressDisplay shows the progress of a run on a terminal.
type progressDisplay struct {
	ctx    context.Context //nolint:containedctx // Its cancellation stops run.
	cancel context.CancelFunc
	runner *wigeonload.Runner
	bar    *progressbar.ProgressBar
	start  time.Time
	wg     conc.WaitGroup
}

// startProgressDisplay starts the display. If out is not a terminal, nothing is displayed.
func startProgressDisplay(ctx context.Context, runner *wigeonload.Runner, length time.Duration, out io.Writer) *progressDisplay {
	p := &progressDisplay{runner: runner, start: time.Now()}
	p.ctx, p.cancel = context.WithCancel(ctx)
	if !isTerminal(out) {
		return p
	}
	p.bar = progressbar.NewOptions64(length.Milliseconds(), progressbar.OptionSetWriter(out),
		progressbar.OptionSetDescription("load"), progressbar.OptionSetPredictTime(false),
		progressbar.OptionClearOnFinish())
	p.wg.Go(p.run)
	return p
}

func (p *progressDisplay) run() {
	ticker := time.NewTicker(progressPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.draw()
		case <-p.ctx.Done():
			return
		}
	}
}

func (p *progressDisplay) draw() {
	current := p.runner.Progress()
	p.bar.Describe(formatProgress(current))
	// A failure to draw the bar must not stop the run.
	_ = p.bar.Set64(min(time.Since(p.start).Milliseconds(), p.bar.GetMax64()))
}

func (p *progressDisplay) stop() {
	p.cancel()
	p.wg.Wait()
	if p.bar != nil {
		_ = p.bar.Finish()
	}
}

func formatProgress(p wigeonload.Progress) string {
	return fmt.Sprintf("%d sent, %d in flight, %d good", p.Requests, p.Requests-p.Finished, p.Good)
}

func isTerminal(out io.Writer) bool {
	f, ok := out.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
