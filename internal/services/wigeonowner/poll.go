package wigeonowner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonscheduler"

	"github.com/sourcegraph/conc"
)

// Load reports and cache events are polled. A report costs about 400 bytes with its request, so an owner of 64
// endpoints that reads each of them every 16 s spends 1.6 KB/s of its 6 KB/s; a dozen endpoints are read every 3 s.
const (
	minPollPeriod   = time.Second
	pollPerEndpoint = 250 * time.Millisecond
	pollTimeout     = 2 * time.Second
	// pollSpread is the part of a period by which each poll is spread.
	pollSpread = 0.25
	// pollRescan is the time between looks at the shard's endpoints.
	pollRescan = 500 * time.Millisecond
)

// pollers runs one poller for each endpoint of a shard.
type pollers struct {
	mu     sync.Mutex
	cancel context.CancelFunc
}

// start polls the endpoints until stop or the end of the shard.
func (p *pollers) start(s *shard) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	p.cancel = cancel
	f := &fleet{shard: s, ctx: ctx, running: map[string]*poller{}}
	s.tasks.Go(f.run)
}

// stop ends the polling.
func (p *pollers) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel != nil {
		p.cancel()
		p.cancel = nil
	}
}

// fleet keeps one poller for each endpoint of the configuration.
type fleet struct {
	shard   *shard
	ctx     context.Context //nolint:containedctx // The time of ownership.
	running map[string]*poller
	wg      conc.WaitGroup
}

// run follows the configuration.
func (f *fleet) run() {
	defer f.wg.Wait()
	ticker := time.NewTicker(pollRescan)
	defer ticker.Stop()
	var seen *wigeonshift.Configuration
	for {
		f.shard.mu.Lock()
		c := f.shard.configuration
		f.shard.mu.Unlock()
		if c != nil && c != seen {
			seen = c
			f.update(polled(c, f.shard.id))
		}
		select {
		case <-f.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// polled returns the endpoints that are polled. Plain services report neither load nor cache events; their health shows
// in their answers, and the reducer asks for a probe where it is in doubt.
func polled(c *wigeonshift.Configuration, id wigeonshift.ShardID) map[string]wigeonshift.EndpointSpec {
	if servesPlain(c, id) {
		return nil
	}
	return c.ShardEndpoints(id)
}

// servesPlain reports whether a shard's endpoints are plain services.
func servesPlain(c *wigeonshift.Configuration, id wigeonshift.ShardID) bool {
	p, _, _ := id.Pool()
	return c.Products[p.Product].Services[p.Service].Kind == wigeonshift.ServicePlain
}

// isPlain reports whether the shard's endpoints are plain services.
func (s *shard) isPlain() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configuration != nil && servesPlain(s.configuration, s.id)
}

// update starts and ends pollers.
func (f *fleet) update(endpoints map[string]wigeonshift.EndpointSpec) {
	for name, p := range f.running {
		if spec, ok := endpoints[name]; !ok || spec.Address != p.address {
			p.cancel()
			delete(f.running, name)
		}
	}
	period := max(minPollPeriod, time.Duration(len(endpoints))*pollPerEndpoint)
	for _, name := range sortedKeys(endpoints) {
		if f.running[name] != nil {
			continue
		}
		p := &poller{shard: f.shard, name: name, address: endpoints[name].Address, period: period}
		p.ctx, p.cancel = context.WithCancel(f.ctx)
		f.running[name] = p
		f.wg.Go(p.run)
	}
}

// poller reads the load and the cache events of one endpoint.
type poller struct {
	shard   *shard
	name    string
	address string
	period  time.Duration
	ctx     context.Context //nolint:containedctx // The poller's own life.
	cancel  context.CancelFunc

	incarnation string
	sequence    uint64
}

// run polls until the poller is cancelled.
func (p *poller) run() {
	timer := time.NewTimer(rand.N(p.period))
	defer timer.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-timer.C:
		}
		p.poll()
		timer.Reset(time.Duration(float64(p.period) * (1 - pollSpread + 2*pollSpread*rand.Float64())))
	}
}

// poll reads once.
func (p *poller) poll() {
	ctx, cancel := context.WithTimeout(p.ctx, pollTimeout)
	defer cancel()
	endpoint := p.shard.m.dialer.Endpoint(p.address)
	load, err := endpoint.Load(ctx)
	if err != nil {
		p.shard.m.counters.add("ownerPollsFailed", "load", 1)
		return
	}
	p.shard.post(wigeonscheduler.LoadReported{Endpoint: p.name, Report: load})
	if load.Incarnation != p.incarnation {
		p.incarnation, p.sequence = load.Incarnation, 0
	}
	batch, err := endpoint.CacheEvents(ctx, p.sequence)
	if err != nil {
		p.shard.m.counters.add("ownerPollsFailed", "cacheEvents", 1)
		return
	}
	if batch.Incarnation != p.incarnation {
		p.incarnation, p.sequence = batch.Incarnation, 0
	}
	for _, e := range batch.Events {
		p.sequence = max(p.sequence, e.Sequence)
	}
	if len(batch.Events) > 0 {
		p.shard.post(wigeonscheduler.CacheReported{Endpoint: p.name, Batch: batch})
	}
}
