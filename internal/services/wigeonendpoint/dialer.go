// Package wigeonendpoint is the client of endpoints: model engines and plain services over HTTP.
//
// Errors of a dispatch wrap exactly one of the root package's endpoint sentinels, except that an ended context and a
// failed sink come back as they are. ErrNotRun always rests on proof: no byte was handed to a connection, or the
// endpoint's answer to this very attempt says so. Nothing is ever sent twice.
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

// maxClients bounds the clients kept. One that is dropped goes on serving those who hold it.
const maxClients = 8192

// Dialer makes endpoint clients. It is safe for concurrent use.
type Dialer struct {
	set     settings
	mu      sync.Mutex
	clients *simplelru.LRU[string, *Client]
}

// New returns a dialer.
func New(opts ...Option) *Dialer {
	d := &Dialer{set: defaultSettings()}
	// NewLRU fails only for a size below 1.
	d.clients, _ = simplelru.NewLRU[string, *Client](maxClients, nil)
	for _, o := range opts {
		o(&d.set)
	}
	return d
}

// Endpoint returns the client for an address; clients of one address share connections.
func (d *Dialer) Endpoint(address string) wigeonshift.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	c, ok := d.clients.Get(address)
	if !ok {
		c = newClient(address, &d.set)
		d.clients.Add(address, c)
	}
	return c
}

// CloseIdle closes the connections that no exchange uses.
func (d *Dialer) CloseIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.clients.Values() {
		c.host.CloseIdleConnections()
	}
}

// open opens one connection, TLS handshake included.
func (s *settings) open(address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	raw, err := s.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if s.tls == nil {
		return newConnection(raw, raw), nil
	}
	encrypted := tls.Client(raw, s.tlsFor(address))
	if err := encrypted.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, err
	}
	return newConnection(encrypted, raw), nil
}

func (s *settings) tlsFor(address string) *tls.Config {
	if s.tls.ServerName != "" {
		return s.tls
	}
	config := s.tls.Clone()
	if host, _, err := net.SplitHostPort(address); err == nil {
		config.ServerName = host
	}
	return config
}

func newClient(address string, set *settings) *Client {
	return &Client{
		address: address,
		set:     set,
		host: &fasthttp.HostClient{
			Addr:                address,
			DialTimeout:         set.open,
			MaxConns:            set.connections,
			MaxIdleConnDuration: set.idle,
			ConnPoolStrategy:    fasthttp.LIFO,
		},
	}
}
