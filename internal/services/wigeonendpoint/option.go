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
	// firstToken bounds the time from the request to the first byte of a stream.
	firstToken time.Duration
	// betweenChunks bounds the time from one read of a stream to the next.
	betweenChunks time.Duration
	// call bounds the silence of a plain service.
	call time.Duration
	// control bounds the small calls: pause, cancel, load, events, orders.
	control time.Duration
	// idle is the time after which an unused connection is closed.
	idle time.Duration
	// fresh is the idle time after which a connection isn't used for non-idempotent calls.
	fresh time.Duration
	// connections bounds the connections to one endpoint.
	connections int
	// bodyBytes bounds the answer of a plain service.
	bodyBytes int
}

func defaultSettings() settings {
	dialer := &net.Dialer{KeepAlive: 15 * time.Second}
	return settings{
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		scope:         tally.NoopScope,
		dialTimeout:   time.Second,
		firstToken:    30 * time.Second,
		betweenChunks: 5 * time.Second,
		call:          30 * time.Second,
		control:       2 * time.Second,
		idle:          10 * time.Second,
		fresh:         time.Second,
		connections:   4096,
		bodyBytes:     64 << 20,
	}
}

// Option changes a dialer.
type Option func(*settings)

// WithDial sets how connections are opened.
func WithDial(d DialFunc) Option { return func(s *settings) { s.dial = d } }

// WithTLS speaks TLS on every connection. Without a server name, the endpoint's host is checked.
func WithTLS(c *tls.Config) Option { return func(s *settings) { s.tls = c } }

// WithScope sets where errors are counted by reason.
func WithScope(scope tally.Scope) Option { return func(s *settings) { s.scope = scope } }

// WithDialTimeout bounds the opening of a connection.
func WithDialTimeout(d time.Duration) Option { return func(s *settings) { s.dialTimeout = d } }

// WithFirstTokenTimeout bounds the time from a request to its first token.
func WithFirstTokenTimeout(d time.Duration) Option { return func(s *settings) { s.firstToken = d } }

// WithChunkTimeout bounds the time between two chunks of a stream.
func WithChunkTimeout(d time.Duration) Option { return func(s *settings) { s.betweenChunks = d } }

// WithCallTimeout bounds the silence of a plain service.
func WithCallTimeout(d time.Duration) Option { return func(s *settings) { s.call = d } }

// WithControlTimeout bounds pause, cancel, load, events, orders and transfers of state.
func WithControlTimeout(d time.Duration) Option { return func(s *settings) { s.control = d } }

// WithIdleTimeout sets when an unused connection is closed, and when it is too old for non-idempotent calls.
func WithIdleTimeout(idle, fresh time.Duration) Option {
	return func(s *settings) { s.idle, s.fresh = idle, fresh }
}

// WithMaxBodyBytes bounds the answer of a plain service.
func WithMaxBodyBytes(n int) Option { return func(s *settings) { s.bodyBytes = n } }
