package wigeonupstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"wigeonshift/internal/modules/wigeonsocket"
)

// connection is one connection to an endpoint. It carries one request at a time.
type connection struct {
	net.Conn
	target Target
	reader *bufio.Reader
	// connectedAt is the time at which the connection was opened.
	connectedAt time.Time
	// mayHaveSent is set before the first byte of the current request is written, since the endpoint may have read it.
	mayHaveSent atomic.Bool
	// sendCheck is called before the first byte of the current request is written; nil means that there is no check.
	sendCheck func() error
	// sendCheckError is the error of sendCheck for the current request.
	sendCheckError error
	idleUntil      time.Time
	// reused is set once the connection has carried a request.
	reused bool
	// receivedAt is the time at which the latest bytes were read, endedAt that at which the end of the connection was; zero before.
	receivedAt, endedAt time.Time
}

func newConnection(raw net.Conn, t Target) *connection {
	c := &connection{Conn: raw, target: t, connectedAt: time.Now()}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c
}

// Write sets mayHaveSent before it writes, because even a failed write may have delivered bytes to the endpoint. It writes
// nothing if sendCheck fails.
func (c *connection) Write(b []byte) (int, error) {
	if c.sendCheck != nil && !c.mayHaveSent.Load() {
		if c.sendCheckError = c.sendCheck(); c.sendCheckError != nil {
			c.close()
			return 0, c.sendCheckError
		}
	}
	c.mayHaveSent.Store(true)
	return c.Conn.Write(b)
}

// Read notes when bytes and the end of the connection arrive.
func (c *connection) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.receivedAt = time.Now()
	}
	if errors.Is(err, io.EOF) {
		c.endedAt = time.Now()
	}
	return n, err
}

// markIdle computes how long the idle connection may be reused: at most maxIdleTime, and so that it is given up before the endpoint
// closes it. A zero keepAliveTimeout means that the endpoint announced none.
func (c *connection) markIdle(keepAliveTimeout time.Duration) {
	idle := maxIdleTime
	if keepAliveTimeout > 0 {
		idle = min(idle, max(keepAliveTimeout-idleTimeoutMargin, keepAliveTimeout/2))
	}
	c.idleUntil = time.Now().Add(idle)
	c.reused = true
	c.mayHaveSent.Store(false)
	c.sendCheck, c.sendCheckError = nil, nil
}

// reusable reports whether the idle time is not over and the endpoint has neither closed the connection nor sent
// unexpected bytes, which would be taken for the response to the next request.
func (c *connection) reusable() bool {
	if time.Now().After(c.idleUntil) || c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	return err == nil && wigeonsocket.Peek(raw) == wigeonsocket.Idle
}

// close closes the connection and ignores the error, since the exchange reports any failure that matters.
func (c *connection) close() { c.Close() }
