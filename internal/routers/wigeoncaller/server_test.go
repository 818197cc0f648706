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

// patience bounds what must happen but has no time of its own.
const patience = 20 * time.Second

type site struct {
	entry   *wigeonentry.Service
	server  *wigeoncaller.Server
	engine  *wordEngine
	address string
}

func authenticate(_ context.Context, bearer string) (string, string, error) {
	if bearer != "k.secret" {
		return "", "", errors.New("unknown key")
	}
	return "p", "o", nil
}

func newSite(change ...func(*wigeoncaller.Settings)) *site {
	e := &wordEngine{cancelled: make(chan wigeonshift.AttemptToken, 8), calls: make(chan wigeonshift.ServiceCall, 8)}
	s := serve(grantBroker{"a"}, oneDialer{e}, change...)
	s.engine = e
	return s
}

// serve serves callers on loopback with one endpoint.
func serve(broker grantBroker, dialer wigeonshift.EndpointDialer, change ...func(*wigeoncaller.Settings)) *site {
	entry := wigeonentry.New(wigeonshift.Instance{ID: "i", Region: "r"}, fixedSource{testConfiguration()}, broker, dialer,
		&memoryClaims{rows: map[string]wigeonshift.Claim{}})
	settings := wigeoncaller.DefaultSettings()
	settings.MaxBodyBytes = 4096
	settings.MaxHeaderBytes = 4096
	settings.GonePeriod = 5 * time.Millisecond
	for _, f := range change {
		f(&settings)
	}
	server := wigeoncaller.New(entry, authenticate, wigeoncaller.WithSettings(settings))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	Expect(server.Start(context.Background(), l)).To(Succeed())
	s := &site{entry: entry, server: server, address: l.Addr().String()}
	DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		http.DefaultClient.CloseIdleConnections()
		Expect(s.server.Stop(ctx)).To(Succeed())
		Expect(s.entry.Stop(ctx)).To(Succeed())
	})
	return s
}

