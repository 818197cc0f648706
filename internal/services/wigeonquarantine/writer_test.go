package wigeonquarantine

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
)

// fakeTable records the writes of its rows. It fails while down.
type fakeTable struct {
	down    bool
	calls   int
	written []string
}

func (t *fakeTable) commit(_ context.Context, writes []wigeonshift.Write) error {
	t.calls++
	if t.down {
		return wigeonshift.ErrUnavailable
	}
	for _, w := range writes {
		if w.Delete {
			t.written = append(t.written, "-"+w.Key)
		} else {
			t.written = append(t.written, w.Key)
		}
	}
	return nil
}

func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// runWithFakeClock runs a test in a bubble with a fake clock.
func runWithFakeClock(test func(g Gomega)) {
	synctest.Test(suiteT, func(t *testing.T) { test(NewWithT(t)) })
}

// advance moves the fake clock and waits until all goroutines block.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

var _ = Describe("Writer", func() {
	// startWriter returns a running writer and a function that stops it.
	startWriter := func(table *fakeTable) (w *Writer, stop func()) {
		w = NewWriter(table.commit, discardLog(), func() {})
		ctx, cancel := context.WithCancel(context.Background())
		go w.Run(ctx)
		return w, func() { cancel(); synctest.Wait() }
	}

	It("writes changes that come together in one transaction", func() {
		runWithFakeClock(func(g Gomega) {
			table := &fakeTable{}
			w, stop := startWriter(table)
			defer stop()
			for _, key := range []string{"b", "a", "b"} {
				w.Add(wigeonshift.Write{Key: key})
			}
			advance(time.Second)
			g.Expect(table.written).To(Equal([]string{"a", "b"}))
			g.Expect(table.calls).To(Equal(1))
		})
	})

	It("repeats a failed write until it succeeds, a few times a second", func() {
		runWithFakeClock(func(g Gomega) {
			table := &fakeTable{down: true}
			w, stop := startWriter(table)
			defer stop()
			w.Add(wigeonshift.Write{Key: "a"})
			advance(10 * time.Second)
			g.Expect(table.calls).To(BeNumerically("~", 20, 2))
			table.down = false
			advance(time.Second)
			g.Expect(table.written).To(Equal([]string{"a"}))
		})
	})

	// Rows that were still pending at a planned stop were lost, and with them what the other instances had to know.
	It("writes what is pending when it stops", func() {
		runWithFakeClock(func(g Gomega) {
			table := &fakeTable{}
			w, stop := startWriter(table)
			w.Add(wigeonshift.Write{Key: "a"})
			synctest.Wait()
			stop()
			advance(time.Second)
			g.Expect(table.written).To(Equal([]string{"a"}))
		})
	})
})
