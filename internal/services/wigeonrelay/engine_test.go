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

// engine is an endpoint that answers byte by byte as a test says.
type engine struct {
	listener net.Listener
	answer   func(c net.Conn, r *http.Request, body []byte)

	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
	conns    int
}

// newEngine starts an endpoint; answer writes the answer to each request.
func newEngine(answer func(c net.Conn, r *http.Request, body []byte)) *engine {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	e := &engine{listener: l, answer: answer}
	go e.run()
	DeferCleanup(l.Close)
	return e
}

func (e *engine) address() string { return e.listener.Addr().String() }

func (e *engine) run() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns++
		e.mu.Unlock()
		go e.serve(c)
	}
}

func (e *engine) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		e.mu.Lock()
		e.requests = append(e.requests, request)
		e.bodies = append(e.bodies, string(body))
		e.mu.Unlock()
		e.answer(c, request, body)
	}
}

// seen returns the requests so far.
func (e *engine) seen() []*http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*http.Request(nil), e.requests...)
}

// write sends bytes; a caller that has gone is no fault of the test.
func write(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

// signed is the head of a good answer to a request.
func signed(r *http.Request) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + r.Header.Get("Request-Id") + "\r\nServer-Signature: sig\r\n"
}
