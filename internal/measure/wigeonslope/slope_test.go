package wigeonslope

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSlope(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonslope")
}

var _ = Describe("Series", func() {
	It("fits a line, calculates its residual and plots it", func() {
		s := newSeries("n", "x", "y", "", []Point{{1, 3}, {2, 5}, {3, 7}})
		Expect(s.Fit.Slope).To(BeNumerically("~", 2, 1e-9))
		Expect(s.Fit.Intercept).To(BeNumerically("~", 1, 1e-9))
		Expect(s.Fit.Residual).To(BeNumerically("~", 0, 1e-9))
		curved := newSeries("n", "x", "y", "", []Point{{1, 1}, {2, 4}, {3, 9}})
		Expect(curved.Fit.Residual).To(BeNumerically(">", 0.1))
		svg, err := s.SVG()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(svg)).To(ContainSubstring("<svg"))
	})
})