// send sends a request with a valid key and returns the answer with its whole body.
func (s *site) send(method, path, body string, headers ...string) (*http.Response, string) {
	r, err := http.NewRequest(method, "http://"+s.address+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer k.secret")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	answer, err := http.DefaultClient.Do(r)
	Expect(err).NotTo(HaveOccurred())
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	Expect(err).NotTo(HaveOccurred())
	return answer, string(text)
}

// ask sends a completion on a connection of its own and leaves the answer unread.
func (s *site) ask(body string) net.Conn {
	c, err := net.Dial("tcp", s.address)
	Expect(err).NotTo(HaveOccurred())
	r, err := http.NewRequest(http.MethodPost, "http://"+s.address+"/v1/completions", strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer k.secret")
	Expect(r.Write(c)).To(Succeed())
	return c
}

var _ = Describe("The HTTP interface for callers", func() {
	It("answers completions whole", func() {
		s := newSite()
		answer, body := s.send("POST", "/v1/completions", `{"model":"m","prompt":"a \"b\" ü"}`)
		Expect(answer.StatusCode).To(Equal(200))
		Expect(answer.Header.Get("Wigeon-Request-Id")).To(Equal("i-1"))
		Expect(body).To(MatchRegexp(`"created":\d+`))
		Expect(body).To(ContainSubstring(`"choices":[{"index":0,"text":"a\"b\"ü","finish_reason":"stop"}]`))
		Expect(body).To(ContainSubstring(`"completion_tokens":3,"total_tokens":6`))
		_, body = s.send("POST", "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"knots"}]}`)
		Expect(body).To(ContainSubstring(`"message":{"role":"assistant","content":"user:knotsassistant:"}`))
	})

	It("streams events up to the end marker", func() {
		answer, body := newSite().send("POST", "/v1/completions", `{"model":"m","prompt":"one two","stream":true}`)
		Expect(answer.Header.Get("Content-Type")).To(Equal("text/event-stream"))
		frames := strings.Split(strings.TrimSuffix(body, "\n\n"), "\n\n")
		Expect(frames).To(HaveLen(4))
		Expect(frames[0]).To(And(HavePrefix("data: {"), ContainSubstring(`"text":"one","finish_reason":null`)))
		Expect(frames[1]).To(ContainSubstring(`"text":"two"`))
		Expect(frames[2]).To(ContainSubstring(`"text":"","finish_reason":"stop"`))
		Expect(frames[3]).To(Equal("data: [DONE]"))
	})

	It("ends a broken stream with an error event and no marker", func() {
		_, body := newSite().send("POST", "/v1/chat/completions", `{"model":"m","messages":[{"content":"break"}],"stream":true}`)
		Expect(body).To(ContainSubstring("event: error\ndata: {\"error\":{\"reason\":\"endpointError\",\"state\":\"ran\""))
		Expect(body).NotTo(ContainSubstring("[DONE]"))
	})

	It("refuses a streamed request that got nothing with its own status", func() {
		answer, body := newSite().send("POST", "/v1/completions", `{"model":"m","prompt":"break","stream":true}`)
		Expect(answer.StatusCode).To(Equal(502))
		Expect(answer.Header.Get("Retry-After")).To(Equal("1"))
		Expect(body).To(MatchJSON(`{"error":{"reason":"endpointError","state":"unknown","retryAfterMs":1000,
			"message":"the endpoint failed","requestId":"i-1"}}`))
	})

	DescribeTable("refuses what it can't accept",
		func(status int, reason, method, path, body string, headers ...string) {
			answer, text := newSite().send(method, path, body, headers...)
			Expect(answer.StatusCode).To(Equal(status))
			Expect(text).To(HavePrefix(`{"error":{"reason":"` + reason + `","state":"notRun"`))
			Expect(answer.Header.Get("Content-Type")).To(Equal("application/json"))
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

	It("passes calls to plain services and replays recorded answers", func() {
		s := newSite()
		answer, body := s.send("POST", "/v1/services/store/parts/7?boat=3", "twine", "Idempotency-Key", "k", "Content-Type", "text/plain")
		Expect(answer.StatusCode).To(Equal(201))
		Expect(body).To(Equal("issued"))
		Expect(answer.Header.Get("Wigeon-Replayed")).To(BeEmpty())
		c := <-s.engine.calls
		c.Token = ""
		Expect(c).To(Equal(wigeonshift.ServiceCall{
			Method: "POST", Path: "/parts/7?boat=3", ContentType: "text/plain", Body: []byte("twine"), NonIdempotent: true,
		}))
		answer, body = s.send("POST", "/v1/services/store/parts/7?boat=3", "twine", "Idempotency-Key", "k", "Content-Type", "text/plain")
		Expect(answer.StatusCode).To(Equal(201))
		Expect(body).To(Equal("issued"))
		Expect(answer.Header.Get("Wigeon-Replayed")).To(Equal("true"))
		answer, _ = s.send("POST", "/v1/services/store/parts/8", "twine", "Idempotency-Key", "k")
		Expect(answer.StatusCode).To(Equal(422))
		Expect(s.engine.calls).To(BeEmpty())
	})

	DescribeTable("cancels the work of a caller that has gone",
		func(body string) {
			s := newSite()
			c := s.ask(body)
			if strings.Contains(body, "first") {
				line, err := bufio.NewReader(c).ReadString('\n')
				Expect(err).NotTo(HaveOccurred())
				Expect(line).To(Equal("HTTP/1.1 200 OK\r\n"))
			} else {
				Eventually(s.entry.InFlight, patience).Should(Equal(1))
			}
			Expect(c.Close()).To(Succeed())
			Eventually(s.engine.cancelled, patience).Should(Receive())
			Eventually(s.entry.InFlight, patience).Should(BeZero())
		},
		Entry("whole", `{"model":"m","prompt":"hang"}`),
		Entry("streamed, before the first token", `{"model":"m","prompt":"hang","stream":true}`),
		Entry("streamed, after the first token", `{"model":"m","prompt":"first hang","stream":true}`),
	)

	It("leaves callers that do not read their answer", func() {
		s := newSite(func(settings *wigeoncaller.Settings) { settings.WriteTimeout = 50 * time.Millisecond })
		c := s.ask(`{"model":"m","prompt":"flood","stream":true}`)
		defer c.Close()
		Eventually(s.engine.cancelled, patience).Should(Receive())
		Eventually(s.entry.InFlight, patience).Should(BeZero())
	})

	It("leaves callers that do not finish their request", func() {
		s := newSite(func(settings *wigeoncaller.Settings) { settings.ReadTimeout = 50 * time.Millisecond })
		c, err := net.Dial("tcp", s.address)
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, err = c.Write([]byte("POST /v1/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\n{"))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.SetReadDeadline(time.Now().Add(patience))).To(Succeed())
		_, err = io.ReadAll(c)
		Expect(err).NotTo(HaveOccurred(), "the connection was not closed")
	})

	It("lists models and tells its readiness", func() {
		s := newSite()
		_, body := s.send("GET", "/v1/models", "")
		Expect(body).To(MatchJSON(`{"object":"list","data":[{"id":"m","object":"model","owned_by":"chat"}]}`))
		answer, _ := s.send("GET", "/readyz", "")
		Expect(answer.StatusCode).To(Equal(200))
		Expect(s.entry.Drain(context.Background())).To(Succeed())
		answer, _ = s.send("GET", "/readyz", "")
		Expect(answer.StatusCode).To(Equal(503))
		answer, body = s.send("POST", "/v1/completions", `{"model":"m","prompt":"x"}`)
		Expect(answer.StatusCode).To(Equal(503))
		Expect(answer.Close).To(BeTrue())
		Expect(body).To(ContainSubstring(`"reason":"shuttingDown","state":"notRun","retryAfterMs":1,`))
		answer, _ = s.send("GET", "/healthz", "")
		Expect(answer.StatusCode).To(Equal(200))
	})
})
