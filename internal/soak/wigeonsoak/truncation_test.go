package wigeonsoak_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// truncationLog counts the responses of endpoints that truncate, by the kind of their end.
type truncationLog struct {
	mu sync.Mutex
	// malformed counts those with a malformed head, which are among shown.
	whole, shown, hidden, malformed int
}

// record counts a response: whole, cut with an end that shows it, or cut with a proper end of its framing.
func (l *truncationLog) record(e responseEnd) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case e.sentBytes < 0:
		l.whole++
	case e.proper:
		l.hidden++
	default:
		l.shown++
	}
	if e.malformedHead != "" {
		l.malformed++
	}
}

// responseFraming is how an engine marks the end of a response.
type responseFraming int

const (
	framingLength responseFraming = iota
	framingChunked
	// framingConnection means that the response ends with its connection.
	framingConnection
	framingCount
)

// responseEnd is how an engine ends a response.
type responseEnd struct {
	framing responseFraming
	// sentBytes is the number of bytes of the body before the end, the whole body if it is negative.
	sentBytes int
	// proper is set if the framing ends as after a whole response, although the body may be cut.
	proper bool
	// reset is set if the connection is reset. It is valid if proper isn't set.
	reset bool
	// malformedHead begins the response in place of a valid head if it isn't empty. The body is malformedBody then.
	malformedHead string
}

// malformedHeads are heads without their last lines that are no answers whatever follows.
var malformedHeads = []string{
	"HTTP/1.1 000 Zero\r\n", "HTTP/2.0 200 OK\r\n", "HTTP/1.1 200 OK\r\nX Y: z\r\n", "HTTP/1.1 200 OK\r\nX : z\r\n", "HTTP/1.1 200 OK\r\n\tX: z\r\n",
	"HTTP/1.1 200 OK\r\nX: y\nZ: z\r\n",
}

// malformedBody is the body of responses with malformed heads, which no caller may get.
const malformedBody = "malformed"

// malformedEvery is the number of cut responses with an end that shows it of which about one gets a malformed head instead.
const malformedEvery = 4

// randomEnd returns the end of a response to a streaming or plain request. Streams may be cut at any byte with a proper end of
// their framing; plain bodies only with an end that shows it.
func randomEnd(random *rand.Rand, bodyBytes int, isStream, mayCut bool) responseEnd {
	e := responseEnd{framing: responseFraming(random.IntN(int(framingCount))), sentBytes: -1, proper: true}
	if !mayCut || random.IntN(2) == 0 {
		return e
	}
	e.sentBytes = random.IntN(bodyBytes)
	e.proper = isStream && random.IntN(2) == 0
	e.reset = random.IntN(2) == 0 || !isStream && e.framing == framingConnection
	if !e.proper && e.sentBytes%malformedEvery == 0 {
		e.malformedHead = malformedHeads[e.sentBytes/malformedEvery%len(malformedHeads)]
	}
	return e
}

// showsCut reports whether a cut stream can be told from a whole one. An empty body of a known length is whole.
func (e *responseEnd) showsCut() bool {
	return !e.proper || e.framing != framingLength || e.sentBytes != 0
}

// cutInsideEvent moves a cut of a stream into an event where its bytes would show nothing: between two events, or before the
// first byte of a body of a known length.
func (e *responseEnd) cutInsideEvent(body string) {
	if e.sentBytes > 0 && strings.HasSuffix(body[:e.sentBytes], "\n\n") {
		e.sentBytes--
	}
	if !e.showsCut() {
		e.sentBytes = 1
	}
}

// endResponse writes a response with an end of its own on the connection of the request, which it takes over and closes.
func (e *engine) endResponse(w http.ResponseWriter, end responseEnd, contentType, body string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer c.Close()
	sent := body
	if end.sentBytes >= 0 {
		sent = body[:end.sentBytes]
	}
	lines := fmt.Sprintf("Request-Id: %s\r\nServer-Signature: %s\r\nContent-Type: %s\r\nConnection: close\r\n",
		w.Header().Get("Request-Id"), e.identity(), contentType)
	if end.malformedHead != "" {
		fmt.Fprintf(c, "%s%sContent-Length: %d\r\n\r\n%s", end.malformedHead, lines, len(malformedBody), malformedBody)
		return
	}
	head := "HTTP/1.1 200 OK\r\n" + lines
	switch end.framing {
	case framingLength:
		length := len(body)
		if end.proper {
			length = len(sent)
		}
		fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, length, sent)
	case framingChunked:
		fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n", head)
		writeChunks(c, sent)
		if end.proper {
			fmt.Fprint(c, "0\r\n\r\n")
		}
	default:
		fmt.Fprintf(c, "%s\r\n%s", head, sent)
	}
	if !end.proper && end.reset {
		resetConnection(c)
	}
}

// writeChunks writes a body in chunks of up to 40 bytes.
func writeChunks(c net.Conn, body string) {
	for rest := body; rest != ""; {
		n := min(40, len(rest))
		fmt.Fprintf(c, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
}

// TestTruncatedResponses guards against a response that broke off and reaches its caller framed as complete. All endpoints
// truncate responses during the whole run, or send malformed ones.
func TestTruncatedResponses(t *testing.T) {
	skipIfKnownRed(t)
	s := newSoakRun(t, truncationSeed, buildRelay(t))
	for _, e := range s.engines {
		e.setFault(faultTruncate, 1)
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range callerCount {
		c := &caller{soak: s, random: rand.New(rand.NewPCG(uint64(i), truncationSeed)), stop: stop}
		callers.Go(c.run)
	}
	time.Sleep(truncationDuration)
	close(stop)
	callers.Wait()
	t.Logf("responses by status %v; %d whole, %d cut with an end that shows it, %d with one that doesn't, %d malformed",
		s.outcomes, s.truncations.whole, s.truncations.shown, s.truncations.hidden, s.truncations.malformed)
	s.g.Expect(s.violations).To(BeEmpty())
	s.g.Expect(s.truncations.hidden).To(BeNumerically(">", 50))
	s.g.Expect(s.truncations.malformed).To(BeNumerically(">", len(malformedHeads)))
	s.g.Expect(s.outcomes[http.StatusOK]).To(BeNumerically(">", 100))
}

const (
	truncationSeed     = 24
	truncationDuration = 5 * time.Second
)
