package wigeonendpoint_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonendpoint"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
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

// pipeTo returns a dial function to a server that answers each connection's first request with raw text.
func pipeTo(answer string, writable int) wigeonendpoint.DialFunc {
	return func(context.Context, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			reader := bufio.NewReader(server)
			if r, err := http.ReadRequest(reader); err == nil {
				r.Body.Close()
				_, _ = server.Write([]byte(answer))
			}
		}()
		return &limitedConn{Conn: client, left: writable}, nil
	}
}

var _ = Describe("Proof of not-run", func() {
	const plenty = 1 << 20
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
			endpoint := wigeonendpoint.New(wigeonendpoint.WithDial(pipeTo(answer, writable)),
				wigeonendpoint.WithFirstTokenTimeout(time.Second)).Endpoint("pipe:1")
			started := 0
			_, err := endpoint.Generate(context.Background(), request("a"), func() { started++ },
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
})
