package wigeonreport

import (
	"html/template"
	"io"

	"wigeonshift/internal/load/wigeonload"
)

// page has the data of the HTML template.
type page struct {
	Headline string
	Started  string
	Plots    []template.HTML
	Tables   []table
}

var pageTemplate = template.Must(template.New("report").Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>{{.Headline}}</title>
<style>
body { font-family: sans-serif; margin: 2em; max-width: 70em; }
table { border-collapse: collapse; margin-bottom: 2em; }
th, td { border: 1px solid #999; padding: 0.2em 0.6em; text-align: right; }
th:first-child, td:first-child { text-align: left; }
svg { max-width: 100%; height: auto; }
</style>
</head>
<body>
<h1>{{.Headline}}</h1>
<p>Started {{.Started}}.</p>
{{range .Plots}}<div>{{.}}</div>
{{end}}{{range .Tables}}<h2>{{.Title}}</h2>
<table>
<tr>{{range .Header}}<th>{{.}}</th>{{end}}</tr>
{{range .Rows}}<tr>{{range .}}<td>{{.}}</td>{{end}}</tr>
{{end}}</table>
{{end}}</body>
</html>
`))

// WriteHTML writes the result as a self-contained HTML page.
func WriteHTML(w io.Writer, res *wigeonload.Result) error {
	p := page{Headline: headline(res), Started: res.Started.Format("2006-01-02 15:04:05 MST"), Tables: tables(res)}
	if len(res.Tiers) > 0 && len(res.Timeline) > 0 {
		for _, newPlot := range []func(*wigeonload.Result) (template.HTML, error){timelinePlot, latencyPlot} {
			plot, err := newPlot(res)
			if err != nil {
				return err
			}
			p.Plots = append(p.Plots, plot)
		}
	}
	return pageTemplate.Execute(w, p)
}
