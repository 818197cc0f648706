package wigeonwindow

import (
	"slices"
	"time"
)

// RepeatLimit limits how often requests to a service may arrive at its endpoints again, over all instances.
type RepeatLimit struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Ratio is the allowed ratio of repeats to requests, Slack the number of repeats that are allowed in addition.
	Ratio, Slack float64
}

// Record holds the times at which callers sent requests to a service and at which endpoints received repeats, as
// durations since a common start.
type Record struct {
	Requests, Repeats []time.Duration
}

// Count is the number of repeats in one window and the number that is allowed there.
type Count struct {
	Start   time.Duration
	Repeats int
	Limit   float64
}

// Exceeded reports whether the window has more repeats than allowed.
func (c Count) Exceeded() bool { return float64(c.Repeats) > c.Limit }

// use returns the used part of the limit. It is infinite for repeats where none is allowed.
func (c Count) use() float64 {
	if c.Repeats == 0 {
		return 0
	}
	return float64(c.Repeats) / c.Limit
}

// Sort sorts the times. The other methods need sorted times.
func (r Record) Sort() {
	slices.Sort(r.Requests)
	slices.Sort(r.Repeats)
}

// At returns the count of the window that begins at start. The requests of the window, of the one before it or of the one
// half a window before it count, whichever has most.
func (l RepeatLimit) At(r Record, start time.Duration) Count {
	requests := 0
	for _, from := range []time.Duration{start, start - l.Window, start - l.Window/2} {
		requests = max(requests, countBetween(r.Requests, from, from+l.Window))
	}
	return Count{
		Start:   start,
		Repeats: countBetween(r.Repeats, start, start+l.Window),
		Limit:   l.Ratio*float64(requests) + l.Slack,
	}
}

// Worst returns the window that uses the largest part of its limit. It looks at all windows: the counts change only where
// a request or a repeat enters or leaves one of the windows that count.
func (l RepeatLimit) Worst(r Record) Count {
	worst := l.At(r, 0)
	for _, start := range l.changes(r) {
		for _, at := range []time.Duration{start, start + 1} {
			c := l.At(r, at)
			if c.use() > worst.use() {
				worst = c
			}
		}
	}
	return worst
}

// Use returns the mean used part of the limit over the windows that begin and end between from and to.
func (l RepeatLimit) Use(r Record, from, to time.Duration) float64 {
	const step = 100 * time.Millisecond
	sum, n := 0.0, 0
	for start := from; start+l.Window <= to; start += step {
		sum += l.At(r, start).use()
		n++
	}
	return sum / float64(max(n, 1))
}

// changes returns the starts of all windows at which a count changes.
func (l RepeatLimit) changes(r Record) []time.Duration {
	var starts []time.Duration
	for _, at := range r.Repeats {
		starts = append(starts, at-l.Window, at)
	}
	for _, at := range r.Requests {
		starts = append(starts, at-l.Window, at-l.Window/2, at, at+l.Window/2, at+l.Window)
	}
	return starts
}

// countBetween returns the number of sorted times from from up to but not including to.
func countBetween(times []time.Duration, from, to time.Duration) int {
	first, _ := slices.BinarySearch(times, from)
	end, _ := slices.BinarySearch(times, to)
	return end - first
}
