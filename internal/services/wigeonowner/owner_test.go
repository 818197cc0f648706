package wigeonowner_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suiteT *testing.T

func TestWigeonowner(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonowner")
}

var _ = Describe("Ownership", func() {
	It("grants over one owner to every node", func() {
		runLab(3, func(l *lab) {
			l.owner()
			for _, n := range l.nodes {
				for range 5 {
					a, took, s := n.ask(5 * time.Second)
					l.g.Expect(a.Grant).NotTo(BeNil(), "%+v", a)
					l.g.Expect(took).To(BeNumerically("<", time.Second))
					finish(s, a.Grant)
				}
			}
		})
	})
})
