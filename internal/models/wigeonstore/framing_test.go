package wigeonstore_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonstore"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// startScripted starts a platform that answers each connection with a text and closes it.
func startScripted(answer string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, answer) // The client may have closed the connection.
			}
			_ = c.Close()
		}
	}()
	return "http://" + l.Addr().String()
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
		Entry("has no end", head+"\r\n"+strings.Repeat("x", wigeonstore.MaxResponseBytes+4096)),
		Entry("has chunks without end", head+"Transfer-Encoding: chunked\r\n\r\n"+
			strings.Repeat("100000\r\n"+strings.Repeat("x", 1<<20)+"\r\n", wigeonstore.MaxResponseBytes>>20+1)),
	)

	DescribeTable("is returned if it is whole", func(answer string) {
		Expect(wigeonstore.NewTransport(startScripted(answer)).GetObject(ctx, "k")).To(BeEquivalentTo("object"))
	},
		Entry("with a length", head+"Content-Length: 6\r\n\r\nobject"),
		Entry("in chunks", head+"Transfer-Encoding: chunked\r\n\r\n3\r\nobj\r\n3\r\nect\r\n0\r\n\r\n"),
	)
})
