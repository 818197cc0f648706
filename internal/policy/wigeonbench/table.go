package wigeonbench

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/olekukonko/tablewriter"
)

// WriteTable writes results as a table.
func WriteTable(out io.Writer, results []Result) error {
	t := tablewriter.NewWriter(out)
	t.Header("scenario", "policy", "goodput by tier %", "wasted %", "repeated", "thrown", "first token s p50/p95/p99 short medium long", "interactive p95 s", "Jain", "not useful")
	for i := range results {
		r := &results[i]
		err := t.Append(
			fmt.Sprintf("%s (load %.2f, top %.2f)", r.Scenario, r.Load, r.TopTierLoad), r.Policy, formatGoodput(r), formatPercent(r.WastedShare),
			fmt.Sprint(r.RepeatedTokens), fmt.Sprint(r.DiscardedTokens), formatLatencies(r), fmt.Sprintf("%.2f", r.InteractiveP95Seconds),
			fmt.Sprintf("%.4f", r.JainIndex), formatFailures(r),
		)
		if err != nil {
			return err
		}
	}
	return t.Render()
}

// formatGoodput formats the goodput of each tier.
func formatGoodput(r *Result) string {
	var parts []string
	for _, t := range r.Tiers {
		parts = append(parts, formatPercent(t.Goodput))
	}
	return strings.Join(parts, " / ")
}

// formatLatencies formats the first-token latencies of each length class.
func formatLatencies(r *Result) string {
	var parts []string
	for _, c := range r.Classes {
		parts = append(parts, fmt.Sprintf("%.2f/%.2f/%.2f", c.P50Seconds, c.P95Seconds, c.P99Seconds))
	}
	return strings.Join(parts, " ")
}

// formatFailures formats the number of failures by reason.
func formatFailures(r *Result) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(r.Failures)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, r.Failures[name]))
	}
	return strings.Join(parts, ", ")
}
