package wigeonslope

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"time"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonconfig"
	"wigeonshift/internal/modules/wigeonsession"
	"wigeonshift/internal/services/wigeonbroker"
	"wigeonshift/internal/services/wigeonendpoint"
	"wigeonshift/internal/services/wigeonmember"
	"wigeonshift/internal/services/wigeonowner"
	"wigeonshift/internal/services/wigeonspread"
	"wigeonshift/internal/standin/wigeonengine"
	"wigeonshift/internal/standin/wigeonplatform"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
)

// fleet is a few nodes' control on loopback, around one stand-in platform in memory and one stand-in engine that
// serves as every endpoint.
type fleet struct {
	core       *wigeonplatform.Core
	repository *wigeonconfig.Repository
	engine     *wigeonengine.Engine
	// version is the newest one submitted here.
	version uint64
	nodes   []*node
}

// organisationsPerPatch keeps patches below their largest size.
const organisationsPerPatch = 2000

// shape sizes a fleet.
type shape struct {
	nodes, shards, endpointsPerShard, organisations int
}

// startFleet starts nodes with a configuration in force.
func startFleet(ctx context.Context, s shape) (*fleet, error) {
	f := &fleet{core: wigeonplatform.NewCore(wigeonplatform.WithListLag(0)), engine: wigeonengine.New("127.0.0.1:0")}
	f.repository = wigeonconfig.NewRepository(f.core, f.core)
	if err := f.engine.Start(ctx); err != nil {
		return nil, err
	}
	if err := f.configure(ctx, s); err != nil {
		return f, err
	}
	for i := range s.nodes {
		if err := f.startNode(ctx, i); err != nil {
			return f, err
		}
	}
	return f, nil
}

// stop ends all nodes and the engine.
func (f *fleet) stop(ctx context.Context) error {
	if f == nil {
		return nil
	}
	var errs []error
	for _, n := range f.nodes {
		errs = append(errs, n.stop(ctx))
	}
	return errors.Join(append(errs, f.engine.Stop(ctx))...)
}

// configure submits a configuration of one pool for each shard.
func (f *fleet) configure(ctx context.Context, s shape) error {
	c := wigeonshift.Product{
		Tiers:         map[string]wigeonshift.Tier{"t": {DefaultDeadlineMS: 60_000}},
		Organisations: map[string]wigeonshift.Organisation{"o": {Tiers: []string{"t"}}},
		Services:      map[string]wigeonshift.Service{},
	}
	for i := range s.shards {
		service := wigeonshift.Service{
			Kind: wigeonshift.ServiceModel, Models: []string{fmt.Sprint("m", i)}, Endpoints: map[string]wigeonshift.EndpointSpec{},
		}
		for e := range s.endpointsPerShard {
			service.Endpoints[fmt.Sprint("engine", e)] = wigeonshift.EndpointSpec{
				Address: fmt.Sprintf("127.1.%d.%d:80", i, e), Region: "r", Zone: "z", State: wigeonshift.EndpointActive,
				Models: service.Models, MaxConcurrent: 1024,
			}
		}
		c.Services[fmt.Sprint("s", i)] = service
	}
	if err := f.submit(ctx, c); err != nil {
		return err
	}
	for first := 0; first < s.organisations; first += organisationsPerPatch {
		part := wigeonshift.Product{Organisations: map[string]wigeonshift.Organisation{}}
		for i := first; i < min(first+organisationsPerPatch, s.organisations); i++ {
			part.Organisations[organisationName(i)] = wigeonshift.Organisation{
				Tiers: []string{"t"}, Weight: 2, APIKeys: map[string]wigeonshift.APIKey{
					fmt.Sprintf("key%d", i): {Salt: fmt.Sprintf("%032x", i), Hash: fmt.Sprintf("%064x", i)},
				},
			}
		}
		if err := f.submit(ctx, part); err != nil {
			return err
		}
	}
	return nil
}

// submit patches the product.
func (f *fleet) submit(ctx context.Context, p wigeonshift.Product) error {
	patch, err := json.Marshal(map[string]any{"products": map[string]any{"p": p}})
	if err != nil {
		return oops.In("measure").Wrap(err)
	}
	_, c, err := f.repository.Submit(ctx, wigeonconfig.Patch{
		ID: fmt.Sprint("build-", f.version), Base: f.version, Author: "measure", Document: patch,
	})
	if err == nil {
		f.version = c.Version
	}
	return err
}

