package wigeonendpoint

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/uber-go/tally/v4"
)

// DialFunc opens a connection to an endpoint.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// settings are the options of a dialer.
type settings struct {
	dial DialFunc
	tls  *tls.Config
	// scope counts errors by reason.
	scope tally.Scope

	dialTimeout time.Duration
	// firstTokenTimeout limits each write and read until the first frame of a stream.
	firstTokenTimeout time.Duration
	// chunkTimeout limits each read of a stream after the first frame.
	chunkTimeout time.Duration
	// callTimeout limits each write and read of a call to a plain service.
	callTimeout time.Duration
	// controlTimeout limits each write and read of the control calls: pause, cancel, load, cache events, orders and
	// transfers of stream state.
	controlTimeout time.Duration
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout time.Duration
	// maxNonIdempotentIdle is the idle time after which a connection is no longer used for non-idempotent calls.
	maxNonIdempotentIdle time.Duration
	// maxConnections limits the connections to one endpoint.
	maxConnections int
	// maxBodyBytes limits the response body of a plain service.
	maxBodyBytes int
}

func defaultSettings() settings {
	dialer := &net.Dialer{KeepAlive: 15 * time.Second}
	return settings{
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		scope:                tally.NoopScope,
		dialTimeout:          time.Second,
		firstTokenTimeout:    30 * time.Second,
		chunkTimeout:         5 * time.Second,
		callTimeout:          30 * time.Second,
		controlTimeout:       2 * time.Second,
		idleTimeout:          10 * time.Second,
		maxNonIdempotentIdle: time.Second,
		maxConnections:       4096,
		maxBodyBytes:         64 << 20,
	}
}

// Option configures a Dialer in New.
type Option func(*settings)

// WithDial sets how connections are opened.
func WithDial(d DialFunc) Option { return func(s *settings) { s.dial = d } }

// WithTLS uses TLS on every connection. If c has no server name, the certificate must match the endpoint's host.
func WithTLS(c *tls.Config) Option { return func(s *settings) { s.tls = c } }

// WithScope sets the scope of the counter of errors by reason.
func WithScope(scope tally.Scope) Option { return func(s *settings) { s.scope = scope } }

// WithDialTimeout limits the time to open a connection.
func WithDialTimeout(d time.Duration) Option { return func(s *settings) { s.dialTimeout = d } }

// WithFirstTokenTimeout limits the time from a request to its first token.
func WithFirstTokenTimeout(d time.Duration) Option {
	return func(s *settings) { s.firstTokenTimeout = d }
}

// WithChunkTimeout limits the time between two chunks of a stream.
func WithChunkTimeout(d time.Duration) Option { return func(s *settings) { s.chunkTimeout = d } }

// WithCallTimeout limits the time that a call of a plain service may go without progress.
func WithCallTimeout(d time.Duration) Option { return func(s *settings) { s.callTimeout = d } }

// WithControlTimeout limits pause, cancel, load, cache events, orders and transfers of stream state.
func WithControlTimeout(d time.Duration) Option { return func(s *settings) { s.controlTimeout = d } }

// WithIdleTimeout sets the time after which an unused connection is closed, and the shorter time after which it is
// no longer used for non-idempotent calls.
func WithIdleTimeout(idleTimeout, maxNonIdempotentIdle time.Duration) Option {
	return func(s *settings) { s.idleTimeout, s.maxNonIdempotentIdle = idleTimeout, maxNonIdempotentIdle }
}

// WithMaxBodyBytes limits the response body of a plain service.
func WithMaxBodyBytes(n int) Option { return func(s *settings) { s.maxBodyBytes = n } }
