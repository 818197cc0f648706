// Package wigeonreport shows the result of a load run as text, JSON or a self-contained HTML page.
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

// WriteText writes the result as tables.
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

func (t *table) write(w io.Writer) error {
	out := tablewriter.NewTable(w, tablewriter.WithHeaderAutoFormat(tw.Off), tablewriter.WithAlignment(t.alignment()))
	out.Header(t.Header)
	if err := out.Bulk(t.Rows); err != nil {
		return err
	}
	return out.Render()
}

// nameColumns are the headers of columns that hold names; the others hold figures.
var nameColumns = []string{"tier", "service", "organisation", "reason", "state", "check", "path"}

// alignment puts names left and figures right.
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

func headline(res *wigeonload.Result) string {
	return fmt.Sprintf("%s, seed %d, %d nodes, %.1f s of sending, %.1f s in all", res.Scenario, res.Seed,
		len(res.Nodes), float64(res.SendMS)/1000, float64(res.ElapsedMS)/1000)
}

// tables returns the tables of a result that have rows.
func tables(res *wigeonload.Result) []table {
	all := []table{
		goodputTable("Goodput by tier", res.Tiers, res.SendMS), latencyTable("Times in ms by tier", res.Tiers),
	}
	if len(res.Organisations) > len(res.Tiers) {
		all = append(all, goodputTable("Goodput by organisation", res.Organisations, res.SendMS),
			latencyTable("Times in ms by organisation", res.Organisations))
	}
	all = append(all, refusalTable(res), prefillTable(res), checkTable(res), overheadTable(res), failureTable(res))
	shown := all[:0]
	for _, t := range all {
		if len(t.Rows) > 0 {
			shown = append(shown, t)
		}
	}
	return shown
}

func goodputTable(title string, results []wigeonload.TierResult, sendMS int64) table {
	t := table{Title: title, Header: append(nameHeader(results),
		"requests", "good", "good/s", "tokens/s", "share", "late", "refused", "broken", "unreachable", "wrong", "resends")}
	seconds := max(float64(sendMS)/1000, 0.001)
	for _, r := range results {
		t.Rows = append(t.Rows, append(nameCells(r),
			count(r.Requests), count(r.Good), decimal(float64(r.Good)/seconds),
			decimal(float64(r.GoodTokens)/seconds), percent(float64(r.Good)/max(1, float64(r.Requests))),
			count(r.Late), count(r.Refused), count(r.Broken), count(r.Unreachable), count(r.Wrong), count(r.Resends)))
	}
	return t
}

func latencyTable(title string, results []wigeonload.TierResult) table {
	t := table{Title: title, Header: append(nameHeader(results),
		"first p50", "first p95", "first p99", "between p50", "between p95", "between p99",
		"whole p50", "whole p95", "whole p99")}
	for _, r := range results {
		row := nameCells(r)
		for _, q := range []wigeonload.Quantiles{r.FirstToken, r.BetweenTokens, r.Total} {
			row = append(row, timeText(q, q.P50), timeText(q, q.P95), timeText(q, q.P99))
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}

// nameHeader heads the columns of nameCells.
func nameHeader(results []wigeonload.TierResult) []string {
	if len(results) > 0 && results[0].Organisation == "" {
		return []string{"tier", "service"}
	}
	return []string{"tier", "service", "organisation"}
}

// nameCells names a result.
func nameCells(r wigeonload.TierResult) []string {
	cells := []string{r.Tier, string(r.Kind)}
	if r.Organisation != "" {
		cells = append(cells, r.Organisation)
	}
	return cells
}

func refusalTable(res *wigeonload.Result) table {
	t := table{Title: "Refusals of sends", Header: []string{"tier", "reason", "state", "count"}}
	for _, r := range res.Refusals {
		t.Rows = append(t.Rows, []string{r.Tier, string(r.Reason), string(r.State), count(r.Count)})
	}
	return t
}

func prefillTable(res *wigeonload.Result) table {
	t := table{Title: "Prefill in tokens", Header: []string{
		"computed", "from cache", "needed", "wasted", "wasted share", "thrown away", "repeated on one engine",
	}}
	if p := res.Prefill; p != nil {
		t.Rows = append(t.Rows, []string{
			count(p.Computed), count(p.Cached), count(p.Needed), count(p.Wasted), percent(p.WastedShare()),
			count(p.ThrownAway), count(p.RepeatedSameEngine),
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
		{"answers verified whole", count(c.Verified)},
		{"stand-in ledgers compared", count(int64(c.Ledgers))},
		{"stand-in ledgers missing or lost", count(int64(c.Missing))},
		{"answers wrong or crossed", count(c.Wrong)},
		{"dispatched more often than sent", count(c.DispatchedTooOften)},
		{"refused as not run, but ran", count(c.FalseNotRun)},
		{"non-idempotent calls that ran twice", count(c.NonIdempotentTwice)},
		{"attempt tokens seen twice", count(c.DuplicateTokens)},
	}
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
			name, count(p.Requests), count(p.Failed), decimal(p.PerSecond), millis(p.Total.P50), millis(p.Total.P99),
			decimal(p.LoadCPUMicros), decimal(p.NodeCPUMicros),
		}
	}
	t.Rows = append(t.Rows, row("direct", o.Direct), row("nodes", o.Node))
	t.Title = fmt.Sprintf("Overhead with %d callers: added p50 %s ms, p99 %s ms, rate ratio %.3f, %s requests a core second",
		o.Callers, millis(o.AddedP50MS), millis(o.AddedP99MS), o.RateRatio, decimal(o.NodeRequestsPerCore))
	return t
}

func failureTable(res *wigeonload.Result) table {
	t := table{Title: "Failures", Header: []string{"path", "reason", "count"}}
	if res.Overhead == nil {
		return t
	}
	for _, name := range slices.Sorted(maps.Keys(res.Overhead.Direct.Failures)) {
		t.Rows = append(t.Rows, []string{"direct", name, count(res.Overhead.Direct.Failures[name])})
	}
	for _, name := range slices.Sorted(maps.Keys(res.Overhead.Node.Failures)) {
		t.Rows = append(t.Rows, []string{"nodes", name, count(res.Overhead.Node.Failures[name])})
	}
	return t
}

func count(n int64) string { return fmt.Sprint(n) }

func decimal(f float64) string { return fmt.Sprintf("%.1f", f) }

func millis(f float64) string { return fmt.Sprintf("%.3f", f) }

func percent(f float64) string { return fmt.Sprintf("%.1f %%", 100*f) }

// timeText shows a quantile, or nothing when no time was taken.
func timeText(q wigeonload.Quantiles, value float64) string {
	if q.Count == 0 {
		return ""
	}
	return decimal(value)
}
