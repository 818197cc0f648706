package wigeonsession

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// DialFunc opens a connection to the address of an instance.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Option configures a Network.
type Option func(*Network)

// WithTLS sets the TLS configurations for accepted and dialled sessions. With nil the sessions are unencrypted.
func WithTLS(server, client *tls.Config) Option {
	return func(n *Network) { n.serverTLS, n.clientTLS = server, client }
}

// WithDial replaces the TCP dialler.
func WithDial(dial DialFunc) Option {
	return func(n *Network) { n.dial = dial }
}

// WithListener replaces the TCP listener on the address of the instance.
func WithListener(l net.Listener) Option {
	return func(n *Network) { n.listener = l }
}

// WithListenAddress sets the address to listen on, if it differs from the one at which others reach the instance.
func WithListenAddress(address string) Option {
	return func(n *Network) { n.listenAddress = address }
}

// WithScope sets the metrics scope. By default no metrics are kept.
func WithScope(s tally.Scope) Option {
	return func(n *Network) { n.scope = s }
}

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(l logrus.FieldLogger) Option {
	return func(n *Network) { n.log = l }
}

// WithIdleTimeout sets how long a session stays open without messages.
func WithIdleTimeout(d time.Duration) Option {
	return func(n *Network) { n.idleTimeout = d }
}
