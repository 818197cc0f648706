// Package wigeonquota estimates what is left of an organisation's quota over all instances. A quota reads no clock and does no
// I/O: its caller passes the time since the instance's start.
package wigeonquota

import (
	"math"
	"time"

	"wigeonshift"
)

// Quota limits an organisation's use over all instances by a token bucket. Each instance keeps its own estimate of the
// bucket from its own use and the reports of the others.
type Quota struct {
	Limit
	Shares
	// balance is what is left in the bucket, in units. It can be negative.
	balance float64
	// refilledAt is the time of the last refill.
	refilledAt time.Duration
	// predictedAt is the time up to which the use of the other instances is subtracted from the balance, as predicted.
	predictedAt time.Duration
	// used is this instance's own use since its start, in units.
	used float64
	// peers holds the use of the other instances by their latest reports.
	peers map[string]*peerUse
	// groupBalance is what is left of the units that the group may use.
	groupBalance float64
	// scarceUntil is the time until which the group's share is reduced after a refusal, because the quota is assumed to be
	// used up by all groups.
	scarceUntil time.Duration
	// groupUsed is the group's use since this instance's start, in units. groupUnitsPerSecond is its recent rate.
	groupUsed, groupUnitsPerSecond float64
	// round is the current round of reports.
	round quotaRound
	// awaitingBalance is set until this instance, after its start, has taken over the balance of the other instances.
	awaitingBalance bool
	// firstReportAt is the time of the first balance that another instance reported, lowestReportedBalance the lowest one
	// since. Both are valid only while awaitingBalance and balanceReported are set.
	balanceReported       bool
	firstReportAt         time.Duration
	lowestReportedBalance float64
	// usage counts the use of all instances in the window.
	usage windowUsage
	// completeSince is the time since which the use of all instances is known.
	completeSince time.Duration
	// toppedUpAt is the time of the latest topUp.
	toppedUpAt time.Duration
}

// peerUse is another instance's use of a quota. Its rate is computed from a base report and a later one.
type peerUse struct {
	// used is its use at the base report, and at the time of that report. latestUsed is its use at the latest report. The
	// base report is the first one or the latest that gave a rate.
	used, latestUsed float64
	at               time.Duration
	// unitsPerSecond is its latest rate of use. groupUnitsPerSecond is the rate of this instance's group over the same time,
	// or zero if the other instance is a member of the group.
	unitsPerSecond, groupUnitsPerSecond float64
	// groupUsed is the use of this instance's group at the base report.
	groupUsed float64
	// predicted is the part of its use since the base report that is already subtracted from the balance.
	predicted float64
}

const (
	// predictionHorizon is how long the use of another instance is assumed to continue at its latest rate without a report.
	predictionHorizon = 4 * time.Second
	// predictionStep is the shortest time between two predictions, each of which looks at all other instances.
	predictionStep = 50 * time.Millisecond
	// minRateInterval is the minimum time between two reports from which a rate is computed.
	minRateInterval = 100 * time.Millisecond
	// A group of a large fleet may use groupShareFactor times its fair share. For scarceDuration after a refusal, it may use
	// only scarceShareFactor times its fair share, because all groups would use what is left at the same time.
	groupShareFactor  = 4
	scarceShareFactor = 1.5
	scarceDuration    = 4 * time.Second
	// groupBurstShare is the share of the burst that the groups may use at once. The part of each group in it is limited by
	// the same factors.
	groupBurstShare = 0.3
	// groupRateTimeConstant is the time constant of the exponential average of the group's rate of use.
	groupRateTimeConstant = 500 * time.Millisecond
	// maxSurgeFactor limits the factor by which the predicted use of another instance exceeds its reported rate, if the use
	// of this instance's group has grown since.
	maxSurgeFactor = 10
	// balanceReportWindow is how long an instance that has just started collects the balances that the others report before
	// it takes over the lowest one.
	balanceReportWindow = 200 * time.Millisecond
	// grantedOverageShare and grantedSlackShare are the shares of Overage and Slack that are granted. The rest covers what
	// instances grant before they receive each other's reports.
	grantedOverageShare = 0.6
	grantedSlackShare   = 0.4
)

// New returns a quota with an empty bucket, because an instance that has just started doesn't know what was used
// before.
func New(l Limit, at time.Duration) *Quota {
	whole := Shares{Share: 1, GroupFairShare: 1, MemberShare: 1}
	return &Quota{Limit: l, refilledAt: at, predictedAt: at, Shares: whole, round: quotaRound{startedAt: at}, awaitingBalance: true,
		peers: map[string]*peerUse{}, usage: windowUsage{slotLength: l.window / usageSlots}, completeSince: at, toppedUpAt: at}
}

// Limit is the rate and the burst of a token bucket.
type Limit struct {
	unitsPerSecond, burstUnits float64
	// reserveUnits is the part of the tolerance that isn't granted. It covers what the members of a group use before they
	// receive each other's reports.
	reserveUnits float64
	// windowUnits is the organisation's own limit in a window, without any tolerance. Both are zero if the window isn't known.
	windowUnits float64
	window      time.Duration
}

