package wigeonload

import (
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// dialTimeout bounds the connect to a node.
	dialTimeout = time.Second
	// maxConnections bounds the connections to one node.
	maxConnections = 1 << 16
	// readBufferBytes holds a usual answer.
	readBufferBytes = 16 << 10
)

// errDial reports that no connection to a node came about, so that nothing was sent.
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
