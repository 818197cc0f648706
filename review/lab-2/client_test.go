package lab

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// client sends requests on one kept connection at a time.
type client struct {
	address string
	record  *record
	conn    net.Conn
	reader  *bufio.Reader
	// used counts the requests on the connection.
	used int
}

// answer is the end of a request as its client sees it.
type answer struct {
	status    int
	signature string
	body      string
	err       error
}

// newClient returns a client without a connection.
func newClient(address string, r *record) *client { return &client{address: address, record: r} }

var errNoConnection = errors.New("no connection")

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and reads the whole answer.
func (c *client) send(id, method, path string, headers []string, body []byte, deadline time.Duration) answer {
	return c.sendUntil(id, method, path, headers, body, deadline, time.Now().Add(deadline))
}

// sendUntil sends a request with a deadline and reads the whole answer. The client leaves at a time that may be earlier.
func (c *client) sendUntil(id, method, path string, headers []string, body []byte, deadline time.Duration, leavesAt time.Time) answer {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return answer{err: errors.Join(errNoConnection, err)}
		}
		c.conn, c.reader, c.used = conn, bufio.NewReader(conn), 0
	}
	c.used++
	_ = c.conn.SetDeadline(leavesAt)
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: site.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, id, deadline.Milliseconds())
	for _, h := range headers {
		head += h + "\r\n"
	}
	head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	c.record.add("sends", id, fmt.Sprintf("%s %s, %d bytes", method, path, len(body)))
	_, err := c.conn.Write(append([]byte(head), body...))
	if err == nil {
		c.record.add("sent", id, "")
	}
	r, readErr := http.ReadResponse(c.reader, &http.Request{Method: method})
	if readErr != nil {
		c.close()
		return answer{err: errors.Join(err, readErr)}
	}
	text, err := io.ReadAll(r.Body)
	r.Body.Close()
	if err != nil || r.Close {
		c.close()
	}
	return answer{status: r.StatusCode, signature: r.Header.Get("Server-Signature"), body: string(text), err: err}
}

// isTimeout reports whether the client gave up.
func (a answer) isTimeout() bool {
	var n net.Error
	return errors.As(a.err, &n) && n.Timeout()
}

// describe returns the answer as a line of the record.
func (a answer) describe() string {
	if a.err != nil {
		return "no whole answer: " + strings.ReplaceAll(a.err.Error(), "\n", "; ")
	}
	return fmt.Sprintf("%d, signature %q, %d bytes", a.status, a.signature, len(a.body))
}
