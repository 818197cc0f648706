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

// plottedSeries are the series that are also written as SVG plots.
var plottedSeries = []string{
	"reducerEventEndpoints", "permitProcessor", "sessionBytes", "idleProcessorNodes", "idleWritesShards", "idleReadsShards",
	"changeProcessor", "takeoverDelay",
}

// slopesFileName is the JSON file that contains all series.
const slopesFileName = "slopes.json"

// MeasureCommand measures how the cost of each role grows with the size of the system, on this machine.
type MeasureCommand struct {
	Only string `help:"Run only this measurement: reducer, prefix, configuration, permits, takeover, sessions, nodes, shards, polls, members, tree or overlay."`
	Out  string `type:"path" help:"Directory for slopes.json and the plots; no files are written without it. With --only, the other series in slopes.json are kept."`
	JSON bool   `help:"Print JSON instead of a table."`

	// scale replaces the default scale in tests.
	scale *wigeonslope.Scale
}

// Run runs the measurements, writes the files and prints the results.
func (c *MeasureCommand) Run(ctx context.Context, s Streams) error {
	scale := wigeonslope.DefaultScale()
	if c.scale != nil {
		scale = *c.scale
	}
	if names := scale.Names(); c.Only != "" && !slices.Contains(names, c.Only) {
		return fmt.Errorf("%w: --only must be one of %s", errUsage, strings.Join(names, ", "))
	}
	started := time.Now()
	results, err := scale.Run(ctx, c.Only, func(name string) {
		fmt.Fprintf(s.Err, "%6.1f s  %s\n", time.Since(started).Seconds(), name)
	})
	if err != nil {
		return err
	}
	if c.Out != "" {
		saved := results
		if c.Only != "" {
			saved = results.Merge(readPreviousResults(c.Out))
		}
		if err := writeResults(c.Out, saved); err != nil {
			return err
		}
	}
	if c.JSON {
		encoder := json.NewEncoder(s.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(results)
	}
	printResults(s.Out, results)
	return nil
}

// readPreviousResults reads the results of earlier runs. It returns empty results if the file is missing or invalid.
func readPreviousResults(dir string) wigeonslope.Results {
	var previous wigeonslope.Results
	text, err := os.ReadFile(filepath.Join(dir, slopesFileName))
	if err != nil || json.Unmarshal(text, &previous) != nil {
		return wigeonslope.Results{}
	}
	return previous
}

// writeResults writes all series as JSON and the plotted ones as SVG.
func writeResults(dir string, results wigeonslope.Results) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return oops.In("measure").Wrap(err)
	}
	text, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return oops.In("measure").Wrap(err)
	}
	if err := os.WriteFile(filepath.Join(dir, slopesFileName), append(text, '\n'), 0o644); err != nil {
		return oops.In("measure").Wrap(err)
	}
	for _, series := range results.Series {
		if !slices.Contains(plottedSeries, series.Name) {
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

// printResults prints one line for each series and for each row of the overlay measurement.
func printResults(out io.Writer, r wigeonslope.Results) {
	fmt.Fprintf(out, "%s, %d processors\n", r.Go, r.Processors)
	for _, s := range r.Series {
		fmt.Fprintf(out, "%-26s %12.5g + %12.5g per unit, residual %10.4g, R² %.3f, load %s  %s by %s:",
			s.Name, s.Fit.Intercept, s.Fit.Slope, s.Fit.Residual, s.Fit.R2, s.LoadAverage, s.Unit, s.X)
		for _, p := range s.Points {
			fmt.Fprintf(out, " (%g, %.5g)", p.X, p.Y)
		}
		fmt.Fprintln(out)
	}
	for _, row := range r.Overlay {
		printOverlayRow(out, row)
	}
}

// printOverlayRow prints the figures of one way to route messages between instances.
func printOverlayRow(out io.Writer, r wigeonoverlay.Row) {
	fmt.Fprintf(out, "%-40s degree %2d shortcuts %d: hops %.2f (max %d), sessions %.1f (max %d), moved %.2f, unreached %%",
		r.Way, r.Degree, r.Shortcuts, r.HopsMean, r.HopsMax, r.SessionsMean, r.SessionsMax, r.Moved)
	for _, percent := range r.Unreached {
		fmt.Fprintf(out, " %.2f", percent)
	}
	fmt.Fprintln(out)
}
