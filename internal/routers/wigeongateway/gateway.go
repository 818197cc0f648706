// Package wigeongateway assembles and runs an instance that relays requests according to the platform's configuration.
package wigeongateway

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonmetric"
	"wigeonshift/internal/modules/wigeonsession"
	"wigeonshift/internal/modules/wigeonsetting"
	"wigeonshift/internal/modules/wigeonsocket"
	"wigeonshift/internal/modules/wigeonstorecall"
	"wigeonshift/internal/services/wigeonbudget"
	"wigeonshift/internal/services/wigeondispatch"
	"wigeonshift/internal/services/wigeonfollow"
	"wigeonshift/internal/services/wigeonquarantine"
	"wigeonshift/internal/services/wigeonrelay"
	"wigeonshift/internal/services/wigeonrollout"
	"wigeonshift/internal/services/wigeonroute"
	"wigeonshift/internal/services/wigeonsettlement"
	"wigeonshift/internal/services/wigeonshare"
	"wigeonshift/internal/services/wigeonupstream"

	"github.com/google/uuid"
	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

// Limits on callers' connections and requests.
const (
	maxBodyBytes   = 4<<20 + 64<<10
	maxHeaderBytes = 20 << 10
	readTimeout    = 8 * time.Second
	writeTimeout   = 15 * time.Second
	idleTimeout    = 2 * time.Minute
	// reservedFileDescriptors is the number of file descriptors that callers' connections may not use.
	reservedFileDescriptors = 600
	// bodyMemoryDivisor is the part of the memory that the response bodies of all requests together may take.
	bodyMemoryDivisor = 8
)

// Platform holds the platform adapter's implementations of the interfaces that a gateway needs.
type Platform struct {
	Store   wigeonshift.RoutingStore
	Codec   wigeonshift.RoutingCodec
	Dialect wigeonshift.WireDialect
}

// Gateway is one instance: it relays callers' requests to endpoints, follows the platform's store and exchanges load
// notices with its peers, which are the other instances.
type Gateway struct {
	settings   wigeonsetting.Relay
	platform   Platform
	log        logrus.FieldLogger
	metrics    *wigeonmetric.Metrics
	self       wigeonshift.Instance
	dispatcher *wigeonrelay.Dispatcher
	pool       *wigeonupstream.Pool
	relay      *wigeonrelay.Service
	follower   *wigeonfollow.Service
	quarantine *wigeonquarantine.Service
	share      *wigeonshare.Service
	settlement *wigeonsettlement.Service
	network    *wigeonsession.Network
	readiness  *fasthttp.Server

	hasConfiguration, hasEndpoints, draining atomic.Bool
	// knowsInstances is set once the store or a peer has listed all instances.
	knowsInstances atomic.Bool
	// configurationRequests and endpointsRequests limit how often newer data that peers report is fetched.
	configurationRequests, endpointsRequests, quarantineRequests, rolloutRequests peerRequestThrottle
	membership                                                                    *membership
	// heard holds when each peer was heard.
	heard peerHearing
	// announcing is set while all peers are due a notice of what this instance knows.
	announcing atomic.Bool
	// registered is set once this instance's row has been written.
	registered atomic.Bool
	// registerRequests holds a pending request to write this instance's row again.
	registerRequests chan struct{}

	mu sync.Mutex
	// document is the row value that the configuration in force was decoded from.
	document []byte

	cancel context.CancelFunc
	tasks  conc.WaitGroup
}

