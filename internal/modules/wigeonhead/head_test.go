package wigeonhead

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"
)

// FuzzCheck checks that the HTTP library reads what Check accepts as Check does: the same end of the head, a final status, and valid
// names only.
func FuzzCheck(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 000 Zero\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 404\r\nX: y\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX Y: z\r\n\r\n", "HTTP/1.1 200 OK\r\n\nX: z\r\n\r\n", "HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n", "HTTP/1.1 200 OK\r\nX:\r\n\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "HTTP/1.1 200 \xff\r\nx: \xff\t\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r := bufio.NewReader(iotest.HalfReader(bytes.NewReader(text)))
		if Check(r) != nil {
			return
		}
		// A later read overwrites what Peek returns.
		peeked, _ := r.Peek(r.Buffered())
		buffered := bytes.Clone(peeked)
		var h fasthttp.ResponseHeader
		if h.Read(r) != nil {
			return // The library also refuses lengths and encodings that it doesn't know.
		}
		if status := h.StatusCode(); status < fasthttp.StatusOK || status > maxStatus {
			t.Errorf("status %d of %q", status, text)
		}
		for name, value := range h.All() {
			if !httpguts.ValidHeaderFieldName(string(name)) || !isText(value) {
				t.Errorf("header %q: %q of %q", name, value, text)
			}
		}
		rest, err := io.ReadAll(r)
		if err != nil {
			t.Fatal(err)
		}
		_, body, found := bytes.Cut(buffered, []byte("\r\n\r\n"))
		if !found || !bytes.HasPrefix(rest, body) || !bytes.HasSuffix(text, rest) {
			t.Errorf("rest %q of %q", rest, text)
		}
	})
}

// TestConn guards against a check of bytes that aren't the head of a response, in a body or before the next response.
func TestConn(t *testing.T) {
	body := strings.Repeat("HTTP/1.1 000 Zero\r\n\r\n", 500)
	for _, second := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 000 Zero\r\n\r\n"} {
		raw := &scriptedConn{responses: []string{"HTTP/1.1 200 OK\r\n\r\n" + body, second}}
		c := NewConn(raw)
		for i, want := range raw.responses {
			if _, err := c.Write([]byte("request")); err != nil {
				t.Fatal(err)
			}
			got := make([]byte, len(want))
			_, err := io.ReadFull(c, got)
			if malformed := strings.Contains(want[:len("HTTP/1.1 000")], "000"); malformed != errors.Is(err, ErrMalformed) {
				t.Errorf("response %d: %v", i, err)
			} else if !malformed && string(got) != want {
				t.Errorf("response %d differs", i)
			}
		}
	}
}

// scriptedConn gives a response to each write.
type scriptedConn struct {
	net.Conn
	responses []string
	written   int
	unread    strings.Reader
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	c.unread.Reset(c.responses[c.written])
	c.written++
	return len(p), nil
}

func (c *scriptedConn) Read(p []byte) (int, error) { return c.unread.Read(p) }
