package wigeonslope

import (
	"context"
	"errors"
	"fmt"

	"wigeonshift"
)

// idleUsage is the resource usage of an idle fleet.
type idleUsage struct {
	// processorPercent is the mean processor usage of one node, in percent of a core.
	processorPercent float64
	// peerBytesPerSecond and pollBytesPerSecond are the mean traffic of one node with other nodes and with endpoints.
	peerBytesPerSecond, pollBytesPerSecond float64
	// readsPerSecond and writesPerSecond are the platform calls of the whole fleet.
	readsPerSecond, writesPerSecond float64
	// heapBytes is the mean live heap of one node.
	heapBytes float64
}

// measureIdle runs a fleet without requests and returns its usage during Window, once it has settled.
func (s Scale) measureIdle(ctx context.Context, size fleetSize) (result idleUsage, err error) {
	heapBefore := liveHeap()
	f, err := startFleet(ctx, size)
	if f != nil {
		defer func() { err = errors.Join(err, f.stop(ctx)) }()
	}
	if err != nil {
		return idleUsage{}, err
	}
	if err := sleep(ctx, s.Settle); err != nil {
		return idleUsage{}, err
	}
	result.heapBytes = (liveHeap() - heapBefore) / float64(size.nodes)
	processorBefore, countsBefore, peerBytesBefore, pollBytesBefore := processorTime(), f.core.Counts(), f.peerBytes(), f.pollBytes()
	if err := sleep(ctx, s.Window); err != nil {
		return idleUsage{}, err
	}
	seconds := s.Window.Seconds()
	nodes := float64(size.nodes)
	countsAfter := f.core.Counts()
	result.processorPercent = 100 * (processorTime() - processorBefore).Seconds() / seconds / nodes
	result.peerBytesPerSecond = float64(f.peerBytes()-peerBytesBefore) / seconds / nodes
	result.pollBytesPerSecond = float64(f.pollBytes()-pollBytesBefore) / seconds / nodes
	result.readsPerSecond = float64(countsAfter.Reads-countsBefore.Reads) / seconds
	result.writesPerSecond = float64(countsAfter.Writes-countsBefore.Writes) / seconds
	return result, nil
}

// peerBytes returns the bytes that all nodes exchanged with each other. Each byte counts at its sender and its receiver.
func (f *fleet) peerBytes() int64 {
	sum := int64(0)
	for _, n := range f.nodes {
		sum += n.peerMeter.bytes.Load()
	}
	return sum
}

// pollBytes returns the bytes that all nodes exchanged with endpoints.
func (f *fleet) pollBytes() int64 {
	sum := int64(0)
	for _, n := range f.nodes {
		sum += n.endpointMeter.bytes.Load()
	}
	return sum
}

// idleSeriesSpec describes a series that is taken from measurements of idle fleets.
type idleSeriesSpec struct {
	name, unit string
	value      func(idleUsage) float64
}

// measureIdleSeries measures one idle fleet for each size and returns one series for each spec.
func (s Scale) measureIdleSeries(ctx context.Context, sizes []int, x, method string, size func(n int) fleetSize, specs ...idleSeriesSpec) ([]Series, error) {
	pointLists := make([][]Point, len(specs))
	for _, n := range sizes {
		result, err := s.measureIdle(ctx, size(n))
		if err != nil {
			return nil, err
		}
		for i, c := range specs {
			pointLists[i] = append(pointLists[i], Point{X: float64(n), Y: c.value(result)})
		}
	}
	series := make([]Series, len(specs))
	for i, c := range specs {
		series[i] = newSeries(c.name, x, c.unit, method, pointLists[i])
	}
	return series, nil
}

func processorPercentOf(i idleUsage) float64   { return i.processorPercent }
func peerBytesPerSecondOf(i idleUsage) float64 { return i.peerBytesPerSecond }
func pollBytesPerSecondOf(i idleUsage) float64 { return i.pollBytesPerSecond }
func readsPerSecondOf(i idleUsage) float64     { return i.readsPerSecond }
func writesPerSecondOf(i idleUsage) float64    { return i.writesPerSecond }
func heapBytesOf(i idleUsage) float64          { return i.heapBytes }

