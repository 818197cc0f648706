package wigeonlog_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"wigeonshift/internal/modules/wigeonlog"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestLog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonlog")
}

// blockingWriter blocks while its mutex is locked.
type blockingWriter struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (w *blockingWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(b)
}

var _ = Describe("BoundedWriter", func() {
	It("writes lines in order", func() {
		var out blockingWriter
		b := wigeonlog.NewBoundedWriter(&out)
		for i := range 100 {
			fmt.Fprintln(b, i)
		}
		b.Flush()
		Expect(out.out.String()).To(HavePrefix("0\n1\n2\n"))
		Expect(out.out.String()).To(HaveSuffix("99\n"))
	})

	It("never blocks and counts the dropped lines", func() {
		var out blockingWriter
		out.mu.Lock()
		b := wigeonlog.NewBoundedWriter(&out)
		for range 20_000 {
			fmt.Fprintln(b, "line")
		}
		out.mu.Unlock()
		b.Flush()
		written, dropped := 0, 0
		for line := range strings.Lines(out.out.String()) {
			var n int
			if _, err := fmt.Sscanf(line, `{"level":"warning","msg":"log lines dropped","count":%d}`, &n); err == nil {
				dropped += n
				continue
			}
			written++
		}
		Expect(dropped).To(BeNumerically(">", 10_000))
		Expect(written + dropped).To(Equal(20_000))
	})
})
