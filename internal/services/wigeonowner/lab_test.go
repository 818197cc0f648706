package wigeonowner_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonsession"
	"wigeonshift/internal/services/wigeonbroker"
	"wigeonshift/internal/services/wigeonmember"
	"wigeonshift/internal/services/wigeonowner"
	"wigeonshift/internal/standin/wigeonplatform"

	. "github.com/onsi/gomega"
)

var ctx = context.Background()

const shardID = wigeonshift.ShardID("p/s/lima/0")

// lab is a few whole nodes over in-memory connections, in virtual time.
type lab struct {
	g        *WithT
	platform *wigeonplatform.Core
	engines  *engines
	nodes    []*node
	// configuration is the one in force.
	configuration *wigeonshift.Configuration
	// epoch is the shard's epoch when the test begins.
	epoch uint64

	mu        sync.Mutex
	listeners map[string]*memoryListener
	conns     map[*memoryConn]bool
	// cut holds pairs of instances between which connections swallow everything.
	cut map[[2]string]bool
}

// run builds a lab in virtual time. Two collections empty the timer pool of yamux: its timers must not cross
// from one bubble to the next.
func runLab(count int, run func(l *lab), options ...wigeonplatform.Option) {
	runLabWith(labConfiguration, count, run, options...)
}

func runLabWith(c *wigeonshift.Configuration, count int, run func(l *lab), options ...wigeonplatform.Option) {
	runtime.GC()
	runtime.GC()
	synctest.Test(suiteT, func(t *testing.T) {
		l := &lab{
			g: NewWithT(t), platform: wigeonplatform.NewCore(options...), engines: &engines{}, configuration: c,
			listeners: map[string]*memoryListener{}, conns: map[*memoryConn]bool{}, cut: map[[2]string]bool{},
		}
		for i := range count {
			l.startNode(fmt.Sprintf("n%d", i))
		}
		// Until then the shard has moved to its first candidate.
		time.Sleep(25 * time.Second)
		l.epoch = l.status().Epoch
		run(l)
		for _, n := range l.nodes {
			n.stop()
		}
	})
}

// node is one instance with everything of this area.
type node struct {
	lab     *lab
	id      string
	network *wigeonsession.Network
	members *wigeonmember.Members
	manager *wigeonowner.Manager
	broker  *wigeonbroker.Broker
	store   *gate
	dead    atomic.Bool
	serial  atomic.Int64
}

func (l *lab) startNode(id string) *node {
	self := wigeonshift.Instance{ID: id, Address: id + ":1", Region: "lima", State: wigeonshift.InstanceLive}
	n := &node{lab: l, id: id, store: &gate{Core: l.platform}}
	n.network = wigeonsession.New(self, wigeonsession.WithListener(l.listen(self.Address)),
		wigeonsession.WithDial(func(ctx context.Context, a string) (net.Conn, error) { return l.dial(ctx, id, a) }))
	n.members = wigeonmember.New(n.store, n.network)
	n.manager = wigeonowner.New(n.network, n.members, n.store, n.store, &fixedConfiguration{now: l.configuration}, l.engines)
	n.broker = wigeonbroker.New(n.network, n.members, n.store)
	l.platform.PutInstance(self)
	l.g.Expect(n.network.Start(ctx)).To(Succeed())
	l.g.Expect(n.members.Start(ctx)).To(Succeed())
	l.g.Expect(n.manager.Start(ctx)).To(Succeed())
	l.g.Expect(n.broker.Start(ctx)).To(Succeed())
	l.nodes = append(l.nodes, n)
	return n
}

// stop ends a node in order.
func (n *node) stop() {
	if n.dead.Swap(true) {
		return
	}
	n.lab.g.Expect(n.broker.Stop(ctx)).To(Succeed())
	n.lab.g.Expect(n.manager.Stop(ctx)).To(Succeed())
	n.lab.g.Expect(n.members.Stop(ctx)).To(Succeed())
	n.lab.g.Expect(n.network.Stop(ctx)).To(Succeed())
}

// kill ends a node without a word: its connections break and its store calls have no effect any more.
func (n *node) kill() {
	n.store.closed.Store(true)
	n.lab.breakConns(n.id)
	n.stop()
	n.lab.platform.RemoveInstance(n.id)
}

