package wigeonslope

import (
	"context"
	"errors"
	"fmt"

	"wigeonshift"
)

// idle is what an idle fleet spends.
type idle struct {
	// processor is the share of a core of one node, in percent.
	processor float64
	// peerBytes and pollBytes are the bytes a second of one node, to and from other nodes and endpoints.
	peerBytes, pollBytes float64
	// reads and writes are the platform's calls a second for the whole fleet.
	reads, writes float64
	// heap is the live heap of one node in bytes.
	heap float64
}

// measureIdle runs a fleet without requests and returns what it spends once it has settled.
func (s Scale) measureIdle(ctx context.Context, size shape) (result idle, err error) {
	heap := liveHeap()
	f, err := startFleet(ctx, size)
	if f != nil {
		defer func() { err = errors.Join(err, f.stop(ctx)) }()
	}
	if err != nil {
		return idle{}, err
	}
	if err := wait(ctx, s.Settle); err != nil {
		return idle{}, err
	}
	result.heap = (liveHeap() - heap) / float64(size.nodes)
	processor, counts, peers, polls := processorTime(), f.core.Counts(), f.peerBytes(), f.pollBytes()
	if err := wait(ctx, s.Window); err != nil {
		return idle{}, err
	}
	seconds := s.Window.Seconds()
	nodes := float64(size.nodes)
	after := f.core.Counts()
	result.processor = 100 * (processorTime() - processor).Seconds() / seconds / nodes
	result.peerBytes = float64(f.peerBytes()-peers) / seconds / nodes
	result.pollBytes = float64(f.pollBytes()-polls) / seconds / nodes
	result.reads = float64(after.Reads-counts.Reads) / seconds
	result.writes = float64(after.Writes-counts.Writes) / seconds
	return result, nil
}

// peerBytes returns the bytes that all nodes exchanged with each other, counted at both ends.
func (f *fleet) peerBytes() int64 {
	sum := int64(0)
	for _, n := range f.nodes {
		sum += n.peers.bytes.Load()
	}
	return sum
}

// pollBytes returns the bytes that all nodes exchanged with endpoints.
func (f *fleet) pollBytes() int64 {
	sum := int64(0)
	for _, n := range f.nodes {
		sum += n.endpoints.bytes.Load()
	}
	return sum
}

// column is one series taken from runs of idle fleets.
type column struct {
	name, unit string
	value      func(idle) float64
}

// idleSeries measures idle fleets at some sizes and returns one series for each column.
func (s Scale) idleSeries(ctx context.Context, sizes []int, x, method string, size func(n int) shape, columns ...column) ([]Series, error) {
	taken := make([][]Point, len(columns))
	for _, n := range sizes {
		result, err := s.measureIdle(ctx, size(n))
		if err != nil {
			return nil, err
		}
		for i, c := range columns {
			taken[i] = append(taken[i], Point{X: float64(n), Y: c.value(result)})
		}
	}
	series := make([]Series, len(columns))
	for i, c := range columns {
		series[i] = newSeries(c.name, x, c.unit, method, taken[i])
	}
	return series, nil
}

func processorOf(i idle) float64 { return i.processor }
func peerBytesOf(i idle) float64 { return i.peerBytes }
func pollBytesOf(i idle) float64 { return i.pollBytes }
func readsOf(i idle) float64     { return i.reads }
func writesOf(i idle) float64    { return i.writes }
func heapOf(i idle) float64      { return i.heap }

// MeasureNodes measures idle fleets by their number of nodes.
func (s Scale) MeasureNodes(ctx context.Context) ([]Series, error) {
	return s.idleSeries(ctx, s.Nodes, "nodes", "idle fleet with 8 shards of one endpoint, in one process",
		func(n int) shape { return shape{nodes: n, shards: 8, endpointsPerShard: 1} },
		column{"idleProcessorNodes", "% of a core a node", processorOf},
		column{"idleBytesNodes", "bytes/s a node between nodes", peerBytesOf},
		column{"idleHeapNodes", "bytes of heap a node", heapOf},
		column{"idleReadsNodes", "platform reads/s in all", readsOf},
		column{"idleWritesNodes", "platform writes/s in all", writesOf})
}

