package wigeonload

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
)

const (
	// probePeriod is the time between two readiness probes of a node.
	probePeriod  = 300 * time.Millisecond
	probeTimeout = time.Second
)

// balancer selects nodes in round-robin order and skips those that are not ready, as the platform's load balancer does.
type balancer struct {
	nodes []*node
	next  atomic.Uint64
	stop  context.CancelFunc
	wg    conc.WaitGroup
}

// node is a client of one node's API for callers.
type node struct {
	address string
	client  *fasthttp.HostClient
	ready   atomic.Bool
}

// newBalancer returns a balancer that treats every node as ready until its first probe.
func newBalancer(addresses []string) *balancer {
	b := &balancer{}
	for _, address := range addresses {
		n := &node{address: address, client: newClient(address)}
		n.ready.Store(true)
		b.nodes = append(b.nodes, n)
	}
	return b
}

// start starts the readiness probes.
func (b *balancer) start(ctx context.Context) {
	ctx, b.stop = context.WithCancel(ctx)
	for _, n := range b.nodes {
		p := &prober{ctx: ctx, node: n}
		b.wg.Go(p.run)
	}
}

// close stops the probes and closes the idle connections.
func (b *balancer) close() {
	b.stop()
	b.wg.Wait()
	for _, n := range b.nodes {
		n.client.CloseIdleConnections()
	}
}

// pick returns the next ready node, or the next node if none is ready.
func (b *balancer) pick() *node {
	start := b.next.Add(1)
	count := uint64(len(b.nodes))
	for i := range count {
		if n := b.nodes[(start+i)%count]; n.ready.Load() {
			return n
		}
	}
	return b.nodes[start%count]
}

// prober polls the readiness of one node.
type prober struct {
	ctx  context.Context //nolint:containedctx // It ends the loop.
	node *node
}

func (p *prober) run() {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		p.node.ready.Store(p.probe())
		select {
		case <-ticker.C:
		case <-p.ctx.Done():
			return
		}
	}
}

// probe reports whether the node is ready.
func (p *prober) probe() bool {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetRequestURI("/readyz")
	request.Header.SetHost(p.node.address)
	err := p.node.client.DoTimeout(request, response, probeTimeout)
	return err == nil && response.StatusCode() == fasthttp.StatusOK
}
