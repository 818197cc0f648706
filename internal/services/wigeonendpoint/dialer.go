// Package wigeonendpoint is the HTTP client of endpoints: model engines and plain services.
//
// Errors of a dispatch wrap exactly one of the root package's endpoint sentinels, except that the error of an ended
// context or a failed sink is returned without one. ErrNotRun always has proof: no byte was written to a connection, or
// the endpoint's response to this attempt says so. The client never sends a request twice.
package wigeonendpoint

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"wigeonshift"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/valyala/fasthttp"
)

// maxClients limits the cached clients. A client that is evicted stays usable for callers that hold it.
const maxClients = 8192

// Dialer creates and caches endpoint clients. It is safe for concurrent use.
type Dialer struct {
	options settings
	mu      sync.Mutex
	clients *simplelru.LRU[string, *Client]
}

// New returns a dialer.
func New(opts ...Option) *Dialer {
	d := &Dialer{options: defaultSettings()}
	// NewLRU fails only for a size below 1.
	d.clients, _ = simplelru.NewLRU[string, *Client](maxClients, nil)
	for _, o := range opts {
		o(&d.options)
	}
	return d
}

// Endpoint returns the client for an address. Clients of the same address share connections.
func (d *Dialer) Endpoint(address string) wigeonshift.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.clients.Get(address)
	if !ok {
		c = newClient(address, &d.options)
		d.clients.Add(address, c)
	}
	return c
}

// CloseIdle closes all idle connections.
func (d *Dialer) CloseIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.clients.Values() {
		c.hostClient.CloseIdleConnections()
	}
}

// openConnection dials an address and performs the TLS handshake if TLS is configured.
func (s *settings) openConnection(address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	raw, err := s.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if s.tls == nil {
		return newConnection(raw, raw), nil
	}
	encrypted := tls.Client(raw, s.tlsConfigFor(address))
	if err := encrypted.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, err
	}
	return newConnection(encrypted, raw), nil
}

// tlsConfigFor returns the TLS configuration for an address. If no server name is configured, the certificate must match
// the address's host.
func (s *settings) tlsConfigFor(address string) *tls.Config {
	if s.tls.ServerName != "" {
		return s.tls
	}
	config := s.tls.Clone()
	if host, _, err := net.SplitHostPort(address); err == nil {
		config.ServerName = host
	}
	return config
}

func newClient(address string, options *settings) *Client {
	return &Client{
		address: address,
		options: options,
		hostClient: &fasthttp.HostClient{
			Addr:                address,
			DialTimeout:         options.openConnection,
			MaxConns:            options.maxConnections,
			MaxIdleConnDuration: options.idleTimeout,
			ConnPoolStrategy:    fasthttp.LIFO,
		},
	}
}
