package wigeonreport_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"wigeonshift"
	"wigeonshift/internal/load/wigeonload"
	"wigeonshift/internal/load/wigeonreport"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestReport(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonreport")
}

func result() *wigeonload.Result {
	return &wigeonload.Result{
		Scenario: "<champerico>", SendMS: 2000, Nodes: []string{"127.0.0.1:1"},
		Tiers: []wigeonload.TierResult{{
			Tier: "tide", Kind: wigeonshift.ServiceModel, TierCounts: wigeonload.TierCounts{Requests: 10, Good: 8, Wrong: 2},
			FirstToken: wigeonload.Quantiles{Count: 8, P50: 12.5, P95: 30, P99: 40},
		}},
		Refusals: []wigeonload.RefusalCount{{Tier: "tide", Reason: wigeonshift.ReasonQueueFull, State: wigeonshift.NotRun, Count: 3}},
		Prefill:  &wigeonload.Prefill{Computed: 200, Needed: 150, Wasted: 50},
		Timeline: []wigeonload.SecondCounts{{Requests: 6, Good: map[string]int64{"tide": 4}}, {Requests: 4, Good: map[string]int64{"tide": 4}}},
	}
}

var _ = Describe("Reports", func() {
	It("show goodput, refusals, wasted prefill and skipped checks as text", func() {
		var b bytes.Buffer
		Expect(wigeonreport.WriteText(&b, result())).To(Succeed())
		for _, part := range []string{"4.0", "80.0 %", "queueFull", "25.0 %", "12.5", "not checked"} {
			Expect(b.String()).To(ContainSubstring(part))
		}
		b.Reset()
		overhead := &wigeonload.Result{Overhead: &wigeonload.Overhead{
			AddedP50MS: 0.5, Node: wigeonload.PathResult{Failed: 3, Failures: map[string]int64{"refused queueFull": 3}},
		}}
		Expect(wigeonreport.WriteText(&b, overhead)).To(Succeed())
		Expect(b.String()).To(And(ContainSubstring("added p50 0.500 ms"), ContainSubstring("refused queueFull")))
	})

	It("can be written as JSON and read back", func() {
		var b bytes.Buffer
		Expect(wigeonreport.WriteJSON(&b, result())).To(Succeed())
		var read wigeonload.Result
		Expect(json.Unmarshal(b.Bytes(), &read)).To(Succeed())
		Expect(&read).To(Equal(result()))
	})

	It("are self-contained HTML pages with plots", func() {
		var b bytes.Buffer
		Expect(wigeonreport.WriteHTML(&b, result())).To(Succeed())
		page := b.String()
		Expect(bytes.Count(b.Bytes(), []byte("<svg"))).To(Equal(2))
		Expect(page).To(ContainSubstring("&lt;champerico&gt;"))
		Expect(page).NotTo(ContainSubstring("<champerico>"))
		Expect(page).NotTo(MatchRegexp(`(src|href)="[^#]`))
		Expect(page).NotTo(ContainSubstring("<?xml"))
	})
})
