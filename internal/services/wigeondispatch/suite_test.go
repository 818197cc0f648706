package wigeondispatch

import (
	"testing"

	"wigeonshift/internal/soak/wigeonknown"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeondispatch")
}

// skipIfKnownRed skips a spec that KNOWN-RED.txt lists and prints its entry.
func skipIfKnownRed() {
	if entry := knownFailure(NewWithT(GinkgoT()), CurrentSpecReport().FullText()); entry != "" {
		Skip("known failure: " + entry)
	}
}

// skipTestIfKnownRed does the same for a test outside the suite.
func skipTestIfKnownRed(t *testing.T) {
	if entry := knownFailure(NewWithT(t), t.Name()); entry != "" {
		t.Skip("known failure: " + entry)
	}
}

func knownFailure(g *WithT, test string) string {
	entry, err := wigeonknown.Failure(wigeonknown.Path, "wigeondispatch", test)
	g.Expect(err).NotTo(HaveOccurred())
	return entry
}
