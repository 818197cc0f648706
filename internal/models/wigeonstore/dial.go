package wigeonstore

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// Bounds of a dial.
const (
	dialTimeout      = time.Second
	handshakeTimeout = time.Second
)

func withPort(host, port string) string {
	if _, _, err := net.SplitHostPort(host); err == nil {
		return host
	}
	return net.JoinHostPort(host, port)
}

// handshake returns a dial that ends with a TLS handshake.
func handshake(dial fasthttp.DialFunc, settings *tls.Config) fasthttp.DialFunc {
	return func(address string) (net.Conn, error) {
		raw, err := dial(address)
		if err != nil {
			return nil, err
		}
		own := settings.Clone()
		if own == nil {
			own = &tls.Config{MinVersion: tls.VersionTLS12}
		}
		if own.ServerName == "" {
			own.ServerName, _, _ = net.SplitHostPort(address)
		}
		ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
		defer cancel()
		secured := tls.Client(raw, own)
		if err := secured.HandshakeContext(ctx); err != nil {
			raw.Close()
			return nil, err
		}
		return secured, nil
	}
}

// errDial marks a connection that was never made, which proves that nothing was sent.
var errDial = errors.New("dial failed")

func markDial(dial fasthttp.DialFunc) fasthttp.DialFunc {
	return func(address string) (net.Conn, error) {
		c, err := dial(address)
		if err != nil {
			return nil, errors.Join(errDial, err)
		}
		return c, nil
	}
}
