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

// localCluster is a set of complete nodes in virtual time that are connected in memory.
type localCluster struct {
	g        *WithT
	platform *wigeonplatform.Core
	engines  *fakeEngines
	nodes    []*node
	// configuration is the configuration of every node.
	configuration *wigeonshift.Configuration
	// epoch is the shard's epoch at the start of the test.
	epoch uint64

	mu        sync.Mutex
	listeners map[string]*memoryListener
	conns     map[*memoryConn]bool
	// partitioned holds the pairs of instances that are partitioned. Their connections drop all data.
	partitioned map[[2]string]bool
}

// runCluster runs a test in a cluster with count nodes.
func runCluster(count int, run func(l *localCluster), options ...wigeonplatform.Option) {
	runClusterWith(clusterConfiguration, count, run, options...)
}

// runClusterWith is like runCluster with another configuration. The two garbage collections empty the timer pool of
// yamux, because its timers must not be reused in the next synctest bubble.
func runClusterWith(c *wigeonshift.Configuration, count int, run func(l *localCluster), options ...wigeonplatform.Option) {
	runtime.GC()
	runtime.GC()
	synctest.Test(suiteT, func(t *testing.T) {
		l := &localCluster{
			g: NewWithT(t), platform: wigeonplatform.NewCore(options...), engines: &fakeEngines{}, configuration: c,
			listeners: map[string]*memoryListener{}, conns: map[*memoryConn]bool{}, partitioned: map[[2]string]bool{},
		}
		for i := range count {
			l.startNode(fmt.Sprintf("n%d", i))
		}
		// Within this time the shard moves to its first candidate.
		time.Sleep(25 * time.Second)
		l.epoch = l.status().Epoch
		run(l)
		for _, n := range l.nodes {
			n.stop()
		}
	})
}

// node is one instance with the components that take part in shard ownership.
type node struct {
	cluster *localCluster
	id      string
	network *wigeonsession.Network
	members *wigeonmember.Members
	manager *wigeonowner.Manager
	broker  *wigeonbroker.Broker
	store   *nodePlatform
	stopped atomic.Bool
	serial  atomic.Int64
}

func (l *localCluster) startNode(id string) *node {
	self := wigeonshift.Instance{ID: id, Address: id + ":1", Region: "lima", State: wigeonshift.InstanceLive}
	n := &node{cluster: l, id: id, store: &nodePlatform{Core: l.platform}}
	n.network = wigeonsession.New(self, wigeonsession.WithListener(l.listen(self.Address)),
		wigeonsession.WithDial(func(ctx context.Context, a string) (net.Conn, error) { return l.dial(ctx, id, a) }))
	n.members = wigeonmember.New(n.store, n.network)
	n.manager = wigeonowner.New(n.network, n.members, n.store, n.store, &fixedConfiguration{current: l.configuration}, l.engines)
	n.broker = wigeonbroker.New(n.network, n.members, n.store)
	l.platform.PutInstance(self)
	l.g.Expect(n.network.Start(ctx)).To(Succeed())
	l.g.Expect(n.members.Start(ctx)).To(Succeed())
	l.g.Expect(n.manager.Start(ctx)).To(Succeed())
	l.g.Expect(n.broker.Start(ctx)).To(Succeed())
	l.nodes = append(l.nodes, n)
	return n
}

// stop shuts the node down in order, unless it has been stopped before.
func (n *node) stop() {
	if n.stopped.Swap(true) {
		return
	}
	n.cluster.g.Expect(n.broker.Stop(ctx)).To(Succeed())
	n.cluster.g.Expect(n.manager.Stop(ctx)).To(Succeed())
	n.cluster.g.Expect(n.members.Stop(ctx)).To(Succeed())
	n.cluster.g.Expect(n.network.Stop(ctx)).To(Succeed())
}

// kill simulates a crash of the node: its connections break and its store calls have no effect from then on.
func (n *node) kill() {
	n.store.unreachable.Store(true)
	n.cluster.closeConns(n.id)
	n.stop()
	n.cluster.platform.RemoveInstance(n.id)
}

// owners returns the running nodes that serve the shard.
func (l *localCluster) owners() []*node {
	var owners []*node
	for _, n := range l.nodes {
		if !n.stopped.Load() && len(n.manager.Statuses()) > 0 {
			owners = append(owners, n)
		}
	}
	return owners
}

// owner checks that the shard has exactly one owner and returns it and another running node.
func (l *localCluster) owner() (owner, other *node) {
	owners := l.owners()
	l.g.Expect(owners).To(HaveLen(1))
	for _, n := range l.nodes {
		if n != owners[0] && !n.stopped.Load() {
			other = n
		}
	}
	return owners[0], other
}

// nodesExcept returns all nodes but the given ones.
func (l *localCluster) nodesExcept(some ...*node) []*node {
	return slices.DeleteFunc(slices.Clone(l.nodes), func(n *node) bool { return slices.Contains(some, n) })
}

func (l *localCluster) byID(id string) *node {
	return l.nodes[slices.IndexFunc(l.nodes, func(n *node) bool { return n.id == id })]
}

// status returns the shard's status at its owner.
func (l *localCluster) status() wigeonshift.ShardStatus {
	owner, _ := l.owner()
	return owner.manager.Statuses()[0]
}

// ask requests a permit at a node and returns the answer, the time it took and the session.
func (n *node) ask(deadline time.Duration) (wigeonshift.PermitAnswer, time.Duration, wigeonshift.PermitSession) {
	return n.askModel("m", deadline)
}

