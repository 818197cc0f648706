package wigeonrelay_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// fakeEndpoint is an endpoint whose responses a test writes byte by byte.
type fakeEndpoint struct {
	listener net.Listener
	respond  func(c net.Conn, r *http.Request, body []byte)
	// respondsEarly makes it respond before it reads a body; set before the first request.
	respondsEarly bool

	mu          sync.Mutex
	requests    []*http.Request
	bodies      []string
	connections int
}

// newFakeEndpoint starts an endpoint that calls respond for each request.
func newFakeEndpoint(respond func(c net.Conn, r *http.Request, body []byte)) *fakeEndpoint {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	e := &fakeEndpoint{listener: l, respond: respond}
	go e.run()
	DeferCleanup(func() { _ = l.Close() }) // A test may have closed it.
	return e
}

func (e *fakeEndpoint) address() string { return e.listener.Addr().String() }

func (e *fakeEndpoint) run() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.connections++
		e.mu.Unlock()
		go e.serve(c)
	}
}

func (e *fakeEndpoint) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if e.respondsEarly {
			e.respond(c, request, nil)
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.requests = append(e.requests, request)
		e.bodies = append(e.bodies, string(body))
		e.mu.Unlock()
		if !e.respondsEarly {
			e.respond(c, request, body)
		}
	}
}

// connectionCount returns the number of connections so far.
func (e *fakeEndpoint) connectionCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.connections
}

// receivedRequests returns the requests so far.
func (e *fakeEndpoint) receivedRequests() []*http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*http.Request(nil), e.requests...)
}

// writeText writes text and ignores errors, since the peer may have closed the connection.
func writeText(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

// signedHead returns the beginning of a successful signed response to a request.
func signedHead(r *http.Request) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + r.Header.Get("Request-Id") + "\r\nServer-Signature: sig\r\n"
}
