package wigeonbench

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/olekukonko/tablewriter"
)

// Print writes results as a table.
func Print(out io.Writer, results []Result) error {
	t := tablewriter.NewWriter(out)
	t.Header("scenario", "policy", "goodput by tier %", "wasted %", "repeated", "thrown", "first token s p50/p95/p99 short medium long", "interactive p95 s", "Jain", "not useful")
	for i := range results {
		r := &results[i]
		err := t.Append(
			fmt.Sprintf("%s (load %.2f, top %.2f)", r.Scenario, r.Load, r.TopLoad), r.Policy, goodputs(r), percent(r.WastedShare),
			fmt.Sprint(r.RepeatedTokens), fmt.Sprint(r.ThrownTokens), classes(r), fmt.Sprintf("%.2f", r.InteractiveP95),
			fmt.Sprintf("%.4f", r.Jain), reasons(r),
		)
		if err != nil {
			return err
		}
	}
	return t.Render()
}

// goodputs lists the goodput of each tier.
func goodputs(r *Result) string {
	var parts []string
	for _, t := range r.Tiers {
		parts = append(parts, percent(t.Goodput))
	}
	return strings.Join(parts, " / ")
}

// classes lists the first-token quantiles of each length class.
func classes(r *Result) string {
	var parts []string
	for _, c := range r.Classes {
		parts = append(parts, fmt.Sprintf("%.2f/%.2f/%.2f", c.P50, c.P95, c.P99))
	}
	return strings.Join(parts, " ")
}

// reasons lists why requests got no useful answer.
func reasons(r *Result) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(r.Refusals)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, r.Refusals[name]))
	}
	return strings.Join(parts, ", ")
}
