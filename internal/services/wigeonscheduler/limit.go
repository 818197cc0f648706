package wigeonscheduler

import (
	"math"
	"time"
)

// tokenBurstWindow is the time for which an organisation's unused token rate accumulates.
const tokenBurstWindow = 10 * time.Second

// tokenBucket limits the token rate of an organisation. Its zero value is full.
type tokenBucket struct {
	// debtTokens is the number of tokens used and not yet refilled.
	debtTokens float64
	refilledAt time.Time
}

// refill adds the tokens for the time since the last call.
func (b *tokenBucket) refill(now time.Time, rate float64) {
	if !b.refilledAt.IsZero() {
		b.debtTokens = math.Max(0, b.debtTokens-rate*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
}

// chargeTokens charges a job to its organisation's token rate. If the rate is exceeded beyond the burst that
// tokenBurstWindow allows, it charges nothing and returns the seconds to wait.
func (s *Shard) chargeTokens(j *job) float64 {
	rate := j.organisation.spec.TokensPerSecond
	if rate <= 0 {
		return 0
	}
	b := &j.organisation.bucket
	b.refill(s.now, rate)
	if b.debtTokens > rate*tokenBurstWindow.Seconds() {
		return b.debtTokens/rate - tokenBurstWindow.Seconds()
	}
	b.debtTokens += j.cost()
	return 0
}

// idle reports whether the organisation has no jobs left and its token bucket is full or unused, so that its record can
// be deleted without losing a debt of tokens.
func (o *organisation) idle(now time.Time) bool {
	if o.queued > 0 || o.running > 0 || o.permits > 0 {
		return false
	}
	if o.spec.TokensPerSecond <= 0 {
		return true
	}
	o.bucket.refill(now, o.spec.TokensPerSecond)
	return o.bucket.debtTokens == 0
}
