package wigeonreport

import (
	"bytes"
	"html/template"
	"maps"
	"slices"

	"wigeonshift/internal/load/wigeonload"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 3.2 * vg.Inch
	lineWidth  = vg.Length(1.5)
)

// series is one line of a plot.
type series struct {
	name   string
	values []float64
}

// timelinePlot shows requests, refusals and the good responses of each tier per second.
func timelinePlot(res *wigeonload.Result) (template.HTML, error) {
	requests, refusals := series{name: "requests"}, series{name: "refusals"}
	tiers := map[string]*series{}
	for _, t := range res.Tiers {
		tiers[t.Tier] = &series{name: "good, " + t.Tier}
	}
	for _, s := range res.Timeline {
		requests.values = append(requests.values, float64(s.Requests))
		refusals.values = append(refusals.values, float64(s.Refusals))
		for tier, line := range tiers {
			line.values = append(line.values, float64(s.Good[tier]))
		}
	}
	lines := []series{requests, refusals}
	for _, tier := range slices.Sorted(maps.Keys(tiers)) {
		lines = append(lines, *tiers[tier])
	}
	return linePlot("Requests, refusals and good responses", "seconds since the start", "per second", lines)
}

// latencyPlot shows the quantiles of the first-token latency. Tiers without streams show the total latency instead.
func latencyPlot(res *wigeonload.Result) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = "First-token latency, or total latency for tiers without streams"
	p.Y.Label.Text = "ms"
	var names []string
	quantileGroups := make([]plotter.Values, 3)
	for _, t := range res.Tiers {
		q := t.FirstToken
		if q.Count == 0 {
			q = t.Total
		}
		names = append(names, t.Tier+"\n"+string(t.Kind))
		for i, value := range []float64{q.P50, q.P95, q.P99} {
			quantileGroups[i] = append(quantileGroups[i], value)
		}
	}
	width := min(vg.Points(18), plotWidth/vg.Length(max(1, 5*len(names))))
	for i, label := range []string{"p50", "p95", "p99"} {
		bars, err := plotter.NewBarChart(quantileGroups[i], width)
		if err != nil {
			return "", err
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = width * vg.Length(i-1)
		p.Add(bars)
		p.Legend.Add(label, bars)
	}
	p.Legend.Top = true
	p.NominalX(names...)
	return renderSVG(p)
}

// linePlot draws lines with one point per second.
func linePlot(title, x, y string, lines []series) (template.HTML, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, s := range lines {
		points := make(plotter.XYs, len(s.values))
		for j, value := range s.values {
			points[j] = plotter.XY{X: float64(j), Y: value}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", err
		}
		line.Color, line.Width = plotutil.Color(i), lineWidth
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	return renderSVG(p)
}

// renderSVG renders a plot as an svg element for an HTML page, without the XML declaration.
func renderSVG(p *plot.Plot) (template.HTML, error) {
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if _, err := writer.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.Bytes()
	if start := bytes.Index(text, []byte("<svg")); start > 0 {
		text = text[start:]
	}
	return template.HTML(text), nil
}
