package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"wigeonshift/internal/modules/wigeonlog"
	"wigeonshift/internal/modules/wigeonsetting"
	"wigeonshift/internal/routers/wigeonnode"
	"wigeonshift/internal/standin/wigeondev"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
)

// Limits for starting and stopping the development site.
const (
	devReadyTimeout    = 30 * time.Second
	devReadyPollPeriod = 50 * time.Millisecond
	devStopTimeout     = 15 * time.Second
)

// DevCommand runs a complete development site in one process: stand-in services and nodes, all on loopback.
type DevCommand struct {
	Nodes    int    `default:"3" help:"Number of nodes, 1 to 9."`
	Port     int    `default:"8080" help:"Caller API port of the first node; the other nodes use the ports that follow."`
	LogLevel string `default:"warn" enum:"debug,info,warn,error" help:"Log level: debug, info, warn or error."`
}

// Run starts the site, prints how to use it and serves until a signal stops it.
func (c *DevCommand) Run(ctx context.Context, s Streams) error {
	if c.Nodes < 1 || c.Nodes > 9 {
		return fmt.Errorf("%w: --nodes must be 1 to 9", errUsage)
	}
	log, err := wigeonlog.New(wigeonsetting.Log{Level: c.LogLevel, Format: "text"}, s.Err)
	if err != nil {
		return err
	}
	site, err := wigeondev.Start(ctx)
	if err != nil {
		return err
	}
	nodes, err := c.startNodes(ctx, site, log)
	if err == nil {
		err = waitUntilReady(ctx, nodes)
	}
	if err == nil {
		printSite(s.Out, site, nodes)
		<-ctx.Done()
	}
	return errors.Join(err, stopSite(ctx, site, nodes))
}

// startNodes starts the nodes. If one fails, the nodes created so far are returned with the error so that they can be
// stopped.
func (c *DevCommand) startNodes(ctx context.Context, site *wigeondev.Site, log *logrus.Logger) ([]*wigeonnode.Node, error) {
	var nodes []*wigeonnode.Node
	for i := range c.Nodes {
		settings := wigeonsetting.Default()
		settings.Node = wigeonsetting.Node{ID: fmt.Sprintf("node-%d", i+1), Zone: nodeZone(i), Region: wigeondev.Region}
		settings.Caller.Listen = fmt.Sprintf("127.0.0.1:%d", c.Port+i)
		settings.Peer.Listen = "127.0.0.1:0"
		settings.Operator.Listen = "127.0.0.1:0"
		settings.Operator.Keys = []wigeonsetting.OperatorKey{wigeondev.OperatorEntry()}
		settings.Metrics.Listen = "127.0.0.1:0"
		settings.Platform.Address = site.PlatformAddress()
		settings.Platform.Announce = true
		settings.Drain.Notice.Duration = 0
		node, err := wigeonnode.New(ctx, settings, log)
		if err != nil {
			return nodes, err
		}
		nodes = append(nodes, node)
		if err := node.Start(ctx); err != nil {
			return nodes, err
		}
	}
	return nodes, nil
}

// nodeZone assigns nodes to three zones in turn.
func nodeZone(i int) string {
	const zones = 3
	return string(rune('a' + i%zones))
}

// waitUntilReady waits until every node accepts requests, at most devReadyTimeout.
func waitUntilReady(ctx context.Context, nodes []*wigeonnode.Node) error {
	ctx, cancel := context.WithTimeout(ctx, devReadyTimeout)
	defer cancel()
	ticker := time.NewTicker(devReadyPollPeriod)
	defer ticker.Stop()
	for _, n := range nodes {
		for !n.Ready() {
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return oops.In("dev").Wrapf(ctx.Err(), "node %s is not ready", n.Addresses().Caller)
			}
		}
	}
	return nil
}

// printSite prints the addresses of the site and example commands.
func printSite(out io.Writer, site *wigeondev.Site, nodes []*wigeonnode.Node) {
	fmt.Fprintf(out, "platform  %s\n", site.PlatformAddress())
	for _, e := range site.Engines {
		fmt.Fprintf(out, "engine    %s\n", e.Address())
	}
	for _, p := range site.Services {
		fmt.Fprintf(out, "records   %s\n", p.Address())
	}
	for _, n := range nodes {
		a := n.Addresses()
		fmt.Fprintf(out, "node      callers %s  operators %s  metrics %s\n", a.Caller, a.Operator, a.Metrics)
	}
	first := nodes[0].Addresses()
	fmt.Fprintf(out, `
Request a completion:
  curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' -d '{"model":"%s","prompt":"Which knot holds a gillnet?","max_tokens":24,"stream":true}'
Send a non-idempotent request, protected by an idempotency key:
  curl http://%s/v1/services/%s/issues -H 'Authorization: Bearer %s' -H 'Idempotency-Key: issue-1' -d '{"part":"twine","count":3}'
Show the status of the system:
  wigeonshift status --operator http://%s --key %s
`, first.Caller, wigeondev.CallerKey, wigeondev.Model,
		first.Caller, wigeondev.RecordsService, wigeondev.CallerKey, first.Operator, wigeondev.OperatorKey)
}

// stopSite drains the nodes and then stops the stand-ins.
func stopSite(ctx context.Context, site *wigeondev.Site, nodes []*wigeonnode.Node) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), devStopTimeout)
	defer cancel()
	var errs []error
	for _, n := range nodes {
		errs = append(errs, n.Stop(ctx))
	}
	return errors.Join(append(errs, site.Stop(ctx))...)
}