// owners returns the nodes that serve the shard, other than dead ones.
func (l *lab) owners() []*node {
	var owners []*node
	for _, n := range l.nodes {
		if !n.dead.Load() && len(n.manager.Statuses()) > 0 {
			owners = append(owners, n)
		}
	}
	return owners
}

// owner returns the one owner and some other node.
func (l *lab) owner() (owner, other *node) {
	owners := l.owners()
	l.g.Expect(owners).To(HaveLen(1))
	for _, n := range l.nodes {
		if n != owners[0] && !n.dead.Load() {
			other = n
		}
	}
	return owners[0], other
}

// except returns the nodes other than some.
func (l *lab) except(some ...*node) []*node {
	return slices.DeleteFunc(slices.Clone(l.nodes), func(n *node) bool { return slices.Contains(some, n) })
}

func (l *lab) byID(id string) *node {
	return l.nodes[slices.IndexFunc(l.nodes, func(n *node) bool { return n.id == id })]
}

// status returns the shard's state at its owner.
func (l *lab) status() wigeonshift.ShardStatus {
	owner, _ := l.owner()
	return owner.manager.Statuses()[0]
}

// ask asks for a permit from a node and returns the answer, the time it took and the session.
func (n *node) ask(deadline time.Duration) (wigeonshift.PermitAnswer, time.Duration, wigeonshift.PermitSession) {
	return n.askModel("m", deadline)
}

func (n *node) askModel(model string, deadline time.Duration) (wigeonshift.PermitAnswer, time.Duration, wigeonshift.PermitSession) {
	id := wigeonshift.RequestID(fmt.Sprintf("%s-%d", n.id, n.serial.Add(1)))
	start := time.Now()
	s, err := n.broker.Ask(ctx, wigeonshift.PermitRequest{
		ID: id, Shard: shardID, Product: "p", Organisation: "o", Tier: "t", Deadline: start.Add(deadline),
		PromptTokens: 64, MaxTokens: 16, Fingerprint: wigeonshift.Fingerprint(n.serial.Load()), Model: model,
	})
	n.lab.g.Expect(err).NotTo(HaveOccurred())
	select {
	case a := <-s.Answers():
		return a, time.Since(start), s
	case <-time.After(deadline):
		return wigeonshift.PermitAnswer{}, deadline, s
	}
}

// finish reports a whole run of a granted permit.
func finish(s wigeonshift.PermitSession, p *wigeonshift.Permit) {
	for _, state := range []wigeonshift.AttemptState{
		wigeonshift.AttemptStarted, wigeonshift.AttemptFirstToken, wigeonshift.AttemptFinished,
	} {
		s.Report(wigeonshift.AttemptReport{
			Request: p.Request, Shard: p.Shard, Token: p.Token, Endpoint: p.Endpoint, State: state, TokensDone: 16,
			Elapsed: 50 * time.Millisecond,
		})
	}
	s.Close()
}

// fixedConfiguration never changes.
type fixedConfiguration struct {
	now   *wigeonshift.Configuration
	never chan struct{}
}

func (f *fixedConfiguration) Current() *wigeonshift.Configuration { return f.now }
func (f *fixedConfiguration) Changed() <-chan struct{}            { return f.never }

// labConfiguration is one pool of four model endpoints.
var labConfiguration = func() *wigeonshift.Configuration {
	endpoints := map[string]wigeonshift.EndpointSpec{}
	for i := range 4 {
		endpoints[fmt.Sprintf("e%d", i)] = wigeonshift.EndpointSpec{
			Address: fmt.Sprintf("e%d:1", i), Region: "lima", State: wigeonshift.EndpointActive, Models: []string{"m"},
			IgnoresFencing: true,
		}
	}
	cold := endpoints["e3"]
	cold.Models = []string{"cold"}
	endpoints["e3"] = cold
	return &wigeonshift.Configuration{Version: 1, Products: map[string]wigeonshift.Product{"p": {
		Tiers:         map[string]wigeonshift.Tier{"t": {}},
		Organisations: map[string]wigeonshift.Organisation{"o": {Tiers: []string{"t"}}},
		Services: map[string]wigeonshift.Service{"s": {
			Kind: wigeonshift.ServiceModel, Models: []string{"m", "cold"}, Endpoints: endpoints,
		}},
	}}}
}()

// gate is the platform as one node reaches it.
type gate struct {
	*wigeonplatform.Core
	closed atomic.Bool
}

