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

// errViolated reports that a run broke an invariant.
var errViolated = errors.New("a check failed: see the table of checks")

// errNothingVerified reports a run that proves nothing.
var errNothingVerified = errors.New("no answer was verified")

// LoadCommand sends a scenario's requests to running nodes and verifies every answer.
type LoadCommand struct {
	Scenario    string        `arg:"" type:"existingfile" help:"Scenario in TOML."`
	Node        []string      `help:"Address of a node's callers' API; repeatable, replaces the scenario's."`
	Engine      []string      `help:"Address of a stand-in engine whose counts are checked; repeatable, replaces the scenario's."`
	Plain       []string      `help:"Address of a stand-in plain service whose counts are checked; repeatable, replaces the scenario's."`
	Duration    time.Duration `help:"Time of sending; replaces the scenario's."`
	Seed        *uint64       `help:"Seed; replaces the scenario's."`
	MaxInFlight int           `help:"Bound on requests in flight." default:"20000"`
	Direct      string        `help:"Measure the overhead of the nodes against this engine, by turns, with the scenario's first class."`
	Process     []int         `help:"Process id of a node, for its CPU time with --direct; repeatable."`
	JSON        bool          `help:"Print the result as JSON."`
	HTML        string        `help:"Write a report with plots to this file."`
}

// Run runs the load. A broken invariant is an error.
func (c *LoadCommand) Run(ctx context.Context, s Streams) error {
	scenario, err := c.scenario()
	if err != nil {
		return errors.Join(errUsage, err)
	}
	runner := wigeonload.New(scenario, wigeonload.WithMaxInFlight(c.MaxInFlight))
	bar := startProgress(ctx, runner, scenario.Duration.Duration, s.Err)
	res, err := c.measure(ctx, runner, scenario)
	bar.stop()
	if err != nil {
		return err
	}
	if err := c.report(s.Out, res); err != nil {
		return err
	}
	return verdict(res)
}

// verdict returns the error that a result stands for.
func verdict(res *wigeonload.Result) error {
	switch {
	case res.Checks.Violated():
		return errViolated
	case res.Overhead != nil && (res.Overhead.Node.Requests == 0 || res.Overhead.Direct.Requests == 0):
		return errNothingVerified
	case res.Overhead == nil && res.Checks.Verified == 0:
		return errNothingVerified
	}
	return nil
}

func (c *LoadCommand) measure(
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

// scenario reads the file and puts the arguments over it.
func (c *LoadCommand) scenario() (*wigeonscenario.Scenario, error) {
	s, err := wigeonscenario.Load(c.Scenario)
	if err != nil {
		return nil, err
	}
	replace := func(into *[]string, with []string) {
		if len(with) > 0 {
			*into = with
		}
	}
	replace(&s.Nodes, c.Node)
	replace(&s.Engines, c.Engine)
	replace(&s.Plains, c.Plain)
	if c.Duration > 0 {
		s.Duration.Duration = c.Duration
	}
	if c.Seed != nil {
		s.Seed = *c.Seed
	}
	return s, nil
}

func (c *LoadCommand) report(out io.Writer, res *wigeonload.Result) error {
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

// progress draws a run's progress on a terminal.
type progress struct {
	ctx    context.Context //nolint:containedctx // It ends the loop.
	cancel context.CancelFunc
	runner *wigeonload.Runner
	bar    *progressbar.ProgressBar
	start  time.Time
	wg     conc.WaitGroup
}

// startProgress draws on a terminal only; elsewhere it does nothing.
func startProgress(ctx context.Context, runner *wigeonload.Runner, length time.Duration, out io.Writer) *progress {
	p := &progress{runner: runner, start: time.Now()}
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

func (p *progress) run() {
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

func (p *progress) draw() {
	now := p.runner.Progress()
	p.bar.Describe(progressText(now))
	// A bar that can't be drawn is no reason to stop the run.
	_ = p.bar.Set64(min(time.Since(p.start).Milliseconds(), p.bar.GetMax64()))
}

func (p *progress) stop() {
	p.cancel()
	p.wg.Wait()
	if p.bar != nil {
		_ = p.bar.Finish()
	}
}

func progressText(p wigeonload.Progress) string {
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