// Tolerance is the amount by which use may exceed a quota.
type Tolerance struct {
	// Overage is the share by which an organisation's use may exceed its quota in a window.
	Overage float64
	// Slack is the number of units by which the use may exceed the quota in addition.
	Slack float64
	// Window is the length of the window in which use is limited; zero if there is none.
	Window time.Duration
}

// LimitOf returns an organisation's limit, increased by the granted share of the tolerance. The rest of the tolerance
// covers what instances grant before they receive each other's reports.
func (t Tolerance) LimitOf(o wigeonshift.RoutedOrganisation) Limit {
	factor := 1 + t.Overage*grantedOverageShare
	l := Limit{unitsPerSecond: o.UnitsPerSecond * factor, burstUnits: o.Burst * factor}
	l.reserveUnits = o.Burst * t.Overage * (1 - grantedOverageShare)
	l.window = t.Window
	l.windowUnits = o.UnitsPerSecond*t.Window.Seconds() + o.Burst
	if o.CountsTokens {
		l.reserveUnits += t.Slack * (1 - grantedSlackShare)
		l.burstUnits += t.Slack * grantedSlackShare
	}
	return l
}

// SetLimit replaces the limit. The use so far still counts.
func (q *Quota) SetLimit(l Limit, at time.Duration) {
	q.refill(at)
	q.Limit = l
	q.balance = min(q.balance, q.burstUnits)
}

// refill adds the units for the time since the last refill and subtracts the predicted use of the other instances,
// which will report it only later. It also refills what this instance's group may use, and lets the average of the
// group's rate of use decay.
func (q *Quota) refill(at time.Duration) {
	if at > q.refilledAt {
		seconds := (at - q.refilledAt).Seconds()
		if at-q.predictedAt >= predictionStep {
			q.recordUse(q.predictPeerUse(at), at)
		}
		q.balance = min(q.burstUnits*q.Share, q.balance+q.unitsPerSecond*q.Share*seconds)
		equal := q.Share * q.MemberShare
		q.round.memberBalance = min(q.burstUnits*equal, q.round.memberBalance+q.unitsPerSecond*equal*seconds)
		share := q.currentGroupShare(at)
		q.groupBalance = min(groupBurstShare*q.burstUnits*share, q.groupBalance+q.unitsPerSecond*share*seconds)
		q.groupUnitsPerSecond *= math.Exp(-seconds / groupRateTimeConstant.Seconds())
		q.refilledAt = at
	}
}

// predictPeerUse returns the units that the other instances are expected to have used since the last prediction, by their
// latest reports, so that the quota isn't exceeded between reports. The use of other groups is assumed to grow with
// that of this instance's group, because a surge of an organisation's requests arrives at all instances.
func (q *Quota) predictPeerUse(at time.Duration) float64 {
	sum := 0.0
	for _, p := range q.peers {
		from, to := max(q.predictedAt, p.at), min(at, p.at+predictionHorizon)
		if to <= from || p.unitsPerSecond <= 0 {
			continue
		}
		use := p.unitsPerSecond * q.surgeFactor(p) * (to - from).Seconds()
		sum += use
		p.predicted += use
	}
	q.predictedAt = at
	return sum
}

// surgeFactor returns the factor from 1 to maxSurgeFactor by which the predicted use of another instance exceeds its
// latest known rate. It is the current rate of use of this instance's group divided by the group's rate when the other
// instance's rate was computed: a surge of an organisation's requests arrives at all instances, but shows in the
// reports of other groups only later. For a member of the group, or if the group used nothing at that time, it is 1.
func (q *Quota) surgeFactor(p *peerUse) float64 {
	if p.groupUnitsPerSecond <= 0 {
		return 1
	}
	return min(max(q.groupUnitsPerSecond/p.groupUnitsPerSecond, 1), maxSurgeFactor)
}

// recordGroupUse records units that an instance of the group has used. A refund is a negative number.
func (q *Quota) recordGroupUse(units float64) {
	q.groupBalance -= units
	q.groupUsed += units
	q.groupUnitsPerSecond += units / groupRateTimeConstant.Seconds()
}

// TryConsume reports whether the quota allows the use of units, and consumes them if so. A quota without a rate allows
// everything. In a large fleet the group must not have used up its share either, which limits what the groups grant
// before they receive each other's reports. If the balance is too low, the share is reduced for a while, because all
// groups would use what is left at the same time.
func (q *Quota) TryConsume(units float64, at time.Duration) bool {
	if q.unitsPerSecond <= 0 {
		q.used += units
		return true
	}
	q.refill(at)
	if q.balance < units {
		q.topUp(at)
	}
	if q.balance < units {
		q.scarceUntil = at + scarceDuration
		return false
	}
	if q.GroupFairShare < 1 && q.groupBalance <= 0 || q.exceedsRound(units, at) {
		return false
	}
	q.recordUse(units, at)
	q.used += units
	q.round.ownUse += units
	q.round.memberBalance -= units
	q.recordGroupUse(units)
	return true
}

