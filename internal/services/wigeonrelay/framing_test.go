package wigeonrelay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// bodyEnd is a way in which an endpoint frames a body and ends it.
type bodyEnd struct {
	name string
	// proper is set if the framing shows no break.
	proper bool
	// write sends a response that begins with head and breaks off after body. whole is the length of the whole body.
	write func(c net.Conn, head, body string, whole int)
}

// closeWith closes a connection in order, or with a reset.
func closeWith(c net.Conn, reset bool) {
	if reset {
		// Bytes that have not been sent yet would be lost.
		time.Sleep(10 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	_ = c.Close()
}

func writeLength(c net.Conn, head, body string, length int) {
	writeText(c, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, length, body))
}

// writeChunks sends a body in chunks of at most 7 bytes, without the last one.
func writeChunks(c net.Conn, head, body string) {
	writeText(c, head+"Transfer-Encoding: chunked\r\n\r\n")
	for rest := body; rest != ""; {
		n := min(7, len(rest))
		writeText(c, fmt.Sprintf("%x\r\n%s\r\n", n, rest[:n]))
		rest = rest[n:]
	}
}

var (
	endsWithLength = bodyEnd{name: "a length", proper: true, write: func(c net.Conn, head, body string, _ int) {
		writeLength(c, head, body, len(body))
	}}
	endsShortOfLength = bodyEnd{name: "a length and a close before it", write: func(c net.Conn, head, body string, whole int) {
		writeLength(c, head, body, whole+1)
		closeWith(c, false)
	}}
	endsWithLengthReset = bodyEnd{name: "a length and a reset before it", write: func(c net.Conn, head, body string, whole int) {
		writeLength(c, head, body, whole+1)
		closeWith(c, true)
	}}
	endsWithLastChunk = bodyEnd{name: "the last chunk", proper: true, write: func(c net.Conn, head, body string, _ int) {
		writeChunks(c, head, body)
		writeText(c, "0\r\n\r\n")
	}}
	endsWithoutLastChunk = bodyEnd{name: "chunks and a close", write: func(c net.Conn, head, body string, _ int) {
		writeChunks(c, head, body)
		closeWith(c, false)
	}}
	endsInsideChunk = bodyEnd{name: "a close inside a chunk", write: func(c net.Conn, head, body string, _ int) {
		writeText(c, fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s", head, len(body)+5, body))
		closeWith(c, false)
	}}
	endsInsideTrailer = bodyEnd{name: "a close inside the trailer", write: func(c net.Conn, head, body string, _ int) {
		writeChunks(c, head, body)
		writeText(c, "0\r\nX-Trailer: a")
		closeWith(c, false)
	}}
	endsWithChunksReset = bodyEnd{name: "chunks and a reset", write: func(c net.Conn, head, body string, _ int) {
		writeChunks(c, head, body)
		closeWith(c, true)
	}}
	endsWithConnection = bodyEnd{name: "the connection", proper: true, write: func(c net.Conn, head, body string, _ int) {
		writeText(c, head+"\r\n"+body)
		closeWith(c, false)
	}}
	endsWithReset = bodyEnd{name: "neither length nor chunks and a reset", write: func(c net.Conn, head, body string, _ int) {
		writeText(c, head+"\r\n"+body)
		closeWith(c, true)
	}}
)

var bodyEnds = []bodyEnd{
	endsWithLength, endsShortOfLength, endsWithLengthReset, endsWithLastChunk, endsWithoutLastChunk, endsInsideChunk,
	endsInsideTrailer, endsWithChunksReset, endsWithConnection, endsWithReset,
}

const (
	eventStreamType = "text/event-stream"
	streamEvents    = 3
)

// eventText returns the events from first to last with the given line end.
func eventText(first, last int, lineEnd string) string {
	var b strings.Builder
	for id := first; id <= last; id++ {
		fmt.Fprintf(&b, "id: %d%sdata: e%d%s%s", id, lineEnd, id, lineEnd, lineEnd)
	}
	return b.String()
}

// breakPlaces are the places at which a stream of streamEvents events ends.
var breakPlaces = []struct {
	name, body string
	// whole is set if the body may be the whole stream.
	whole bool
	// alone is set if the place is also tried on a resumable route without another endpoint, where callers wait for the
	// deadline.
	alone bool
}{
	{name: "after the last event", body: eventText(1, 3, "\n"), whole: true},
	{name: "between two events", body: eventText(1, 2, "\n"), whole: true, alone: true},
	{name: "inside a line", body: eventText(1, 2, "\n") + "id: 3\nda", alone: true},
	{name: "after a line", body: eventText(1, 2, "\n") + "id: 3\n"},
	{name: "before the empty line", body: eventText(1, 2, "\n") + "id: 3\ndata: e3\n"},
	{name: "inside the first event", body: "id: 1\nd"},
	{name: "before the first byte", alone: true},
}

// answer is what a caller has received.
type answer struct {
	// status is 0 if the connection was closed before the end of the head.
	status int
	body   string
	// complete is set if the answer is a success that is framed as complete.
	complete bool
}

// fetch sends a request with a deadline and further header lines and reads the answer.
func (r *testRelay) fetch(path string, deadline time.Duration, headers ...string) answer {
	GinkgoHelper()
	c, reader := r.dial()
	text := requestText("POST", path, strings.Join(headers, ""), "x")
	writeText(c, strings.Replace(text, "Deadline-Ms: 1500", fmt.Sprintf("Deadline-Ms: %d", deadline.Milliseconds()), 1))
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return answer{}
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close() // It reports the same break as ReadAll.
	signed := response.Header.Get("Server-Signature") != ""
	Expect(signed).To(Equal(response.StatusCode == http.StatusOK), "status %d", response.StatusCode)
	return answer{
		status: response.StatusCode, body: string(body), complete: err == nil && response.StatusCode == http.StatusOK,
	}
}

// fetchDeadline is the deadline of most requests, shortDeadline that of requests that wait for it.
const (
	fetchDeadline = 1500 * time.Millisecond
	shortDeadline = 150 * time.Millisecond
)

// contentType returns the header line of a content type, none if it is empty.
func contentType(value string) string {
	if value == "" {
		return ""
	}
	return "Content-Type: " + value + "\r\n"
}

// respondWith returns an endpoint's behaviour that ends each response in the same way.
func respondWith(end bodyEnd, mediaType, body string, whole int) func(net.Conn, *http.Request, []byte) {
	return func(c net.Conn, r *http.Request, _ []byte) {
		end.write(c, signedHead(r)+contentType(mediaType), body, whole)
	}
}

// respondThenResume returns the behaviour of two endpoints: the first request gets first, later ones the rest of a stream of
// events.
func respondThenResume(
	first func(net.Conn, *http.Request, []byte), events int, lineEnd string,
) func(net.Conn, *http.Request, []byte) {
	var requests atomic.Int32
	return func(c net.Conn, r *http.Request, body []byte) {
		if requests.Add(1) == 1 {
			first(c, r, body)
			return
		}
		after := 0
		_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &after) // The header is missing if nothing was received.
		rest, end := eventText(after+1, events, lineEnd), endsWithLastChunk
		if rest == "" {
			// Without a length, an empty rest is taken for one that broke off.
			end = endsWithLength
		}
		end.write(c, signedHead(r)+contentType(eventStreamType), rest, 0)
	}
}

// An answer that had been broken off reached its caller framed as complete, because the end of the endpoint's framing was
// taken for the end of the stream.
var _ = Describe("End of an answer", func() {
	wholeLength := len(eventText(1, streamEvents, "\n"))
	for _, end := range bodyEnds {
		for _, place := range breakPlaces {
			// An empty body of a known length is whole.
			whole := end.proper && (place.whole || place.body == "" && end.name == endsWithLength.name)
			first := respondWith(end, eventStreamType, place.body, wholeLength)

			It(fmt.Sprintf("is told truly for a stream with %s that ends %s", end.name, place.name), func() {
				got := newTestRelay(newFakeEndpoint(first)).fetch("/stream/", fetchDeadline)
				Expect(got.complete).To(Equal(whole), "%+v", got)
				Expect(place.body).To(HavePrefix(got.body))
				if whole {
					Expect(got.body).To(Equal(place.body))
				}
			})

			It(fmt.Sprintf("is told truly for a resumable stream with %s that ends %s", end.name, place.name), func() {
				respond := respondThenResume(first, streamEvents, "\n")
				got := newTestRelay(newFakeEndpoint(respond), newFakeEndpoint(respond)).fetch("/resume/", fetchDeadline)
				Expect(got.complete).To(BeTrue(), "%+v", got)
				want := eventText(1, streamEvents, "\n")
				if whole {
					want = place.body
				}
				Expect(got.body).To(Equal(want))
			})

			if place.alone {
				It(fmt.Sprintf("is told truly for a resumable stream without another endpoint, with %s that ends %s", end.name, place.name), func() {
					got := newTestRelay(newFakeEndpoint(first)).fetch("/resume/", shortDeadline)
					Expect(got.complete).To(Equal(whole), "%+v", got)
					Expect(place.body).To(HavePrefix(got.body))
				})
			}

			It(fmt.Sprintf("is told truly for a buffered event stream with %s that ends %s", end.name, place.name), func() {
				got := newTestRelay(newFakeEndpoint(first)).fetch("/unsafe/", fetchDeadline)
				Expect(got.complete).To(Equal(whole), "%+v", got)
				Expect(got.status).To(Equal(map[bool]int{true: 200, false: 502}[whole]))
			})
		}

		It("is told truly for a plain body with "+end.name, func() {
			got := newTestRelay(newFakeEndpoint(respondWith(end, "text/plain", "plain", 5))).fetch("/unsafe/", fetchDeadline)
			Expect(got.complete).To(Equal(end.proper), "%+v", got)
		})

		It("is told truly for a body on a streaming route that is no event stream, with "+end.name, func() {
			got := newTestRelay(newFakeEndpoint(respondWith(end, "application/json", `{"a":1}`, 7))).fetch("/stream/", fetchDeadline)
			Expect(got.complete).To(Equal(end.proper), "%+v", got)
		})
	}

	for _, path := range []string{"/stream/", "/resume/", "/unsafe/"} {
		for _, end := range []bodyEnd{endsWithLength, endsWithLastChunk, endsWithConnection} {
			DescribeTable(fmt.Sprintf("is told truly at each byte of a stream at %s with %s", path, end.name), func(lineEnd string) {
				text := eventText(1, 2, lineEnd)
				firstEvent := len(text) / 2
				for n := 1; n <= len(text); n++ {
					respond := respondThenResume(respondWith(end, eventStreamType, text[:n], 0), 2, lineEnd)
					got := newTestRelay(newFakeEndpoint(respond), newFakeEndpoint(respond)).fetch(path, fetchDeadline)
					whole := n == firstEvent || n == len(text)
					Expect(got.complete).To(Equal(whole || path == "/resume/"), "%q: %+v", text[:n], got)
					if path == "/resume/" && !whole {
						Expect(got.body).To(Equal(text), "%q", text[:n])
					}
				}
			},
				Entry("and LF", "\n"), Entry("and CR LF", "\r\n"), Entry("and CR", "\r"),
			)
		}
	}

	DescribeTable("depends on what the body is",
		func(path, mediaType, body string, complete bool) {
			for _, end := range []bodyEnd{endsWithLastChunk, endsWithConnection} {
				got := newTestRelay(newFakeEndpoint(respondWith(end, mediaType, body, 0))).fetch(path, fetchDeadline)
				Expect(got.complete).To(Equal(complete), "%s: %+v", end.name, got)
			}
		},
		Entry("event stream with a parameter", "/stream/", "text/event-stream; charset=utf-8", "data: a\n\ndata", false),
		Entry("event stream in capitals", "/stream/", "Text/Event-Stream", "data: a\n\ndata", false),
		Entry("events without a type", "/stream/", "", "data: a\n\ndata", false),
		Entry("whole events without a type", "/stream/", "", "data: a\n\n", true),
		Entry("the first bytes of a field without a type", "/stream/", "", "da", false),
		Entry("a comment without a type", "/stream/", "", ": a", false),
		Entry("events with another type on a streaming route", "/stream/", "application/octet-stream", "data: a\n\ndata", false),
		Entry("other text without a type", "/stream/", "", "date", true),
		Entry("other text without a type on a resumable route", "/resume/", "", `{"a":1}`, true),
		Entry("only comments", "/stream/", eventStreamType, ": a\n\n: b\n", true),
		Entry("events with another type on a plain route", "/unsafe/", "text/plain", "data: a\n\ndata", true),
		Entry("an event stream on an idempotent route", "/safe/", eventStreamType, "data: a\n\ndata", false),
	)

	It("is told truly for a continuation that ends before its first byte", func() {
		for _, end := range []bodyEnd{endsWithConnection, endsWithLastChunk} {
			respond := func(c net.Conn, r *http.Request, _ []byte) {
				body, bodyEnd := eventText(1, 2, "\n")+"id: 3", endsWithLastChunk
				if r.Header.Get("Last-Event-Id") != "" {
					body, bodyEnd = "", end
				}
				bodyEnd.write(c, signedHead(r)+contentType(eventStreamType), body, 0)
			}
			got := newTestRelay(newFakeEndpoint(respond), newFakeEndpoint(respond)).fetch("/resume/", fetchDeadline)
			Expect(got.complete).To(BeFalse(), "%s: %+v", end.name, got)
		}
	})

	It("is told truly for an event stream without a body", func() {
		e := newFakeEndpoint(func(c net.Conn, r *http.Request, _ []byte) {
			head := strings.Replace(signedHead(r), "200 OK", "204 No Content", 1)
			writeText(c, head+contentType(eventStreamType)+"\r\n")
		})
		response, _, err := newTestRelay(e).send(requestText("POST", "/stream/", "", "x"))
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(204))
	})

	// The process of an endpoint that crashes closes its connections in order. The bytes of a body that ends with the
	// connection don't show it.
	DescribeTable("is told truly for a body that ends with the connection as the endpoint crashes",
		func(path, mediaType, body string, leaving bool, status int, complete bool) {
			var crashing *fakeEndpoint
			crashing = newFakeEndpoint(func(c net.Conn, r *http.Request, _ []byte) {
				writeText(c, signedHead(r)+contentType(mediaType)+"\r\n"+body)
				time.Sleep(30 * time.Millisecond)
				_ = crashing.listener.Close()
				closeWith(c, false)
			})
			r := newTestRelay(crashing)
			if leaving {
				time.AfterFunc(15*time.Millisecond, func() {
					r.dispatcher.SetEndpoints([]wigeonshift.EndpointRecord{{
						ID: "engine-0", Service: "model", Address: crashing.address(), Zone: "z", Slots: 4, Leaving: true,
					}}, 1)
				})
			}
			got := r.fetch(path, fetchDeadline)
			Expect(got.status).To(Equal(status))
			Expect(got.complete).To(Equal(complete), "%+v", got)
		},
		Entry("between two events", "/stream/", eventStreamType, eventText(1, 2, "\n"), false, 200, false),
		Entry("between two events of a resumable stream", "/resume/", eventStreamType, eventText(1, 2, "\n"), false, 200, false),
		Entry("between two events while it leaves", "/stream/", eventStreamType, eventText(1, 2, "\n"), true, 200, false),
		Entry("in a plain body", "/unsafe/", "text/plain", "plain", false, 502, false),
		Entry("in a plain body while it leaves", "/unsafe/", "text/plain", "plain", true, 502, false),
	)

	// Events of a stream with a length reached the caller only when a buffer was full.
	It("doesn't delay the events of a stream with a length", func() {
		received := make(chan struct{})
		e := newFakeEndpoint(func(c net.Conn, r *http.Request, _ []byte) {
			text := eventText(1, 2, "\n")
			writeText(c, fmt.Sprintf("%s%sContent-Length: %d\r\n\r\n%s", signedHead(r), contentType(eventStreamType), len(text), text[:len(text)/2]))
			<-received
			writeText(c, text[len(text)/2:])
		})
		c, reader := newTestRelay(e).dial()
		writeText(c, requestText("POST", "/stream/", "", "x"))
		response, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadFull(response.Body, make([]byte, len(eventText(1, 1, "\n"))))
		Expect(err).NotTo(HaveOccurred())
		close(received)
		Expect(io.ReadAll(response.Body)).To(BeEquivalentTo(eventText(2, 2, "\n")))
	})

	It("is told truly to a caller that speaks HTTP/1.0", func() {
		e := newFakeEndpoint(respondWith(endsWithConnection, eventStreamType, eventText(1, 2, "\n")+"id: 3\n", 0))
		c, reader := newTestRelay(e).dial()
		writeText(c, strings.Replace(requestText("POST", "/stream/", "", "x"), "HTTP/1.1", "HTTP/1.0", 1))
		response, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(response.Body)
		Expect(err).To(HaveOccurred())
	})
})
