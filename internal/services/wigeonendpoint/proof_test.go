package wigeonendpoint_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonendpoint"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sourcegraph/conc"
)

// postFaults sets faults over a connection of its own.
func postFaults(address, document string) error {
	response, err := http.Post("http://"+address+"/standin/faults", "application/json", strings.NewReader(document))
	if err != nil {
		return err
	}
	response.Body.Close()
	return nil
}

// limitedConn fails its writes after a number of bytes.
type limitedConn struct {
	net.Conn
	left int
}

var errBroken = errors.New("broken pipe")

func (c *limitedConn) Write(p []byte) (int, error) {
	if len(p) <= c.left {
		c.left -= len(p)
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:c.left])
	c.left = 0
	return n, errBroken
}

// pipeServer answers one request over a pipe with raw text.
type pipeServer struct {
	net.Conn
	answer string
	// mute keeps the connection open and silent after the answer.
	mute bool
}

func (s *pipeServer) run() {
	defer s.Close()
	r, err := http.ReadRequest(bufio.NewReader(s))
	if err != nil {
		return
	}
	r.Body.Close()
	_, _ = s.Write([]byte(s.answer))
	if s.mute {
		_, _ = s.Read(make([]byte, 1))
	}
}

// pipes opens connections to pipe servers.
type pipes struct {
	wg       conc.WaitGroup
	answer   string
	mute     bool
	writable int
}

func (p *pipes) dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	s := &pipeServer{Conn: server, answer: p.answer, mute: p.mute}
	p.wg.Go(s.run)
	return &limitedConn{Conn: client, left: p.writable}, nil
}

var _ = Describe("Proof of not-run", func() {
	const plenty = 1 << 20
	short := wigeonshift.GenerateRequest{Token: "a", Model: "m", Prompt: strings.Repeat("twine ", 200), MaxTokens: 4}
	frame := `{"chunk":{"token":"a","offset":0,"count":1,"text":"net "}}` + "\n"
	result := func(token, done string) string {
		return `{"result":{"token":"` + token + `","finish":"stop","tokensDone":` + done + `}}` + "\n"
	}
	stream := func(body string) string { return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body }
	refusal := func(headers string) string {
		return "HTTP/1.1 503 Service Unavailable\r\n" + headers + "Content-Length: 2\r\n\r\n{}"
	}

	DescribeTable("gives each ending exactly one class",
		func(answer string, writable int, want error) {
			p := &pipes{answer: answer, writable: writable}
			endpoint := wigeonendpoint.New(wigeonendpoint.WithDial(p.dial)).Endpoint("pipe:1")
			started := 0
			_, err := endpoint.Generate(context.Background(), short, func() { started++ },
				func(wigeonshift.Chunk) error { return nil })
			Expect(started).To(Equal(1))
			if want == nil {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			for _, sentinel := range []error{
				wigeonshift.ErrNotRun, wigeonshift.ErrEndpointLost, wigeonshift.ErrAnswerMismatch,
				wigeonshift.ErrProgressTimeout, wigeonshift.ErrEndpointFailed, wigeonshift.ErrUnsupported,
			} {
				Expect(errors.Is(err, sentinel)).To(Equal(errors.Is(want, sentinel)), "%v in %v", sentinel, err)
			}
		},
		Entry("whole", stream(frame+result("a", "1")), plenty, nil),
		Entry("whole in one frame", stream(strings.TrimSuffix(frame, "}\n")+","+result("a", "1")[1:]), plenty, nil),
		Entry("another's result in one frame", stream(strings.TrimSuffix(frame, "}\n")+","+result("b", "1")[1:]), plenty,
			wigeonshift.ErrAnswerMismatch),
		Entry("nothing written", "", 0, wigeonshift.ErrNotRun),
		Entry("one byte written", "", 1, wigeonshift.ErrEndpointLost),
		Entry("no answer", "", plenty, wigeonshift.ErrEndpointLost),
		Entry("no result", stream(frame), plenty, wigeonshift.ErrEndpointLost),
		Entry("a token short", stream(frame+result("a", "2")), plenty, wigeonshift.ErrAnswerMismatch),
		Entry("another's result", stream(frame+result("b", "1")), plenty, wigeonshift.ErrAnswerMismatch),
		Entry("a doubled chunk", stream(frame+frame+result("a", "2")), plenty, wigeonshift.ErrAnswerMismatch),
		Entry("no frame at all", stream("<html>\n"), plenty, wigeonshift.ErrEndpointFailed),
		Entry("own refusal", refusal("Wigeon-Attempt: a\r\nWigeon-Run-State: notRun\r\n"), plenty, wigeonshift.ErrNotRun),
		Entry("another's refusal", refusal("Wigeon-Attempt: b\r\nWigeon-Run-State: notRun\r\n"), plenty,
			wigeonshift.ErrAnswerMismatch),
		Entry("a balancer's refusal", refusal(""), plenty, wigeonshift.ErrAnswerMismatch),
		Entry("a refusal without proof", refusal("Wigeon-Attempt: a\r\n"), plenty, wigeonshift.ErrEndpointFailed),
	)

	DescribeTable("gives a silent endpoint exactly its bound",
		func(answer string, bound time.Duration) {
			synctest.Test(suiteT, func(t *testing.T) {
				g := NewWithT(t)
				p := &pipes{answer: answer, mute: true, writable: plenty}
				d := wigeonendpoint.New(wigeonendpoint.WithDial(p.dial),
					wigeonendpoint.WithFirstTokenTimeout(30*time.Second), wigeonendpoint.WithChunkTimeout(5*time.Second))
				start := time.Now()
				_, err := d.Endpoint("pipe:1").Generate(context.Background(), short, nil,
					func(wigeonshift.Chunk) error { return nil })
				g.Expect(err).To(MatchError(wigeonshift.ErrProgressTimeout))
				g.Expect(err).NotTo(MatchError(wigeonshift.ErrNotRun))
				g.Expect(time.Since(start)).To(Equal(bound))
				p.wg.Wait()
				// The library's cleaner of idle connections ends at its next look.
				time.Sleep(time.Minute)
			})
		},
		Entry("before the first token", "", 30*time.Second),
		Entry("in the middle of the stream", stream(frame), 5*time.Second),
		Entry("in the middle of a frame", stream(frame+frame[:20]), 5*time.Second),
	)

	It("reaches an endpoint over TLS, and sends nothing to one it can't trust", func() {
		server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write([]byte(frame + result("a", "1")))
		}))
		server.Config.ErrorLog = log.New(io.Discard, "", 0)
		DeferCleanup(server.Close)
		address := strings.TrimPrefix(server.URL, "https://")
		roots := x509.NewCertPool()
		roots.AddCert(server.Certificate())
		for _, c := range []struct {
			config *tls.Config
			want   error
		}{{&tls.Config{RootCAs: roots}, nil}, {&tls.Config{}, wigeonshift.ErrNotRun}} {
			started := 0
			_, err := wigeonendpoint.New(wigeonendpoint.WithTLS(c.config)).Endpoint(address).Generate(
				context.Background(), short, func() { started++ }, func(wigeonshift.Chunk) error { return nil })
			if c.want == nil {
				Expect(err).NotTo(HaveOccurred())
				continue
			}
			Expect(err).To(MatchError(c.want))
			Expect(started).To(BeZero())
		}
	})
})
