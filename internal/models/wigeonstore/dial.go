package wigeonstore

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"wigeonshift/internal/modules/wigeonhead"

	"github.com/valyala/fasthttp"
)

// Timeouts of connection setup.
const (
	dialTimeout      = time.Second
	handshakeTimeout = time.Second
)

// withDefaultPort adds a port to a host that has none.
func withDefaultPort(host, port string) string {
	if _, _, err := net.SplitHostPort(host); err == nil {
		return host
	}
	return net.JoinHostPort(host, port)
}

// dialTLS returns a dial function that performs a TLS handshake on the new connection.
func dialTLS(dial fasthttp.DialFunc, base *tls.Config) fasthttp.DialFunc {
	return func(address string) (net.Conn, error) {
		conn, err := dial(address)
		if err != nil {
			return nil, err
		}
		config := base.Clone()
		if config == nil {
			config = &tls.Config{MinVersion: tls.VersionTLS12}
		}
		if config.ServerName == "" {
			config.ServerName, _, _ = net.SplitHostPort(address)
		}
		ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
		defer cancel()
		tlsConn := tls.Client(conn, config)
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			conn.Close()
			return nil, err
		}
		return tlsConn, nil
	}
}

// errDial marks a connection that was never established, which proves that nothing was sent.
var errDial = errors.New("dial failed")

// wrapDial returns a dial function whose connections check the heads of responses and whose errors wrap errDial.
func wrapDial(dial fasthttp.DialFunc) fasthttp.DialFunc {
	return func(address string) (net.Conn, error) {
		c, err := dial(address)
		if err != nil {
			return nil, errors.Join(errDial, err)
		}
		return wigeonhead.NewConn(c), nil
	}
}