func (s *gate) Get(ctx context.Context, key string) (wigeonshift.Row, error) {
	if s.closed.Load() {
		return wigeonshift.Row{}, wigeonshift.ErrUnavailable
	}
	return s.Core.Get(ctx, key)
}

func (s *gate) Commit(ctx context.Context, tx wigeonshift.Transaction) ([]uint64, error) {
	if s.closed.Load() {
		return nil, wigeonshift.ErrUnavailable
	}
	return s.Core.Commit(ctx, tx)
}

func (s *gate) Instances(ctx context.Context) ([]wigeonshift.Instance, error) {
	if s.closed.Load() {
		return nil, wigeonshift.ErrUnavailable
	}
	return s.Core.Instances(ctx)
}

// engines are endpoints that report no load and record orders.
type engines struct {
	mu     sync.Mutex
	orders []sentOrder
	polls  atomic.Int64
	// loadError is what a look at the load ends with.
	loadError error
}

type sentOrder struct {
	at    time.Time
	order wigeonshift.Order
}

// count returns the number of orders given.
func (e *engines) count() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders)
}

// latest returns the time of the last order with a fencing number.
func (e *engines) latest(fence uint64) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	var at time.Time
	for _, o := range e.orders {
		if o.order.Fence == fence {
			at = o.at
		}
	}
	return at
}

type engine struct {
	wigeonshift.Endpoint
	all     *engines
	address string
}

func (e *engines) Endpoint(address string) wigeonshift.Endpoint {
	return &engine{all: e, address: address}
}

// fail makes every load report fail.
func (e *engines) fail(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadError = err
}

// failure returns the error of load reports, nil for none.
func (e *engines) failure() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loadError
}

func (e *engine) Load(context.Context) (wigeonshift.LoadReport, error) {
	e.all.polls.Add(1)
	if err := e.all.failure(); err != nil {
		return wigeonshift.LoadReport{}, err
	}
	return wigeonshift.LoadReport{TakenAt: time.Now(), Incarnation: "1"}, nil
}

func (e *engine) CacheEvents(context.Context, uint64) (wigeonshift.CacheBatch, error) {
	return wigeonshift.CacheBatch{Incarnation: "1"}, nil
}

func (e *engine) SendOrder(_ context.Context, o wigeonshift.Order) error {
	e.all.mu.Lock()
	defer e.all.mu.Unlock()
	e.all.orders = append(e.all.orders, sentOrder{time.Now(), o})
	return nil
}

func (l *lab) listen(address string) *memoryListener {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	l.listeners[address] = m
	return m
}

// dial connects two nodes; the connection swallows everything while the pair is cut.
func (l *lab) dial(ctx context.Context, from, address string) (net.Conn, error) {
	l.mu.Lock()
	m := l.listeners[address]
	to := address[:len(address)-2]
	cut := l.cut[[2]string{from, to}]
	l.mu.Unlock()
	if cut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if m == nil {
		return nil, errors.New("connection refused")
	}
	a, b := net.Pipe()
	c := &memoryConn{Conn: a, lab: l, ends: [2]string{from, to}}
	select {
	case m.conns <- b:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.conns[c] = true
		return c, nil
	case <-m.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// partition cuts or heals a pair of nodes in both directions.
func (l *lab) partition(a, b string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[[2]string{a, b}], l.cut[[2]string{b, a}] = cut, cut
}

// breakConns closes all connections of a node.
func (l *lab) breakConns(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.ends[0] == id || c.ends[1] == id {
			c.Close()
			delete(l.conns, c)
		}
	}
}

// memoryConn swallows everything while its pair is cut.
type memoryConn struct {
	net.Conn
	lab  *lab
	ends [2]string
}

func (c *memoryConn) isCut() bool {
	c.lab.mu.Lock()
	defer c.lab.mu.Unlock()
	return c.lab.cut[c.ends]
}

func (c *memoryConn) Write(b []byte) (int, error) {
	if c.isCut() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *memoryConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.isCut() {
			return n, err
		}
	}
}

type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (m *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-m.conns:
		return c, nil
	case <-m.closed:
		return nil, net.ErrClosed
	}
}

func (m *memoryListener) Close() error   { m.once.Do(func() { close(m.closed) }); return nil }
func (m *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }
