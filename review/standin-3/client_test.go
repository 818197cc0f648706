package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

func dial(address string, limit time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", address, limit)
}

// call is a request of a client.
type call struct {
	method, path, key string
	body              string
	// events is the number of events that the engine makes; zero for a plain answer.
	events, promptTokens, maxTokens int
	deadline                        time.Duration
	extra                           string
}

// answer is what the client got. err says why it isn't whole.
type answer struct {
	id     string
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
	sentAt time.Time
}

// isPromise reports whether the status says that the request wasn't run.
func (a answer) isPromise() bool {
	return a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// client has one connection that it keeps.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

func (k *client) close() {
	if k.conn != nil {
		k.conn.Close()
		k.conn = nil
	}
}

// do sends a request on the kept connection, or on a new one.
func (k *client) do(address string, x call) (a answer) {
	a.id, a.sentAt = newID(), time.Now()
	defer func() { a.took = time.Since(a.sentAt) }()
	if k.conn == nil {
		if k.conn, a.err = dial(address, time.Second); a.err != nil {
			k.conn = nil
			return a
		}
		k.in = bufio.NewReader(k.conn)
	}
	_ = k.conn.SetDeadline(a.sentAt.Add(x.deadline + time.Second))
	if _, a.err = io.WriteString(k.conn, x.text(a.id)); a.err != nil {
		k.close()
		return a
	}
	k.read(x, &a)
	return a
}

func (x call) text(id string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", x.method, x.path, host, id, x.deadline.Milliseconds())
	if x.key != "" {
		fmt.Fprintf(&b, "Api-Key: %s\r\n", x.key)
	}
	if x.events > 0 {
		fmt.Fprintf(&b, "Events: %d\r\nModel: m\r\nToken-Usage: %d,%d\r\nPrompt-Prefix: %s:%d\r\n", x.events, x.promptTokens, x.maxTokens, id[:8], x.promptTokens)
	}
	b.WriteString(x.extra)
	if x.body != "" || x.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(x.body))
	}
	b.WriteString("\r\n")
	b.WriteString(x.body)
	return b.String()
}

func (k *client) read(x call, a *answer) {
	response, err := http.ReadResponse(k.in, &http.Request{Method: x.method})
	if err != nil {
		a.err = err
		k.close()
		return
	}
	a.status, a.header = response.StatusCode, response.Header
	body, err := io.ReadAll(response.Body)
	a.body, a.err = string(body), err
	if err != nil || response.Close {
		k.close()
	}
}

var errNotWhole = errors.New("the body isn't whole")

// wholeStream returns an error if the body isn't that of the whole stream.
func (a answer) wholeStream(events int) error {
	var want strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&want, "id: %d\ndata: %s %d of %d\n\n", n, a.id, n, events)
	}
	if a.body != want.String() {
		return fmt.Errorf("%w: %d of %d events, %d of %d bytes", errNotWhole, strings.Count(a.body, "\n\n"), events, len(a.body), want.Len())
	}
	return nil
}