// MeasureNodes measures idle fleets with different numbers of nodes.
func (s Scale) MeasureNodes(ctx context.Context) ([]Series, error) {
	return s.measureIdleSeries(ctx, s.Nodes, "nodes", "idle fleet with 8 shards of one endpoint, in one process",
		func(n int) fleetSize { return fleetSize{nodes: n, shards: 8, endpointsPerShard: 1} },
		idleSeriesSpec{"idleProcessorNodes", "% of a core a node", processorPercentOf},
		idleSeriesSpec{"idleBytesNodes", "bytes/s a node between nodes", peerBytesPerSecondOf},
		idleSeriesSpec{"idleHeapNodes", "bytes of heap a node", heapBytesOf},
		idleSeriesSpec{"idleReadsNodes", "platform reads/s in all", readsPerSecondOf},
		idleSeriesSpec{"idleWritesNodes", "platform writes/s in all", writesPerSecondOf})
}

// MeasureShards measures idle fleets with different numbers of shards.
func (s Scale) MeasureShards(ctx context.Context) ([]Series, error) {
	const nodes = 4
	fleetTotal := func(value func(idleUsage) float64) func(idleUsage) float64 {
		return func(i idleUsage) float64 { return value(i) * nodes }
	}
	return s.measureIdleSeries(ctx, s.Shards, "shards", "idle fleet of 4 nodes, one endpoint a shard; processor and heap of all nodes together",
		func(n int) fleetSize { return fleetSize{nodes: nodes, shards: n, endpointsPerShard: 1} },
		idleSeriesSpec{"idleProcessorShards", "% of a core in all", fleetTotal(processorPercentOf)},
		idleSeriesSpec{"idleHeapShards", "bytes of heap in all", fleetTotal(heapBytesOf)},
		idleSeriesSpec{"idleReadsShards", "platform reads/s in all", readsPerSecondOf},
		idleSeriesSpec{"idleWritesShards", "platform writes/s in all", writesPerSecondOf})
}

// MeasurePolls measures the owner of a shard with different numbers of endpoints, which it polls.
func (s Scale) MeasurePolls(ctx context.Context) ([]Series, error) {
	return s.measureIdleSeries(ctx, s.PolledEndpoints, "endpoints of the shard",
		"one node that owns one shard and polls its endpoints over HTTP; the stand-in engine's processor time is included",
		func(n int) fleetSize { return fleetSize{nodes: 1, shards: 1, endpointsPerShard: n} },
		idleSeriesSpec{"pollBytes", "bytes/s of the owner", pollBytesPerSecondOf},
		idleSeriesSpec{"pollProcessor", "% of a core", processorPercentOf},
		idleSeriesSpec{"pollHeap", "bytes of heap", heapBytesOf})
}

// MeasureSessions measures a full mesh of peer sessions that carry only heartbeats.
func (s Scale) MeasureSessions(ctx context.Context) ([]Series, error) {
	var bytes, processor, heap []Point
	for _, peers := range s.PeersPerNode {
		m, err := startMesh(ctx, peers+1)
		if err != nil {
			return nil, errors.Join(err, m.stop(ctx))
		}
		if err := sleep(ctx, s.Settle); err != nil {
			return nil, errors.Join(err, m.stop(ctx))
		}
		used := liveHeap() - m.heapBytesBefore
		started, before := processorTime(), m.bytes()
		if err := sleep(ctx, s.Window); err != nil {
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

// mesh is a set of networks with a session between each two of them.
type mesh struct {
	// heapBytesBefore is the live heap before the networks were started.
	heapBytesBefore float64
	nodes           []*meshNode
}

// startMesh starts networks and opens a session between each two of them.
func startMesh(ctx context.Context, count int) (*mesh, error) {
	m := &mesh{heapBytesBefore: liveHeap()}
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

// bytes returns the bytes counted by all nodes. Each byte counts at its sender and its receiver.
func (m *mesh) bytes() int64 {
	sum := int64(0)
	for _, n := range m.nodes {
		sum += n.meter.bytes.Load()
	}
	return sum
}

// stop stops all networks.
func (m *mesh) stop(ctx context.Context) error {
	var errs []error
	for _, n := range m.nodes {
		errs = append(errs, n.network.Stop(ctx))
	}
	return errors.Join(errs...)
}
