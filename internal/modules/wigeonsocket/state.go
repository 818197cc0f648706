package wigeonsocket

import (
	"errors"
	"syscall"
)

// State is the result that the next read from a connection would have.
type State int

const (
	// Idle means that no data has arrived. A connection may only be reused in this state.
	Idle State = iota
	// Readable means that data is available to read.
	Readable
	// Closed means that either side has closed the connection or the peer has reset it.
	Closed
)

// Peek returns the state of a connection. It neither blocks nor consumes data.
func Peek(raw syscall.RawConn) State {
	state := Closed
	err := raw.Control(func(fd uintptr) { state = peek(int(fd)) })
	if err != nil {
		// The connection was closed locally.
		return Closed
	}
	return state
}

// peek returns the state of a socket from a non-blocking read that leaves the data in the receive buffer.
func peek(fd int) State {
	var b [1]byte
	n, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return Idle
	case err != nil || n == 0:
		return Closed
	default:
		return Readable
	}
}
