// Package wigeonslope measures on one machine how the costs of each role grow with its size, and fits a line to them.
package wigeonslope

import (
	"context"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measured value Y at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is a straight line through points, y = Intercept + Slope·x.
type Fit struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Residual is the root mean square of the distances from the line, in the unit of y.
	Residual float64 `json:"residual"`
	// R2 is the fraction of the variance that the line explains; it is 1 for a perfect fit.
	R2 float64 `json:"r2"`
}

// Series holds measured costs by size, and the line fitted to them.
type Series struct {
	Name string `json:"name"`
	// X and Unit are the labels of the axes.
	X    string `json:"x"`
	Unit string `json:"unit"`
	// Method describes in one sentence how the points were measured.
	Method string `json:"method"`
	// LoadAverage is the machine's load average over one minute, before and after the measurement.
	LoadAverage string  `json:"loadAverage"`
	Points      []Point `json:"points"`
	Fit         Fit     `json:"fit"`
}

// Measurement produces one or more series.
type Measurement struct {
	Name string
	Run  func(ctx context.Context) ([]Series, error)
}

// newSeries returns a series with the line fitted to points.
func newSeries(name, x, unit, method string, points []Point) Series {
	return Series{Name: name, X: x, Unit: unit, Method: method, Points: points, Fit: fitLine(points)}
}

// fitLine returns the least-squares line through points.
func fitLine(points []Point) Fit {
	xs := make([]float64, len(points))
	ys := make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = p.X, p.Y
	}
	intercept, slope := stat.LinearRegression(xs, ys, nil, false)
	sum := 0.0
	for i := range xs {
		d := ys[i] - intercept - slope*xs[i]
		sum += d * d
	}
	return Fit{
		Slope:     slope,
		Intercept: intercept,
		Residual:  math.Sqrt(sum / float64(len(points))),
		R2:        stat.RSquared(xs, ys, nil, intercept, slope),
	}
}

// At returns the value of the line at x.
func (f Fit) At(x float64) float64 {
	return f.Intercept + f.Slope*x
}
