package wigeonrelay_test

import (
	"fmt"
	"io"
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

// Guards against header lines that the HTTP library accepts though their names are invalid: it passed them on, took a name for another
// one, joined the line to the one before, or ended the head there, so that the body wasn't the endpoint's.
var _ = Describe("An answer with an invalid header line", func() {
	for _, line := range []string{
		"X Y: z", "X : z", " X: z", "\tX: z", "X\tY: z", "X\t: z", "\nX: z", "X\nY: z", "X: a\nY: b", "\rX: z", "X\rY: z", "X\r: z", "X\x00Y: z", "\x01X: z",
		"X\x01: z", "X\x7fY: z", "X\x0bY: z", "X(Y: z", "X\xe9Y: z", ": z", "X", "X: a\x00b", "X: a\x01b", "X: a\x7fb", "X: a\r\n folded", "X: a\r\n\tfolded",
		"Content-Length : 2", " Content-Length: 2", "\tContent-Length: 2", "Content Length: 2", "\nContent-Length: 2", "Content-Length\x01: 2", "Content-Length: 2",
		"Transfer-Encoding : chunked", "Transfer-Encoding: chunked", "Transfer-Encoding\t: chunked", "Content-Encoding : identity",
		"Server-Signature : other", "Request-Id : r0",
	} {
		It(fmt.Sprintf("doesn't reach the caller: %q", line), func() { expectNoAnswer(answerWith("HTTP/1.1 200 OK", line+"\r\n")) })
	}

	It("doesn't reach the caller: failures", func() {
		for _, status := range []string{"404 Not Found", "500 Oops"} {
			expectNoAnswer(answerWith("HTTP/1.1 "+status, "X Y: z\r\n"))
		}
	})

	It("doesn't reach the caller: a length only, under an invalid name", func() {
		for _, line := range []string{"Content-Length : 2", "Content Length: 2", "\nContent-Length: 2", "Transfer-Encoding : chunked"} {
			expectNoAnswer("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Signature: sig\r\n" + line + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
		}
	})

	It("doesn't reach the caller: chunks with a length", func() {
		for _, lines := range []string{"Content-Length: 2\r\nTransfer-Encoding: chunked", "transfer-encoding: chunked\r\ncontent-length: 14"} {
			expectNoAnswer("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Signature: sig\r\n" + lines + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
		}
	})

	It("doesn't reach the caller: chunks of HTTP/1.0", func() {
		expectNoAnswer("HTTP/1.0 200 OK\r\nRequest-Id: r1\r\nServer-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
	})

	It("promises nothing", func() {
		for _, line := range []string{"Not-Executed : 1", "X Y: z\r\nNot-Executed: 1", "\nNot-Executed: 1"} {
			expectNoAnswer("HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\n" + line + "\r\nContent-Length: 0\r\n\r\n")
		}
	})

	It("is told from one with unusual valid lines", func() {
		text := answerWith("HTTP/1.1 200 OK", "!#$%&'*+-.^_`|~09aZ: a\tb\xe9\r\nX:\r\nY:z\r\nZ: \t z \t\r\n")
		respond := func(c net.Conn, _ *http.Request, _ []byte) { writeText(c, text) }
		got := newTestRelay(newFakeEndpoint(respond)).readAnswer(requestText("POST", "/unsafe/", "", "x"))
		Expect(got).To(Equal(answer{status: http.StatusOK, body: "body", complete: true}))
	})

	// A trailer's fields became those of the head, where they could pass for the endpoint's signature.
	It("doesn't come from a trailer", func() {
		for _, line := range []string{"X Y: z", "Server-Signature: other", "Request-Id: r0"} {
			respond := func(c net.Conn, r *http.Request, _ []byte) {
				writeChunks(c, signedHead(r), "body")
				writeText(c, "0\r\n"+line+"\r\n\r\n")
			}
			for _, path := range []string{"/unsafe/", "/stream/"} {
				c, reader := newTestRelay(newFakeEndpoint(respond)).dial()
				writeText(c, requestText("POST", path, "", "x"))
				response, err := http.ReadResponse(reader, nil)
				Expect(err).NotTo(HaveOccurred())
				Expect(response.Header.Values("Server-Signature")).To(Equal([]string{"sig"}), "%s %q", path, line)
				Expect(response.Header.Values("Request-Id")).To(Equal([]string{"r1"}), "%s %q", path, line)
				Expect(io.ReadAll(response.Body)).To(BeEquivalentTo("body"))
				Expect(response.Trailer).To(BeEmpty())
			}
		}
	})
})

// Guards against an answer in HTTP/1.0 whose version is passed on: readers take the chunks in which the relay frames it for its body.
var _ = Describe("An answer in HTTP/1.0", func() {
	for _, path := range []string{"/unsafe/", "/stream/", "/resume/"} {
		It("reaches the caller as it is: "+path, func() {
			respond := func(c net.Conn, r *http.Request, _ []byte) {
				endsWithConnection.write(c, strings.Replace(signedHead(r), "HTTP/1.1", "HTTP/1.0", 1)+contentType(eventStreamType), eventText(1, 2, "\n"), 0)
			}
			got := newTestRelay(newFakeEndpoint(respond)).readAnswer(requestText("POST", path, "", "x"))
			Expect(got).To(Equal(answer{status: http.StatusOK, body: eventText(1, 2, "\n"), complete: true}))
		})
	}
})

// Guards against a head that is that of two answers.
var _ = Describe("An answer with two request ids or signatures", func() {
	for _, ids := range []string{"Request-Id: r1\r\nRequest-Id: r2", "Request-Id: r2\r\nRequest-Id: r1", "Request-Id: r1\r\nrequest-id: r1"} {
		text := "HTTP/1.1 200 OK\r\n" + ids + "\r\nServer-Signature: sig\r\nContent-Length: 4\r\n\r\nbody"
		It(fmt.Sprintf("doesn't reach the caller: %q", ids), func() { expectNoAnswer(text) })

		It(fmt.Sprintf("fails at once on a connection that stays open: %q", ids), func() {
			respond := func(c net.Conn, _ *http.Request, _ []byte) { writeText(c, text) }
			got := newTestRelay(newFakeEndpoint(respond)).readAnswer(requestText("POST", "/unsafe/", "", "x"))
			Expect(got.status).To(Equal(http.StatusBadGateway), "%+v", got)
		})
	}

	It("doesn't reach the caller: signatures", func() {
		for _, status := range []string{"200 OK", "500 Oops"} {
			expectNoAnswer(answerWith("HTTP/1.1 "+status, "Server-Signature: other\r\n"))
		}
	})
})
