package wigeonrelay_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"wigeonshift/internal/services/wigeondispatch"
	"wigeonshift/internal/services/wigeonupstream"
	"wigeonshift/platform"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// pipeListener accepts connections without a network.
type pipeListener struct {
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// hedgeRelay is a relay with three endpoints, all over pipes, that hedges requests after about warmUpTime.
type hedgeRelay struct {
	*testRelay
	listener *pipeListener
	endpoint *fakeEndpoint
	// respond answers the n-th attempt after the requests that the histogram needed.
	respond func(n int, c net.Conn, r *http.Request)
	mu      sync.Mutex
	// attempts is the number of attempts, closed that of the connections that the relay has closed during one.
	attempts, closed int
}

const (
	warmUpTime     = 20 * time.Millisecond
	warmUpRequests = 8
)

func newHedgeRelay(route string, respond func(n int, c net.Conn, r *http.Request)) *hedgeRelay {
	GinkgoHelper()
	h := &hedgeRelay{listener: &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}}
	h.endpoint = &fakeEndpoint{respond: h.answer}
	dial := func(context.Context, string) (net.Conn, error) {
		own, other := net.Pipe()
		go h.endpoint.serve(other)
		return own, nil
	}
	h.testRelay = startTestRelay(wigeondispatch.Settings{HedgeShare: 1, HedgePercentile: 0.5},
		wigeonupstream.New(platform.Dialect{}, wigeonupstream.WithDial(dial)), h.listener, "a", "b", "c")
	for range warmUpRequests {
		h.exchange(h.connect(), "GET", route)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attempts, h.respond = 0, respond
	return h
}

// answer answers one attempt.
func (h *hedgeRelay) answer(c net.Conn, r *http.Request, _ []byte) {
	h.mu.Lock()
	h.attempts++
	n, respond := h.attempts, h.respond
	h.mu.Unlock()
	if respond == nil {
		time.Sleep(warmUpTime)
		respond = answerByKind
	}
	respond(n, c, r)
}

// answerByKind sends a whole answer: a stream of one event, or a plain one.
func answerByKind(n int, c net.Conn, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/resume") {
		writeText(c, signedHead(r)+chunkedHead+eventChunk(n)+"0\r\n\r\n")
		return
	}
	respondOK(c, r, nil)
}

// hang sends nothing until the relay closes the connection.
func (h *hedgeRelay) hang(c net.Conn) {
	_, err := c.Read(make([]byte, 1))
	if err == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed++
}

func (h *hedgeRelay) counts() []int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return []int{h.attempts, h.closed}
}

// connect opens a caller's connection.
func (h *hedgeRelay) connect() net.Conn {
	GinkgoHelper()
	own, other := net.Pipe()
	h.listener.conns <- other
	Expect(own.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	DeferCleanup(own.Close)
	return own
}

// exchange sends a request and returns the status and the body of the response.
func (h *hedgeRelay) exchange(c net.Conn, method, path string) (int, string) {
	GinkgoHelper()
	h.dispatcher.Tick()
	go writeText(c, requestText(method, path, "", ""))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		body = append(body, " broken"...)
	}
	return response.StatusCode, string(body)
}

// expectNoLoad expects that all slots are released.
func (h *hedgeRelay) expectNoLoad() {
	GinkgoHelper()
	Eventually(func() any { load, _ := h.dispatcher.Load(); return load.Endpoints }, 500*time.Millisecond).Should(BeEmpty())
	Expect(h.dispatcher.InFlight()).To(BeZero())
}

