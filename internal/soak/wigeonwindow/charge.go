package wigeonwindow

import (
	"slices"
	"time"
)

// Charge is a request that counts for a quota.
type Charge struct {
	// Sent is the time at which the caller sent the request, Arrived that of its arrival at the endpoint that ran it.
	Sent, Arrived time.Duration
}

// MostCharges returns the largest number of requests that were both sent and arrived in a window of the given length, and the
// time at which that window begins.
func MostCharges(charges []Charge, window time.Duration) (most int, start time.Duration) {
	charges = slices.Clone(charges)
	slices.SortFunc(charges, func(a, b Charge) int { return int(a.Sent - b.Sent) })
	for i, first := range charges {
		if n := countUntil(charges[i:], first.Sent+window); n > most {
			most, start = n, first.Sent
		}
	}
	return most, start
}

// countUntil returns the number of requests that were both sent and arrived before end. The requests are sorted by the time at
// which they were sent.
func countUntil(charges []Charge, end time.Duration) int {
	n := 0
	for _, c := range charges {
		if c.Sent >= end {
			break
		}
		if c.Arrived < end {
			n++
		}
	}
	return n
}
