package wigeonshare

import (
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	testDuration = 6 * time.Minute
	testCooldown = 10500 * time.Millisecond
	// maxRowBytes is the size of a row that the users' store accepts.
	maxRowBytes = 64 << 10
)

// renewalAt returns a renewal of a holder at a time on the store's clock.
func renewalAt(holder string, nowMillis int64) renewal {
	return renewal{holder: holder, nowMillis: nowMillis, latestNowMillis: nowMillis + 5, duration: testDuration, cooldown: testCooldown}
}

var _ = Describe("Ledger", func() {
	It("gives new holders what the others give up, after the cooldown", func() {
		l, parts := Ledger{}.renew(renewalAt("a", 1000))
		Expect(parts).To(Equal(WholeParts), "the only holder")
		l, parts = l.renew(renewalAt("b", 2000))
		Expect(parts).To(BeZero(), "nothing is free")
		Expect(l.nextFreeMillis(2000, testCooldown)).To(BeZero())
		l, parts = l.renew(renewalAt("a", 3000))
		Expect(parts).To(Equal(WholeParts / 2))
		free := l.nextFreeMillis(3000, testCooldown)
		Expect(free).To(Equal(3005 + testCooldown.Milliseconds()))
		_, parts = l.renew(renewalAt("b", free-1))
		Expect(parts).To(BeZero(), "what the other holder did still counts")
		l, parts = l.renew(renewalAt("b", free))
		Expect(parts).To(Equal(WholeParts / 2))
		Expect(l.usedParts()).To(Equal(WholeParts))
	})

	It("frees the lease of a holder that is gone after its end and the cooldown", func() {
		l, _ := Ledger{}.renew(renewalAt("a", 1000))
		end := 1005 + testDuration.Milliseconds()
		_, parts := l.renew(renewalAt("b", end+testCooldown.Milliseconds()-1))
		Expect(parts).To(BeZero())
		_, parts = l.renew(renewalAt("b", end+testCooldown.Milliseconds()))
		Expect(parts).To(Equal(WholeParts))
	})

	It("lets nobody take more while the store may have lost leases", func() {
		l := Ledger{GrowFromMillis: 5000}
		held := renewalAt("a", 4000)
		held.heldParts = 300_000
		l, parts := l.renew(held)
		Expect(parts).To(Equal(300_000), "the holder enters what it still uses")
		_, parts = l.renew(renewalAt("b", 4000))
		Expect(parts).To(BeZero())
		_, parts = l.renew(renewalAt("b", 5000))
		Expect(parts).To(Equal(WholeParts / 2))
	})

	It("keeps no lease of a holder that gives it up", func() {
		l, _ := Ledger{}.renew(renewalAt("a", 1000))
		release := renewalAt("a", 2000)
		release.release = true
		l, parts := l.renew(release)
		Expect(parts).To(BeZero())
		Expect(l.Leases).To(ConsistOf(Lease{Parts: WholeParts, EndsAtMillis: 2005}))
	})

	It("is decoded as it was encoded", func() {
		l := Ledger{Era: 3, GrowFromMillis: 4, Leases: []Lease{{"a", 1, 2}, {"", 5, 6}}}
		value, err := l.encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(decodeLedger(value)).To(Equal(l))
	})

	DescribeTable("refuses rows of other writers", func(value string) {
		_, err := decodeLedger([]byte(value))
		Expect(errors.Is(err, ErrMalformed)).To(BeTrue(), "%v", err)
	},
		Entry("no JSON", "x"), Entry("another type", `{"holders":1}`), Entry("columns of different lengths", `{"holders":["a"],"parts":[1]}`),
		Entry("too many parts", `{"holders":["a"],"parts":[1000001],"endsAtMillis":[1]}`),
		Entry("negative parts", `{"holders":["a"],"parts":[-1],"endsAtMillis":[1]}`),
	)

	It("fits into a row, however many instances there are", func() {
		l, _ := fullLedger(maxLeases)
		l, parts := l.renew(renewalAt("one more", testNowMillis))
		Expect(parts).To(BeZero())
		Expect(l.Leases).To(HaveLen(maxLeases))
		value, err := l.encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(len(value)).To(BeNumerically("<=", maxRowBytes))
	})
})

// testNowMillis has as many digits as Unix time, which is the longest that a store's clock may tell.
const testNowMillis = 1_796_368_591_000

// fullLedger returns a ledger of n instances and the parts of the last one.
func fullLedger(n int) (Ledger, int) {
	l, parts := Ledger{}, 0
	for i := range n {
		r := renewalAt(HolderOf(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)), testNowMillis)
		r.minHolders = n
		l, parts = l.renew(r)
	}
	return l, parts
}

// BenchmarkRenewal measures a renewal in a fleet of 1,500 instances without the calls to the store.
func BenchmarkRenewal(b *testing.B) {
	l, _ := fullLedger(1500)
	value, err := l.encode()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		l, err := decodeLedger(value)
		if err != nil {
			b.Fatal(err)
		}
		next, _ := l.renew(renewalAt(HolderOf("10.0.1.1:7000"), testNowMillis+60_000))
		if _, err := next.encode(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(value)), "rowBytes")
}
