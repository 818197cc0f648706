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

// Option changes a setting of a Network.
type Option func(*Network)

// WithTLS protects sessions; both sides need a configuration. Nil leaves sessions plain.
func WithTLS(server, client *tls.Config) Option {
	return func(n *Network) { n.serverTLS, n.clientTLS = server, client }
}

// WithDial replaces the TCP dialler.
func WithDial(dial DialFunc) Option {
	return func(n *Network) { n.dial = dial }
}

// WithListener replaces the TCP listener on the instance's address.
func WithListener(l net.Listener) Option {
	return func(n *Network) { n.listener = l }
}

// WithScope sets the scope of the metrics.
func WithScope(s tally.Scope) Option {
	return func(n *Network) { n.scope = s }
}

// WithLogger sets the logger.
func WithLogger(l logrus.FieldLogger) Option {
	return func(n *Network) { n.log = l }
}

// WithIdleTimeout sets the time without messages after which a session is closed.
func WithIdleTimeout(d time.Duration) Option {
	return func(n *Network) { n.idleTimeout = d }
}
