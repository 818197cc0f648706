package wigeonlease_test

import (
	"fmt"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonlease"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Rank", func() {
	It("is the position among the candidates, which come from the pool's region or, if it has none, from all regions", func() {
		var live []wigeonshift.Instance
		for i := range 30 {
			live = append(live, wigeonshift.Instance{ID: fmt.Sprint("node", i), Region: fmt.Sprint("r", i%3)})
		}
		for s := range 20 {
			for _, region := range []string{"r0", "r2", "elsewhere"} {
				id := wigeonshift.Pool{Product: "p", Service: fmt.Sprint("s", s), Region: region}.Shard(0)
				ranks := map[string]int{}
				for rank, i := range wigeonlease.Candidates(id, live, len(live)) {
					ranks[i.ID] = rank
				}
				for _, i := range live {
					want, ok := ranks[i.ID]
					if !ok {
						want = -1
					}
					Expect(wigeonlease.Rank(id, live, i.ID)).To(Equal(want), "%s %s", id, i.ID)
				}
			}
		}
		Expect(wigeonlease.Rank("p/s/r0/0", live, "nobody")).To(Equal(-1))
	})
})
