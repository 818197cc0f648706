package wigeonwire_test

import (
	"wigeonshift"
	"wigeonshift/internal/modules/wigeonwire"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Rollouts in load notices", func() {
	// Guards against notices that grow with the number of orders or routes.
	It("are bounded", func() {
		report := wigeonshift.RolloutReport{Service: "s", Counts: make([]wigeonshift.RolloutCount, 2*wigeonshift.MaxRolloutCounts)}
		var notice wigeonshift.LoadNotice
		for range 2 * wigeonshift.MaxRolloutReports {
			notice.Rollouts = append(notice.Rollouts, report)
		}
		encoded, err := wigeonwire.Marshal(notice)
		Expect(err).NotTo(HaveOccurred())
		m, err := wigeonwire.Unmarshal(encoded)
		Expect(err).NotTo(HaveOccurred())
		back := m.(wigeonshift.LoadNotice)
		Expect(back.Rollouts).To(HaveLen(wigeonshift.MaxRolloutReports))
		Expect(back.Rollouts[0].Counts).To(HaveLen(wigeonshift.MaxRolloutCounts))
	})
})
