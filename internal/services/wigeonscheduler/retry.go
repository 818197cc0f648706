package wigeonscheduler

import (
	"math"

	"wigeonshift"
)

// Bounds on retries of attempts that proved not to have run.
const (
	// retryShare is the number of retries that each first attempt pays for.
	retryShare = 0.1
	// retryBurst bounds the saved retries.
	retryBurst = 20.0
	// maxAttempts bounds the permits of one request.
	maxAttempts = 4
)

// retryBudget bounds retries to a share of first attempts. Its zero value starts full.
type retryBudget struct {
	spent float64
}

// admitRetry refuses a retry over the budget.
func (s *Shard) admitRetry(j *job) *wigeonshift.Refusal {
	b := &s.retries
	if j.request.Attempt == 0 {
		b.spent = math.Max(0, b.spent-retryShare)
		return nil
	}
	if j.request.Attempt >= maxAttempts || b.spent+1 > retryBurst {
		return s.refusal(wigeonshift.ReasonRetryBudget, s.advise(s.settings.ProbeInterval.Seconds()))
	}
	b.spent++
	s.count("retries", "notRun")
	return nil
}
