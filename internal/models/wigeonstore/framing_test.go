package wigeonstore_test

import (
	"context"
	"strings"
	"time"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonstore"
	"wigeonshift/internal/standin/wigeonscript"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// startScripted starts a store that answers with a text.
func startScripted(answer string) string {
	s := &wigeonscript.Server{Answer: answer}
	address, err := s.Start()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Stop)
	return "http://" + address
}

// A recorded response to a non-idempotent request is raw bytes in an object. A truncated one was returned to the caller that
// repeated the request.
var _ = Describe("Object that may be truncated", func() {
	ctx := context.Background()
	const head = "HTTP/1.1 200 OK\r\n"

	DescribeTable("is an error", func(answer string) {
		startedAt := time.Now()
		_, err := wigeonstore.NewTransport(startScripted(answer)).GetObject(ctx, "k")
		Expect(err).To(MatchError(wigeonshift.ErrUnavailable))
		Expect(time.Since(startedAt)).To(BeNumerically("<", 5*time.Second))
	},
		Entry("ends with the connection", head+"\r\nobj"),
		Entry("ends with the connection before its first byte", head+"\r\n"),
		Entry("is shorter than its length", head+"Content-Length: 6\r\n\r\nobj"),
		Entry("has no last chunk", head+"Transfer-Encoding: chunked\r\n\r\n3\r\nobj\r\n"),
		Entry("ends inside a chunk", head+"Transfer-Encoding: chunked\r\n\r\n6\r\nobj"),
		Entry("has an invalid status", "HTTP/1.1 000 Zero\r\nContent-Length: 3\r\n\r\nobj"),
		Entry("has an invalid length", head+"Content-Length : 2\r\n\r\nobj"),
		Entry("has an invalid header line", head+"\nContent-Length: 2\r\n\r\nobj"),
		Entry("has both a length and chunks", head+"Content-Length: 13\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nobj\r\n0\r\n\r\n"),
		Entry("has no end", head+"\r\n"+strings.Repeat("x", wigeonstore.MaxResponseBytes+4096)),
		Entry("has chunks without end", head+"Transfer-Encoding: chunked\r\n\r\n"+
			strings.Repeat("100000\r\n"+strings.Repeat("x", 1<<20)+"\r\n", wigeonstore.MaxResponseBytes>>20+1)),
	)

	It("is an error by the deadline if its end doesn't come", func() {
		s := &wigeonscript.Server{Answer: head + "Content-Length: 6\r\n\r\nobj", Silence: 3 * time.Second}
		address, err := s.Start()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(s.Stop)
		short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		defer cancel()
		startedAt := time.Now()
		_, err = wigeonstore.NewTransport("http://"+address).GetObject(short, "k")
		Expect(err).To(MatchError(wigeonshift.ErrUnavailable))
		Expect(time.Since(startedAt)).To(BeNumerically("<", time.Second))
	})

	DescribeTable("is returned if it is whole", func(answer string) {
		Expect(wigeonstore.NewTransport(startScripted(answer)).GetObject(ctx, "k")).To(BeEquivalentTo("whole"))
	},
		Entry("with a length", head+"Content-Length: 5\r\n\r\nwhole"),
		Entry("in chunks", head+"Transfer-Encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n"),
	)
})