var _ = Describe("Hedged requests", func() {
	It("get the answer of the hedge, and the first attempt's connection is closed", func() {
		for _, route := range []string{"/hedge/", "/resume/"} {
			var h *hedgeRelay
			h = newHedgeRelay(route, func(n int, c net.Conn, r *http.Request) {
				if n == 1 {
					h.hang(c)
					return
				}
				answerByKind(n, c, r)
			})
			sentAt := time.Now()
			status, body := h.exchange(h.connect(), "GET", route)
			Expect(time.Since(sentAt)).To(BeNumerically("<", 500*time.Millisecond), "not only at the deadline")
			Expect(status).To(Equal(200))
			Expect(body).To(Or(Equal("ok:"), ContainSubstring("data: e2")))
			Eventually(h.counts).Should(Equal([]int{2, 1}))
			h.expectNoLoad()
		}
	})

	It("aren't made of requests that must not run twice, however slow", func() {
		h := newHedgeRelay("/hedge/", func(n int, c net.Conn, r *http.Request) {
			time.Sleep(10 * warmUpTime)
			answerByKind(n, c, r)
		})
		status, _ := h.exchange(h.connect(), "POST", "/unsafe/")
		Expect(status).To(Equal(200))
		Expect(h.counts()).To(Equal([]int{1, 0}))
	})

	It("release everything at once if the endpoint of the cancelled attempt doesn't stop", func() {
		stop := make(chan struct{})
		defer close(stop)
		h := newHedgeRelay("/hedge/", func(n int, c net.Conn, r *http.Request) {
			if n == 1 {
				<-stop
				return
			}
			answerByKind(n, c, r)
		})
		status, _ := h.exchange(h.connect(), "GET", "/hedge/")
		Expect(status).To(Equal(200))
		h.expectNoLoad()
	})

	It("get one answer if both attempts answer at once, and the next one belongs to the next request", func() {
		for _, route := range []string{"/hedge/", "/resume/"} {
			both := make(chan struct{})
			h := newHedgeRelay(route, func(n int, c net.Conn, r *http.Request) {
				// An attempt waits for the other one. A hedge that wasn't sent in time is no fault of the relay.
				select {
				case both <- struct{}{}:
				case <-both:
				case <-time.After(3 * warmUpTime):
				}
				answerByKind(n, c, r)
			})
			c := h.connect()
			for range 30 {
				status, body := h.exchange(c, "GET", route)
				Expect(status).To(Equal(200))
				Expect(strings.Count(body, "ok:") + strings.Count(body, "data:")).To(Equal(1))
			}
			Expect(h.counts()[0]).To(BeNumerically(">", 30), "some were hedged")
			h.expectNoLoad()
		}
	})

	// endings are the ways in which a call ends while both attempts run.
	DescribeTable("end both attempts within half a second", func(end func(h *hedgeRelay, c net.Conn), status int) {
		var h *hedgeRelay
		h = newHedgeRelay("/hedge/", func(_ int, c net.Conn, _ *http.Request) { h.hang(c) })
		c := h.connect()
		answered := make(chan int, 1)
		go func() {
			writeText(c, requestText("GET", "/hedge/", "", ""))
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				answered <- 0
				return
			}
			answered <- response.StatusCode
		}()
		Eventually(h.counts).Should(Equal([]int{2, 0}))
		end(h, c)
		Eventually(h.counts, 500*time.Millisecond).Should(Equal([]int{2, 2}))
		Eventually(answered).Should(Receive(Equal(status)))
		h.expectNoLoad()
	},
		Entry("after the caller has disconnected", func(_ *hedgeRelay, c net.Conn) { Expect(c.Close()).To(Succeed()) }, 0),
		Entry("after the deadline", func(*hedgeRelay, net.Conn) { time.Sleep(1500 * time.Millisecond) }, 504),
		Entry("before the instance ends", func(h *hedgeRelay, _ net.Conn) { h.dispatcher.EndBy(100 * time.Millisecond) }, 504),
	)

	It("are answered by the hedge if the first attempt fails, and the reverse", func() {
		for failing := 1; failing <= 2; failing++ {
			arrived := make(chan struct{}, 2)
			h := newHedgeRelay("/hedge/", func(n int, c net.Conn, r *http.Request) {
				arrived <- struct{}{}
				time.Sleep(3 * warmUpTime)
				if n == failing {
					c.Close()
					return
				}
				time.Sleep(3 * warmUpTime)
				answerByKind(n, c, r)
			})
			status, _ := h.exchange(h.connect(), "GET", "/hedge/")
			Expect(status).To(Equal(200))
			Expect(arrived).To(HaveLen(2), "no third attempt")
			h.expectNoLoad()
		}
	})

	It("are resumed elsewhere if the first attempt fails after the hedge was cancelled", func() {
		var h *hedgeRelay
		hedged := make(chan struct{})
		h = newHedgeRelay("/resume3/", func(n int, c net.Conn, r *http.Request) {
			switch n {
			case 1:
				<-hedged
				writeText(c, signedHead(r)+chunkedHead+eventChunk(1))
				time.Sleep(warmUpTime)
				c.Close()
			case 2:
				close(hedged)
				h.hang(c)
			default:
				writeText(c, signedHead(r)+chunkedHead+eventChunk(2)+"0\r\n\r\n")
			}
		})
		status, body := h.exchange(h.connect(), "GET", "/resume3/")
		Expect(status).To(Equal(200))
		Expect(body).To(Equal("id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"))
		Expect(h.counts()).To(Equal([]int{3, 1}))
		h.expectNoLoad()
	})
})
