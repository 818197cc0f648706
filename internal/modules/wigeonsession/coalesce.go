package wigeonsession

import (
	"encoding/binary"
	"net"
	"sync/atomic"
)

// Layout of a yamux frame header.
const (
	muxHeaderBytes  = 12
	muxTypeOffset   = 1
	muxTypeData     = 0
	muxLengthOffset = 8
)

// coalescingConn merges the header and body of a data frame into one write, because yamux writes them separately and
// would send two packets. It needs no lock: only the send goroutine of yamux writes to it.
type coalescingConn struct {
	net.Conn
	// pending is a header whose body has not been written yet.
	pending []byte
	// beforeClose is called before the connection is closed, unless it is nil.
	beforeClose atomic.Pointer[func()]
}

// Close closes the connection. yamux calls it when the session ends.
func (c *coalescingConn) Close() error {
	if f := c.beforeClose.Load(); f != nil {
		(*f)()
	}
	return c.Conn.Close()
}

// Write delays a data frame header until the body arrives and then writes both at once.
func (c *coalescingConn) Write(b []byte) (int, error) {
	if len(c.pending) == 0 && isDataHeaderWithBody(b) {
		c.pending = append(c.pending, b...)
		return len(b), nil
	}
	if len(c.pending) == 0 {
		return c.Conn.Write(b)
	}
	c.pending = append(c.pending, b...)
	_, err := c.Conn.Write(c.pending)
	c.pending = c.pending[:0]
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

// isDataHeaderWithBody reports whether b is the header of a data frame with a non-empty body.
func isDataHeaderWithBody(b []byte) bool {
	return len(b) == muxHeaderBytes && b[muxTypeOffset] == muxTypeData &&
		binary.BigEndian.Uint32(b[muxLengthOffset:]) > 0
}
