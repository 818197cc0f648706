package wigeonquarantine

import (
	"time"

	"wigeonshift"
)

const (
	// answerMemory is the time for which an answer counts at least; it counts for at most twice as long.
	answerMemory = 30 * time.Second
	// maxAnswered bounds the fingerprints in each half of an AnswerCounter. With more, answers count for a shorter time.
	maxAnswered = 16384
)

// AnswerCounter counts the successful answers of the last answerMemory by fingerprint. It is not safe for concurrent use.
type AnswerCounter struct {
	// current and previous hold the answers since startedAt and those of the period before it.
	current, previous map[wigeonshift.Fingerprint]answerCount
	startedAt         time.Duration
}

// NewAnswerCounter returns a counter without answers.
func NewAnswerCounter() *AnswerCounter {
	return &AnswerCounter{current: map[wigeonshift.Fingerprint]answerCount{}, previous: map[wigeonshift.Fingerprint]answerCount{}}
}

// answerCount is the number of answers and the time of the latest.
type answerCount struct {
	count    int
	latestAt time.Duration
}

// Add counts an answer to a request with some identifiers at a time on the instance's monotonic clock.
func (a *AnswerCounter) Add(now time.Duration, identifiers []wigeonshift.Fingerprint) {
	if now-a.startedAt > answerMemory || len(a.current) >= maxAnswered {
		a.previous, a.current, a.startedAt = a.current, map[wigeonshift.Fingerprint]answerCount{}, now
	}
	for _, k := range identifiers {
		if k != 0 {
			a.current[k] = answerCount{count: a.current[k].count + 1, latestAt: now}
		}
	}
}

// Count returns the number of answers to requests with an identifier.
func (a *AnswerCounter) Count(f wigeonshift.Fingerprint) int {
	return a.current[f].count + a.previous[f].count
}

// LatestAt returns the time of the latest answer to a request with an identifier, and whether there was one.
func (a *AnswerCounter) LatestAt(f wigeonshift.Fingerprint) (at time.Duration, answered bool) {
	latest := max(a.current[f].latestAt, a.previous[f].latestAt)
	return latest, a.Count(f) > 0
}
