package wigeonrelay_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Request that is cut short", func() {
	DescribeTable("does not reach an endpoint", func(head, body string, reset bool) {
		e := newFakeEndpoint(respondOK)
		r := newTestRelay(e)
		c, reader := r.dial()
		writeText(c, "POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nApi-Key: key\r\n"+head+"\r\n"+body)
		time.Sleep(20 * time.Millisecond)
		if reset {
			closeWith(c, true)
		} else {
			Expect(c.(*net.TCPConn).CloseWrite()).To(Succeed())
		}
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			Expect(response.StatusCode).To(BeNumerically(">=", 400))
		}
		Consistently(e.receivedRequests).WithTimeout(50 * time.Millisecond).Should(BeEmpty())
		Expect(r.dispatcher.InFlight()).To(BeZero())
	},
		Entry("shorter than its length", "Content-Length: 9\r\n", "part", false),
		Entry("shorter than its length, with a reset", "Content-Length: 9\r\n", "part", true),
		Entry("without the last chunk", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n", false),
		Entry("inside a chunk", "Transfer-Encoding: chunked\r\n", "9\r\npart", false),
		Entry("inside the trailer", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n0\r\nX-A", false),
		Entry("inside the head", "Content-Le", "", false),
	)

	DescribeTable("by its size does not reach an endpoint", func(head, piece string) {
		e := newFakeEndpoint(respondOK)
		c, reader := newTestRelay(e).dial()
		writeText(c, "POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\nApi-Key: key\r\n"+head)
		block := strings.Repeat(piece, 4096/len(piece))
		sent := 0
		for ; sent < 64<<20; sent += len(block) {
			if _, err := io.WriteString(c, block); err != nil {
				break
			}
		}
		Expect(sent).To(BeNumerically("<", 64<<20), "the relay has not closed the connection")
		if response, err := http.ReadResponse(reader, nil); err == nil {
			Expect(response.StatusCode).To(BeNumerically(">=", 400))
		}
		Expect(e.receivedRequests()).To(BeEmpty())
	},
		Entry("a body in chunks", "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"),
		Entry("a body with a length", "Content-Length: 100000000\r\n\r\n", "a"),
		Entry("a head", "", "X-A: b\r\n"),
		Entry("a line of a head", "X-A: ", "b"),
		Entry("a size of a chunk", "Transfer-Encoding: chunked\r\n\r\n", "0"),
		Entry("a trailer", "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"),
	)
})

// sendEvents sends an event each 10 ms until the connection is closed.
func sendEvents(c net.Conn, r *http.Request, _ []byte) {
	writeText(c, signedHead(r)+contentType(eventStreamType)+"\r\n")
	for id := 1; id < 500; id++ {
		if _, err := io.WriteString(c, eventText(id, id, "\n")); err != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

var _ = Describe("Stream that this instance ends", func() {
	DescribeTable("is not framed as complete",
		func(path string, end func(r *testRelay)) {
			r := newTestRelay(newFakeEndpoint(sendEvents))
			c, reader := r.dial()
			writeText(c, strings.Replace(requestText("POST", path, "", "x"), "1500", "300", 1))
			response, err := http.ReadResponse(reader, nil)
			Expect(err).NotTo(HaveOccurred())
			line, err := bufio.NewReader(response.Body).ReadString('\n')
			Expect(err).NotTo(HaveOccurred())
			Expect(line).To(Equal("id: 1\n"))
			end(r)
			_, err = io.Copy(io.Discard, response.Body)
			Expect(err).To(HaveOccurred())
			Eventually(r.dispatcher.InFlight).Should(BeZero())
		},
		Entry("at its deadline", "/stream/", func(*testRelay) {}),
		Entry("at its deadline, resumable", "/resume/", func(*testRelay) {}),
		Entry("at its deadline, while the instance drains", "/stream/", func(r *testRelay) { r.service.Drain() }),
		Entry("at its deadline, while the instance stops", "/stream/", func(r *testRelay) {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
			defer cancel()
			Expect(r.service.Stop(ctx)).To(MatchError(context.DeadlineExceeded))
		}),
	)
})
