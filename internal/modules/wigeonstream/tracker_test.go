package wigeonstream_test

import (
	"math/rand/v2"
	"strings"

	"wigeonshift/internal/modules/wigeonstream"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// track passes a text to a new tracker in pieces of at most size bytes.
func track(text string, size int) *wigeonstream.Tracker {
	t := &wigeonstream.Tracker{}
	for rest := text; rest != ""; {
		n := min(size, len(rest))
		t.Consume([]byte(rest[:n]))
		rest = rest[n:]
	}
	return t
}

var _ = Describe("Tracker", func() {
	DescribeTable("tells whether a stream may end",
		func(text string, complete bool, events int, lastID string) {
			for size := 1; size <= len(text)+1; size++ {
				t := track(text, size)
				Expect(t.Complete()).To(Equal(complete), "pieces of %d bytes", size)
				Expect(t.Events).To(Equal(events), "pieces of %d bytes", size)
				Expect(t.LastID).To(Equal(lastID), "pieces of %d bytes", size)
			}
		},
		Entry("nothing", "", true, 0, ""),
		Entry("one event", "id: 1\ndata: a\n\n", true, 1, "1"),
		Entry("without the empty line", "id: 1\ndata: a\n", false, 0, ""),
		Entry("inside a line", "id: 1\ndata: a\n\nid: 2\nda", false, 1, "1"),
		Entry("inside the first line", "i", false, 0, ""),
		Entry("events with CR and LF", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", true, 2, "2"),
		Entry("without the last LF of CR and LF", "id: 1\r\ndata: a\r\n\r", false, 0, ""),
		Entry("CR after CR and LF", "id: 1\r\ndata: a\r\rid: 2\rdata: b\r\r:", false, 2, "2"),
		Entry("without the empty line of CR and LF", "id: 1\r\ndata: a\r\n", false, 0, ""),
		Entry("events with CR", "id: 1\rdata: a\r\rid: 2\rdata: b\r\r", true, 2, "2"),
		Entry("without the empty line of CR", "id: 1\rdata: a\r", false, 0, ""),
		Entry("different line ends", "id: 1\r\ndata: a\n\nid: 2\rdata: b\n\r\n", true, 2, "2"),
		Entry("comments between events", ": one\n: two\n\nid: 1\ndata: a\n\n:\n", true, 1, "1"),
		Entry("inside a comment", "data: a\n\n: on", false, 1, ""),
		Entry("a comment inside an event", "data: a\n: one\n", false, 0, ""),
		Entry("more empty lines", "\n\ndata: a\n\n\n\n", true, 1, ""),
		Entry("an event without an id keeps the one before", "id:1\ndata: a\n\ndata: b\n\n", true, 2, "1"),
		Entry("an id in an unfinished event", "id: 1\ndata: a\n\nid: 2\n", false, 1, "1"),
		Entry("a field without a colon", "data\n\n", true, 1, ""),
		Entry("an id that is too long to resume after", "id: "+strings.Repeat("x", 2000)+"\ndata: a\n\n", true, 1, ""),
	)

	It("returns the bytes up to the last complete position", func() {
		t := &wigeonstream.Tracker{}
		Expect(t.Consume([]byte("id: 1\ndata: a\n\nid: 2"))).To(Equal(len("id: 1\ndata: a\n\n")))
		Expect(t.BytesSinceEvent).To(Equal(len("id: 2")))
		Expect(t.Consume([]byte("2\ndata: b"))).To(Equal(0))
		Expect(t.Consume([]byte("\n\n: note\n"))).To(Equal(len("\n\n: note\n")))
		Expect(t.LastID).To(Equal("22"))
		Expect(t.BytesSinceEvent).To(Equal(len(": note\n")))
	})

	It("continues after the latest complete event", func() {
		t := track("id: 1\r\ndata: a\r\n\r\nid: 2\r\nda", 100)
		t.Restart()
		Expect(t.Complete()).To(BeTrue())
		Expect(t.LastID).To(Equal("1"))
		t.Consume([]byte("id: 2\ndata: b\n\n"))
		Expect(t.LastID).To(Equal("2"))
		Expect(t.Events).To(Equal(2))
	})

	It("counts the bytes since the last event, whatever they are", func() {
		Expect(track(strings.Repeat(":\n\n", 1000), 7).BytesSinceEvent).To(Equal(3000))
		Expect(track("data: a\n\n"+strings.Repeat("x", 500), 7).BytesSinceEvent).To(Equal(500))
	})

	It("gives the same result for any division of random bytes", func() {
		random := rand.New(rand.NewPCG(1, 1))
		for range 300 {
			var text strings.Builder
			for range random.IntN(40) {
				text.WriteString([]string{"\n", "\r", "\r\n", ":", "id: 7", "data: x", "a"}[random.IntN(7)])
			}
			whole := track(text.String(), len(text.String())+1)
			pieces := track(text.String(), 1+random.IntN(5))
			Expect(pieces.Complete()).To(Equal(whole.Complete()), "%q", text.String())
			Expect(pieces.Events).To(Equal(whole.Events), "%q", text.String())
			Expect(pieces.LastID).To(Equal(whole.LastID), "%q", text.String())
			Expect(pieces.BytesSinceEvent).To(Equal(whole.BytesSinceEvent), "%q", text.String())
		}
	})
})
