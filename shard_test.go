package wigeonshift_test

import (
	"fmt"
	"testing"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestWigeonshift(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonshift")
}

// poolConfiguration returns a configuration with one pool of n endpoints.
func poolConfiguration(n int) *wigeonshift.Configuration {
	endpoints := map[string]wigeonshift.EndpointSpec{}
	for i := range n {
		endpoints[fmt.Sprintf("e%d", i)] = wigeonshift.EndpointSpec{Region: "lima"}
	}
	return &wigeonshift.Configuration{Products: map[string]wigeonshift.Product{
		"p": {Services: map[string]wigeonshift.Service{"s": {Endpoints: endpoints}}},
	}}
}

var _ = Describe("Shards", func() {
	It("assigns every endpoint to exactly one shard", func() {
		for _, n := range []int{1, 12, 64, 65, 512} {
			c := poolConfiguration(n)
			seen := map[string]int{}
			for _, id := range c.Shards() {
				for name := range c.ShardEndpoints(id) {
					seen[name]++
				}
			}
			Expect(seen).To(HaveLen(n))
			for _, count := range seen {
				Expect(count).To(Equal(1))
			}
		}
	})

	It("parses the IDs that it creates and rejects malformed ones", func() {
		pool := wigeonshift.Pool{Product: "p", Service: "s", Region: "r"}
		parsed, index, ok := pool.Shard(3).Pool()
		Expect(ok).To(BeTrue())
		Expect(parsed).To(Equal(pool))
		Expect(index).To(Equal(3))
		_, _, ok = wigeonshift.ShardID("p/s/r").Pool()
		Expect(ok).To(BeFalse())
		_, _, ok = wigeonshift.ShardID("p/s/r/-1").Pool()
		Expect(ok).To(BeFalse())
	})

	It("ranks candidates independently of the order of the list", func() {
		a := []wigeonshift.Instance{{ID: "a"}, {ID: "b"}, {ID: "c"}}
		b := []wigeonshift.Instance{{ID: "c"}, {ID: "a"}, {ID: "b"}}
		Expect(wigeonshift.RankCandidates("k", a)).To(Equal(wigeonshift.RankCandidates("k", b)))
	})
})
