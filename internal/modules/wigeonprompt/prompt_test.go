package wigeonprompt_test

import (
	"strings"
	"testing"

	"wigeonshift/internal/modules/wigeonprompt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var suiteT *testing.T

func TestPrompt(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonprompt")
}

var _ = Describe("Prompt hashes and lengths", func() {
	It("share exactly the hashes of the complete blocks that two prompts have in common", func() {
		rapid.Check(suiteT, func(t *rapid.T) {
			common := rapid.StringMatching(`[a-d]{0,900}`).Draw(t, "common")
			a := common + "x" + rapid.StringMatching(`[a-d]{0,600}`).Draw(t, "a")
			b := common + "y" + rapid.StringMatching(`[a-d]{0,600}`).Draw(t, "b")
			first, second := wigeonprompt.PrefixHashes("m", a), wigeonprompt.PrefixHashes("m", b)
			shared := len(common) / wigeonprompt.BlockBytes
			for i := range min(len(first), len(second)) {
				if (first[i] == second[i]) != (i < shared) {
					t.Fatalf("block %d of %d shared", i, shared)
				}
			}
		})
	})

	It("depend on the model and on the boundary between parts", func() {
		prompt := strings.Repeat("net ", 64)
		Expect(wigeonprompt.PrefixHashes("m", prompt)).To(HaveLen(1))
		Expect(wigeonprompt.PrefixHashes("m", prompt)).NotTo(Equal(wigeonprompt.PrefixHashes("n", prompt)))
		Expect(wigeonprompt.Fingerprint("ab", "c")).NotTo(Equal(wigeonprompt.Fingerprint("a", "bc")))
	})

	It("are the same whether the last part is a text or a body", func() {
		Expect(wigeonprompt.BodyFingerprint([]byte("c"), "a", "b")).To(Equal(wigeonprompt.Fingerprint("a", "b", "c")))
	})

	It("round up to whole tokens, with at least one token per prompt", func() {
		Expect(wigeonprompt.Tokens("")).To(Equal(1))
		Expect(wigeonprompt.Tokens("knot")).To(Equal(1))
		Expect(wigeonprompt.Tokens("knots")).To(Equal(2))
	})
})
