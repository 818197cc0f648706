package wigeonquota

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestQuota(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonquota")
}

var _ = Describe("Quota in a large fleet", func() {
	limited := Limit{unitsPerSecond: 100, burstUnits: 100}

	It("assumes that the use of other instances continues between their reports", func() {
		q := New(limited, 0)
		q.balance = 100
		q.HandlePeerReport("far", 0, 0, false)
		q.HandlePeerReport("far", 160, 2*time.Second, false)
		q.refill(4 * time.Second)
		Expect(q.balance).To(BeNumerically("~", -20, 1), "-60, plus 100 refilled and less 80 used by the other instance per second")
		q.HandlePeerReport("far", 160, 4*time.Second, false)
		Expect(q.balance).To(BeNumerically("~", 100, 1), "the other instance has used nothing since")
	})

	It("counts the use in reports at short intervals only once", func() {
		q := New(limited, 0)
		q.balance = 100
		q.HandlePeerReport("near", 0, 0, true)
		for i := range 20 {
			q.HandlePeerReport("near", float64(5*(i+1)), time.Duration(i+1)*50*time.Millisecond, true)
		}
		Expect(q.balance).To(BeNumerically("~", 100, 6), "100 used and 100 refilled")
	})

	It("lets a group use a few times its fair share before it receives reports of the others", func() {
		q := New(Limit{unitsPerSecond: 1000, burstUnits: 1000}, 0)
		q.SetShares(Shares{Share: 1, GroupFairShare: 0.05 / groupShareFactor, MemberShare: 1}, 0)
		q.balance, q.groupBalance = 1000, 15
		granted := 0
		for i := range 1000 {
			if q.TryConsume(10, time.Duration(i)*10*time.Millisecond) {
				granted++
			}
		}
		Expect(granted).To(BeNumerically("~", 52, 2), "50 units per second over 10 s, and 15 at the start")
	})

	It("returns the time until a group that has used its share may use more", func() {
		q := New(Limit{unitsPerSecond: 1000, burstUnits: 1000}, 0)
		q.SetShares(Shares{Share: 1, GroupFairShare: 0.05 / groupShareFactor, MemberShare: 1}, 0)
		q.balance, q.groupBalance = 1000, 15
		Expect(q.TryConsume(40, 0)).To(BeTrue())
		Expect(q.TryConsume(10, 0)).To(BeFalse())
		Expect(q.WaitFor(10, 0)).To(BeNumerically("~", 500*time.Millisecond, time.Millisecond), "25 units at 50 units per second")
	})
})
