package wigeonhedge

import (
	"maps"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// spans is the number of spans of a histogram, spanLength the length of each.
	spans      = 3
	spanLength = time.Minute
	// unit is the resolution of the histograms, maxUnits the longest time that they tell, a minute.
	unit     = 100 * time.Microsecond
	maxUnits = int64(time.Minute / unit)
	// significantDigits gives a precision of a sixteenth and 9 KB for each class.
	significantDigits = 1
	// maxClasses bounds the memory of all histograms to about 600 KB.
	maxClasses = 64
	// minSamplesBeyond is the number of samples beyond the percentile that a delay needs.
	minSamplesBeyond = 2
	// samplesPerUpdate is the number of new samples after which a delay is computed anew.
	samplesPerUpdate = 8
)

// Delays holds the times to the first event of the recent requests of each class, and tells the delay of a hedge by them. Its methods
// must not be called concurrently.
type Delays struct {
	// percentile is the share of requests, from 0 to 1, that are answered within the delay.
	percentile float64
	classes    map[class]*history
}

// NewDelays returns delays without samples. percentile is the share of requests, from 0 to 1, that are answered within the delay.
func NewDelays(percentile float64) *Delays {
	return &Delays{percentile: percentile, classes: map[class]*history{}}
}

// Record adds the time of a first attempt of a candidate: to its first event, or to its cancellation because the hedge has won.
func (d *Delays) Record(at time.Duration, c Candidate, latency time.Duration) {
	if !c.IsValid() {
		return
	}
	h := d.classes[c.class]
	if h == nil {
		if h = d.add(at, c.class); h == nil {
			return
		}
	}
	h.advance(at)
	h.add(latency)
	if h.newSamples >= samplesPerUpdate {
		h.update(d.percentile)
	}
}

// add returns the history of a new class, after removing those without samples in all spans. It returns nil if there are too many.
func (d *Delays) add(at time.Duration, c class) *history {
	if len(d.classes) >= maxClasses {
		maps.DeleteFunc(d.classes, func(_ class, h *history) bool { return at-h.spanStart >= spans*spanLength })
	}
	if len(d.classes) >= maxClasses {
		return nil
	}
	h := &history{spanStart: at, window: hdrhistogram.NewWindowed(spans, 1, maxUnits, significantDigits)}
	d.classes[c] = h
	return h
}

// Delay returns the time after its dispatch at which a candidate without an answer is hedged, and zero if there are too few samples
// to tell.
func (d *Delays) Delay(at time.Duration, c Candidate) time.Duration {
	h := d.classes[c.class]
	if !c.IsValid() || h == nil {
		return 0
	}
	if h.advance(at) {
		h.update(d.percentile)
	}
	return h.delay
}

// history holds the times of one class in the latest spans.
type history struct {
	window     *hdrhistogram.WindowedHistogram
	spanStart  time.Duration
	newSamples int
	delay      time.Duration
}

// advance begins the spans up to a time and reports whether there are any.
func (h *history) advance(at time.Duration) bool {
	passed := int((at - h.spanStart) / spanLength)
	if passed <= 0 {
		return false
	}
	h.spanStart += time.Duration(passed) * spanLength
	for range min(passed, spans) {
		h.window.Rotate()
	}
	return true
}

func (h *history) add(latency time.Duration) {
	h.newSamples++
	// A value within the bounds of the histogram can't fail.
	_ = h.window.Current.RecordValue(min(max(int64(latency/unit), 1), maxUnits))
}

// update computes the delay.
func (h *history) update(percentile float64) {
	h.newSamples, h.delay = 0, 0
	all := h.window.Merge()
	if float64(all.TotalCount())*(1-percentile) >= minSamplesBeyond {
		const percent = 100
		h.delay = time.Duration(all.ValueAtQuantile(percentile*percent)) * unit
	}
}
