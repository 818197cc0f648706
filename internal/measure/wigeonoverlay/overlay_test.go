package wigeonoverlay_test

import (
	"testing"

	"wigeonshift/internal/measure/wigeonoverlay"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestOverlay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonoverlay")
}

var _ = Describe("Measure", func() {
	It("returns equal rows for equal seeds and drops no packet on a balanced tree without failures", func() {
		rows := wigeonoverlay.Measure(300, 25, 7)
		Expect(wigeonoverlay.Measure(300, 25, 7)).To(Equal(rows))
		for _, r := range rows {
			Expect(r.Unreached).To(HaveLen(len(wigeonoverlay.FailureRatios())))
			if r.Way == "greedy hyperbolic, balanced join" {
				Expect(r.Unreached[0]).To(BeZero(), "degree %d", r.Degree)
			}
		}
	})
})
