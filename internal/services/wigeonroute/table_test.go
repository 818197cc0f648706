package wigeonroute_test

import (
	"testing"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonroute"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonroute")
}

var _ = Describe("Table", func() {
	table := wigeonroute.New(&wigeonshift.RoutingConfiguration{
		Routes: []wigeonshift.Route{
			{Name: "short", Host: "h.example", Prefix: "/a/"},
			{Name: "long", Host: "h.example", Prefix: "/a/b/"},
			{Name: "other", Host: "o.example", Prefix: "/", Public: true},
		},
		Organisations: []wigeonshift.RoutedOrganisation{{Name: "org", Keys: []string{"k1", "k2"}}},
	})

	DescribeTable("finds the route with the longest prefix", func(host, path, want string) {
		name := ""
		if r := table.Route(host, path); r != nil {
			name = r.Name
		}
		Expect(name).To(Equal(want))
	},
		Entry("longer prefix", "h.example", "/a/b/c", "long"), Entry("shorter prefix", "h.example", "/a/bc", "short"),
		Entry("upper-case host with a port", "H.example:80", "/a/x", "short"), Entry("no matching prefix", "h.example", "/b/", ""),
		Entry("another host", "o.example", "/a/b/", "other"), Entry("unknown host", "x.example", "/a/", ""),
	)

	It("looks up organisations by API key and knows which routes need a key", func() {
		Expect(table.Organisation("k2").Name).To(Equal("org"))
		Expect(table.Organisation("")).To(BeNil())
		Expect(table.Organisation("k3")).To(BeNil())
		Expect(table.NeedsKey(table.Route("o.example", "/"))).To(BeFalse())
		Expect(table.NeedsKey(table.Route("h.example", "/a/"))).To(BeTrue())
	})

	It("picks services in proportion to their weights and never picks one without a weight", func() {
		r := &wigeonshift.Route{Targets: []wigeonshift.RouteTarget{{Service: "a", Weight: 9}, {Service: "b"}, {Service: "c", Weight: 1}}}
		counts := map[string]int{}
		for range 2000 {
			counts[wigeonroute.PickService(r)]++
		}
		Expect(counts).NotTo(HaveKey("b"))
		Expect(counts["a"]).To(BeNumerically(">", counts["c"]))
	})
})
