package wigeonrollout

import (
	"time"

	"wigeonshift"
)

const (
	// slowFactor is how many times the usual ratio of the other versions the ratio of a slow answer is.
	slowFactor = 3
	// minPaceSamples is the number of answers from which the usual ratio is known.
	minPaceSamples = 4
	// maxPaceSamples is the number of answers over which the usual ratio is averaged.
	maxPaceSamples = 32
)

// Part is what the time of an answer was measured to.
type Part int

// Parts of an answer. Events are windowEvents events of a stream after the first.
const (
	FirstEvent Part = iota
	WholeAnswer
	Events
)

// usual is the mean ratio of measured to expected times on the other versions.
type usual struct {
	ratio   float64
	samples int
}

// paceKey is a route, or allRoutes, and a part of the answer.
type paceKey struct {
	route string
	part  Part
}

// pace holds the usual ratios.
type pace map[paceKey]*usual

// add adds an answer of another version than the target.
func (p pace) add(key paceKey, ratio float64) {
	u := p[key]
	if u == nil {
		u = &usual{}
		p[key] = u
	}
	u.samples = min(u.samples+1, maxPaceSamples)
	u.ratio += (ratio - u.ratio) / float64(u.samples)
}

// limit returns the ratio from which an answer is slow, and false if it isn't known yet.
func (p pace) limit(route string, part Part) (float64, bool) {
	for _, key := range [...]paceKey{{route, part}, {allRoutes, part}} {
		if u := p[key]; u != nil && u.samples >= minPaceSamples {
			return slowFactor * u.ratio, true
		}
	}
	return 0, false
}

// Attempt is a request on an endpoint, as the rollout sees it.
type Attempt struct {
	Route    string
	OnTarget bool
	// Stage is the stage in which it was sent.
	Stage wigeonshift.RolloutStage
	// ExpectedFirst and Expected are the times to the first event and to the end that its size lets expect of any version.
	ExpectedFirst, Expected time.Duration
	// IsExcused is set if the request has failed on another version before, so that a failure isn't the target version's fault.
	IsExcused bool
	// ExpectedEvent is the time between two events that lets expect the same; zero if the answer is no stream of events.
	ExpectedEvent time.Duration
	// isObserved is set once the pace is known, isCounted once the attempt counts as an answer, and isJudged once it was found to be slow
	// or has ended.
	isObserved, isCounted, isJudged bool
	// windowAt is the time since the attempt's start at which the present window of events began, windowFirst the number of events
	// before it; zero until the first.
	windowAt    time.Duration
	windowFirst int
}

// Outcome is how an attempt ended for a rollout.
type Outcome int

// Outcomes of attempts.
const (
	Succeeded Outcome = iota
	Failed
	Lost
	// Ended means that the attempt says nothing of the version, unless it was slow until then.
	Ended
)

// Measure judges the time of a part of a running attempt. It counts the attempt if it is slow already.
func (r *Rollout) Measure(a *Attempt, part Part, elapsed time.Duration) {
	if !a.isJudged && r.isSlow(a, part, elapsed) {
		r.count(a, tally{answers: 1, slow: 1})
	}
}

// isSlow reports whether a part of an attempt has taken too long.
func (r *Rollout) isSlow(a *Attempt, part Part, elapsed time.Duration) bool {
	limit, known := r.pace.limit(a.Route, part)
	return known && a.ratio(part, elapsed) > limit
}

// ratio returns the measured time relative to the expected one.
func (a *Attempt) ratio(part Part, elapsed time.Duration) float64 {
	expected, least := a.Expected, time.Millisecond
	switch part {
	case FirstEvent:
		expected = a.ExpectedFirst
	case Events:
		expected, least = a.ExpectedEvent, 0
	}
	return float64(elapsed) / float64(max(expected, least, 1))
}

// Learn adds the time of a part of an answer of another version to what is usual.
func (r *Rollout) Learn(a *Attempt, part Part, elapsed time.Duration) {
	if a.OnTarget {
		return
	}
	ratio := a.ratio(part, elapsed)
	r.pace.add(paceKey{a.Route, part}, ratio)
	r.pace.add(paceKey{allRoutes, part}, ratio)
}

// End counts an attempt that has ended.
func (r *Rollout) End(a *Attempt, outcome Outcome, elapsed time.Duration) {
	if !a.OnTarget {
		r.longestRun = max(r.longestRun, elapsed)
	}
	if !a.isJudged {
		r.judge(a, outcome, elapsed)
	}
	if outcome == Succeeded {
		r.Learn(a, WholeAnswer, elapsed)
	}
}

// judge counts an attempt that wasn't slow before its end.
func (r *Rollout) judge(a *Attempt, outcome Outcome, elapsed time.Duration) {
	switch {
	case a.IsExcused && outcome != Succeeded:
	case outcome == Failed:
		r.count(a, tally{answers: 1, failed: 1})
	case outcome == Lost:
		r.count(a, tally{lost: 1})
	case r.isSlow(a, WholeAnswer, elapsed):
		r.count(a, tally{answers: 1, slow: 1})
	case outcome == Succeeded:
		r.count(a, tally{answers: 1})
	}
}

func (r *Rollout) count(a *Attempt, t tally) {
	a.isJudged = true
	if a.isCounted {
		t.answers = 0
	}
	a.isCounted = a.isCounted || t.answers > 0
	r.evidence.add(a.Route, a.Stage, a.OnTarget, t)
}
