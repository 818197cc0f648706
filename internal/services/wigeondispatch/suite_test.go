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
	entry, err := wigeonknown.Failure(wigeonknown.Path, "wigeondispatch", CurrentSpecReport().FullText())
	Expect(err).NotTo(HaveOccurred())
	if entry != "" {
		Skip("known failure: " + entry)
	}
}
