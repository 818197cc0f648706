package wigeonslope

import (
	"context"
	"os"
	"runtime"
	"slices"
	"strings"

	"wigeonshift/internal/measure/wigeonoverlay"
)

// Fleet of the target, for the comparison of overlays.
const (
	targetNodes  = 1500
	targetShards = 125
	overlaySeed  = 1
)

// Results are the outcome of all measurements that were run.
type Results struct {
	Go         string              `json:"go"`
	Processors int                 `json:"processors"`
	Series     []Series            `json:"series"`
	Overlay    []wigeonoverlay.Row `json:"overlay,omitempty"`
}

// OverlayName names the comparison of overlays among the measurements.
const OverlayName = "overlay"

// Measurements returns all measurements that produce series, in order.
func (s Scale) Measurements() []Measurement {
	return []Measurement{
		{"reducer", s.MeasureReducer},
		{"prefix", s.MeasurePrefix},
		{"configuration", s.MeasureConfiguration},
		{"permits", s.MeasurePermits},
		{"takeover", s.MeasureTakeover},
		{"sessions", s.MeasureSessions},
		{"nodes", s.MeasureNodes},
		{"shards", s.MeasureShards},
		{"polls", s.MeasurePolls},
		{"members", s.MeasureMembers},
		{"tree", s.MeasureTree},
	}
}

// Names returns the names of all measurements.
func (s Scale) Names() []string {
	var names []string
	for _, m := range s.Measurements() {
		names = append(names, m.Name)
	}
	return append(names, OverlayName)
}

// Run runs the measurements with a name, or all; progress is told each one before it starts.
func (s Scale) Run(ctx context.Context, only string, progress func(name string)) (Results, error) {
	r := Results{Go: runtime.Version(), Processors: runtime.NumCPU()}
	for _, m := range s.Measurements() {
		if only != "" && only != m.Name {
			continue
		}
		progress(m.Name)
		before := loadAverage()
		series, err := m.Run(ctx)
		if err != nil {
			return r, err
		}
		for i := range series {
			series[i].LoadAverage = before + " to " + loadAverage()
		}
		r.Series = append(r.Series, series...)
	}
	if only == "" || only == OverlayName {
		progress(OverlayName)
		r.Overlay = wigeonoverlay.Measure(targetNodes, targetShards, overlaySeed)
	}
	return r, nil
}

// loadAverage returns the machine's load over one minute, empty where it can't be read.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	first, _, _ := strings.Cut(string(text), " ")
	return first
}

// Merge returns earlier results with these in their place.
func (r Results) Merge(earlier Results) Results {
	merged := Results{Go: r.Go, Processors: r.Processors, Series: slices.Clone(earlier.Series), Overlay: earlier.Overlay}
	for _, s := range r.Series {
		at := slices.IndexFunc(merged.Series, func(e Series) bool { return e.Name == s.Name })
		if at < 0 {
			merged.Series = append(merged.Series, s)
			continue
		}
		merged.Series[at] = s
	}
	if len(r.Overlay) > 0 {
		merged.Overlay = r.Overlay
	}
	return merged
}