// startNode starts the next node.
func (f *fleet) startNode(ctx context.Context, index int) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return oops.In("measure").Wrap(err)
	}
	n := &node{fleet: f, store: &gate{Core: f.core}, listener: l}
	n.self = wigeonshift.Instance{
		ID: fmt.Sprint("node", index), Address: l.Addr().String(), Zone: fmt.Sprint("z", index%6), Region: "r",
		State: wigeonshift.InstanceLive,
	}
	n.network = wigeonsession.New(n.self,
		wigeonsession.WithListener(&meteredListener{Listener: l, m: &n.peers}), wigeonsession.WithDial(n.peers.dial))
	n.members = wigeonmember.New(n.store, n.network)
	n.spread = wigeonspread.New(wigeonconfig.NewRepository(n.store, n.store), n.network, n.members,
		wigeonspread.WithLogger(silent()))
	n.manager = wigeonowner.New(n.network, n.members, n.store, n.store, n.spread,
		wigeonendpoint.New(wigeonendpoint.WithDial(n.dialEngine)))
	n.broker = wigeonbroker.New(n.network, n.members, n.store)
	f.core.PutInstance(n.self)
	f.nodes = append(f.nodes, n)
	for _, p := range n.parts() {
		if err := p.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// silent returns a logger without output.
func silent() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// part is a piece of a node with goroutines of its own.
type part interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// node is one instance without its servers for callers and operators.
type node struct {
	fleet     *fleet
	self      wigeonshift.Instance
	listener  net.Listener
	store     *gate
	peers     meter
	endpoints meter
	network   *wigeonsession.Network
	members   *wigeonmember.Members
	spread    *wigeonspread.Spread
	manager   *wigeonowner.Manager
	broker    *wigeonbroker.Broker
	asked     atomic.Int64
	stopped   bool
}

// dialEngine connects to the one engine, whatever the address.
func (n *node) dialEngine(ctx context.Context, _ string) (net.Conn, error) {
	return n.endpoints.dial(ctx, n.fleet.engine.Address())
}

func (n *node) parts() []part {
	return []part{n.network, n.members, n.spread, n.manager, n.broker}
}

// stop ends a node in order.
func (n *node) stop(ctx context.Context) error {
	if n.stopped {
		return nil
	}
	n.stopped = true
	var errs []error
	parts := n.parts()
	for i := len(parts) - 1; i >= 0; i-- {
		errs = append(errs, parts[i].Stop(ctx))
	}
	return errors.Join(errs...)
}

// kill ends a node without a word: its connections break and its calls of the platform fail.
func (n *node) kill(ctx context.Context) error {
	n.store.closed.Store(true)
	n.listener.Close()
	n.peers.breakAll()
	return n.stop(ctx)
}

// ask asks for a permit of a shard and waits for the first answer.
func (n *node) ask(ctx context.Context, shard wigeonshift.ShardID, model string) (wigeonshift.PermitSession, *wigeonshift.Permit, error) {
	s, err := n.broker.RequestPermit(ctx, wigeonshift.PermitRequest{
		ID:    wigeonshift.RequestID(fmt.Sprintf("%s-%d", n.self.ID, n.asked.Add(1))),
		Shard: shard, Product: "p", Organisation: "o", Tier: "t", Model: model, Deadline: time.Now().Add(time.Minute),
		PromptTokens: promptTokens, MaxTokens: answerTokens, Prefix: make([]wigeonshift.BlockHash, promptBlocks),
	})
	if err != nil {
		return nil, nil, err
	}
	select {
	case a := <-s.Answers():
		if a.Grant == nil {
			return s, nil, oops.In("measure").With("answer", a).Errorf("no grant")
		}
		return s, a.Grant, nil
	case <-ctx.Done():
		return s, nil, ctx.Err()
	}
}

// report tells the owner a state of an attempt.
func report(s wigeonshift.PermitSession, p *wigeonshift.Permit, state wigeonshift.AttemptState) {
	s.Report(wigeonshift.AttemptReport{
		Request: p.Request, Shard: p.Shard, Token: p.Token, Endpoint: p.Endpoint, State: state, TokensDone: 1,
		Elapsed: firstTokenTime,
	})
}

// gate is the platform as one node reaches it until the node is killed.
type gate struct {
	*wigeonplatform.Core
	closed atomic.Bool
}

// Get reads a row.
func (g *gate) Get(ctx context.Context, key string) (wigeonshift.Row, error) {
	if g.closed.Load() {
		return wigeonshift.Row{}, wigeonshift.ErrUnavailable
	}
	return g.Core.Get(ctx, key)
}

// Commit applies a transaction.
func (g *gate) Commit(ctx context.Context, tx wigeonshift.Transaction) ([]uint64, error) {
	if g.closed.Load() {
		return nil, wigeonshift.ErrUnavailable
	}
	return g.Core.Commit(ctx, tx)
}
