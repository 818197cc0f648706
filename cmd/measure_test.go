package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"time"

	"wigeonshift/internal/measure/wigeonslope"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("measure", func() {
	It("writes the slopes and plots, keeps earlier series and rejects an unknown measurement", func() {
		dir := filepath.Join(GinkgoT().TempDir(), "out")
		var out, errOut bytes.Buffer
		c := MeasureCommand{Only: "permits", Out: dir, scale: &wigeonslope.Scale{Permits: []int{2, 4, 6}, Repeats: 1, Settle: time.Millisecond}}
		Expect(c.Run(context.Background(), Streams{Out: &out, Err: &errOut})).To(Succeed())
		Expect(out.String()).To(ContainSubstring("permitBytes"))
		var written wigeonslope.Results
		text, err := os.ReadFile(filepath.Join(dir, slopesFileName))
		Expect(err).NotTo(HaveOccurred())
		Expect(json.Unmarshal(text, &written)).To(Succeed())
		Expect(written.Series).To(HaveLen(2))
		Expect(written.Series[0].Points).To(HaveLen(3))
		Expect(filepath.Join(dir, "permitProcessor.svg")).To(BeAnExistingFile())

		c.Only = "tree"
		c.scale.TreeNodes = []int{9, 20, 30}
		Expect(c.Run(context.Background(), Streams{Out: &out, Err: &errOut})).To(Succeed())
		Expect(readPreviousResults(dir).Series).To(HaveLen(4))

		c.Only = "nothing"
		Expect(errors.Is(c.Run(context.Background(), Streams{Out: &out, Err: &errOut}), errUsage)).To(BeTrue())
	})
})
