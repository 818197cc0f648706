package wigeonnode

import (
	"context"
	"errors"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonclock"
	"wigeonshift/internal/standin/wigeonplatform"

	"github.com/samber/oops"
)

// closeTimeout limits the time to stop all components after the drain.
const closeTimeout = 10 * time.Second

// handoverTimeout limits the time to hand over the owned shards.
const handoverTimeout = 15 * time.Second

// Addresses are the addresses on which a running node listens.
type Addresses struct {
	Caller   string
	Peer     string
	Operator string
	Metrics  string
}

// component is a part of a node that is started and stopped with it.
type component struct {
	name  string
	start func(context.Context) error
	stop  func(context.Context) error
}

// components returns the components of the node in start order.
func (n *Node) components() []component {
	components := make([]component, 0, len(n.tlsSources.bySettings))
	for _, source := range n.tlsSources.bySettings {
		components = append(components, component{"tls", source.Start, source.Stop})
	}
	return append(components, []component{
		{"network", n.network.Start, n.network.Stop},
		{"members", n.members.Start, n.members.Stop},
		{"configuration", n.configuration.Start, n.configuration.Stop},
		{"claims", n.claims.Start, n.claims.Stop},
		{"owner", n.owner.Start, n.owner.Stop},
		{"broker", n.broker.Start, n.broker.Stop},
		{"entry", noStart, n.entry.Stop},
		{"metrics", n.startMetrics, n.metrics.Stop},
		{"operator", n.startOperator, n.operator.Stop},
		{"caller", n.startCaller, n.caller.Stop},
	}...)
}

// noStart is the start function of a component that needs none.
func noStart(context.Context) error {
	return nil
}

// Start starts all components and registers the instance if the settings enable it.
func (n *Node) Start(ctx context.Context) error {
	for _, c := range n.components() {
		if err := c.start(ctx); err != nil {
			return oops.In("node").With("part", c.name).Wrap(err)
		}
	}
	a := n.Addresses()
	n.log.WithFields(map[string]any{
		"caller": a.Caller, "peer": a.Peer, "operator": a.Operator, "metrics": a.Metrics,
		"zone": n.instance.Zone, "region": n.instance.Region,
	}).Info("node started")
	n.registerInstance(ctx, wigeonshift.InstanceLive)
	return nil
}

// Addresses returns the addresses on which the node listens.
func (n *Node) Addresses() Addresses {
	return Addresses{
		Caller:   n.listeners.caller.Addr().String(),
		Peer:     n.listeners.peer.Addr().String(),
		Operator: n.listeners.operator.Addr().String(),
		Metrics:  n.metrics.Address(),
	}
}

// Ready reports whether the node accepts requests from callers.
func (n *Node) Ready() bool {
	return n.ready()
}

// Stop shuts the node down gracefully: it becomes unready, waits for the notice period, hands over its shards, stops
// accepting requests, waits for the requests in flight and then stops all components. It returns an error if requests
// were still in flight at the end of the drain timeout.
func (n *Node) Stop(ctx context.Context) error {
	n.log.Info("drain started")
	n.draining.Store(true)
	n.registerInstance(ctx, wigeonshift.InstanceLeaving)
	n.members.SetLeaving()
	wigeonclock.Sleep(ctx, n.settings.Drain.Notice.Duration)
	handoverCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := n.owner.Drain(handoverCtx); err != nil {
		n.log.WithError(err).Warn("failed to hand over some shards; their leases will expire")
	}
	drainCtx, cancelDrain := context.WithTimeout(ctx, n.settings.Drain.Timeout.Duration)
	defer cancelDrain()
	err := n.entry.Drain(drainCtx)
	return errors.Join(err, n.Close(ctx))
}

// Close stops all components without a drain, in the reverse order of their start.
func (n *Node) Close(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	var errs []error
	components := n.components()
	for i := len(components) - 1; i >= 0; i-- {
		if err := components[i].stop(ctx); err != nil {
			errs = append(errs, oops.In("node").With("part", components[i].name).Wrap(err))
		}
	}
	n.unregisterInstance(ctx)
	n.log.Info("node stopped")
	return errors.Join(errs...)
}

// registerInstance adds the instance to the list of the stand-in platform. A real platform knows its instances without
// registration.
func (n *Node) registerInstance(ctx context.Context, state wigeonshift.InstanceState) {
	if !n.settings.Platform.Announce {
		return
	}
	i := n.instance
	i.State = state
	if err := wigeonplatform.RegisterInstance(ctx, platformURL(n.settings.Platform), i); err != nil {
		n.log.WithError(err).Warn("failed to register the instance with the stand-in platform")
	}
}

// unregisterInstance removes the instance from the list of the stand-in platform.
func (n *Node) unregisterInstance(ctx context.Context) {
	if !n.settings.Platform.Announce {
		return
	}
	if err := wigeonplatform.UnregisterInstance(ctx, platformURL(n.settings.Platform), n.instance.ID); err != nil {
		n.log.WithError(err).Debug("failed to remove the instance from the list of the stand-in platform")
	}
}

// startMetrics starts the metrics server if the settings contain an address for it.
func (n *Node) startMetrics(ctx context.Context) error {
	if n.settings.Metrics.Listen == "" {
		return nil
	}
	return n.metrics.Start(ctx, n.settings.Metrics.Listen)
}

// startOperator starts the operator API.
func (n *Node) startOperator(ctx context.Context) error {
	return n.operator.Start(ctx, n.listeners.operator)
}

// startCaller starts the caller API.
func (n *Node) startCaller(ctx context.Context) error {
	return n.caller.Start(ctx, n.listeners.caller)
}
