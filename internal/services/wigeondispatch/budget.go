package wigeondispatch

import "time"

// budgetBuckets is the number of buckets that the window of a retry budget is divided into.
const budgetBuckets = 10

// retryBudget limits the number of resends by this instance to a service within a sliding window. A resend sends a
// request to another endpoint after an attempt that gave no answer.
type retryBudget struct {
	window time.Duration
	ratio  float64
	// slackFrom is the time from which slack may be used.
	slackFrom time.Duration
	// bucket is the number of the current bucket, counted from time zero.
	bucket int64
	// requests and resends hold the counts of each bucket.
	requests [budgetBuckets]int
	resends  [budgetBuckets]int
}

// newRetryBudget returns the budget of an instance that started at a time.
func newRetryBudget(s Settings, startedAt time.Duration) *retryBudget {
	return &retryBudget{window: s.RetryWindow, ratio: s.RetryRatio, slackFrom: startedAt + s.RetrySlackDelay}
}

// currentBucket clears the buckets that are older than the window and returns the index of the current one. After a
// pause longer than the window it skips to the last buckets, because each bucket has to be cleared only once.
func (b *retryBudget) currentBucket(at time.Duration) int {
	bucket := int64(at / (b.window / budgetBuckets))
	for b.bucket < bucket {
		b.bucket++
		b.requests[b.bucket%budgetBuckets], b.resends[b.bucket%budgetBuckets] = 0, 0
		if bucket-b.bucket > budgetBuckets {
			b.bucket = bucket - budgetBuckets
		}
	}
	return int(bucket % budgetBuckets)
}

// countRequest counts a new request. The number of allowed resends grows with the number of requests.
func (b *retryBudget) countRequest(at time.Duration) { b.requests[b.currentBucket(at)]++ }

// ResendDecision says whether the retry budget allows a resend, and what the decision was based on.
type ResendDecision struct {
	Allowed bool
	// Resends is the number of earlier resends to the service that count. Limit is the number that is allowed, and Slack the
	// part of it that doesn't depend on the number of requests.
	Resends      int
	Limit, Slack float64
}

// tryResend decides whether a resend is allowed, and counts it if so. The resends in the window are limited to a ratio
// of the requests in it plus slack. slack is this instance's share of the resends that are allowed regardless of the
// number of requests, so that all instances together stay within the limit of the deployment. It doesn't count before
// slackFrom.
func (b *retryBudget) tryResend(at time.Duration, slack float64) ResendDecision {
	if at < b.slackFrom {
		slack = 0
	}
	i := b.currentBucket(at)
	requests, resends := 0, 0
	for k := range b.requests {
		requests += b.requests[k]
		resends += b.resends[k]
	}
	d := ResendDecision{Resends: resends, Limit: b.ratio*float64(requests) + slack, Slack: slack}
	d.Allowed = float64(resends+1) <= d.Limit
	if d.Allowed {
		b.resends[i]++
	}
	return d
}
