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
	current, previous map[wigeonshift.Fingerprint]int
	startedAt         time.Duration
}

// NewAnswerCounter returns a counter without answers.
func NewAnswerCounter() *AnswerCounter {
	return &AnswerCounter{current: map[wigeonshift.Fingerprint]int{}, previous: map[wigeonshift.Fingerprint]int{}}
}

// Add counts an answer to a request at a time on the instance's monotonic clock.
func (a *AnswerCounter) Add(now time.Duration, f wigeonshift.Fingerprint, shared wigeonshift.SharedFingerprints) {
	if now-a.startedAt > answerMemory || len(a.current) >= maxAnswered {
		a.previous, a.current, a.startedAt = a.current, map[wigeonshift.Fingerprint]int{}, now
	}
	for _, k := range [...]wigeonshift.Fingerprint{f, shared.Content, shared.Query, shared.Headers} {
		if k != 0 {
			a.current[k]++
		}
	}
}

// Count returns the number of answers to requests with a fingerprint.
func (a *AnswerCounter) Count(f wigeonshift.Fingerprint) int { return a.current[f] + a.previous[f] }
