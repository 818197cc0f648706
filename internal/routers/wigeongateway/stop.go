package wigeongateway

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// exitMargin is kept of the drain's time for the process to end by itself.
	exitMargin = 500 * time.Millisecond
	// dropTimeout bounds the removal of the instance's row.
	dropTimeout = time.Second
	// drainPeriod is the time between two looks at the requests in flight.
	drainPeriod = 50 * time.Millisecond
)

// Stop drains the instance: readiness goes off, requests are still served until the balancer has noticed, then the
// instance waits for what is in flight.
func (g *Gateway) Stop() error {
	started := time.Now()
	g.draining.Store(true)
	g.relay.Drain()
	g.log.WithField("inFlight", g.dispatcher.InFlight()).Info("instance stopping")
	end := started.Add(g.settings.Drain.Timeout.Duration - exitMargin)
	g.unregister()
	time.Sleep(time.Until(started.Add(g.settings.Drain.Notice.Duration))) //nolint:forbidigo // The drain ends by time only.
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := g.relay.Stop(ctx)
	g.awaitRequests(ctx)
	left := g.dispatcher.InFlight()
	g.cancel()
	g.follow.Stop()
	err = errors.Join(err, g.ready.ShutdownWithContext(ctx))
	err = errors.Join(err, g.network.Stop(ctx))
	g.tasks.Wait()
	g.pool.Close()
	err = errors.Join(err, g.metrics.Stop(ctx))
	g.log.WithFields(logrus.Fields{
		"cut": left, "tookMs": time.Since(started).Milliseconds(),
	}).Info("instance stopped")
	return err
}

// unregister removes the instance's row.
func (g *Gateway) unregister() {
	ctx, cancel := context.WithTimeout(context.Background(), dropTimeout)
	defer cancel()
	if err := g.platform.Store.DropInstance(ctx, g.settings.Node.Name); err != nil {
		g.log.WithError(err).Warn("instance's row was not removed")
	}
}

// awaitRequests waits until no request is in flight or ctx ends.
func (g *Gateway) awaitRequests(ctx context.Context) {
	t := time.NewTicker(drainPeriod)
	defer t.Stop()
	for g.dispatcher.InFlight() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}
