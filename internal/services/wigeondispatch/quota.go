package wigeondispatch

import (
	"time"

	"wigeonshift"
)

// quota is an organisation's allowance as a token bucket over all instances.
type quota struct {
	limit
	// level is what is left of the bucket.
	level float64
	// filledAt is the time of the last refill.
	filledAt time.Duration
	// share is the part of the quota that the instances in contact with this one may use, from 0 to 1.
	share float64
	// used is the sum of this instance's own use since its start.
	used float64
	// peers holds the last known use of the other instances.
	peers map[string]float64
}

func newQuota(l limit, at time.Duration) *quota {
	return &quota{limit: l, level: l.burst, filledAt: at, share: 1, peers: map[string]float64{}}
}

// limit is a rate in units a second and a burst in units.
type limit struct {
	rate, burst float64
}

// limitOf returns an organisation's limit with the part of the tolerance that is granted.
func (s Settings) limitOf(o wigeonshift.RoutedOrganisation) limit {
	factor := 1 + s.QuotaOverage*overageShare
	l := limit{rate: o.UnitsPerSecond * factor, burst: o.Burst * factor}
	if o.CountsTokens {
		l.burst += s.QuotaSlack * slackShare
	}
	return l
}

// update takes a new limit over; what was used stays used.
func (q *quota) update(l limit, at time.Duration) {
	q.refill(at)
	q.limit = l
	q.level = min(q.level, q.burst)
}

func (q *quota) refill(at time.Duration) {
	if at > q.filledAt {
		q.level = min(q.burst*q.share, q.level+q.rate*q.share*(at-q.filledAt).Seconds())
		q.filledAt = at
	}
}

// take books units and reports whether the quota allows them.
func (q *quota) take(units float64, at time.Duration) bool {
	if q.rate <= 0 {
		q.used += units
		return true
	}
	q.refill(at)
	if q.level < units {
		return false
	}
	q.level -= units
	q.used += units
	return true
}

// giveBack returns the units of a request that was refused.
func (q *quota) giveBack(units float64, at time.Duration) {
	q.refill(at)
	q.level = min(q.burst, q.level+units)
	q.used -= units
}

// report takes the use of another instance since its start.
func (q *quota) report(peer string, used float64, at time.Duration) {
	q.refill(at)
	before, known := q.peers[peer]
	q.peers[peer] = used
	if known && q.rate > 0 {
		q.level = min(q.burst, q.level-(used-before))
	}
}

// setShare sets the part of the quota that the instances in contact may use.
func (q *quota) setShare(share float64, at time.Duration) {
	q.refill(at)
	q.share = share
}

// forget drops the figures of an instance that is no longer heard of. Its use meanwhile comes from its own share.
func (q *quota) forget(peer string) { delete(q.peers, peer) }

// waitFor is the time until units are there.
func (q *quota) waitFor(units float64) time.Duration {
	if q.rate <= 0 || q.level >= units {
		return 0
	}
	return time.Duration((units - q.level) / q.rate * float64(time.Second))
}
