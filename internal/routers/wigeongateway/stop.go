package wigeongateway

import (
	"context"
	"errors"
	"time"

	"wigeonshift/internal/modules/wigeonclock"
	"wigeonshift/internal/services/wigeonfollow"
	"wigeonshift/internal/services/wigeonshare"

	"github.com/sirupsen/logrus"
)

const (
	// exitReserve is the part of the drain timeout that is kept free so that the process exits before it is killed.
	exitReserve = 500 * time.Millisecond
	// answerReserve is the time before the end of a stop in which requests are answered that are not done by then.
	answerReserve = 300 * time.Millisecond
	// drainCheckInterval is the time between two checks for requests in flight.
	drainCheckInterval = 50 * time.Millisecond
)

// Stop drains and stops the instance. It reports not ready but still serves requests for the notice time, in which the load
// balancer stops sending new ones. It then refuses new requests and waits for those in flight, at most until exitReserve
// before the drain timeout. Requests that are still waiting or running shortly before that are answered, as not run or unknown.
func (g *Gateway) Stop() error {
	started := time.Now()
	g.draining.Store(true)
	g.relay.Drain()
	g.log.WithField("inFlight", g.dispatcher.InFlight()).Info("instance stopping")
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(g.settings.Drain.Timeout.Duration-exitReserve))
	defer cancel()
	wigeonclock.Sleep(ctx, time.Until(started.Add(g.settings.Drain.Notice.Duration)))
	g.relay.RejectNew()
	g.dispatcher.EndBy(time.Until(started.Add(g.settings.Drain.Timeout.Duration - exitReserve - answerReserve)))
	f := &followerStopper{follower: g.follower}
	go f.run()
	h := &shareStopper{share: g.share, stopped: make(chan struct{})}
	go h.run()
	g.waitForRequests(ctx)
	unfinished := g.dispatcher.InFlight()
	err := g.relay.Stop(ctx)
	g.quarantine.Stop()
	g.settlement.Stop()
	h.wait(ctx)
	g.cancel()
	err = errors.Join(err, g.readiness.ShutdownWithContext(ctx))
	err = errors.Join(err, g.network.Stop(ctx))
	g.tasks.Wait()
	g.pool.Close()
	err = errors.Join(err, g.metrics.Stop(ctx))
	g.log.WithFields(logrus.Fields{
		"cut": unfinished, "tookMs": time.Since(started).Milliseconds(),
	}).Info("instance stopped")
	return err
}

// followerStopper stops following the store. Stop doesn't wait for it because the store may hold a call for longer than a
// stop may take. The call ends when the process exits.
type followerStopper struct {
	follower *wigeonfollow.Service
}

func (f *followerStopper) run() { f.follower.Stop() }

// shareStopper gives up the lease of the shared allowance while the last requests are served. A store that gives no answer
// must not delay the stop.
type shareStopper struct {
	share   *wigeonshare.Service
	stopped chan struct{}
}

func (h *shareStopper) run() {
	h.share.Stop()
	close(h.stopped)
}

// wait waits until the lease is given up or ctx ends.
func (h *shareStopper) wait(ctx context.Context) {
	select {
	case <-h.stopped:
	case <-ctx.Done():
	}
}

// waitForRequests waits until no request is in flight or ctx ends.
func (g *Gateway) waitForRequests(ctx context.Context) {
	t := time.NewTicker(drainCheckInterval)
	defer t.Stop()
	for g.dispatcher.InFlight() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}
