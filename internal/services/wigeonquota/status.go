package wigeonquota

import "time"

// Status is what a quota holds, for the log line of a refused request.
type Status struct {
	// Balance is what is left in the bucket, in units. It can be negative.
	Balance float64
	// Shares are the shares of the quota that apply.
	Shares Shares
	// GroupBalance is what is left of the units that the group may use.
	GroupBalance float64
	// RoundAllowance is what this instance may use in the current round of reports, and RoundAge the time since it began.
	RoundAllowance float64
	RoundAge       time.Duration
	// WindowUsed is what all instances have used in the window, as far as this one knows, in units.
	WindowUsed float64
}

// Status returns what the quota holds since its last refill.
func (q *Quota) Status(at time.Duration) Status {
	return Status{
		Balance: q.balance, Shares: q.Shares, GroupBalance: q.groupBalance,
		RoundAllowance: q.roundAllowance(at), RoundAge: at - q.round.startedAt, WindowUsed: q.usage.total(at),
	}
}

// Balance returns what is left in the bucket at a time, in units. It can be negative.
func (q *Quota) Balance(at time.Duration) float64 {
	q.refill(at)
	return q.balance
}

// Used returns this instance's own use since its start, in units.
func (q *Quota) Used() float64 { return q.used }

// RoundStartedAt returns the time at which the current round of reports began.
func (q *Quota) RoundStartedAt() time.Duration { return q.round.startedAt }

// Limited reports whether the quota has a rate. One without a rate allows everything.
func (q *Quota) Limited() bool { return q.unitsPerSecond > 0 }
