package wigeonscheduler

import (
	"math"
	"time"
)

// tokenBurst is the time for which an organisation's unused token rate is saved up.
const tokenBurst = 10 * time.Second

// tokenBucket counts an organisation's tokens against its rate. Its zero value is full.
type tokenBucket struct {
	// debt is what was spent and not yet earned again.
	debt float64
	at   time.Time
}

// settle earns tokens for the time since the last call.
func (b *tokenBucket) settle(now time.Time, rate float64) {
	if !b.at.IsZero() {
		b.debt = math.Max(0, b.debt-rate*now.Sub(b.at).Seconds())
	}
	b.at = now
}

// tokenWait charges a job to its organisation's token rate, or returns the seconds to wait for it.
func (s *Shard) tokenWait(j *job) float64 {
	rate := j.organisation.spec.TokensPerSecond
	if rate <= 0 {
		return 0
	}
	b := &j.organisation.bucket
	b.settle(s.now, rate)
	if b.debt > rate*tokenBurst.Seconds() {
		return b.debt/rate - tokenBurst.Seconds()
	}
	b.debt += j.cost()
	return 0
}

// idle reports whether nothing has to be remembered of an organisation.
func (o *organisation) idle(now time.Time) bool {
	if o.queued > 0 || o.running > 0 || o.permits > 0 {
		return false
	}
	if o.spec.TokensPerSecond <= 0 {
		return true
	}
	o.bucket.settle(now, o.spec.TokensPerSecond)
	return o.bucket.debt == 0
}
