package wigeonrelay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// requestWithID returns a request with an id of its own.
func requestWithID(path, id string) string {
	return strings.Replace(requestText("POST", path, "", id), "Request-Id: r1", "Request-Id: "+id, 1)
}

// readAnswer reads the answer to a request on a connection of its own; the status is 0 if there is none.
func (r *testRelay) readAnswer(text string) answer {
	GinkgoHelper()
	c, reader := r.dial()
	writeText(c, strings.Replace(text, "Deadline-Ms: 1500", "Deadline-Ms: 300", 1))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(body), complete: err == nil}
}

// promisesNoRun reports whether a status promises that the request did not run.
func promisesNoRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

const plainAnswer = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Signature: sig\r\nContent-Length: 4\r\n\r\nbody"

// Guards against answers whose head ends early: they must not be taken for whole ones or for refusals.
var _ = Describe("An answer that breaks off", func() {
	for _, path := range []string{"/safe/", "/unsafe/", "/stream/", "/resume/"} {
		It("at any byte is not forwarded as whole and promises nothing: "+path, func() {
			for cut := range len(plainAnswer) {
				respond := func(c net.Conn, _ *http.Request, _ []byte) {
					writeText(c, plainAnswer[:cut])
					closeWith(c, cut%2 == 1)
				}
				got := newTestRelay(newFakeEndpoint(respond), newFakeEndpoint(respond)).readAnswer(requestText("POST", path, "", "x"))
				Expect(got.complete && got.status == http.StatusOK).To(BeFalse(), "cut at %d: %v", cut, got)
				Expect(promisesNoRun(got.status)).To(BeFalse(), "cut at %d: %v", cut, got)
			}
		})
	}

	It("at any byte on a kept connection is not forwarded as whole and promises nothing", func() {
		for cut := range len(plainAnswer) {
			e := newFakeEndpoint(func(c net.Conn, r *http.Request, _ []byte) {
				if r.Header.Get("Request-Id") == "r0" {
					writeText(c, "HTTP/1.1 503 Busy\r\nRequest-Id: r0\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
					return
				}
				writeText(c, plainAnswer[:cut])
				closeWith(c, cut%2 == 1)
			})
			r := newTestRelay(e)
			Expect(r.readAnswer(requestWithID("/unsafe/", "r0")).status).To(Equal(http.StatusServiceUnavailable))
			got := r.readAnswer(requestText("POST", "/unsafe/", "", "x"))
			Expect(got.complete && got.status == http.StatusOK).To(BeFalse(), "cut at %d: %v", cut, got)
			Expect(promisesNoRun(got.status)).To(BeFalse(), "cut at %d: %v", cut, got)
		}
	})
})

// Guards against an endpoint that writes an earlier refusal once more on a kept connection, whole or in part, before the answer to
// the request that it runs: callers were told that the request had not run, or it ran on a second endpoint.
var _ = Describe("An earlier refusal that comes once more", func() {
	for name, refusal := range map[string]string{
		"with its id":            "HTTP/1.1 503 Busy\r\nRequest-Id: r0\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nbusy",
		"with its id at the end": "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 4\r\nRequest-Id: r0\r\n\r\nbusy",
		"without an id":          "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nbusy",
		"without a body":         "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"for another endpoint":   "HTTP/1.1 421 Elsewhere\r\nContent-Length: 0\r\n\r\n",
	} {
		It("is not the answer to the next request: "+name, func() {
			for _, path := range []string{"/unsafe/", "/safe/"} {
				for cut := 1; cut <= len(refusal); cut++ {
					var runs atomic.Int32
					// refusedOn holds the connections on which r0 was refused, one at each endpoint.
					var refusedOn sync.Map
					var isKept atomic.Bool
					respond := func(c net.Conn, r *http.Request, _ []byte) {
						if r.Header.Get("Request-Id") == "r0" {
							refusedOn.Store(c, true)
							writeText(c, "HTTP/1.1 503 Busy\r\nRequest-Id: r0\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nbusy")
							return
						}
						if runs.Add(1) == 1 {
							_, known := refusedOn.Load(c)
							isKept.Store(known)
						}
						writeText(c, refusal[:cut]+plainAnswer)
					}
					r := newTestRelay(newFakeEndpoint(respond), newFakeEndpoint(respond))
					// Each endpoint refuses one.
					for range 2 {
						Expect(r.readAnswer(requestWithID("/unsafe/", "r0")).status).To(Equal(http.StatusServiceUnavailable))
					}
					got := r.readAnswer(requestText("POST", path, "", "x"))
					Expect(promisesNoRun(got.status)).To(BeFalse(), "%s, cut at %d: %v", path, cut, got)
					if got.status == http.StatusOK && got.complete {
						Expect(got.body).To(Equal("body"), "%s, cut at %d", path, cut)
					}
					Expect(isKept.Load()).To(BeTrue(), "the connection is kept")
					if path == "/unsafe/" {
						Expect(runs.Load()).To(BeEquivalentTo(1), "cut at %d", cut)
					}
				}
			}
		})
	}
})

// Guards against a stream that broke off and is continued with something that isn't its rest: an error's text or head, or an end.
var _ = Describe("A stream that broke off", func() {
	begin := eventText(1, 2, "\n")
	rest := eventText(3, 3, "\n")
	resumed := func(second string) answer {
		var requests atomic.Int32
		respond := func(c net.Conn, r *http.Request, _ []byte) {
			if requests.Add(1) == 1 {
				writeChunks(c, signedHead(r)+contentType(eventStreamType), begin)
				closeWith(c, true)
				return
			}
			writeText(c, second)
			closeWith(c, false)
		}
		return newTestRelay(newFakeEndpoint(respond), newFakeEndpoint(respond)).readAnswer(requestText("POST", "/resume/", "", "x"))
	}
	signed := "Request-Id: r1\r\nServer-Signature: sig\r\n"

	DescribeTable("gets nothing of the next endpoint's error", func(second string) {
		got := resumed(second)
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(begin).To(HavePrefix(got.body))
		Expect(got.complete).To(BeFalse())
	},
		Entry("500", "HTTP/1.1 500 Oops\r\n"+signed+"Content-Length: 4\r\n\r\noops"),
		Entry("400", "HTTP/1.1 400 Oops\r\n"+signed+"Content-Length: 4\r\n\r\noops"),
		Entry("404 as events", "HTTP/1.1 404 Oops\r\n"+signed+contentType(eventStreamType)+"Content-Length: 22\r\n\r\nid: 3\ndata: not found\n\n"),
		Entry("500 without an id", "HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops"),
		Entry("503 that did not run", "HTTP/1.1 503 Busy\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nbusy"),
		Entry("success without events", "HTTP/1.1 200 OK\r\n"+signed+"Content-Type: text/plain\r\nContent-Length: 4\r\n\r\noops"),
		Entry("success of no type without events", "HTTP/1.1 200 OK\r\n"+signed+"Content-Length: 20\r\n\r\n{\"error\":\"too late\"}"),
		Entry("success without a signature", "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"+contentType(eventStreamType)+"Content-Length: 15\r\n\r\n"+rest),
		Entry("an answer to another request", "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nServer-Signature: sig\r\n"+contentType(eventStreamType)+"Content-Length: 15\r\n\r\n"+rest),
		Entry("no answer", ""),
	)

	It("is whole with the next endpoint's rest only", func() {
		second := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s%sContent-Length: %d\r\n\r\n%s", signed, contentType(eventStreamType), len(rest), rest)
		Expect(resumed(second)).To(Equal(answer{status: http.StatusOK, body: begin + rest, complete: true}))
		for cut := range len(second) {
			got := resumed(second[:cut])
			Expect(begin+rest).To(HavePrefix(got.body), "cut at %d", cut)
			Expect(got.complete).To(BeFalse(), "cut at %d", cut)
		}
	})
})
