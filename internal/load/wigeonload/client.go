package wigeonload

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// dialTimeout limits the time to open a connection to a node.
	dialTimeout = time.Second
	// maxConnections limits the connections to one node.
	maxConnections = 1 << 16
	// readBufferBytes is enough for a typical response.
	readBufferBytes = 16 << 10
)

// errDial means that no connection to the node could be opened, so that nothing was sent.
var errDial = errors.New("no connection")

// newClient returns a client that sends each request at most once.
func newClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      address,
		DialTimeout:               dial,
		MaxConns:                  maxConnections,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		StreamResponseBody:        true,
		ReadBufferSize:            readBufferBytes,
		ConnPoolStrategy:          fasthttp.LIFO,
	}
}

// dial opens a connection to a node. A failure wraps errDial.
func dial(address string, timeout time.Duration) (net.Conn, error) {
	if timeout <= 0 || timeout > dialTimeout {
		timeout = dialTimeout
	}
	c, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, errors.Join(errDial, err)
	}
	return c, nil
}