// Refund returns the units of a request that didn't run, so that the organisation isn't charged for it.
func (q *Quota) Refund(units float64, at time.Duration) {
	q.refill(at)
	q.recordUse(-units, at)
	q.balance = min(q.burstUnits, q.balance)
	q.used -= units
	q.round.ownUse -= units
	q.round.memberBalance += units
	q.recordGroupUse(-units)
}

// HandlePeerReport records the use of another instance since its start. It replaces the use predicted since the base
// report (the report that a rate is computed from) by the reported one, so that nothing is subtracted twice. The first
// report only sets the base, because a rate needs two. sameGroup is set for instances of the same group.
func (q *Quota) HandlePeerReport(peer string, used float64, at time.Duration, sameGroup bool) {
	q.refill(at)
	p := q.peers[peer]
	if p == nil {
		q.peers[peer] = &peerUse{used: used, latestUsed: used, at: at, groupUsed: q.groupUsed}
		return
	}
	if q.unitsPerSecond > 0 {
		q.recordUse(used-p.used-p.predicted, at)
		q.balance = min(q.burstUnits, q.balance)
	}
	if sameGroup {
		q.recordGroupUse(used - p.latestUsed)
	}
	p.latestUsed = used
	seconds := (at - p.at).Seconds()
	if seconds < minRateInterval.Seconds() {
		// The time since the base report is too short for a rate, so the next report is compared with the same base.
		p.predicted = used - p.used
		return
	}
	p.unitsPerSecond = max(used-p.used, 0) / seconds
	p.groupUnitsPerSecond = 0
	if !sameGroup {
		p.groupUnitsPerSecond = max(q.groupUsed-p.groupUsed, 0) / seconds
	}
	p.used, p.at, p.predicted, p.groupUsed = used, at, 0, q.groupUsed
}

// AdoptPeerBalance records a balance that another instance reported. An instance that has just started takes over the
// lowest reported one. This never grants more than is left, because every instance starts with an empty bucket or with
// another instance's balance.
func (q *Quota) AdoptPeerBalance(balance float64, at time.Duration) {
	if !q.awaitingBalance {
		return
	}
	if !q.balanceReported {
		q.balanceReported, q.firstReportAt, q.lowestReportedBalance = true, at, balance
	}
	q.lowestReportedBalance = min(q.lowestReportedBalance, balance)
	if at-q.firstReportAt < balanceReportWindow {
		return
	}
	q.awaitingBalance = false
	q.refill(at)
	q.balance = max(q.balance, min(q.lowestReportedBalance, q.burstUnits*q.Share))
}

// Shares are the shares of all quotas, from 0 to 1, that an instance and others may use.
type Shares struct {
	// Share is the share that this instance and those that report to it may use together.
	Share float64
	// GroupFairShare is the equal share of this instance's group (the instances that report every change to each
	// other). It is 1 if all instances form one group. A group may use a few times its share, which limits what a large
	// fleet grants before its groups have received each other's reports.
	GroupFairShare float64
	// MemberShare is the equal share of each member of the group in what the group may use.
	MemberShare float64
}

// SetShares sets the shares. If the share shrinks, the instances that are no longer in contact keep their own buckets of the
// round, and what the group has used since its start comes from those of the others.
func (q *Quota) SetShares(s Shares, at time.Duration) {
	q.refill(at)
	if s.Share < 1 || q.Share < 1 {
		q.completeSince = at
	}
	if s.Share < q.Share {
		groupUse := q.groupUsed - q.round.groupUsedBefore
		q.balance = min(q.balance, (q.round.memberBalance+q.round.ownUse)/s.MemberShare-groupUse)
	}
	q.Shares = s
}

// currentGroupShare returns the share of the quota that the group may currently use. It is a multiple of the group's
// fair share, and a smaller one for a while after a refusal, because all groups would use what is left at the same
// time.
func (q *Quota) currentGroupShare(at time.Duration) float64 {
	if at < q.scarceUntil {
		return min(q.GroupFairShare*scarceShareFactor, 1)
	}
	return min(q.GroupFairShare*groupShareFactor, 1)
}

// RemovePeer removes an instance that no longer reports. What it uses in the meantime comes from its own share of the
// quota.
func (q *Quota) RemovePeer(peer string) { delete(q.peers, peer) }

// WaitFor returns the time until the units are available if no other requests use any. It is the retry delay of a
// request that is refused because of its quota. In a large fleet the group's share must be refilled too.
func (q *Quota) WaitFor(units float64, at time.Duration) time.Duration {
	wait := refillTime(units-q.balance, q.unitsPerSecond)
	if q.exceedsRound(units, at) {
		refilled := refillTime(units-q.roundAllowance(at), q.unitsPerSecond*q.Share*q.MemberShare)
		wait = max(wait, min(max(refilled, roundRetryDelay), maxRoundLength))
	}
	if q.GroupFairShare < 1 {
		wait = max(wait, refillTime(-q.groupBalance, q.unitsPerSecond*q.currentGroupShare(at)))
	}
	return wait
}

// refillTime returns the time in which units are refilled at a rate in units per second.
func refillTime(units, unitsPerSecond float64) time.Duration {
	if units <= 0 || unitsPerSecond <= 0 {
		return 0
	}
	return time.Duration(units / unitsPerSecond * float64(time.Second))
}
