package wigeonrollout

import "time"

const (
	// windowEvents is the number of events over which the pace of a stream is measured. A single pause between two counts little.
	windowEvents = 4
	// overdueFactor is how many times the usual time a running attempt has taken that is overdue. Most that are only slow by chance
	// end before slowFactor.
	overdueFactor = 1.5
)

// Running is an attempt that runs.
type Running struct {
	Attempt *Attempt
	// Elapsed is the time since its start.
	Elapsed time.Duration
	// HasBegun is set once the first event has arrived, and Events is the number of events so far, as far as known.
	HasBegun bool
	Events   int
}

// MeasureRunning judges all attempts that run, as those that have taken too long already are evidence before they end.
func (r *Rollout) MeasureRunning(running []Running) {
	overdue := tallies{}
	r.unobserved = 0
	for _, x := range running {
		part := WholeAnswer
		if !x.HasBegun {
			part = FirstEvent
		}
		r.Measure(x.Attempt, part, x.Elapsed)
		r.measureEvents(x.Attempt, x.Events, x.Elapsed)
		if x.Attempt.OnTarget && !x.Attempt.isJudged && !x.Attempt.isObserved {
			r.unobserved++
		}
		if !x.Attempt.isJudged && r.isOverdue(x.Attempt, part, x.Elapsed) {
			overdue.add(group{x.Attempt.Route, x.Attempt.Stage}, x.Attempt.OnTarget, tally{overdue: 1}, 1)
		}
	}
	r.evidence.setOverdue(overdue)
}

// isOverdue reports whether a part of a running attempt has taken longer than is usual.
func (r *Rollout) isOverdue(a *Attempt, part Part, elapsed time.Duration) bool {
	limit, known := r.pace.limit(a.Route, part)
	return known && a.ratio(part, elapsed) > overdueFactor/slowFactor*limit
}

// measureEvents judges the pace of a stream in the window of events that has just passed, or in the present one if that takes too long.
func (r *Rollout) measureEvents(a *Attempt, events int, elapsed time.Duration) {
	if a.ExpectedEvent <= 0 || events == 0 {
		return
	}
	if a.windowAt == 0 {
		a.windowAt, a.windowFirst = elapsed, events
		return
	}
	n, took := events-a.windowFirst, elapsed-a.windowAt
	perEvent := took / time.Duration(max(n, windowEvents))
	r.Measure(a, Events, perEvent)
	if n >= windowEvents {
		r.observe(a)
		r.Learn(a, Events, perEvent)
		a.windowAt, a.windowFirst = elapsed, events
	}
}

// observe records that the pace of a running attempt is known and usual so far. On another version it counts as an answer from now on,
// so that there is something to compare with before the first long streams have ended. One on the target version isn't good before
// its end.
func (r *Rollout) observe(a *Attempt) {
	a.isObserved = true
	if !a.OnTarget && !a.isCounted {
		a.isCounted = true
		r.evidence.add(a.Route, a.Stage, a.OnTarget, tally{answers: 1})
	}
}
