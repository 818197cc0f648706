package wigeonrelay_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// endlessEndpoint sends a head and then the same piece again and again until the relay closes the connection.
type endlessEndpoint struct {
	*fakeEndpoint
	sentBytes atomic.Int64
	// closed counts the connections that the relay has closed.
	closed atomic.Int32
}

// endlessLimit ends the test endpoint if the relay doesn't.
const endlessLimit = 200 << 20

func newEndlessEndpoint(head, piece string) *endlessEndpoint {
	e := &endlessEndpoint{}
	block := []byte(strings.Repeat(piece, max(1, 4096/len(piece))))
	e.fakeEndpoint = newFakeEndpoint(func(c net.Conn, r *http.Request, _ []byte) {
		writeText(c, strings.Replace(head, "{signed}", signedHead(r), 1))
		for e.sentBytes.Load() < endlessLimit {
			n, err := c.Write(block)
			e.sentBytes.Add(int64(n))
			if err != nil {
				e.closed.Add(1)
				return
			}
		}
	})
	return e
}

// processorTime returns the processor time that the test process has used.
func processorTime() time.Duration {
	GinkgoHelper()
	var u syscall.Rusage
	Expect(syscall.Getrusage(syscall.RUSAGE_SELF, &u)).To(Succeed())
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

var _ = Describe("Bytes without end", func() {
	streamHead := "{signed}Content-Type: text/event-stream\r\n"
	chunked := streamHead + "Transfer-Encoding: chunked\r\n\r\n"

	// An endpoint that never ends an event was read until the deadline, and on a resumable route all of it was held back and
	// searched again at each read.
	DescribeTable("are cut off at a bound while other requests are served",
		func(path, head, piece string, mayPass int64) {
			endless := newEndlessEndpoint(head, piece)
			r := newTestRelay(endless.fakeEndpoint)
			c, reader := r.dial()
			usedBefore, startedAt := processorTime(), time.Now()
			writeText(c, strings.Replace(requestText("POST", path, "", "x"), "1500", "1800", 1))
			var received int64
			response, err := http.ReadResponse(reader, nil)
			if err == nil {
				received, err = io.Copy(io.Discard, response.Body)
				complete := err == nil && response.StatusCode == http.StatusOK
				Expect(complete).To(BeFalse())
			}
			Eventually(endless.closed.Load).WithTimeout(time.Second).Should(BeEquivalentTo(1))
			Expect(received).To(BeNumerically("<=", mayPass))
			Expect(endless.sentBytes.Load()).To(BeNumerically("<", mayPass+16<<20), "with the buffers of the sockets")
			Expect(time.Since(startedAt)).To(BeNumerically("<", 2500*time.Millisecond))
			Expect(processorTime() - usedBefore).To(BeNumerically("<", 1500*time.Millisecond))
			// The endpoint is paused after a failure, so another one serves.
			Expect(newTestRelay(newFakeEndpoint(respondOK)).fetch("/unsafe/", fetchDeadline).complete).To(BeTrue())
		},
		Entry("an event", "/stream/", streamHead+"\r\ndata: ", "x", int64(128<<10)),
		Entry("an event in chunks", "/stream/", chunked, "6\r\nabcdef\r\n", int64(128<<10)),
		Entry("an event in chunks of one byte", "/stream/", chunked, "1\r\na\r\n", int64(128<<10)),
		Entry("lines of an event", "/stream/", streamHead+"\r\n", "data: x\n", int64(128<<10)),
		Entry("comments", "/stream/", streamHead+"\r\n", ":\n", int64(128<<10)),
		Entry("empty lines", "/stream/", streamHead+"\r\n", "\n", int64(128<<10)),
		Entry("empty lines of CR and LF", "/stream/", streamHead+"\r\n", "\r\n", int64(128<<10)),
		Entry("an event of a resumable stream", "/resume/", streamHead+"\r\nid: 1\ndata: a\n\ndata: ", "x", int64(128<<10)),
		Entry("lines of an event of a resumable stream", "/resume/", streamHead+"\r\n", "data: x\n", int64(128<<10)),
		Entry("comments of a resumable stream", "/resume/", streamHead+"\r\nid: 1\ndata: a\n\n", ":\n", int64(128<<10)),
		Entry("events", "/stream/", streamHead+"\r\n", "data: x\n\n", int64(65<<20)),
		Entry("other content on a streaming route", "/stream/", "{signed}Content-Type: a/b\r\n\r\n", "x", int64(65<<20)),
		Entry("a buffered body", "/unsafe/", "{signed}\r\n", "x", int64(0)),
		Entry("a buffered body in chunks", "/unsafe/", "{signed}Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", int64(0)),
		Entry("a buffered event stream", "/unsafe/", streamHead+"\r\n", "data: x\n\n", int64(0)),
		Entry("a failure", "/unsafe/", "HTTP/1.1 500 Oops\r\n\r\n", "x", int64(0)),
		Entry("a refusal", "/unsafe/", "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n\r\n", "x", int64(0)),
		Entry("a head", "/unsafe/", "{signed}", "X-A: b\r\n", int64(0)),
		Entry("a line of a head", "/unsafe/", "{signed}X-A: ", "b", int64(0)),
		Entry("a status line", "/unsafe/", "HTTP/1.1 200 ", "O", int64(0)),
		Entry("interim responses", "/unsafe/", "", "HTTP/1.1 100 Continue\r\n\r\n", int64(0)),
		Entry("responses to other requests", "/unsafe/", "", "HTTP/1.1 200 OK\r\nRequest-Id: z\r\nContent-Length: 0\r\n\r\n", int64(0)),
		Entry("a response to another request", "/unsafe/", "HTTP/1.1 200 OK\r\nRequest-Id: z\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", int64(0)),
		Entry("a size of a chunk", "/stream/", chunked, "0", int64(0)),
		Entry("an extension of a chunk", "/stream/", chunked+"1;", "a", int64(0)),
		Entry("a trailer", "/stream/", chunked+"9\r\ndata: x\n\n\r\n0\r\n", "X-A: b\r\n", int64(128<<10)),
		Entry("bytes that are no response", "/unsafe/", "", "\x00", int64(0)),
	)

	It("of a refused request don't keep it from another endpoint", func() {
		refusing := newFakeEndpoint(func(c net.Conn, r *http.Request, _ []byte) {
			writeText(c, "HTTP/1.1 503 Full\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n")
			for range 200 {
				time.Sleep(10 * time.Millisecond)
				if _, err := io.WriteString(c, "1\r\na\r\n"); err != nil {
					return
				}
			}
		})
		r := newTestRelay(refusing, newFakeEndpoint(respondOK))
		for range 4 {
			startedAt := time.Now()
			got := r.fetch("/safe/", fetchDeadline)
			Expect(got.complete).To(BeTrue(), "%+v", got)
			Expect(time.Since(startedAt)).To(BeNumerically("<", 600*time.Millisecond))
		}
		Expect(refusing.receivedRequests()).NotTo(BeEmpty())
	})

	It("passes events of an allowed size and a comment now and then", func() {
		event := "data: " + strings.Repeat("x", 50<<10) + "\n\n"
		text := event + strings.Repeat(": note\n", 1000) + event + strings.Repeat("\n", 1000) + event
		for _, path := range []string{"/stream/", "/resume/"} {
			got := newTestRelay(newFakeEndpoint(respondWith(endsWithLastChunk, eventStreamType, text, 0))).fetch(path, fetchDeadline)
			Expect(got.complete).To(BeTrue())
			Expect(got.body).To(Equal(text))
		}
	})
})
