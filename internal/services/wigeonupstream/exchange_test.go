package wigeonupstream

import (
	"bufio"
	"context"
	"errors"
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
	"github.com/valyala/fasthttp"
)

// testDialect reads the request id from the header Id and the keep-alive timeout from the header Idle.
type testDialect struct{ wigeonshift.WireDialect }

func (testDialect) ReadResponse(h *fasthttp.ResponseHeader) wigeonshift.ResponseHeader {
	idle, err := time.ParseDuration(string(h.Peek("Idle")))
	if err != nil {
		idle = 0
	}
	return wigeonshift.ResponseHeader{RequestID: string(h.Peek("Id")), KeepAliveTimeout: idle}
}

// scriptedEndpoint calls script for each request of a connection, with the request's index on that connection. It closes
// the connection when script returns false.
type scriptedEndpoint struct {
	net.Listener
	connections atomic.Int32
	script      func(c *net.TCPConn, request *http.Request, index int) bool
}

func newScriptedEndpoint(script func(c *net.TCPConn, request *http.Request, index int) bool) *scriptedEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	e := &scriptedEndpoint{Listener: l, script: script}
	DeferCleanup(func() { l.Close() })
	go e.run()
	return e
}

func (e *scriptedEndpoint) run() {
	for {
		c, err := e.Accept()
		if err != nil {
			return
		}
		e.connections.Add(1)
		go e.serve(c.(*net.TCPConn))
	}
}

