package wigeonscheduler

import (
	"math"

	"wigeonshift"
)

// Limits on retries of attempts that are proved not to have run.
const (
	// retryRatio is the number of retries that each first attempt adds to the budget.
	retryRatio = 0.1
	// maxSavedRetries is the size of the retry budget.
	maxSavedRetries = 20.0
	// ownerMaxPermits is the maximum number of permits that an owner grants for one request. MaxPermits is the limit at
	// the entry.
	ownerMaxPermits = 4
)

// retryBudget limits retries to a share of first attempts. Its zero value is the full budget of a shard's first owner.
type retryBudget struct {
	usedRetries float64
}

// admitRetry refuses a retry that exceeds the retry budget or ownerMaxPermits. Each first attempt adds a part of a
// retry to the budget, so that retries stay a limited share of first attempts.
func (s *Shard) admitRetry(j *job) *wigeonshift.Refusal {
	b := &s.retries
	if j.request.Attempt == 0 {
		b.usedRetries = math.Max(0, b.usedRetries-retryRatio)
		return nil
	}
	if j.request.Attempt >= ownerMaxPermits || b.usedRetries+1 > maxSavedRetries {
		return s.refusal(wigeonshift.ReasonRetryBudget, s.retryAfter(s.settings.ProbeInterval.Seconds()))
	}
	b.usedRetries++
	s.count("retries", "notRun")
	return nil
}
