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

// postFaults sets an engine's faults over a separate connection.
func postFaults(address, document string) error {
	response, err := http.Post("http://"+address+"/standin/faults", "application/json", strings.NewReader(document))
	if err != nil {
		return err
	}
	response.Body.Close()
	return nil
}

// limitedConn fails its writes after bytesLeft bytes.
type limitedConn struct {
	net.Conn
	bytesLeft int
}

var errBroken = errors.New("broken pipe")

func (c *limitedConn) Write(p []byte) (int, error) {
	if len(p) <= c.bytesLeft {
		c.bytesLeft -= len(p)
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:c.bytesLeft])
	c.bytesLeft = 0
	return n, errBroken
}

// pipeServer reads one request from a pipe and writes answer as the raw response.
type pipeServer struct {
	net.Conn
	answer string
	// silent keeps the connection open without further bytes after the answer.
	silent bool
}

func (s *pipeServer) run() {
	defer s.Close()
	r, err := http.ReadRequest(bufio.NewReader(s))
	if err != nil {
		return
	}
	r.Body.Close()
	_, _ = s.Write([]byte(s.answer))
	if s.silent {
		_, _ = s.Read(make([]byte, 1))
	}
}

// pipeDialer opens connections to pipe servers. Writes fail after maxWriteBytes bytes.
type pipeDialer struct {
	wg            conc.WaitGroup
	answer        string
	silent        bool
	maxWriteBytes int
}

func (p *pipeDialer) dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	s := &pipeServer{Conn: server, answer: p.answer, silent: p.silent}
	p.wg.Go(s.run)
	return &limitedConn{Conn: client, bytesLeft: p.maxWriteBytes}, nil
}

var _ = Describe("Error classes", func() {
	const unlimitedBytes = 1 << 20
	generate := wigeonshift.GenerateRequest{Token: "a", Model: "m", Prompt: strings.Repeat("twine ", 200), MaxTokens: 4}
	chunkFrame := `{"chunk":{"token":"a","offset":0,"count":1,"text":"net "}}` + "\n"
	resultFrame := func(token, done string) string {
		return `{"result":{"token":"` + token + `","finish":"stop","tokensDone":` + done + `}}` + "\n"
	}
	okResponse := func(body string) string { return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body }
	unavailableResponse := func(headers string) string {
		return "HTTP/1.1 503 Service Unavailable\r\n" + headers + "Content-Length: 2\r\n\r\n{}"
	}

	DescribeTable("wraps exactly one sentinel in each error",
		func(answer string, maxWriteBytes int, want error) {
			p := &pipeDialer{answer: answer, maxWriteBytes: maxWriteBytes}
			endpoint := wigeonendpoint.New(wigeonendpoint.WithDial(p.dial)).Endpoint("pipe:1")
			started := 0
			_, err := endpoint.Generate(context.Background(), generate, func() { started++ },
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
		Entry("a complete stream", okResponse(chunkFrame+resultFrame("a", "1")), unlimitedBytes, nil),
		Entry("a complete stream in one frame",
			okResponse(strings.TrimSuffix(chunkFrame, "}\n")+","+resultFrame("a", "1")[1:]),
			unlimitedBytes, nil),
		Entry("a chunk and another attempt's result in one frame",
			okResponse(strings.TrimSuffix(chunkFrame, "}\n")+","+resultFrame("b", "1")[1:]),
			unlimitedBytes, wigeonshift.ErrAnswerMismatch),
		Entry("no byte written", "", 0, wigeonshift.ErrNotRun),
		Entry("one byte written", "", 1, wigeonshift.ErrEndpointLost),
		Entry("no answer", "", unlimitedBytes, wigeonshift.ErrEndpointLost),
		Entry("a stream without a result", okResponse(chunkFrame), unlimitedBytes, wigeonshift.ErrEndpointLost),
		Entry("a result with more tokens than were sent", okResponse(chunkFrame+resultFrame("a", "2")),
			unlimitedBytes, wigeonshift.ErrAnswerMismatch),
		Entry("another attempt's result", okResponse(chunkFrame+resultFrame("b", "1")),
			unlimitedBytes, wigeonshift.ErrAnswerMismatch),
		Entry("a repeated chunk", okResponse(chunkFrame+chunkFrame+resultFrame("a", "2")),
			unlimitedBytes, wigeonshift.ErrAnswerMismatch),
		Entry("a body that is not a frame", okResponse("<html>\n"), unlimitedBytes, wigeonshift.ErrEndpointFailed),
		Entry("a refusal of this attempt", unavailableResponse("Wigeon-Attempt: a\r\nWigeon-Run-State: notRun\r\n"),
			unlimitedBytes, wigeonshift.ErrNotRun),
		Entry("a refusal of another attempt", unavailableResponse("Wigeon-Attempt: b\r\nWigeon-Run-State: notRun\r\n"),
			unlimitedBytes, wigeonshift.ErrAnswerMismatch),
		Entry("a refusal without an attempt token, as from a load balancer", unavailableResponse(""),
			unlimitedBytes, wigeonshift.ErrAnswerMismatch),
		Entry("a refusal that doesn't say whether the request ran", unavailableResponse("Wigeon-Attempt: a\r\n"),
			unlimitedBytes, wigeonshift.ErrEndpointFailed),
	)

	DescribeTable("times out exactly after the configured time without progress",
		func(answer string, bound time.Duration) {
			synctest.Test(suiteT, func(t *testing.T) {
				g := NewWithT(t)
				p := &pipeDialer{answer: answer, silent: true, maxWriteBytes: unlimitedBytes}
				d := wigeonendpoint.New(wigeonendpoint.WithDial(p.dial),
					wigeonendpoint.WithFirstTokenTimeout(30*time.Second), wigeonendpoint.WithChunkTimeout(5*time.Second))
				start := time.Now()
				_, err := d.Endpoint("pipe:1").Generate(context.Background(), generate, nil,
					func(wigeonshift.Chunk) error { return nil })
				g.Expect(err).To(MatchError(wigeonshift.ErrProgressTimeout))
				g.Expect(err).NotTo(MatchError(wigeonshift.ErrNotRun))
				g.Expect(time.Since(start)).To(Equal(bound))
				p.wg.Wait()
				// fasthttp's goroutine that closes idle connections ends at its next check.
				time.Sleep(time.Minute)
			})
		},
		Entry("before the first token", "", 30*time.Second),
		Entry("between two frames", okResponse(chunkFrame), 5*time.Second),
		Entry("within a frame", okResponse(chunkFrame+chunkFrame[:20]), 5*time.Second),
	)

	It("reaches an endpoint over TLS, and sends nothing if its certificate is not trusted", func() {
		server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = w.Write([]byte(chunkFrame + resultFrame("a", "1")))
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
				context.Background(), generate, func() { started++ }, func(wigeonshift.Chunk) error { return nil })
			if c.want == nil {
				Expect(err).NotTo(HaveOccurred())
				continue
			}
			Expect(err).To(MatchError(c.want))
			Expect(started).To(BeZero())
		}
	})
})