// New returns a gateway that has not been started.
func New(s wigeonsetting.Relay, p Platform, log logrus.FieldLogger) *Gateway {
	g := &Gateway{
		settings: s,
		platform: p,
		log:      log,
		metrics:  wigeonmetric.New("wigeonrelay"),
		self: wigeonshift.Instance{
			ID:            s.Node.Name + "-" + uuid.NewString()[:8],
			Address:       cmp.Or(s.Peer.Advertise, s.Peer.Listen),
			CallerAddress: callerAddress(s),
			Zone:          s.Node.Zone,
			Region:        s.Node.Region,
			State:         wigeonshift.InstanceLive,
		},
	}
	g.membership = &membership{self: g.self}
	g.registerRequests = make(chan struct{}, 1)
	scope := g.metrics.Scope()
	g.quarantine = wigeonquarantine.NewService(g.writeCrashRows, g.setCrashes, log, scope)
	g.dispatcher = wigeonrelay.NewDispatcher(wigeondispatch.Settings{
		RetryRatio:      s.Retry.Ratio,
		RetrySlack:      s.Retry.Slack,
		RetryWindow:     s.Retry.Window.Duration,
		HedgeShare:      s.Hedge.Share,
		HedgePercentile: s.Hedge.Percentile,
		Instance:        g.self.ID,
		QuotaOverage:    s.Quota.Overage,
		QuotaSlack:      s.Quota.Slack,
		QuotaWindow:     s.Quota.Window.Duration,
		Zone:            s.Node.Zone,
		CrossZonePrice:  s.Placement.CrossZonePrice.Duration,
		Rollout: wigeonrollout.Settings{
			ExposeShare: s.Rollout.ExposeShare, ExposeSlack: s.Rollout.ExposeSlack, RollbackWithin: s.Rollout.RollbackWithin.Duration,
		},
		AwaitsList: true,
	}, log, scope, wigeonrelay.WithCrashRecorder(g.quarantine))
	g.share = wigeonshare.New(wigeonshare.Settings{
		Holder:   wigeonshare.HolderOf(g.self.Address),
		Cooldown: s.Retry.Window.Duration + wigeonbudget.MaxArrivalDelay,
		Clock:    g.dispatcher.MeasureNow,
		Publish:  g.dispatcher.SetShare,
	}, p.Store, log, scope)
	g.settlement = wigeonsettlement.New(p.Store, p.Codec, g.dispatcher, log, scope)
	g.pool = wigeonupstream.New(p.Dialect)
	g.relay = wigeonrelay.New(wigeonshift.ConnectionLimits{
		MaxBodyBytes:   maxBodyBytes,
		MaxHeaderBytes: maxHeaderBytes,
		MaxConnections: s.Limits.Files - reservedFileDescriptors,
		ReadTimeout:    readTimeout,
		WriteTimeout:   writeTimeout,
		IdleTimeout:    idleTimeout,
	}, p.Dialect, g.dispatcher, g.pool, log, scope, wigeonrelay.WithBodyMemory(s.Limits.MemoryMegabytes<<20/bodyMemoryDivisor))
	g.follower = wigeonfollow.New(p.Store, p.Codec, wigeonfollow.Sinks{
		Configuration: g.setConfiguration,
		Endpoints:     g.setEndpoints,
		Instances:     g.setInstances,
		Quarantine:    g.quarantine,
		Rollouts:      g.dispatcher.SetRollouts,
		StoreRestored: g.handleStoreRestored,
		Missed:        func() { g.announcing.Store(true) },
	}, log, wigeonfollow.WithScope(scope), wigeonfollow.WithInstance(g.self.ID))
	g.network = wigeonsession.New(g.self, wigeonsession.WithListenAddress(s.Peer.Listen), wigeonsession.WithLogger(log),
		wigeonsession.WithScope(scope))
	g.network.Subscribe(g.handleMessage)
	g.network.SubscribePeerLost(g.handlePeerLost)
	g.network.SubscribeDiscovered(g.handlePeerDiscovered)
	g.readiness = &fasthttp.Server{Handler: g.handleReadiness, NoDefaultServerHeader: true, NoDefaultDate: true}
	return g
}

