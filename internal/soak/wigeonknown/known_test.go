package wigeonknown_test

import (
	"os"
	"path/filepath"
	"testing"

	"wigeonshift/internal/soak/wigeonknown"

	. "github.com/onsi/gomega"
)

func TestFailure(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "list")
	g.Expect(wigeonknown.Failure(path, "p", "name")).To(BeEmpty(), "there is no list")
	g.Expect(os.WriteFile(path, []byte("p: name of a spec | command | seen\nq: name | command | seen\n"), 0o600)).To(Succeed())
	g.Expect(wigeonknown.Failure(path, "q", "name")).To(Equal("q: name | command | seen"))
	g.Expect(wigeonknown.Failure(path, "p", "name")).To(BeEmpty(), "the whole name counts")
	_, err := wigeonknown.Failure(t.TempDir(), "p", "name")
	g.Expect(err).To(HaveOccurred(), "a list that can't be read is no empty list")
}
