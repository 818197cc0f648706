package wigeonslope

import (
	"context"
	"os"
	"runtime"
	"slices"
	"strings"

	"wigeonshift/internal/measure/wigeonoverlay"
)

// Size of the target fleet, for the comparison of overlays.
const (
	targetNodes  = 1500
	targetShards = 125
	overlaySeed  = 1
)

// Results holds the series and overlay rows of all measurements that were run.
type Results struct {
	Go         string              `json:"go"`
	Processors int                 `json:"processors"`
	Series     []Series            `json:"series"`
	Overlay    []wigeonoverlay.Row `json:"overlay,omitempty"`
}

// OverlayName is the name of the measurement that compares overlays.
const OverlayName = "overlay"

// Measurements returns all measurements that produce series, in the order in which they run.
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

// Names returns the names of all measurements, the comparison of overlays included.
func (s Scale) Names() []string {
	var names []string
	for _, m := range s.Measurements() {
		names = append(names, m.Name)
	}
	return append(names, OverlayName)
}

// Run runs the measurement named only, or all measurements if only is empty. It calls progress with the name of each
// measurement before it starts.
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

// loadAverage returns the load average over one minute, or an empty string if it can't be read.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	first, _, _ := strings.Cut(string(text), " ")
	return first
}

// Merge returns the earlier results, updated with the series of r, and with the overlay rows of r if it has any.
func (r Results) Merge(earlier Results) Results {
	merged := Results{Go: r.Go, Processors: r.Processors, Series: slices.Clone(earlier.Series), Overlay: earlier.Overlay}
	for _, s := range r.Series {
		index := slices.IndexFunc(merged.Series, func(e Series) bool { return e.Name == s.Name })
		if index < 0 {
			merged.Series = append(merged.Series, s)
			continue
		}
		merged.Series[index] = s
	}
	if len(r.Overlay) > 0 {
		merged.Overlay = r.Overlay
	}
	return merged
}