// callerAddress returns the address at which other instances reach the listener for callers. If that listens on all addresses, it is
// the host of the address for peers.
func callerAddress(s wigeonsetting.Relay) string {
	if _, err := wigeonsocket.ParseAddress(s.Caller.Listen); err == nil {
		return s.Caller.Listen
	}
	host, _, hostErr := net.SplitHostPort(cmp.Or(s.Peer.Advertise, s.Peer.Listen))
	_, port, portErr := net.SplitHostPort(s.Caller.Listen)
	if hostErr != nil || portErr != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

// Start opens all listeners and starts following the store.
func (g *Gateway) Start(ctx context.Context) error {
	ctx, g.cancel = context.WithCancel(ctx)
	var lc net.ListenConfig
	callers, err := lc.Listen(ctx, "tcp", g.settings.Caller.Listen)
	if err != nil {
		return oops.In("gateway").With("setting", "caller.listen").Wrap(err)
	}
	readiness, err := lc.Listen(ctx, "tcp", g.settings.Caller.Ready)
	if err != nil {
		return oops.In("gateway").With("setting", "caller.ready").Wrap(err)
	}
	if g.settings.Metrics.Listen != "" {
		if err := g.metrics.Start(ctx, g.settings.Metrics.Listen); err != nil {
			return oops.In("gateway").With("setting", "metrics.listen").Wrap(err)
		}
	}
	if err := g.network.Start(ctx); err != nil {
		return oops.In("gateway").With("setting", "peer.listen").Wrap(err)
	}
	g.relay.Start(callers)
	rs := &readinessServer{server: g.readiness, listener: readiness, log: g.log}
	g.tasks.Go(rs.run)
	g.quarantine.Start(ctx)
	g.share.Start(ctx)
	g.settlement.Start(ctx)
	g.follower.Start(ctx)
	g.startLoops(ctx)
	g.log.WithFields(logrus.Fields{
		"instance": g.self.ID, "zone": g.self.Zone, "callers": g.settings.Caller.Listen, "peer": g.self.Address,
	}).Info("instance started")
	return nil
}

// readinessServer serves the load balancer's readiness checks.
type readinessServer struct {
	server   *fasthttp.Server
	listener net.Listener
	log      logrus.FieldLogger
}

func (r *readinessServer) run() {
	if err := r.server.Serve(r.listener); err != nil {
		r.log.WithError(err).Error("readiness server failed")
	}
}

// handleReadiness answers the load balancer's readiness check, with status 503 if the instance doesn't accept requests.
func (g *Gateway) handleReadiness(ctx *fasthttp.RequestCtx) {
	if !g.Ready() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// Ready reports whether the instance accepts requests: it has a configuration and endpoints and is not draining.
func (g *Gateway) Ready() bool {
	return g.hasConfiguration.Load() && g.hasEndpoints.Load() && !g.draining.Load()
}

// KnowsInstances reports whether the store or a peer has listed all instances.
func (g *Gateway) KnowsInstances() bool { return g.knowsInstances.Load() }

// setConfiguration applies a configuration. document is the row value that it was decoded from.
func (g *Gateway) setConfiguration(c *wigeonshift.RoutingConfiguration, document []byte) {
	g.mu.Lock()
	g.document = document
	g.mu.Unlock()
	g.dispatcher.Configure(c)
	g.relay.SetTable(wigeonroute.New(c))
	g.hasConfiguration.Store(true)
}

// setEndpoints replaces all endpoints by a list that has all changes up to a revision, and closes idle connections to those that are
// gone or leaving.
func (g *Gateway) setEndpoints(records []wigeonshift.EndpointRecord, revision uint64) {
	g.dispatcher.SetEndpoints(records, revision)
	targets := map[wigeonupstream.Target]bool{}
	for _, r := range records {
		if !r.Leaving {
			targets[wigeonupstream.Target{ID: r.ID, Address: r.Address}] = true
		}
	}
	g.pool.Retain(targets)
	g.hasEndpoints.Store(true)
}

// setInstances replaces the other instances with those that the store lists. It writes this instance's row again if the
// store lacks it, for example after the store has returned from an older copy.
func (g *Gateway) setInstances(instances []wigeonshift.Instance) {
	listed := slices.ContainsFunc(instances, func(i wigeonshift.Instance) bool { return i.Address == g.self.Address })
	if !listed && g.registered.Load() {
		g.requestRegistration()
	}
	g.knowsInstances.Store(true)
	g.applyInstances(g.membership.replace(instances, time.Now()))
}

// applyInstances passes the known instances to the parts that depend on them.
func (g *Gateway) applyInstances(instances []wigeonshift.Instance) {
	g.dispatcher.SetInstances(instances, g.knowsInstances.Load())
	g.quarantine.SetInstanceCount(len(instances))
	g.share.SetInstanceCount(len(instances))
	sameGroup, _ := g.membership.peers()
	g.network.ExpectFrames(sameGroup, maxPeerSilence)
}

// handleStoreRestored renews what the store may have lost by its return from an older copy.
func (g *Gateway) handleStoreRestored() {
	g.share.RenewSoon()
	g.settlement.HandleStoreRestored()
}

// setCrashes passes what the instances know of crashes to the dispatcher.
func (g *Gateway) setCrashes(evidence wigeonshift.CrashEvidence) { g.dispatcher.SetCrashes(evidence) }

// writeCrashRows changes rows of the quarantine table.
func (g *Gateway) writeCrashRows(ctx context.Context, writes []wigeonshift.Write) error {
	wigeonstorecall.Count(g.metrics.Scope(), wigeonshift.TableQuarantine, wigeonstorecall.Write)
	_, err := g.platform.Store.Commit(ctx, wigeonshift.TableQuarantine, wigeonshift.Transaction{Writes: writes})
	return err
}

// instanceRow encodes the row under which other instances find this one in the store.
func (g *Gateway) instanceRow() ([]byte, error) {
	return json.Marshal(g.self)
}
