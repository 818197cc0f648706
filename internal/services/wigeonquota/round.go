package wigeonquota

import "time"

const (
	// maxRoundLength is the longest round while all members can be reached, since they report at least every 500 ms.
	maxRoundLength = 600 * time.Millisecond
	// roundRetryDelay is the shortest retry delay of a request that is refused because of the limit of the round.
	roundRetryDelay = 100 * time.Millisecond
)

// quotaRound is what an instance may use by itself in a round of reports. A round begins whenever all members of the group
// have reported since the one before it began, so it is short unless a member is silent.
type quotaRound struct {
	startedAt time.Duration
	// memberBalance is what is left in a bucket of this instance alone, in units. It begins the round with an equal share of the
	// balance and is refilled with an equal share of the rate. The buckets of all members never hold more than the whole, so
	// that each instance can go on with its own while it hears nothing of the others. It can be negative.
	memberBalance float64
	// advance is what the instance may use in addition until maxRoundLength. The reports of a short round settle it.
	advance float64
	// ownUse is this instance's use in the round, which the others may not know of yet.
	ownUse float64
	// groupUsedBefore is the group's use since this instance's start up to the start of the round.
	groupUsedBefore float64
}

// StartRound starts a new round, because all members of the group have reported since the latest one began. The other
// members are assumed to have used as much as this instance in the round before, without being able to report it.
func (q *Quota) StartRound(at time.Duration) {
	q.refill(at)
	if q.balance < q.burstUnits*topUpBalanceShare {
		q.topUp(at)
	}
	unreported := max(q.round.ownUse, 0) * (1/q.MemberShare - 1)
	part := q.MemberShare * max(q.balance-unreported, 0)
	q.round = quotaRound{
		startedAt: at, memberBalance: part, advance: part + q.MemberShare*q.reserveUnits, groupUsedBefore: q.groupUsed,
	}
}

// roundAllowance returns the units that this instance may use in the current round.
func (q *Quota) roundAllowance(at time.Duration) float64 {
	if at-q.round.startedAt >= maxRoundLength {
		return q.round.memberBalance
	}
	return q.round.memberBalance + q.round.advance
}

// exceedsRound reports whether the use of units exceeds what this instance may use in the current round. The first request
// of a round never does, whatever its size.
func (q *Quota) exceedsRound(units float64, at time.Duration) bool {
	if q.MemberShare >= 1 || q.round.ownUse <= 0 {
		return false
	}
	return units > q.roundAllowance(at)
}
