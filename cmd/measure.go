package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"wigeonshift/internal/measure/wigeonoverlay"
	"wigeonshift/internal/measure/wigeonslope"

	"github.com/samber/oops"
)

// plotted are the series that are drawn as well.
var plotted = []string{
	"reducerEventEndpoints", "permitProcessor", "sessionBytes", "idleProcessorNodes", "idleWritesShards", "idleReadsShards",
	"changeProcessor", "takeoverDelay",
}

// Names of the files that are written.
const slopesFile = "slopes.json"

// MeasureCommand measures how the costs of each role grow with its size, on this machine.
type MeasureCommand struct {
	Only string `help:"Run one measurement: reducer, prefix, configuration, permits, takeover, sessions, nodes, shards, polls, members, tree or overlay."`
	Out  string `type:"path" help:"Directory for slopes.json and plots; nothing is written without it. With --only the other series in the file stay."`
	JSON bool   `help:"Print JSON instead of a table."`

	// scale is the default one unless a test sets another.
	scale *wigeonslope.Scale
}

// Run measures, prints and writes the results.
func (c *MeasureCommand) Run(ctx context.Context, s Streams) error {
	scale := wigeonslope.DefaultScale()
	if c.scale != nil {
		scale = *c.scale
	}
	if names := scale.Names(); c.Only != "" && !slices.Contains(names, c.Only) {
		return fmt.Errorf("%w: --only must be one of %s", errUsage, strings.Join(names, ", "))
	}
	started := time.Now()
	report, err := scale.Run(ctx, c.Only, func(name string) {
		fmt.Fprintf(s.Err, "%6.1f s  %s\n", time.Since(started).Seconds(), name)
	})
	if err != nil {
		return err
	}
	if c.Out != "" {
		written := report
		if c.Only != "" {
			written = report.Merge(earlierReport(c.Out))
		}
		if err := writeReport(c.Out, written); err != nil {
			return err
		}
	}
	if c.JSON {
		encoder := json.NewEncoder(s.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(report)
	}
	printReport(s.Out, report)
	return nil
}

// earlierReport returns what was written before; what can't be read counts as nothing.
func earlierReport(dir string) wigeonslope.Results {
	var earlier wigeonslope.Results
	text, err := os.ReadFile(filepath.Join(dir, slopesFile))
	if err != nil || json.Unmarshal(text, &earlier) != nil {
		return wigeonslope.Results{}
	}
	return earlier
}

// writeReport writes the JSON file and the plots.
func writeReport(dir string, report wigeonslope.Results) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return oops.In("measure").Wrap(err)
	}
	text, err := json.MarshalIndent(report, "", " ")
	if err != nil {
		return oops.In("measure").Wrap(err)
	}
	if err := os.WriteFile(filepath.Join(dir, slopesFile), append(text, '\n'), 0o644); err != nil {
		return oops.In("measure").Wrap(err)
	}
	for _, series := range report.Series {
		if !slices.Contains(plotted, series.Name) {
			continue
		}
		svg, err := series.SVG()
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, series.Name+".svg"), svg, 0o644); err != nil {
			return oops.In("measure").Wrap(err)
		}
	}
	return nil
}

// printReport prints one line for each series and way.
func printReport(out io.Writer, r wigeonslope.Results) {
	fmt.Fprintf(out, "%s, %d processors\n", r.Go, r.Processors)
	for _, s := range r.Series {
		fmt.Fprintf(out, "%-26s %12.5g + %12.5g a unit, residual %10.4g, R² %.3f, load %s  %s by %s:",
			s.Name, s.Fit.Intercept, s.Fit.Slope, s.Fit.Residual, s.Fit.R2, s.LoadAverage, s.Unit, s.X)
		for _, p := range s.Points {
			fmt.Fprintf(out, " (%g, %.5g)", p.X, p.Y)
		}
		fmt.Fprintln(out)
	}
	for _, row := range r.Overlay {
		printOverlay(out, row)
	}
}

// printOverlay prints one way to reach instances.
func printOverlay(out io.Writer, r wigeonoverlay.Row) {
	fmt.Fprintf(out, "%-40s degree %2d shortcuts %d: hops %.2f (max %d), sessions %.1f (max %d), moved %.2f, unreached %%",
		r.Way, r.Degree, r.Shortcuts, r.HopsMean, r.HopsMax, r.SessionsMean, r.SessionsMax, r.Moved)
	for _, share := range r.Unreached {
		fmt.Fprintf(out, " %.2f", share)
	}
	fmt.Fprintln(out)
}
