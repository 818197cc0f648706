package wigeonquota

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fullQuota returns a quota with a full bucket of 400 units, refilled by 100 units a second, at the start of a round of four
// members that report to each other.
func fullQuota() *Quota {
	q := New(Limit{unitsPerSecond: 100, burstUnits: 400, reserveUnits: 40}, 0)
	q.SetShares(Shares{Share: 1, GroupFairShare: 1, MemberShare: 0.25}, 0)
	q.balance = 400
	q.StartRound(0)
	return q
}

// consumeAll uses as many single units as the quota allows and returns their number.
func consumeAll(q *Quota, at time.Duration) int {
	n := 0
	for q.TryConsume(1, at) {
		n++
	}
	return n
}

var _ = Describe("Round of reports of a quota", func() {
	It("lets a member use its equal part, as much again and its part of the reserve while the round is short", func() {
		Expect(consumeAll(fullQuota(), 0)).To(Equal(100 + 100 + 10))
	})

	It("lets a member use only its own bucket once a member was silent for too long", func() {
		q := fullQuota()
		Expect(consumeAll(q, maxRoundLength)).To(Equal(100))
		Expect(consumeAll(q, maxRoundLength+2*time.Second)).To(Equal(50), "an equal part of the rate")
		Expect(consumeAll(q, maxRoundLength+time.Hour)).To(Equal(100), "the bucket has a cap")
	})

	It("takes what was used in a short round from the bucket when the round gets long", func() {
		q := fullQuota()
		consumeAll(q, 0)
		q.refill(maxRoundLength)
		Expect(q.roundAllowance(maxRoundLength)).To(BeNumerically("~", 100-210+15, 0.01))
	})

	It("assumes that the others used as much in the round before without reporting it", func() {
		q := fullQuota()
		Expect(q.TryConsume(40, 0)).To(BeTrue())
		q.StartRound(0)
		Expect(q.round.memberBalance).To(BeNumerically("~", (400-40-3*40)/4, 0.01))
	})

	It("allows the first request of a round whatever its size", func() {
		q := fullQuota()
		Expect(q.TryConsume(300, maxRoundLength)).To(BeTrue())
		Expect(q.TryConsume(1, maxRoundLength)).To(BeFalse())
	})

	It("leaves a lost member its bucket and takes from the others what the group has used", func() {
		q := fullQuota()
		q.HandlePeerReport("b", 0, 0, true)
		q.HandlePeerReport("b", 50, 0, true)
		Expect(q.TryConsume(10, 0)).To(BeTrue())
		q.SetShares(Shares{Share: 0.75, GroupFairShare: 1, MemberShare: 1. / 3}, 0)
		Expect(q.balance).To(BeNumerically("~", 3*100-60, 0.01))
	})

	It("gives back the units of a request that didn't run", func() {
		q := fullQuota()
		Expect(q.TryConsume(100, maxRoundLength)).To(BeTrue())
		q.Refund(100, maxRoundLength)
		Expect(q.roundAllowance(maxRoundLength)).To(BeNumerically("~", 100, 0.01))
	})

	It("tells when the own bucket is refilled, at most the length of a round later", func() {
		q := fullQuota()
		consumeAll(q, maxRoundLength)
		Expect(q.WaitFor(1, maxRoundLength)).To(Equal(roundRetryDelay))
		Expect(q.WaitFor(10, maxRoundLength)).To(Equal(400 * time.Millisecond))
		Expect(q.WaitFor(100, maxRoundLength)).To(Equal(maxRoundLength))
	})
})

// BenchmarkQuotaRounds starts a round of the quotas of 48,000 organisations, each with the use of seven other members.
func BenchmarkQuotaRounds(b *testing.B) {
	quotas := make([]*Quota, 48_000)
	for i := range quotas {
		quotas[i] = fullQuota()
		for _, peer := range []string{"b", "c", "d", "e", "f", "g", "h"} {
			quotas[i].HandlePeerReport(peer, 0, 0, true)
		}
	}
	at := time.Duration(0)
	for b.Loop() {
		at += maxRoundLength
		for _, q := range quotas {
			q.StartRound(at)
		}
	}
}
