// Package wigeonnode assembles one instance: callers' API, peer sessions, permits, shard ownership, dispatch,
// configuration, operators' API and metrics, and stops them without cutting a request.
package wigeonnode

import (
	"context"
	"errors"
	"net"
	"sync/atomic"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonclaim"
	"wigeonshift/internal/models/wigeonconfig"
	"wigeonshift/internal/models/wigeonstore"
	"wigeonshift/internal/modules/wigeonmetric"
	"wigeonshift/internal/modules/wigeonsession"
	"wigeonshift/internal/modules/wigeonsetting"
	"wigeonshift/internal/routers/wigeoncaller"
	"wigeonshift/internal/routers/wigeonoperator"
	"wigeonshift/internal/services/wigeonbroker"
	"wigeonshift/internal/services/wigeonendpoint"
	"wigeonshift/internal/services/wigeonentry"
	"wigeonshift/internal/services/wigeonmember"
	"wigeonshift/internal/services/wigeonowner"
	"wigeonshift/internal/services/wigeonspread"

	"github.com/google/uuid"
	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
)

// Node is one instance.
type Node struct {
	settings wigeonsetting.Settings
	log      logrus.FieldLogger
	self     wigeonshift.Instance
	draining atomic.Bool
	// listeners are bound before anything starts, so that addresses with port 0 are known.
	listeners  listeners
	identities identities
	metrics    *wigeonmetric.Metrics
	platform   wigeonshift.Platform
	network    *wigeonsession.Network
	members    *wigeonmember.Members
	spread     *wigeonspread.Spread
	owner      *wigeonowner.Manager
	broker     *wigeonbroker.Broker
	claims     *wigeonclaim.Store
	entry      *wigeonentry.Service
	caller     *wigeoncaller.Server
	operator   *wigeonoperator.Server
}

// listeners are the bound sockets of a node.
type listeners struct {
	caller   net.Listener
	peer     net.Listener
	operator net.Listener
}

// New binds the node's addresses and assembles its parts.
func New(ctx context.Context, settings wigeonsetting.Settings, log logrus.FieldLogger) (*Node, error) {
	n := &Node{settings: settings, log: log}
	if err := n.listen(ctx); err != nil {
		return nil, errors.Join(err, n.listeners.close())
	}
	n.self = n.instance()
	n.log = log.WithField("instance", n.self.ID)
	if err := n.assemble(); err != nil {
		return nil, errors.Join(err, n.listeners.close())
	}
	return n, nil
}

// instance returns the node's identity. A process without a configured id gets a fresh one at each start.
func (n *Node) instance() wigeonshift.Instance {
	id := n.settings.Node.ID
	if id == "" {
		id = uuid.NewString()
	}
	address := n.settings.Peer.Advertise
	if address == "" {
		address = n.listeners.peer.Addr().String()
	}
	return wigeonshift.Instance{
		ID:      id,
		Address: address,
		Zone:    n.settings.Node.Zone,
		Region:  n.settings.Node.Region,
		State:   wigeonshift.InstanceLive,
	}
}

// listen binds all addresses.
func (n *Node) listen(ctx context.Context) error {
	var err error
	if n.listeners.peer, err = bind(ctx, n.settings.Peer.Listen); err != nil {
		return oops.In("node").Wrapf(err, "peer.listen")
	}
	if n.listeners.caller, err = bind(ctx, n.settings.Caller.Listen); err != nil {
		return oops.In("node").Wrapf(err, "caller.listen")
	}
	if n.listeners.operator, err = bind(ctx, n.settings.Operator.Listen); err != nil {
		return oops.In("node").Wrapf(err, "operator.listen")
	}
	return nil
}

// close closes what is bound.
func (l listeners) close() error {
	var errs []error
	for _, one := range []net.Listener{l.caller, l.peer, l.operator} {
		if one != nil {
			errs = append(errs, one.Close())
		}
	}
	return errors.Join(errs...)
}

