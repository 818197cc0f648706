package wigeoncaller_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"wigeonshift"
	"wigeonshift/internal/routers/wigeoncaller"
	"wigeonshift/internal/services/wigeonentry"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// eventTimeout is the timeout for events that have no deadline of their own.
const eventTimeout = 20 * time.Second

// testServer is a caller API server with its entry service and a fake engine.
type testServer struct {
	entry   *wigeonentry.Service
	server  *wigeoncaller.Server
	engine  *fakeEngine
	address string
}

func authenticate(_ context.Context, bearer string) (string, string, error) {
	if bearer != "k.secret" {
		return "", "", errors.New("unknown key")
	}
	return "p", "o", nil
}

func startTestServer(change ...func(*wigeoncaller.Settings)) *testServer {
	e := &fakeEngine{cancelled: make(chan wigeonshift.AttemptToken, 8), calls: make(chan wigeonshift.ServiceCall, 8)}
	s := serve(grantBroker{"a"}, fixedDialer{e}, change...)
	s.engine = e
	return s
}

// serve starts a server on a loopback port with one endpoint per service.
func serve(broker grantBroker, dialer wigeonshift.EndpointDialer, change ...func(*wigeoncaller.Settings)) *testServer {
	entry := wigeonentry.New(wigeonshift.Instance{ID: "i", Region: "r"}, fixedSource{testConfiguration()}, broker, dialer,
		&memoryClaims{rows: map[string]wigeonshift.Claim{}})
	settings := wigeoncaller.DefaultSettings()
	settings.MaxBodyBytes = 4096
	settings.MaxHeaderBytes = 4096
	settings.DisconnectCheckPeriod = 5 * time.Millisecond
	for _, f := range change {
		f(&settings)
	}
	server := wigeoncaller.New(entry, authenticate, wigeoncaller.WithSettings(settings))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	Expect(server.Start(context.Background(), l)).To(Succeed())
	s := &testServer{entry: entry, server: server, address: l.Addr().String()}
	DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
		defer cancel()
		http.DefaultClient.CloseIdleConnections()
		Expect(s.server.Stop(ctx)).To(Succeed())
		Expect(s.entry.Stop(ctx)).To(Succeed())
	})
	return s
}