// MeasureShards measures idle fleets by their number of shards.
func (s Scale) MeasureShards(ctx context.Context) ([]Series, error) {
	const nodes = 4
	each := func(value func(idle) float64) func(idle) float64 {
		return func(i idle) float64 { return value(i) * nodes }
	}
	return s.idleSeries(ctx, s.Shards, "shards", "idle fleet of 4 nodes, one endpoint a shard; processor and heap of all nodes together",
		func(n int) shape { return shape{nodes: nodes, shards: n, endpointsPerShard: 1} },
		column{"idleProcessorShards", "% of a core in all", each(processorOf)},
		column{"idleHeapShards", "bytes of heap in all", each(heapOf)},
		column{"idleReadsShards", "platform reads/s in all", readsOf},
		column{"idleWritesShards", "platform writes/s in all", writesOf})
}

// MeasurePolls measures an owner by the endpoints of its shard.
func (s Scale) MeasurePolls(ctx context.Context) ([]Series, error) {
	return s.idleSeries(ctx, s.Polled, "endpoints of the shard",
		"one node that owns one shard and polls its endpoints over HTTP; the stand-in engine's processor time is included",
		func(n int) shape { return shape{nodes: 1, shards: 1, endpointsPerShard: n} },
		column{"pollBytes", "bytes/s of the owner", pollBytesOf},
		column{"pollProcessor", "% of a core", processorOf},
		column{"pollHeap", "bytes of heap", heapOf})
}

// MeasureSessions measures the sessions of a full mesh, with no service on them.
func (s Scale) MeasureSessions(ctx context.Context) ([]Series, error) {
	var bytes, processor, heap []Point
	for _, peers := range s.Peers {
		m, err := startMesh(ctx, peers+1)
		if err != nil {
			return nil, errors.Join(err, m.stop(ctx))
		}
		if err := wait(ctx, s.Settle); err != nil {
			return nil, errors.Join(err, m.stop(ctx))
		}
		used := liveHeap() - m.heap
		started, before := processorTime(), m.bytes()
		if err := wait(ctx, s.Window); err != nil {
			return nil, errors.Join(err, m.stop(ctx))
		}
		nodes, seconds := float64(peers+1), s.Window.Seconds()
		x := float64(peers)
		bytes = append(bytes, Point{x, float64(m.bytes()-before) / seconds / nodes})
		processor = append(processor, Point{x, 100 * (processorTime() - started).Seconds() / seconds / nodes})
		heap = append(heap, Point{x, used / nodes})
		if err := m.stop(ctx); err != nil {
			return nil, err
		}
	}
	method := "full mesh of sessions over loopback without TLS, heartbeats only"
	return []Series{
		newSeries("sessionBytes", "peers", "bytes/s a node", method+"; sent and received, without IP and TCP headers", bytes),
		newSeries("sessionProcessor", "peers", "% of a core a node", method, processor),
		newSeries("sessionHeap", "peers", "bytes of heap a node", method, heap),
	}, nil
}

// mesh is a set of networks that all have sessions with each other.
type mesh struct {
	heap  float64
	nodes []*meshNode
}

// startMesh opens a session between each two of some networks.
func startMesh(ctx context.Context, count int) (*mesh, error) {
	m := &mesh{heap: liveHeap()}
	for i := range count {
		n, err := newMeshNode(ctx, fmt.Sprint("node", i))
		if err != nil {
			return m, err
		}
		m.nodes = append(m.nodes, n)
	}
	for i, a := range m.nodes {
		for _, b := range m.nodes[i+1:] {
			if err := a.network.Send(ctx, b.self, wigeonshift.ConfigurationHave{}); err != nil {
				return m, err
			}
		}
	}
	return m, nil
}

// bytes returns the bytes counted by all nodes.
func (m *mesh) bytes() int64 {
	sum := int64(0)
	for _, n := range m.nodes {
		sum += n.meter.bytes.Load()
	}
	return sum
}

// stop ends all networks.
func (m *mesh) stop(ctx context.Context) error {
	var errs []error
	for _, n := range m.nodes {
		errs = append(errs, n.network.Stop(ctx))
	}
	return errors.Join(errs...)
}
