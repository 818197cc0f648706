package wigeonmetric_test

import (
	"context"
	"testing"

	"wigeonshift/internal/modules/wigeonmetric"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
)

func TestMetric(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonmetric")
}

var _ = Describe("Metrics", func() {
	It("serves counters with their tags", func(ctx SpecContext) {
		m := wigeonmetric.New("wigeonshift")
		Expect(m.Start(ctx, "127.0.0.1:0")).To(Succeed())
		m.Scope().Tagged(map[string]string{"reason": "queueFull"}).Counter("refusals").Inc(3)
		Eventually(func() string {
			_, body, err := fasthttp.Get(nil, "http://"+m.Address()+"/metrics")
			Expect(err).NotTo(HaveOccurred())
			return string(body)
		}).WithTimeout(10 * wigeonmetric.ReportInterval).Should(
			ContainSubstring(`wigeonshift_refusals{reason="queueFull"} 3`))
		Expect(m.Stop(context.Background())).To(Succeed())
	})
})
