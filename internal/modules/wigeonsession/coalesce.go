package wigeonsession

import (
	"encoding/binary"
	"net"
)

// Fields of a yamux header.
const (
	muxHeaderBytes  = 12
	muxTypeOffset   = 1
	muxTypeData     = 0
	muxLengthOffset = 8
)

// coalescingConn joins the header of a data frame with its body, which yamux writes one after the other: one packet
// in place of two. Only yamux's one sending goroutine writes to it.
type coalescingConn struct {
	net.Conn
	held []byte
}

// Write holds a header back until its body follows.
func (c *coalescingConn) Write(b []byte) (int, error) {
	if len(c.held) == 0 && announcesBody(b) {
		c.held = append(c.held, b...)
		return len(b), nil
	}
	if len(c.held) == 0 {
		return c.Conn.Write(b)
	}
	c.held = append(c.held, b...)
	_, err := c.Conn.Write(c.held)
	c.held = c.held[:0]
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

// announcesBody tells whether a write is the header of a data frame with a body.
func announcesBody(b []byte) bool {
	return len(b) == muxHeaderBytes && b[muxTypeOffset] == muxTypeData &&
		binary.BigEndian.Uint32(b[muxLengthOffset:]) > 0
}
