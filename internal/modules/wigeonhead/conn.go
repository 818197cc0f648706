package wigeonhead

import (
	"bufio"
	"net"
)

// headBufferBytes is large enough for a response head.
const headBufferBytes = 4 << 10

// Conn is a connection of an HTTP client that reads responses itself. It checks the head of the response to each request; see Check. The
// client must have read a response to its end before it writes the next request.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	// awaitsHead is set from a write until the head of the response has been checked.
	awaitsHead bool
}

// NewConn returns a Conn for a new connection.
func NewConn(c net.Conn) *Conn {
	return &Conn{Conn: c, reader: bufio.NewReaderSize(c, headBufferBytes)}
}

// Write writes a part of a request.
func (c *Conn) Write(p []byte) (int, error) {
	c.awaitsHead = true
	return c.Conn.Write(p)
}

// Read reads a part of a response. It fails with ErrMalformed if the head isn't valid.
func (c *Conn) Read(p []byte) (int, error) {
	if c.awaitsHead {
		if err := Check(c.reader); err != nil {
			return 0, err
		}
		c.awaitsHead = false
	}
	return c.reader.Read(p)
}
