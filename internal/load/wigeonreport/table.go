// Package wigeonreport writes the result of a load run as text, JSON or a self-contained HTML page.
package wigeonreport

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"wigeonshift/internal/load/wigeonload"

	"github.com/olekukonko/tablewriter"
	"github.com/olekukonko/tablewriter/tw"
)

// table is one table of a report.
type table struct {
	Title  string
	Header []string
	Rows   [][]string
}

// WriteJSON writes the result as JSON.
func WriteJSON(w io.Writer, res *wigeonload.Result) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(res)
}

// WriteText writes the result as text tables.
func WriteText(w io.Writer, res *wigeonload.Result) error {
	fmt.Fprintln(w, headline(res))
	for _, t := range tables(res) {
		fmt.Fprintf(w, "\n%s\n", t.Title)
		if err := t.write(w); err != nil {
			return err
		}
	}
	return nil
}

// write writes the table without its title.
func (t *table) write(w io.Writer) error {
	out := tablewriter.NewTable(w, tablewriter.WithHeaderAutoFormat(tw.Off), tablewriter.WithAlignment(t.alignment()))
	out.Header(t.Header)
	if err := out.Bulk(t.Rows); err != nil {
		return err
	}
	return out.Render()
}

// nameColumns are the headers of the columns with names. The other columns have numbers.
var nameColumns = []string{"tier", "service", "organisation", "reason", "state", "check", "path"}

// alignment aligns names left and numbers right.
func (t *table) alignment() tw.Alignment {
	alignment := make(tw.Alignment, len(t.Header))
	for i, header := range t.Header {
		alignment[i] = tw.AlignRight
		if slices.Contains(nameColumns, header) {
			alignment[i] = tw.AlignLeft
		}
	}
	return alignment
}

// headline returns the title of a report.
func headline(res *wigeonload.Result) string {
	return fmt.Sprintf("%s, seed %d, %d nodes, %.1f s sending, %.1f s total", res.Scenario, res.Seed,
		len(res.Nodes), float64(res.SendMS)/1000, float64(res.ElapsedMS)/1000)
}

// tables returns the non-empty tables of a result.
func tables(res *wigeonload.Result) []table {
	all := []table{
		goodputTable("Goodput by tier", res.Tiers, res.SendMS), latencyTable("Latency in ms by tier", res.Tiers),
	}
	if len(res.Organisations) > len(res.Tiers) {
		all = append(all, goodputTable("Goodput by organisation", res.Organisations, res.SendMS),
			latencyTable("Latency in ms by organisation", res.Organisations))
	}
	all = append(all, refusalTable(res), prefillTable(res), checkTable(res), overheadTable(res), failureTable(res))
	nonEmpty := all[:0]
	for _, t := range all {
		if len(t.Rows) > 0 {
			nonEmpty = append(nonEmpty, t)
		}
	}
	return nonEmpty
}

func goodputTable(title string, results []wigeonload.TierResult, sendMS int64) table {
	t := table{Title: title, Header: append(labelHeaders(results),
		"requests", "good", "good/s", "tokens/s", "share", "late", "refused", "broken", "unreachable", "wrong", "resends")}
	seconds := max(float64(sendMS)/1000, 0.001)
	for _, r := range results {
		t.Rows = append(t.Rows, append(labelCells(r),
			formatCount(r.Requests), formatCount(r.Good), formatDecimal(float64(r.Good)/seconds),
			formatDecimal(float64(r.GoodTokens)/seconds), formatPercent(float64(r.Good)/max(1, float64(r.Requests))),
			formatCount(r.Late), formatCount(r.Refused), formatCount(r.Broken), formatCount(r.Unreachable),
			formatCount(r.Wrong), formatCount(r.Resends)))
	}
	return t
}

