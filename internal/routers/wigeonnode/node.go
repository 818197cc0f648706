// Package wigeonnode assembles one instance: caller API, peer sessions, permits, shard ownership, dispatch,
// configuration, operator API and metrics. It stops them without interrupting requests in flight.
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
	instance wigeonshift.Instance
	draining atomic.Bool
	// listeners are opened before any component starts, so that the actual port is known for addresses with port 0.
	listeners     listeners
	tlsSources    tlsSources
	metrics       *wigeonmetric.Metrics
	platform      wigeonshift.Platform
	network       *wigeonsession.Network
	members       *wigeonmember.Members
	configuration *wigeonspread.Spread
	owner         *wigeonowner.Manager
	broker        *wigeonbroker.Broker
	claims        *wigeonclaim.Store
	entry         *wigeonentry.Service
	caller        *wigeoncaller.Server
	operator      *wigeonoperator.Server
}

// listeners are the open listeners of a node.
type listeners struct {
	caller   net.Listener
	peer     net.Listener
	operator net.Listener
}

// New opens the node's listeners and creates its components.
func New(ctx context.Context, settings wigeonsetting.Settings, log logrus.FieldLogger) (*Node, error) {
	n := &Node{settings: settings, log: log}
	if err := n.listen(ctx); err != nil {
		return nil, errors.Join(err, n.listeners.close())
	}
	n.instance = n.newInstance()
	n.log = log.WithField("instance", n.instance.ID)
	if err := n.assemble(); err != nil {
		return nil, errors.Join(err, n.listeners.close())
	}
	return n, nil
}

// newInstance returns the identity of this instance. Without a configured id, the process gets a new one at each start.
func (n *Node) newInstance() wigeonshift.Instance {
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

// listen opens all listeners.
func (n *Node) listen(ctx context.Context) error {
	var err error
	if n.listeners.peer, err = listenTCP(ctx, n.settings.Peer.Listen); err != nil {
		return oops.In("node").Wrapf(err, "peer.listen")
	}
	if n.listeners.caller, err = listenTCP(ctx, n.settings.Caller.Listen); err != nil {
		return oops.In("node").Wrapf(err, "caller.listen")
	}
	if n.listeners.operator, err = listenTCP(ctx, n.settings.Operator.Listen); err != nil {
		return oops.In("node").Wrapf(err, "operator.listen")
	}
	return nil
}

// close closes the listeners that are open.
func (l listeners) close() error {
	var errs []error
	for _, listener := range []net.Listener{l.caller, l.peer, l.operator} {
		if listener != nil {
			errs = append(errs, listener.Close())
		}
	}
	return errors.Join(errs...)
}

// assemble creates all components, each after those that it depends on. Components subscribe to the network before the
// network starts.
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
	n.configuration = wigeonspread.New(repository, n.network, n.members,
		wigeonspread.WithLogger(n.log), wigeonspread.WithScope(scope))
	n.owner = wigeonowner.New(n.network, n.members, n.platform, n.platform, n.configuration, dialer,
		wigeonowner.WithLogger(n.log), wigeonowner.WithScope(scope))
	n.broker = wigeonbroker.New(n.network, n.members, n.platform, wigeonbroker.WithConfiguration(n.configuration),
		wigeonbroker.WithLogger(n.log), wigeonbroker.WithScope(scope))
	n.claims = wigeonclaim.New(n.platform, n.platform, wigeonclaim.WithSweeper(n.isClaimSweeper, wigeonclaim.DefaultSweepPeriod),
		wigeonclaim.WithLogger(n.log), wigeonclaim.WithScope(scope))
	n.entry = wigeonentry.New(n.instance, n.configuration, n.broker, dialer, n.claims,
		wigeonentry.WithSettings(n.entrySettings()), wigeonentry.WithLogger(n.log), wigeonentry.WithScope(scope),
		wigeonentry.WithAnalyzer(analyzePrompt))
	n.assembleRouters(repository)
	return nil
}

// secureListeners wraps the listeners for callers and operators in TLS if the settings enable it.
func (n *Node) secureListeners() error {
	var err error
	if n.listeners.caller, err = n.withTLS(n.listeners.caller, n.settings.Caller.TLS); err != nil {
		return err
	}
	n.listeners.operator, err = n.withTLS(n.listeners.operator, n.settings.Operator.TLS)
	return err
}

// assemblePlatform creates the client of the platform, with rate limits, circuit breakers and retries.
func (n *Node) assemblePlatform() error {
	s := n.settings.Platform
	client, err := n.clientTLS(s.TLS)
	if err != nil {
		return err
	}
	n.platform = wigeonstore.New(
		wigeonstore.NewTransport(platformURL(s), wigeonstore.WithTLS(client)),
		wigeonstore.WithCallTimeout(s.Timeout.Duration),
		wigeonstore.WithRateLimits(s.ReadsPerSecond, s.WritesPerSecond, platformBurst),
		wigeonstore.WithScope(n.metrics.Scope()),
	)
	return nil
}

// assembleNetwork creates the network of peer sessions and the list of live instances.
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
	n.network = wigeonsession.New(n.instance,
		wigeonsession.WithListener(n.listeners.peer), wigeonsession.WithTLS(server, client),
		wigeonsession.WithLogger(n.log), wigeonsession.WithScope(scope))
	n.members = wigeonmember.New(n.platform, n.network, wigeonmember.WithLogger(n.log), wigeonmember.WithScope(scope))
	return nil
}

// newDialer creates the dialer of endpoint clients.
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
