package wigeonquarantine

import (
	"errors"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var day = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func crash(f wigeonshift.Fingerprint, endpoint string) wigeonshift.Crash {
	return wigeonshift.Crash{Fingerprint: f, Endpoint: endpoint, At: day}
}

var _ = Describe("Record", func() {
	It("quarantines a request from the limit of crashes on", func() {
		r := NewRecord(2)
		Expect(r.Add(crash(7, "a@1"))).To(BeTrue())
		Expect(r.Suspected(7)).To(BeTrue())
		Expect(r.Quarantined(7)).To(BeFalse())
		Expect(r.Add(crash(7, "a@2"))).To(BeTrue(), "another incarnation of the endpoint")
		Expect(r.Quarantined(7)).To(BeTrue())
		Expect(r.Suspected(7)).To(BeFalse())
		Expect(r.Quarantined(8)).To(BeFalse())
	})

	It("counts the same crash of an endpoint once, and no request without a fingerprint", func() {
		r := NewRecord(2)
		r.Add(crash(7, "a@1"))
		Expect(r.Add(crash(7, "a@1"))).To(BeFalse())
		Expect(r.Add(crash(0, "a@1"))).To(BeFalse())
		Expect(r.All()).To(HaveLen(1))
	})

	It("removes a false crash from suspected requests only", func() {
		r := NewRecord(2)
		r.Add(crash(7, "a@1"))
		r.Add(crash(8, "a@1"))
		r.Add(crash(8, "b@1"))
		r.RemoveFalseCrash("a@1")
		Expect(r.Crashes(7)).To(BeEmpty())
		Expect(r.Crashes(8)).To(HaveLen(2))
	})

	It("forgets suspected requests earlier than quarantined ones", func() {
		r := NewRecord(2)
		r.Add(crash(7, "a@1"))
		r.Add(crash(8, "a@1"))
		r.Add(crash(8, "b@1"))
		Expect(r.Expire(day.Add(suspectLifetime))).To(BeEmpty())
		Expect(r.Expire(day.Add(suspectLifetime + time.Second))).To(ConsistOf(crash(7, "a@1")))
		Expect(r.Expire(day.Add(quarantineLifetime))).To(BeEmpty())
		Expect(r.Expire(day.Add(quarantineLifetime + time.Second))).To(HaveLen(2))
		Expect(r.All()).To(BeEmpty())
	})

	It("bounds the crashes of a request and the number of requests", func() {
		r := NewRecord(2)
		for i := range maxCrashes + 1 {
			r.Add(crash(7, string(rune('a'+i))))
		}
		Expect(r.Crashes(7)).To(HaveLen(maxCrashes))
		for f := range wigeonshift.Fingerprint(maxFingerprints + 10) {
			r.Add(crash(f, "a@1"))
		}
		Expect(len(r.crashes)).To(Equal(maxFingerprints))
	})
})

var _ = Describe("Rows", func() {
	It("keep a crash", func() {
		c := crash(0x9c41, "i-7@12")
		c.Shared = wigeonshift.SharedFingerprints{Content: 1 << 63, Query: 2, Headers: 3}
		value, err := EncodeRow(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(RowKey(c)).To(Equal("9c41/i-7@12"))
		Expect(DecodeRow(RowKey(c), value)).To(Equal(c))
	})

	DescribeTable("are rejected if malformed", func(key, value string) {
		_, err := DecodeRow(key, []byte(value))
		Expect(errors.Is(err, ErrMalformedRow)).To(BeTrue(), "%v", err)
	},
		Entry("no endpoint", "9c41", "{}"), Entry("empty endpoint", "9c41/", "{}"), Entry("no fingerprint", "x/a", "{}"),
		Entry("fingerprint zero", "0/a", "{}"), Entry("value", "9c41/a", "\xff"),
	)
})
