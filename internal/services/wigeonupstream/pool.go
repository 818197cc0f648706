package wigeonupstream

import (
	"context"
	"net"
	"sync"
	"time"

	"wigeonshift"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc"
)

// Bounds of connections.
const (
	defaultDialTimeout = 700 * time.Millisecond
	// defaultIdle is the idle time of a connection whose endpoint announces none.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the announced idle time, since the endpoint may count from an earlier moment.
	idleMargin = time.Second
	// readBufferBytes holds an answer's header.
	readBufferBytes = 4 << 10
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Target is the endpoint that gets a request.
type Target struct {
	ID      string
	Address string
}

// Pool keeps connections to endpoints, apart by incarnation.
type Pool struct {
	dialect wigeonshift.WireDialect
	dial    DialFunc
	timeout time.Duration
	// tasks writes large requests.
	tasks conc.WaitGroup

	mu sync.Mutex
	// idle holds the most recently used connection last.
	idle   map[Target][]*connection
	closed bool
}

// Option changes a pool under construction.
type Option func(*Pool)

// WithDial replaces the TCP dialler.
func WithDial(dial DialFunc) Option { return func(p *Pool) { p.dial = dial } }

// New returns an empty pool.
func New(dialect wigeonshift.WireDialect, opts ...Option) *Pool {
	p := &Pool{
		dialect: dialect,
		timeout: defaultDialTimeout,
		idle:    map[Target][]*connection{},
	}
	p.dial = func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		return d.DialContext(ctx, "tcp", address)
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// acquire returns a connection on which nothing has arrived, an idle one if there is one.
func (p *Pool) acquire(ctx context.Context, t Target) (*connection, error) {
	for {
		c := p.takeIdle(t)
		if c == nil {
			break
		}
		if c.reusable() {
			return c, nil
		}
		c.close()
	}
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	raw, err := p.dial(ctx, t.Address)
	if err != nil {
		return nil, oops.In("upstream").With("endpoint", t.ID).Wrap(err)
	}
	return newConnection(raw, t), nil
}

func (p *Pool) takeIdle(t Target) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[t]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[t] = list[:len(list)-1]
	return c
}

// release keeps a connection for the next request.
func (p *Pool) release(c *connection, idle time.Duration) {
	c.setIdle(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.close()
		return
	}
	p.idle[c.target] = append(p.idle[c.target], c)
}

// Retain closes the idle connections to endpoints that are not in use any more.
func (p *Pool) Retain(targets map[Target]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for t, list := range p.idle {
		if targets[t] {
			continue
		}
		closeAll(list)
		delete(p.idle, t)
	}
}

// Prune closes connections whose idle time is over.
func (p *Pool) Prune() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for t, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.idleUntil) {
				c.close()
				continue
			}
			kept = append(kept, c)
		}
		p.idle[t] = kept
	}
}

// Close closes all idle connections, and others when they are released.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for t, list := range p.idle {
		closeAll(list)
		delete(p.idle, t)
	}
}

func closeAll(list []*connection) {
	for _, c := range list {
		c.close()
	}
}
