package wigeondispatch

import (
	"math"
	"time"
)

// queue holds the requests of one service that wait for an endpoint, in order of arrival.
type queue struct {
	jobs []*Job
}

func (q *queue) add(j *Job) { q.jobs = append(q.jobs, j) }

// remove takes a request out and reports whether it was there.
func (q *queue) remove(j *Job) bool {
	for i, x := range q.jobs {
		if x == j {
			q.jobs = append(q.jobs[:i], q.jobs[i+1:]...)
			return true
		}
	}
	return false
}

// value is what starting a request now is worth. A higher tier counts more, an answer that will be late counts less.
func value(j *Job, at time.Duration) float64 {
	v := math.Pow(tierShare, float64(j.Tier))
	if !j.onTime(at) {
		v *= lateShare
	}
	return v
}

// ordered returns the waiting requests, most valuable first, equal ones in order of arrival.
func (q *queue) ordered(at time.Duration) []*Job {
	out := make([]*Job, len(q.jobs))
	copy(out, q.jobs)
	// Insertion sort keeps equal ones in order, and the queue is short and nearly sorted.
	for i := 1; i < len(out); i++ {
		for k := i; k > 0 && value(out[k], at) > value(out[k-1], at); k-- {
			out[k], out[k-1] = out[k-1], out[k]
		}
	}
	return out
}

// ahead counts the waiting requests that go before one of a tier.
func (q *queue) ahead(tier int) int {
	n := 0
	for _, j := range q.jobs {
		if int(j.Tier) <= tier {
			n++
		}
	}
	return n
}