// assemble makes every part, lowest first. Parts subscribe to the network before it starts.
func (n *Node) assemble() error {
	n.metrics = wigeonmetric.New("wigeonshift")
	if err := n.secureListeners(); err != nil {
		return err
	}
	if err := n.assemblePlatform(); err != nil {
		return err
	}
	if err := n.assembleNetwork(); err != nil {
		return err
	}
	dialer, err := n.newDialer()
	if err != nil {
		return err
	}
	scope := n.metrics.Scope()
	repository := wigeonconfig.NewRepository(n.platform, n.platform)
	n.spread = wigeonspread.New(repository, n.network, n.members,
		wigeonspread.WithLogger(n.log), wigeonspread.WithScope(scope))
	n.owner = wigeonowner.New(n.network, n.members, n.platform, n.platform, n.spread, dialer,
		wigeonowner.WithLogger(n.log), wigeonowner.WithScope(scope))
	n.broker = wigeonbroker.New(n.network, n.members, n.platform, wigeonbroker.WithConfiguration(n.spread),
		wigeonbroker.WithLogger(n.log), wigeonbroker.WithScope(scope))
	n.claims = wigeonclaim.New(n.platform, n.platform, wigeonclaim.WithSweeper(n.sweepsClaims, wigeonclaim.DefaultSweepPeriod),
		wigeonclaim.WithLogger(n.log), wigeonclaim.WithScope(scope))
	n.entry = wigeonentry.New(n.self, n.spread, n.broker, dialer, n.claims,
		wigeonentry.WithSettings(n.entrySettings()), wigeonentry.WithLogger(n.log), wigeonentry.WithScope(scope),
		wigeonentry.WithAnalyzer(analyze))
	n.assembleRouters(repository)
	return nil
}

// secureListeners puts TLS on the listeners for callers and operators.
func (n *Node) secureListeners() error {
	var err error
	if n.listeners.caller, err = n.secure(n.listeners.caller, n.settings.Caller.TLS); err != nil {
		return err
	}
	n.listeners.operator, err = n.secure(n.listeners.operator, n.settings.Operator.TLS)
	return err
}

// assemblePlatform makes the guarded client of the platform.
func (n *Node) assemblePlatform() error {
	s := n.settings.Platform
	client, err := n.clientTLS(s.TLS)
	if err != nil {
		return err
	}
	n.platform = wigeonstore.New(
		wigeonstore.NewTransport(platformURL(s), wigeonstore.WithTLS(client)),
		wigeonstore.WithCallTimeout(s.Timeout.Duration),
		wigeonstore.WithBudget(s.ReadsPerSecond, s.WritesPerSecond, platformBurst),
		wigeonstore.WithScope(n.metrics.Scope()),
	)
	return nil
}

// assembleNetwork makes the sessions to other instances and the view of them.
func (n *Node) assembleNetwork() error {
	server, err := n.serverTLS(n.settings.Peer.TLS)
	if err != nil {
		return err
	}
	client, err := n.clientTLS(n.settings.Peer.TLS)
	if err != nil {
		return err
	}
	scope := n.metrics.Scope()
	n.network = wigeonsession.New(n.self,
		wigeonsession.WithListener(n.listeners.peer), wigeonsession.WithTLS(server, client),
		wigeonsession.WithLogger(n.log), wigeonsession.WithScope(scope))
	n.members = wigeonmember.New(n.platform, n.network, wigeonmember.WithLogger(n.log), wigeonmember.WithScope(scope))
	return nil
}

// newDialer makes the clients of endpoints.
func (n *Node) newDialer() (*wigeonendpoint.Dialer, error) {
	s := n.settings.Endpoint
	client, err := n.clientTLS(s.TLS)
	if err != nil {
		return nil, err
	}
	return wigeonendpoint.New(
		wigeonendpoint.WithTLS(client),
		wigeonendpoint.WithDialTimeout(s.DialTimeout.Duration),
		wigeonendpoint.WithFirstTokenTimeout(s.FirstTokenTimeout.Duration),
		wigeonendpoint.WithChunkTimeout(s.ChunkTimeout.Duration),
		wigeonendpoint.WithScope(n.metrics.Scope()),
	), nil
}