func (e *scriptedEndpoint) serve(c *net.TCPConn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for index := 0; ; index++ {
		request, err := http.ReadRequest(reader)
		if err != nil || !e.script(c, request, index) {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
	}
}

// writeResponse writes a 200 response with a request id.
func writeResponse(c net.Conn, id, body string, headers ...string) {
	head := append([]string{"HTTP/1.1 200 OK", "Id: " + id, fmt.Sprint("Content-Length: ", len(body))}, headers...)
	_, err := io.WriteString(c, strings.Join(head, "\r\n")+"\r\n\r\n"+body)
	if err != nil {
		c.Close()
	}
}

// echoID responds to each request with the request's own id.
func echoID(c *net.TCPConn, request *http.Request, _ int) bool {
	writeResponse(c, request.Header.Get("Id"), "body")
	return true
}

var _ = Describe("Exchange", func() {
	var pool *Pool

	BeforeEach(func() {
		pool = New(testDialect{})
		DeferCleanup(func() { pool.Close() })
	})

	send := func(t Target, id string, body []byte, opts ...SendOption) (*Response, error) {
		request := &fasthttp.Request{}
		request.Header.SetMethod(fasthttp.MethodPost)
		request.SetRequestURI("/p")
		request.Header.SetHost("h")
		request.Header.Set("Id", id)
		request.SetBodyRaw(body)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		DeferCleanup(cancel)
		return pool.Send(ctx, t, id, request, opts...)
	}
	// fetch sends a request, reads the response to its end and returns the body.
	fetch := func(t Target, id string) string {
		r, err := send(t, id, nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(r.Body())
		Expect(err).NotTo(HaveOccurred())
		r.MarkBodyRead()
		r.Close()
		return string(body)
	}
	// awaitUnusable waits until the only idle connection can no longer be reused.
	awaitUnusable := func(t Target) {
		Expect(pool.idle[t]).To(HaveLen(1))
		Eventually(pool.idle[t][0].reusable).Should(BeFalse())
	}
	target := func(e *scriptedEndpoint) Target { return Target{ID: "a", Address: e.Addr().String()} }

	It("reuses a connection after the whole response was read", func() {
		e := newScriptedEndpoint(echoID)
		Expect(fetch(target(e), "1")).To(Equal("body"))
		Expect(fetch(target(e), "2")).To(Equal("body"))
		Expect(e.connections.Load()).To(BeEquivalentTo(1))
	})

	It("never reuses a connection for another incarnation at the same address", func() {
		e := newScriptedEndpoint(echoID)
		fetch(target(e), "1")
		fetch(Target{ID: "b", Address: e.Addr().String()}, "2")
		Expect(e.connections.Load()).To(BeEquivalentTo(2))
	})

	It("discards a late response to an earlier request", func() {
		e := newScriptedEndpoint(func(c *net.TCPConn, request *http.Request, _ int) bool {
			writeResponse(c, "earlier", "late")
			writeResponse(c, request.Header.Get("Id"), "own")
			return true
		})
		Expect(fetch(target(e), "1")).To(Equal("own"))
	})

	It("reports ErrLost when the connection delivers only responses to other requests", func() {
		e := newScriptedEndpoint(func(c *net.TCPConn, _ *http.Request, _ int) bool {
			for range 5 {
				writeResponse(c, "earlier", "late")
			}
			return true
		})
		_, err := send(target(e), "1", nil)
		Expect(err).To(MatchError(ErrLost))
	})

	It("closes a connection on which bytes follow the response", func() {
		e := newScriptedEndpoint(func(c *net.TCPConn, request *http.Request, index int) bool {
			writeResponse(c, request.Header.Get("Id"), "body")
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
			return err == nil
		})
		Expect(fetch(target(e), "1")).To(Equal("body"))
		if len(pool.idle[target(e)]) > 0 {
			awaitUnusable(target(e))
		}
		Expect(fetch(target(e), "2")).To(Equal("body"))
		Expect(e.connections.Load()).To(BeEquivalentTo(2))
	})

	It("dials again after the endpoint closed an idle connection", func() {
		e := newScriptedEndpoint(func(c *net.TCPConn, request *http.Request, _ int) bool {
			writeResponse(c, request.Header.Get("Id"), "body")
			return false
		})
		fetch(target(e), "1")
		awaitUnusable(target(e))
		Expect(fetch(target(e), "2")).To(Equal("body"))
	})

	It("does not reuse a connection after the announced keep-alive timeout", func() {
		e := newScriptedEndpoint(func(c *net.TCPConn, request *http.Request, _ int) bool {
			writeResponse(c, request.Header.Get("Id"), "body", "Idle: 20ms")
			return true
		})
		fetch(target(e), "1")
		awaitUnusable(target(e))
		fetch(target(e), "2")
		Expect(e.connections.Load()).To(BeEquivalentTo(2))
	})

	// A connection that had fallen silent was reused after three seconds, since the kernel took what the peer sent again for a sign of
	// life.
	It("does not reuse a connection after the longest idle time, whatever the endpoint announces", func() {
		e := newScriptedEndpoint(func(c *net.TCPConn, request *http.Request, _ int) bool {
			writeResponse(c, request.Header.Get("Id"), "body", "Idle: 1m")
			return true
		})
		fetch(target(e), "1")
		time.Sleep(2600 * time.Millisecond)
		fetch(target(e), "2")
		Expect(e.connections.Load()).To(BeEquivalentTo(2))
		fetch(target(e), "3")
		Expect(e.connections.Load()).To(BeEquivalentTo(2), "used again at once")
	})

	It("reports ErrNotSent when no connection can be opened", func() {
		e := newScriptedEndpoint(echoID)
		Expect(e.Close()).To(Succeed())
		_, err := send(target(e), "1", nil)
		Expect(err).To(MatchError(ErrNotSent))
		Expect(err).NotTo(MatchError(ErrLost))
	})

	It("reports ErrLost when the endpoint resets the connection after the request was sent", func() {
		e := newScriptedEndpoint(func(c *net.TCPConn, _ *http.Request, _ int) bool {
			Expect(c.SetLinger(0)).To(Succeed())
			return false
		})
		_, err := send(target(e), "1", nil)
		Expect(err).To(MatchError(ErrLost))
		Expect(err).NotTo(MatchError(ErrNotSent))
	})

	It("reports an error when the body is shorter than its content length", func() {
		e := newScriptedEndpoint(func(c *net.TCPConn, _ *http.Request, _ int) bool {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nfour")
			Expect(err).NotTo(HaveOccurred())
			return false
		})
		r, err := send(target(e), "1", nil)
		Expect(err).NotTo(HaveOccurred())
		defer r.Close()
		_, err = io.ReadAll(r.Body())
		Expect(err).To(HaveOccurred())
	})

	It("reports an error when the connection is reset during a body without a length", func() {
		responseStarted := make(chan struct{})
		e := newScriptedEndpoint(func(c *net.TCPConn, _ *http.Request, _ int) bool {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nfour")
			Expect(err).NotTo(HaveOccurred())
			<-responseStarted
			Expect(c.SetLinger(0)).To(Succeed())
			return false
		})
		r, err := send(target(e), "1", nil)
		Expect(err).NotTo(HaveOccurred())
		defer r.Close()
		close(responseStarted)
		_, err = io.ReadAll(r.Body())
		Expect(err).To(HaveOccurred())
	})

	It("accepts the end of the connection as the end of a body without a length", func() {
		e := newScriptedEndpoint(func(c *net.TCPConn, _ *http.Request, _ int) bool {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nfour")
			Expect(err).NotTo(HaveOccurred())
			return false
		})
		Expect(fetch(target(e), "1")).To(Equal("four"))
	})

	It("closes a connection whose endpoint responded before it had read the whole request", func() {
		responseRead := make(chan struct{})
		e := newScriptedEndpoint(func(c *net.TCPConn, request *http.Request, _ int) bool {
			writeResponse(c, request.Header.Get("Id"), "early")
			<-responseRead
			return true
		})
		r, err := send(target(e), "1", make([]byte, 32<<20))
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(r.Body())
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("early"))
		r.MarkBodyRead()
		r.Close()
		close(responseRead)
		Expect(fetch(target(e), "2")).To(Equal("early"))
		Expect(e.connections.Load()).To(BeEquivalentTo(2))
	})

	It("closes idle connections to endpoints that were removed", func() {
		e := newScriptedEndpoint(echoID)
		fetch(target(e), "1")
		pool.Retain(map[Target]bool{})
		fetch(target(e), "2")
		Expect(e.connections.Load()).To(BeEquivalentTo(2))
	})

	// Guards against a resend that arrives long after the retry budget counted it: the dial, a full processor or a pause of the
	// process may delay the first byte.
	DescribeTable("sends no byte if the check before it fails", func(reuse bool, body []byte) {
		var requests atomic.Int32
		e := newScriptedEndpoint(func(c *net.TCPConn, request *http.Request, index int) bool {
			requests.Add(1)
			return echoID(c, request, index)
		})
		sent := int32(0)
		if reuse {
			fetch(target(e), "1")
			sent = 1
		}
		errLate := errors.New("late")
		_, err := send(target(e), "2", body, WithSendCheck(func() error { return errLate }))
		Expect(errors.Is(err, ErrNotSent)).To(BeTrue(), "%v", err)
		Expect(errors.Is(err, errLate)).To(BeTrue(), "%v", err)
		Consistently(requests.Load, 100*time.Millisecond).Should(Equal(sent))
		Expect(fetch(target(e), "3")).To(Equal("body"))
	},
		Entry("new connection", false, nil), Entry("idle connection", true, nil),
		Entry("large request", true, make([]byte, 1<<20)),
	)
})
