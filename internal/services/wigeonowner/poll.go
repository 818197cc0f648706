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

// Load reports and cache events are polled. A report costs about 400 bytes including its request. An owner of 64
// endpoints reads each of them every 16 s and spends 1.6 KB/s of its budget of 6 KB/s. With 12 endpoints, the period is
// 3 s.
const (
	minPollPeriod         = time.Second
	pollPeriodPerEndpoint = 250 * time.Millisecond
	pollTimeout           = 2 * time.Second
	// pollJitterRatio is the largest part of the period by which a poll comes earlier or later.
	pollJitterRatio = 0.25
	// configurationCheckPeriod is the interval between checks for a changed set of endpoints.
	configurationCheckPeriod = 500 * time.Millisecond
)

// pollControl starts and stops the polling of a shard's endpoints.
type pollControl struct {
	mu     sync.Mutex
	cancel context.CancelFunc
}

// start polls the endpoints until stop is called or the shard ends. It does nothing if polling is already running.
func (p *pollControl) start(s *shard) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(s.ctx)
	p.cancel = cancel
	ps := &pollerSet{shard: s, ctx: ctx, pollers: map[string]*poller{}}
	s.tasks.Go(ps.run)
}

func (p *pollControl) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cancel != nil {
		p.cancel()
		p.cancel = nil
	}
}

// pollerSet runs one poller for each endpoint in the configuration.
type pollerSet struct {
	shard   *shard
	ctx     context.Context //nolint:containedctx // Ends when the polling of the shard stops.
	pollers map[string]*poller
	wg      conc.WaitGroup
}

// run updates the pollers whenever the configuration changes.
func (ps *pollerSet) run() {
	defer ps.wg.Wait()
	ticker := time.NewTicker(configurationCheckPeriod)
	defer ticker.Stop()
	var applied *wigeonshift.Configuration
	for {
		ps.shard.mu.Lock()
		c := ps.shard.configuration
		ps.shard.mu.Unlock()
		if c != nil && c != applied {
			applied = c
			ps.update(polledEndpoints(c, ps.shard.id))
		}
		select {
		case <-ps.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// polledEndpoints returns the endpoints to poll. Plain services are not polled because they report neither load nor
// cache events. Their health shows in their responses, and the reducer requests a probe when it is in doubt.
func polledEndpoints(c *wigeonshift.Configuration, id wigeonshift.ShardID) map[string]wigeonshift.EndpointSpec {
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

func (s *shard) isPlain() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configuration != nil && servesPlain(s.configuration, s.id)
}

// update stops the pollers of removed or moved endpoints and starts pollers for new ones.
func (ps *pollerSet) update(endpoints map[string]wigeonshift.EndpointSpec) {
	for name, p := range ps.pollers {
		if spec, ok := endpoints[name]; !ok || spec.Address != p.address {
			p.cancel()
			delete(ps.pollers, name)
		}
	}
	period := max(minPollPeriod, time.Duration(len(endpoints))*pollPeriodPerEndpoint)
	for _, name := range sortedKeys(endpoints) {
		if ps.pollers[name] != nil {
			continue
		}
		p := &poller{shard: ps.shard, name: name, address: endpoints[name].Address, period: period}
		p.ctx, p.cancel = context.WithCancel(ps.ctx)
		ps.pollers[name] = p
		ps.wg.Go(p.run)
	}
}

// poller reads the load and the cache events of one endpoint.
type poller struct {
	shard   *shard
	name    string
	address string
	period  time.Duration
	ctx     context.Context //nolint:containedctx // Ends when this poller is stopped.
	cancel  context.CancelFunc

	incarnation string
	sequence    uint64
}

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
		timer.Reset(time.Duration(float64(p.period) * (1 - pollJitterRatio + 2*pollJitterRatio*rand.Float64())))
	}
}

// poll reads the load report and the new cache events once. When the endpoint's incarnation changes, it reads the cache
// events from the beginning.
func (p *poller) poll() {
	ctx, cancel := context.WithTimeout(p.ctx, pollTimeout)
	defer cancel()
	endpoint := p.shard.manager.dialer.Endpoint(p.address)
	load, err := endpoint.Load(ctx)
	if err != nil {
		p.shard.manager.counters.add("ownerPollsFailed", "load", 1)
		return
	}
	p.shard.post(wigeonscheduler.LoadReported{Endpoint: p.name, Report: load})
	if load.Incarnation != p.incarnation {
		p.incarnation, p.sequence = load.Incarnation, 0
	}
	batch, err := endpoint.CacheEvents(ctx, p.sequence)
	if err != nil {
		p.shard.manager.counters.add("ownerPollsFailed", "cacheEvents", 1)
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
