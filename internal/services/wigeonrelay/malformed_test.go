package wigeonrelay_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// expectNoAnswer sends a request to endpoints that all give the same answer, on each kind of route, and expects that the caller gets
// nothing of it and no promise that the request hasn't run.
func expectNoAnswer(text string) {
	GinkgoHelper()
	for _, path := range []string{"/safe/", "/unsafe/", "/stream/", "/resume/"} {
		respond := func(c net.Conn, _ *http.Request, _ []byte) {
			writeText(c, text)
			closeWith(c, false)
		}
		got := newTestRelay(newFakeEndpoint(respond), newFakeEndpoint(respond)).readAnswer(requestText("POST", path, "", "x"))
		Expect(got.status).To(BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout), "%s %q: %+v", path, text, got)
		Expect(got.body).To(BeEmpty(), "%s %q", path, text)
	}
}

// answerWith returns a signed answer to r1 with the given status line and further header lines.
func answerWith(statusLine, headers string) string {
	return statusLine + "\r\nRequest-Id: r1\r\nServer-Signature: sig\r\n" + headers + "Content-Length: 4\r\n\r\nbody"
}

// Guards against status lines that the HTTP library accepts though they have no valid status: callers got 000 as 200.
var _ = Describe("An answer without a valid status line", func() {
	for _, line := range []string{
		"HTTP/1.1 000 Zero", "HTTP/1.1 001 One", "HTTP/1.1 099 Low", "HTTP/1.1 99 Short", "HTTP/1.1 0 Zero", "HTTP/1.1 -20 Sign",
		"HTTP/1.1 0200 Long", "HTTP/1.1 2000 Long", "HTTP/1.1 600 High", "HTTP/1.1 999 High", "HTTP/1.1  200 OK", "HTTP/1.1 200OK",
		"HTTP/1.1 2x0 OK", "HTTP/1.1", "HTTP/1.1 ", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "http/1.1 200 OK", "ICY 200 OK", "\r\nHTTP/1.1 200 OK",
		"HTTP/1.1 101 Switching Protocols", "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\x00K", "HTTP/1.1 200 O\rK", "HTTP/1.1 500 O\x7fps",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Zero",
	} {
		It(fmt.Sprintf("doesn't reach the caller: %q", line), func() { expectNoAnswer(answerWith(line, "")) })
	}

	It("doesn't continue a stream that broke off", func() {
		text := eventText(2, 2, "\n")
		respond := func(c net.Conn, r *http.Request, _ []byte) {
			if r.Header.Get("Last-Event-Id") == "" {
				writeChunks(c, signedHead(r)+contentType(eventStreamType), eventText(1, 1, "\n"))
			} else {
				head := strings.Replace(signedHead(r), "200 OK", "000 Zero", 1)
				writeLength(c, head+contentType(eventStreamType), text, len(text))
			}
			closeWith(c, false)
		}
		got := newTestRelay(newFakeEndpoint(respond), newFakeEndpoint(respond)).readAnswer(requestText("POST", "/resume/", "", "x"))
		Expect(got).To(Equal(answer{status: http.StatusOK, body: eventText(1, 1, "\n")}))
	})

	It("is told from a valid one after informational ones", func() {
		for _, line := range []string{"HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 200 Très bien"} {
			text := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + answerWith(line, "")
			respond := func(c net.Conn, _ *http.Request, _ []byte) { writeText(c, text) }
			got := newTestRelay(newFakeEndpoint(respond)).readAnswer(requestText("POST", "/unsafe/", "", "x"))
			Expect(got).To(Equal(answer{status: http.StatusOK, body: "body", complete: true}), "%q", line)
		}
	})

	It("isn't the answer after informational ones without end", func() {
		expectNoAnswer(strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1000) + answerWith("HTTP/1.1 200 OK", ""))
	})
})
