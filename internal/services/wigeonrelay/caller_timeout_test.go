package wigeonrelay

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Usual timeouts of callers", func() {
	const usual, retried = 1500 * time.Millisecond, 900 * time.Millisecond
	var t *callerTimeouts
	BeforeEach(func() {
		t = &callerTimeouts{}
		for range minOrganisationSamples {
			t.elapsed("organisation", "route", usual)
		}
	})

	It("tell how long a caller has waited before it sends a request again", func() {
		Expect(t.elapsed("organisation", "route", usual)).To(BeZero())
		Expect(t.elapsed("organisation", "route", retried)).To(Equal(usual - retried))
	})

	// One caller with an unusual timeout must not make the requests of all others count as late.
	It("don't follow a single request with a long timeout", func() {
		t.elapsed("organisation", "route", time.Hour)
		Expect(t.elapsed("organisation", "route", usual)).To(BeZero())
	})

	It("are those of one organisation", func() {
		for range 1000 {
			t.elapsed("slow", "route", time.Minute)
		}
		Expect(t.elapsed("organisation", "route", usual)).To(BeZero())
	})

	It("follow a lasting change", func() {
		for range 100 {
			t.elapsed("organisation", "route", 2*usual)
		}
		Expect(t.elapsed("organisation", "route", usual)).To(Equal(usual))
	})

	It("are kept for a limited number of organisations", func() {
		for n := range 3 * maxCallerGroups {
			t.elapsed(fmt.Sprint(n), "route", usual)
		}
		Expect(len(t.samples)).To(BeNumerically("<=", maxCallerGroups))
	})
})
