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

// fleet consists of nodes on loopback, one in-memory stand-in platform, and one stand-in engine that serves as every
// endpoint.
type fleet struct {
	core       *wigeonplatform.Core
	repository *wigeonconfig.Repository
	engine     *wigeonengine.Engine
	// newestVersion is the version of the latest configuration submitted.
	newestVersion uint64
	nodes         []*node
}

// organisationsPerPatch keeps patches below the maximum size of a patch.
const organisationsPerPatch = 2000

// fleetSize holds the numbers of nodes, shards, endpoints and organisations of a fleet.
type fleetSize struct {
	nodes, shards, endpointsPerShard, organisations int
}

// startFleet submits a configuration and starts nodes. If it fails after the engine started, it returns the fleet with
// the error, so that the caller can stop it.
func startFleet(ctx context.Context, s fleetSize) (*fleet, error) {
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

// stop stops all nodes and the engine.
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

// configure submits a configuration with one pool for each shard, and then the organisations in further patches.
func (f *fleet) configure(ctx context.Context, s fleetSize) error {
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
		batch := wigeonshift.Product{Organisations: map[string]wigeonshift.Organisation{}}
		for i := first; i < min(first+organisationsPerPatch, s.organisations); i++ {
			batch.Organisations[organisationName(i)] = wigeonshift.Organisation{
				Tiers: []string{"t"}, Weight: 2, APIKeys: map[string]wigeonshift.APIKey{
					fmt.Sprintf("key%d", i): {Salt: fmt.Sprintf("%032x", i), Hash: fmt.Sprintf("%064x", i)},
				},
			}
		}
		if err := f.submit(ctx, batch); err != nil {
			return err
		}
	}
	return nil
}

// submit merges p into the product by a patch.
func (f *fleet) submit(ctx context.Context, p wigeonshift.Product) error {
	patch, err := json.Marshal(map[string]any{"products": map[string]any{"p": p}})
	if err != nil {
		return oops.In("measure").Wrap(err)
	}
	_, c, err := f.repository.Submit(ctx, wigeonconfig.Patch{
		ID: fmt.Sprint("build-", f.newestVersion), Base: f.newestVersion, Author: "measure", Document: patch,
	})
	if err == nil {
		f.newestVersion = c.Version
	}
	return err
}

// startNode starts a node with the given index.
func (f *fleet) startNode(ctx context.Context, index int) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return oops.In("measure").Wrap(err)
	}
	n := &node{fleet: f, store: &disconnectableStore{Core: f.core}, listener: l}
	n.self = wigeonshift.Instance{
		ID: fmt.Sprint("node", index), Address: l.Addr().String(), Zone: fmt.Sprint("z", index%6), Region: "r",
		State: wigeonshift.InstanceLive,
	}
	n.network = wigeonsession.New(n.self,
		wigeonsession.WithListener(&meteredListener{Listener: l, meter: &n.peerMeter}), wigeonsession.WithDial(n.peerMeter.dial))
	n.members = wigeonmember.New(n.store, n.network)
	n.spread = wigeonspread.New(wigeonconfig.NewRepository(n.store, n.store), n.network, n.members,
		wigeonspread.WithLogger(discardLogger()))
	n.manager = wigeonowner.New(n.network, n.members, n.store, n.store, n.spread,
		wigeonendpoint.New(wigeonendpoint.WithDial(n.dialEngine)))
	n.broker = wigeonbroker.New(n.network, n.members, n.store)
	f.core.PutInstance(n.self)
	f.nodes = append(f.nodes, n)
	for _, p := range n.components() {
		if err := p.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// discardLogger returns a logger without output.
func discardLogger() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// component is a part of a node that runs its own goroutines.
type component interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// node is one instance without its servers for callers and operators.
type node struct {
	fleet         *fleet
	self          wigeonshift.Instance
	listener      net.Listener
	store         *disconnectableStore
	peerMeter     meter
	endpointMeter meter
	network       *wigeonsession.Network
	members       *wigeonmember.Members
	spread        *wigeonspread.Spread
	manager       *wigeonowner.Manager
	broker        *wigeonbroker.Broker
	requestCount  atomic.Int64
	stopped       bool
}

// dialEngine connects to the stand-in engine, whatever the address.
func (n *node) dialEngine(ctx context.Context, _ string) (net.Conn, error) {
	return n.endpointMeter.dial(ctx, n.fleet.engine.Address())
}

// components returns the components of a node in the order in which they start.
func (n *node) components() []component {
	return []component{n.network, n.members, n.spread, n.manager, n.broker}
}

// stop stops the components in reverse order.
func (n *node) stop(ctx context.Context) error {
	if n.stopped {
		return nil
	}
	n.stopped = true
	var errs []error
	components := n.components()
	for i := len(components) - 1; i >= 0; i-- {
		errs = append(errs, components[i].Stop(ctx))
	}
	return errors.Join(errs...)
}

// kill simulates a crash: the node's connections break and its calls to the platform fail before it stops.
func (n *node) kill(ctx context.Context) error {
	n.store.disconnected.Store(true)
	n.listener.Close()
	n.peerMeter.closeAll()
	return n.stop(ctx)
}

// requestPermit requests a permit of a shard and waits for the first answer. If the answer is not a grant, it returns the
// session with the error, so that the caller can close it.
func (n *node) requestPermit(ctx context.Context, shard wigeonshift.ShardID, model string) (wigeonshift.PermitSession, *wigeonshift.Permit, error) {
	s, err := n.broker.RequestPermit(ctx, wigeonshift.PermitRequest{
		ID:    wigeonshift.RequestID(fmt.Sprintf("%s-%d", n.self.ID, n.requestCount.Add(1))),
		Shard: shard, Product: "p", Organisation: "o", Tier: "t", Model: model, Deadline: time.Now().Add(time.Minute),
		PromptTokens: promptTokens, MaxTokens: outputTokens, Prefix: make([]wigeonshift.BlockHash, promptBlocks),
	})
	if err != nil {
		return nil, nil, err
	}
	select {
	case a := <-s.Answers():
		if a.Grant == nil {
			return s, nil, oops.In("measure").With("answer", a).Errorf("permit was not granted")
		}
		return s, a.Grant, nil
	case <-ctx.Done():
		return s, nil, ctx.Err()
	}
}

// reportAttempt reports the state of an attempt to the owner of its shard.
func reportAttempt(s wigeonshift.PermitSession, p *wigeonshift.Permit, state wigeonshift.AttemptState) {
	s.Report(wigeonshift.AttemptReport{
		Request: p.Request, Shard: p.Shard, Token: p.Token, Endpoint: p.Endpoint, State: state, TokensDone: 1,
		Elapsed: firstTokenLatency,
	})
}

// disconnectableStore is the connection of one node to the platform. Calls fail once it is disconnected.
type disconnectableStore struct {
	*wigeonplatform.Core
	disconnected atomic.Bool
}

// Get reads a row.
func (s *disconnectableStore) Get(ctx context.Context, key string) (wigeonshift.Row, error) {
	if s.disconnected.Load() {
		return wigeonshift.Row{}, wigeonshift.ErrUnavailable
	}
	return s.Core.Get(ctx, key)
}

// Commit applies a transaction.
func (s *disconnectableStore) Commit(ctx context.Context, tx wigeonshift.Transaction) ([]uint64, error) {
	if s.disconnected.Load() {
		return nil, wigeonshift.ErrUnavailable
	}
	return s.Core.Commit(ctx, tx)
}
