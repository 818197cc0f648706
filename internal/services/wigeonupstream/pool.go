package wigeonupstream

import (
	"context"
	"net"
	"sync"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonsocket"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc"
)

// Limits of connections.
const (
	defaultDialTimeout = 700 * time.Millisecond
	// maxIdleTime is how long an idle connection is kept at most, so that one that has fallen silent is reused no later. The probes of
	// the kernel may show that later: what the peer sends again, because it gets no acknowledgement, counts as a sign of life.
	maxIdleTime = 2500 * time.Millisecond
	// idleTimeoutMargin is subtracted from the announced keep-alive timeout because the endpoint may have started to
	// count earlier.
	idleTimeoutMargin = time.Second
	// readBufferBytes is large enough for a response header.
	readBufferBytes = 4 << 10
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Target identifies the endpoint that a request is sent to.
type Target struct {
	ID      string
	Address string
}

// Pool keeps idle connections to endpoints. Each incarnation of an endpoint has its own connections, also at the same
// address.
type Pool struct {
	dialect     wigeonshift.WireDialect
	dial        DialFunc
	dialTimeout time.Duration
	// writers are the goroutines that write large requests.
	writers conc.WaitGroup

	mu sync.Mutex
	// idle holds the idle connections of each endpoint, the most recently used one last.
	idle   map[Target][]*connection
	closed bool
}

// Option changes a pool under construction.
type Option func(*Pool)

// WithDial replaces the TCP dialer.
func WithDial(dial DialFunc) Option { return func(p *Pool) { p.dial = dial } }

// New returns an empty pool.
func New(dialect wigeonshift.WireDialect, opts ...Option) *Pool {
	p := &Pool{
		dialect:     dialect,
		dial:        wigeonsocket.Dial,
		dialTimeout: defaultDialTimeout,
		idle:        map[Target][]*connection{},
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// acquire returns a reusable idle connection, or dials a new one if there is none. It closes the idle connections that
// it finds unusable, e.g. because the endpoint has closed them.
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
	ctx, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	raw, err := p.dial(ctx, t.Address)
	if err != nil {
		return nil, oops.In("upstream").With("endpoint", t.ID).Wrap(err)
	}
	return newConnection(raw, t), nil
}

// takeIdle removes and returns the most recently used idle connection, nil if there is none.
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

// release returns a connection to the pool after a request, or closes it if the pool is closed. idle is the keep-alive
// timeout that the endpoint announced, zero if none.
func (p *Pool) release(c *connection, idle time.Duration) {
	c.markIdle(idle)
	p.addIdle(c)
}

// addIdle adds a connection to the idle ones, or closes it if the pool is closed.
func (p *Pool) addIdle(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.close()
		return
	}
	p.idle[c.target] = append(p.idle[c.target], c)
}

// Retain closes the idle connections to all endpoints other than targets, which are those that still take requests.
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

// DropIdle closes the idle connections to an endpoint, because they may be dead.
func (p *Pool) DropIdle(t Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	closeAll(p.idle[t])
	delete(p.idle, t)
}

// DropAllIdle closes all idle connections.
func (p *Pool) DropAllIdle() { p.Retain(nil) }

// Prune closes the connections whose idle timeout has expired. It is called periodically, because acquire checks only
// the connections of the endpoint that it needs.
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

// Close closes all idle connections. Connections in use are closed when they are released.
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
