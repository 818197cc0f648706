package wigeonslope

import (
	"bytes"
	"fmt"
	"image/color"

	"github.com/samber/oops"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// SVG plots the points of a series and the fitted line.
func (s Series) SVG() ([]byte, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s (slope %.4g, R² %.3f)", s.Name, s.Fit.Slope, s.Fit.R2)
	p.X.Label.Text = s.X
	p.Y.Label.Text = s.Unit
	p.Add(plotter.NewGrid())
	points := make(plotter.XYs, len(s.Points))
	for i, point := range s.Points {
		points[i] = plotter.XY{X: point.X, Y: point.Y}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return nil, oops.In("measure").With("series", s.Name).Wrap(err)
	}
	scatter.Color = color.RGBA{R: 178, G: 34, B: 34, A: 255}
	line := plotter.NewFunction(s.Fit.At)
	line.Color = color.RGBA{R: 70, G: 130, B: 180, A: 255}
	p.Add(line, scatter)
	w, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return nil, oops.In("measure").With("series", s.Name).Wrap(err)
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return nil, oops.In("measure").With("series", s.Name).Wrap(err)
	}
	return b.Bytes(), nil
}