func (n *node) askModel(model string, deadline time.Duration) (wigeonshift.PermitAnswer, time.Duration, wigeonshift.PermitSession) {
	id := wigeonshift.RequestID(fmt.Sprintf("%s-%d", n.id, n.serial.Add(1)))
	start := time.Now()
	s, err := n.broker.RequestPermit(ctx, wigeonshift.PermitRequest{
		ID: id, Shard: shardID, Product: "p", Organisation: "o", Tier: "t", Deadline: start.Add(deadline),
		PromptTokens: 64, MaxTokens: 16, Fingerprint: wigeonshift.Fingerprint(n.serial.Load()), Model: model,
	})
	n.cluster.g.Expect(err).NotTo(HaveOccurred())
	select {
	case a := <-s.Answers():
		return a, time.Since(start), s
	case <-time.After(deadline):
		return wigeonshift.PermitAnswer{}, deadline, s
	}
}

// finish reports a complete attempt for a granted permit and closes the session.
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

// fixedConfiguration is a configuration source that never changes.
type fixedConfiguration struct {
	current      *wigeonshift.Configuration
	neverChanged chan struct{}
}

func (f *fixedConfiguration) Current() *wigeonshift.Configuration { return f.current }
func (f *fixedConfiguration) Changed() <-chan struct{}            { return f.neverChanged }

// clusterConfiguration has one pool with four model endpoints. Only e3 has the model "cold".
var clusterConfiguration = func() *wigeonshift.Configuration {
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

// nodePlatform is the platform as seen by one node. Its table and instance list can be made unreachable.
type nodePlatform struct {
	*wigeonplatform.Core
	unreachable atomic.Bool
}

func (s *nodePlatform) Get(ctx context.Context, key string) (wigeonshift.Row, error) {
	if s.unreachable.Load() {
		return wigeonshift.Row{}, wigeonshift.ErrUnavailable
	}
	return s.Core.Get(ctx, key)
}

func (s *nodePlatform) Commit(ctx context.Context, tx wigeonshift.Transaction) ([]uint64, error) {
	if s.unreachable.Load() {
		return nil, wigeonshift.ErrUnavailable
	}
	return s.Core.Commit(ctx, tx)
}

func (s *nodePlatform) Instances(ctx context.Context) ([]wigeonshift.Instance, error) {
	if s.unreachable.Load() {
		return nil, wigeonshift.ErrUnavailable
	}
	return s.Core.Instances(ctx)
}

// fakeEngines are endpoints that report no load and record the orders they receive.
type fakeEngines struct {
	mu     sync.Mutex
	orders []sentOrder
	polls  atomic.Int64
	// loadError is the error of every load report, or nil.
	loadError error
}

type sentOrder struct {
	at    time.Time
	order wigeonshift.Order
}

// orderCount returns the number of orders received so far.
func (e *fakeEngines) orderCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders)
}

// lastOrderTime returns the time of the last order with the given fencing number.
func (e *fakeEngines) lastOrderTime(fence uint64) time.Time {
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

type fakeEngine struct {
	wigeonshift.Endpoint
	engines *fakeEngines
	address string
}

func (e *fakeEngines) Endpoint(address string) wigeonshift.Endpoint {
	return &fakeEngine{engines: e, address: address}
}

// setLoadError sets the error of all further load reports. A nil error makes them succeed.
func (e *fakeEngines) setLoadError(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loadError = err
}

func (e *fakeEngines) currentLoadError() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loadError
}

func (e *fakeEngine) Load(context.Context) (wigeonshift.LoadReport, error) {
	e.engines.polls.Add(1)
	if err := e.engines.currentLoadError(); err != nil {
		return wigeonshift.LoadReport{}, err
	}
	return wigeonshift.LoadReport{TakenAt: time.Now(), Incarnation: "1"}, nil
}

func (e *fakeEngine) CacheEvents(context.Context, uint64) (wigeonshift.CacheBatch, error) {
	return wigeonshift.CacheBatch{Incarnation: "1"}, nil
}

func (e *fakeEngine) SendOrder(_ context.Context, o wigeonshift.Order) error {
	e.engines.mu.Lock()
	defer e.engines.mu.Unlock()
	e.engines.orders = append(e.engines.orders, sentOrder{time.Now(), o})
	return nil
}

func (l *localCluster) listen(address string) *memoryListener {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	l.listeners[address] = m
	return m
}

// dial connects two nodes. While they are partitioned, it blocks until the context ends.
func (l *localCluster) dial(ctx context.Context, from, address string) (net.Conn, error) {
	l.mu.Lock()
	m := l.listeners[address]
	to := address[:len(address)-2]
	partitioned := l.partitioned[[2]string{from, to}]
	l.mu.Unlock()
	if partitioned {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if m == nil {
		return nil, errors.New("connection refused")
	}
	a, b := net.Pipe()
	c := &memoryConn{Conn: a, cluster: l, ends: [2]string{from, to}}
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

// partition cuts or restores the connections between two nodes in both directions.
func (l *localCluster) partition(a, b string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitioned[[2]string{a, b}], l.partitioned[[2]string{b, a}] = cut, cut
}

// closeConns closes all connections of a node.
func (l *localCluster) closeConns(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.ends[0] == id || c.ends[1] == id {
			c.Close()
			delete(l.conns, c)
		}
	}
}

// memoryConn is an in-memory connection that drops all data while its two ends are partitioned.
type memoryConn struct {
	net.Conn
	cluster *localCluster
	ends    [2]string
}

func (c *memoryConn) isPartitioned() bool {
	c.cluster.mu.Lock()
	defer c.cluster.mu.Unlock()
	return c.cluster.partitioned[c.ends]
}

func (c *memoryConn) Write(b []byte) (int, error) {
	if c.isPartitioned() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *memoryConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.isPartitioned() {
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