func latencyTable(title string, results []wigeonload.TierResult) table {
	t := table{Title: title, Header: append(labelHeaders(results),
		"first token p50", "first token p95", "first token p99", "inter-token p50", "inter-token p95", "inter-token p99",
		"total p50", "total p95", "total p99")}
	for _, r := range results {
		row := labelCells(r)
		for _, q := range []wigeonload.Quantiles{r.FirstToken, r.BetweenTokens, r.Total} {
			row = append(row, formatQuantile(q, q.P50), formatQuantile(q, q.P95), formatQuantile(q, q.P99))
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}

// labelHeaders returns the headers of the columns that labelCells fills.
func labelHeaders(results []wigeonload.TierResult) []string {
	if len(results) > 0 && results[0].Organisation == "" {
		return []string{"tier", "service"}
	}
	return []string{"tier", "service", "organisation"}
}

// labelCells returns the cells that identify a result: tier, kind of service and, if set, organisation.
func labelCells(r wigeonload.TierResult) []string {
	cells := []string{r.Tier, string(r.Kind)}
	if r.Organisation != "" {
		cells = append(cells, r.Organisation)
	}
	return cells
}

func refusalTable(res *wigeonload.Result) table {
	t := table{Title: "Refused sends", Header: []string{"tier", "reason", "state", "count"}}
	for _, r := range res.Refusals {
		t.Rows = append(t.Rows, []string{r.Tier, string(r.Reason), string(r.State), formatCount(r.Count)})
	}
	return t
}

func prefillTable(res *wigeonload.Result) table {
	t := table{Title: "Prefill tokens", Header: []string{
		"computed", "from cache", "needed", "wasted", "wasted share", "thrown away", "repeated on the same engine",
	}}
	if p := res.Prefill; p != nil {
		t.Rows = append(t.Rows, []string{
			formatCount(p.Computed), formatCount(p.Cached), formatCount(p.Needed), formatCount(p.Wasted),
			formatPercent(p.WastedShare()),
			formatCount(p.ThrownAway), formatCount(p.RepeatedSameEngine),
		})
	}
	return t
}

func checkTable(res *wigeonload.Result) table {
	c := res.Checks
	t := table{Title: "Checks (all but the first three must be 0)", Header: []string{"check", "count"}}
	if res.Overhead != nil {
		return t
	}
	t.Rows = [][]string{
		{"responses verified", formatCount(c.Verified)},
		{"stand-in ledgers compared", formatCount(int64(c.Ledgers))},
		{"stand-in ledgers unreadable or lost", formatCount(int64(c.Missing))},
		{"wrong responses", formatCount(c.Wrong)},
		{"dispatched more often than sent", formatCount(c.DispatchedTooOften)},
		{"refused as not run but executed", formatCount(c.FalseNotRun)},
		{"non-idempotent calls executed more than once", formatCount(c.NonIdempotentTwice)},
		{"duplicate attempt tokens", formatCount(c.DuplicateTokens)},
	}
	// The checks after the fourth row need the ledgers of stand-ins.
	if c.Ledgers == 0 {
		for i := 4; i < len(t.Rows); i++ {
			t.Rows[i][1] = "not checked"
		}
	}
	return t
}

func overheadTable(res *wigeonload.Result) table {
	t := table{Title: "Overhead", Header: []string{
		"path", "requests", "failed", "requests/s", "p50 ms", "p99 ms", "load CPU µs", "node CPU µs",
	}}
	o := res.Overhead
	if o == nil {
		return t
	}
	row := func(name string, p wigeonload.PathResult) []string {
		return []string{
			name, formatCount(p.Requests), formatCount(p.Failed), formatDecimal(p.PerSecond),
			formatMillis(p.Total.P50), formatMillis(p.Total.P99),
			formatDecimal(p.LoadCPUMicros), formatDecimal(p.NodeCPUMicros),
		}
	}
	t.Rows = append(t.Rows, row("direct", o.Direct), row("nodes", o.Node))
	t.Title = fmt.Sprintf("Overhead with %d callers: added p50 %s ms, p99 %s ms, rate ratio %.3f, %s requests per core-second",
		o.Callers, formatMillis(o.AddedP50MS), formatMillis(o.AddedP99MS), o.RateRatio, formatDecimal(o.NodeRequestsPerCore))
	return t
}

func failureTable(res *wigeonload.Result) table {
	t := table{Title: "Failures", Header: []string{"path", "reason", "count"}}
	if res.Overhead == nil {
		return t
	}
	for _, name := range slices.Sorted(maps.Keys(res.Overhead.Direct.Failures)) {
		t.Rows = append(t.Rows, []string{"direct", name, formatCount(res.Overhead.Direct.Failures[name])})
	}
	for _, name := range slices.Sorted(maps.Keys(res.Overhead.Node.Failures)) {
		t.Rows = append(t.Rows, []string{"nodes", name, formatCount(res.Overhead.Node.Failures[name])})
	}
	return t
}

func formatCount(n int64) string { return fmt.Sprint(n) }

func formatDecimal(f float64) string { return fmt.Sprintf("%.1f", f) }

func formatMillis(f float64) string { return fmt.Sprintf("%.3f", f) }

func formatPercent(f float64) string { return fmt.Sprintf("%.1f %%", 100*f) }

// formatQuantile formats a quantile, or returns an empty text if nothing was measured.
func formatQuantile(q wigeonload.Quantiles, value float64) string {
	if q.Count == 0 {
		return ""
	}
	return formatDecimal(value)
}