// send sends a request with a valid key and returns the response and its body.
func (s *testServer) send(method, path, body string, headers ...string) (*http.Response, string) {
	r, err := http.NewRequest(method, "http://"+s.address+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer k.secret")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return response, string(text)
}

// sendUnread sends a completion request on a new connection and does not read the response.
func (s *testServer) sendUnread(body string) net.Conn {
	c, err := net.Dial("tcp", s.address)
	Expect(err).NotTo(HaveOccurred())
	r, err := http.NewRequest(http.MethodPost, "http://"+s.address+"/v1/completions", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer k.secret")
	Expect(r.Write(c)).To(Succeed())
	return c
}

var _ = Describe("The HTTP interface for callers", func() {
	It("sends completions as one response", func() {
		s := startTestServer()
		response, body := s.send("POST", "/v1/completions", `{"model":"m","prompt":"a \"b\" ü"}`)
		Expect(response.StatusCode).To(Equal(200))
		Expect(response.Header.Get("Wigeon-Request-Id")).To(Equal("i-1"))
		Expect(body).To(MatchRegexp(`"created":\d+`))
		Expect(body).To(ContainSubstring(`"choices":[{"index":0,"text":"a\"b\"ü","finish_reason":"stop"}]`))
		Expect(body).To(ContainSubstring(`"completion_tokens":3,"total_tokens":6`))
		_, body = s.send("POST", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"knots"}]}`)
		Expect(body).To(ContainSubstring(`"message":{"role":"assistant","content":"user:knotsassistant:"}`))
	})

	It("streams events up to the end marker", func() {
		response, body := startTestServer().send("POST", "/v1/completions", `{"model":"m","prompt":"one two","stream":true}`)
		Expect(response.Header.Get("Content-Type")).To(Equal("text/event-stream"))
		frames := strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n")
		Expect(frames).To(HaveLen(4))
		Expect(frames[0]).To(And(HavePrefix("data: {"), ContainSubstring(`"text":"one","finish_reason":null`)))
		Expect(frames[1]).To(ContainSubstring(`"text":"two"`))
		Expect(frames[2]).To(ContainSubstring(`"text":"","finish_reason":"stop"`))
		Expect(frames[3]).To(Equal("data: [DONE]"))
	})

	It("ends a broken stream with an error event and no marker", func() {
		_, body := startTestServer().send("POST", "/v1/chat/completions", `{"model":"m","messages":[{"content":"break"}],"stream":true}`)
		Expect(body).To(ContainSubstring("event: error\ndata: {\"error\":{\"reason\":\"endpointError\",\"state\":\"ran\""))
		Expect(body).NotTo(ContainSubstring("[DONE]"))
	})

	It("refuses a streamed request without output with its own status", func() {
		response, body := startTestServer().send("POST", "/v1/completions", `{"model":"m","prompt":"break","stream":true}`)
		Expect(response.StatusCode).To(Equal(502))
		Expect(response.Header.Get("Retry-After")).To(Equal("1"))
		Expect(body).To(MatchJSON(`{"error":{"reason":"endpointError","state":"unknown","retryAfterMs":1000,
			"message":"the endpoint failed","requestId":"i-1"}}`))
	})

	DescribeTable("refuses invalid requests",
		func(status int, reason, method, path, body string, headers ...string) {
			response, text := startTestServer().send(method, path, body, headers...)
			Expect(response.StatusCode).To(Equal(status))
			Expect(text).To(HavePrefix(`{"error":{"reason":"` + reason + `","state":"notRun"`))
			Expect(response.Header.Get("Content-Type")).To(Equal("application/json"))
		},
		Entry(nil, 401, "unauthenticated", "GET", "/v1/models", "", "Authorization", "Bearer k.wrong"),
		Entry(nil, 401, "unauthenticated", "GET", "/v1/models", "", "Authorization", "k.secret"),
		Entry(nil, 400, "badRequest", "POST", "/v1/completions", `{"model":`),
		Entry(nil, 400, "badRequest", "POST", "/v1/completions", `{"model":"m"}`),
		Entry(nil, 400, "badRequest", "POST", "/v1/completions", `{"prompt":"x"}`),
		Entry(nil, 400, "badRequest", "POST", "/v1/completions", `{"model":"m","prompt":"x","max_tokens":0}`),
		Entry(nil, 400, "badRequest", "POST", "/v1/chat/completions", `{"model":"m","prompt":"x"}`),
		Entry(nil, 400, "badRequest", "GET", "/v1/models", "", "Wigeon-Deadline-Ms", "soon"),
		Entry(nil, 400, "badRequest", "POST", "/v1/services/store/issue", "twine"),
		Entry(nil, 403, "forbiddenTier", "POST", "/v1/completions", `{"model":"m","prompt":"x"}`, "Wigeon-Tier", "high"),
		Entry(nil, 403, "forbiddenTier", "POST", "/v1/completions", `{"model":"m","prompt":"x"}`, "Wigeon-Tier", "none"),
		Entry(nil, 404, "unknownModel", "POST", "/v1/completions", `{"model":"n","prompt":"x"}`),
		Entry(nil, 404, "unknownService", "GET", "/v1/services/chat/x", ""),
		Entry(nil, 404, "unknownService", "GET", "/v2/models", ""),
		Entry(nil, 413, "tooLarge", "POST", "/v1/completions", strings.Repeat("x", 5000)),
		Entry(nil, 431, "tooLarge", "GET", "/v1/models", "", "X-Long", strings.Repeat("x", 5000)),
	)

	It("forwards calls to plain services and replays recorded responses", func() {
		s := startTestServer()
		response, body := s.send("POST", "/v1/services/store/parts/7?boat=3", "twine", "Idempotency-Key", "k", "Content-Type", "text/plain")
		Expect(response.StatusCode).To(Equal(201))
		Expect(body).To(Equal("issued"))
		Expect(response.Header.Get("Wigeon-Replayed")).To(BeEmpty())
		c := <-s.engine.calls
		c.Token = ""
		Expect(c).To(Equal(wigeonshift.ServiceCall{
			Method: "POST", Path: "/parts/7?boat=3", ContentType: "text/plain", Body: []byte("twine"), NonIdempotent: true,
		}))
		response, body = s.send("POST", "/v1/services/store/parts/7?boat=3", "twine", "Idempotency-Key", "k", "Content-Type", "text/plain")
		Expect(response.StatusCode).To(Equal(201))
		Expect(body).To(Equal("issued"))
		Expect(response.Header.Get("Wigeon-Replayed")).To(Equal("true"))
		response, _ = s.send("POST", "/v1/services/store/parts/8", "twine", "Idempotency-Key", "k")
		Expect(response.StatusCode).To(Equal(422))
		Expect(s.engine.calls).To(BeEmpty())
	})

	DescribeTable("cancels the request of a caller that disconnects",
		func(body string) {
			s := startTestServer()
			c := s.sendUnread(body)
			if strings.Contains(body, "first") {
				line, err := bufio.NewReader(c).ReadString('\n')
				Expect(err).NotTo(HaveOccurred())
				Expect(line).To(Equal("HTTP/1.1 200 OK\r\n"))
			} else {
				Eventually(s.entry.InFlight, eventTimeout).Should(Equal(1))
			}
			Expect(c.Close()).To(Succeed())
			Eventually(s.engine.cancelled, eventTimeout).Should(Receive())
			Eventually(s.entry.InFlight, eventTimeout).Should(BeZero())
		},
		Entry("not streamed", `{"model":"m","prompt":"hang"}`),
		Entry("streamed, before the first token", `{"model":"m","prompt":"hang","stream":true}`),
		Entry("streamed, after the first token", `{"model":"m","prompt":"first hang","stream":true}`),
	)

	It("cancels the request of a caller that does not read the response", func() {
		s := startTestServer(func(settings *wigeoncaller.Settings) { settings.WriteTimeout = 50 * time.Millisecond })
		c := s.sendUnread(`{"model":"m","prompt":"flood","stream":true}`)
		defer c.Close()
		Eventually(s.engine.cancelled, eventTimeout).Should(Receive())
		Eventually(s.entry.InFlight, eventTimeout).Should(BeZero())
	})

	It("closes connections to callers that do not finish their request", func() {
		s := startTestServer(func(settings *wigeoncaller.Settings) { settings.ReadTimeout = 50 * time.Millisecond })
		c, err := net.Dial("tcp", s.address)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, err = c.Write([]byte("POST /v1/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\n{"))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.SetReadDeadline(time.Now().Add(eventTimeout))).To(Succeed())
		_, err = io.ReadAll(c)
		Expect(err).NotTo(HaveOccurred(), "the connection was not closed")
	})

	It("lists models and reports its readiness", func() {
		s := startTestServer()
		_, body := s.send("GET", "/v1/models", "")
		Expect(body).To(MatchJSON(`{"object":"list","data":[{"id":"m","object":"model","owned_by":"chat"}]}`))
		response, _ := s.send("GET", "/readyz", "")
		Expect(response.StatusCode).To(Equal(200))
		Expect(s.entry.Drain(context.Background())).To(Succeed())
		response, _ = s.send("GET", "/readyz", "")
		Expect(response.StatusCode).To(Equal(503))
		response, body = s.send("POST", "/v1/completions", `{"model":"m","prompt":"x"}`)
		Expect(response.StatusCode).To(Equal(503))
		Expect(response.Close).To(BeTrue())
		Expect(body).To(ContainSubstring(`"reason":"shuttingDown","state":"notRun","retryAfterMs":1,`))
		response, _ = s.send("GET", "/healthz", "")
		Expect(response.StatusCode).To(Equal(200))
	})
})
