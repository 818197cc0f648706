package wigeonslope

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"time"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonconfig"

	"github.com/samber/oops"
)

// changeSampleCount is the number of changes over which the costs of one change are averaged.
const changeSampleCount = 20

// weightPatch returns a patch that changes the weight of one organisation.
func weightPatch(round, organisations int) []byte {
	return fmt.Appendf(nil, `{"products":{"p":{"organisations":{%q:{"weight":%d}}}}}`,
		organisationName(round%organisations), 3+round)
}

// MeasureConfiguration measures what one configuration change costs an instance, and how long the change takes to reach
// another instance.
func (s Scale) MeasureConfiguration(ctx context.Context) ([]Series, error) {
	var processor, heap, delay, bytes []Point
	for _, organisations := range s.Organisations {
		x := float64(organisations)
		m, err := s.measureChanges(ctx, organisations)
		if err != nil {
			return nil, err
		}
		processor = append(processor, Point{x, m.applyMicros})
		heap = append(heap, Point{x, m.heapBytes})
		delay = append(delay, Point{x, m.hopMS})
		bytes = append(bytes, Point{x, m.transferBytes})
	}
	return []Series{
		newSeries("changeProcessor", "organisations", "µs of processor time a change",
			"applying a patch of one organisation to a configuration in force", processor),
		newSeries("configurationHeap", "organisations", "bytes of heap", "live heap of one configuration with a key for each organisation", heap),
		newSeries("changeHop", "organisations", "ms", "median time from acceptance at one node to force at the other, over loopback", delay),
		newSeries("changeBytes", "organisations", "bytes a change and hop", "bytes at the receiving node, its acknowledgement included", bytes),
	}, nil
}

// changeCosts are the mean costs of one change; heapBytes is the size of one configuration.
type changeCosts struct {
	applyMicros, heapBytes, hopMS, transferBytes float64
}

// measureChanges runs two nodes, submits changes at the first one and measures the second one.
func (s Scale) measureChanges(ctx context.Context, organisations int) (m changeCosts, err error) {
	f, err := startFleet(ctx, fleetSize{nodes: 2, shards: 1, endpointsPerShard: 4, organisations: organisations})
	if f != nil {
		defer func() { err = errors.Join(err, f.stop(ctx)) }()
	}
	if err != nil {
		return m, err
	}
	if err := f.awaitNewestConfiguration(ctx); err != nil {
		return m, err
	}
	// Wait until the nodes have exchanged what they learned at startup.
	if err := sleep(ctx, s.Settle); err != nil {
		return m, err
	}
	from, to := f.nodes[0], f.nodes[1]
	delays := make([]float64, changeSampleCount)
	for i := range delays {
		before := to.peerMeter.bytes.Load()
		took, err := f.measureHop(ctx, from, to, i, organisations)
		if err != nil {
			return m, err
		}
		delays[i] = float64(took.Microseconds()) / 1e3
		if err := sleep(ctx, fleetPollPeriod); err != nil {
			return m, err
		}
		m.transferBytes += float64(to.peerMeter.bytes.Load()-before) / changeSampleCount
	}
	m.hopMS = median(delays)
	return m, m.measureApply(to.spread.Current(), organisations)
}

// awaitNewestConfiguration waits until the newest configuration is active on all nodes.
func (f *fleet) awaitNewestConfiguration(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, fleetStartTimeout)
	defer cancel()
	for _, n := range f.nodes {
		for c := n.spread.Current(); c == nil || c.Version < f.newestVersion; c = n.spread.Current() {
			if err := sleep(ctx, fleetPollPeriod); err != nil {
				return oops.In("measure").Wrapf(err, "version %d did not become active", f.newestVersion)
			}
		}
	}
	return nil
}

// measureHop submits a change and returns the time from its acceptance at one node until it is active on the other.
func (f *fleet) measureHop(ctx context.Context, from, to *node, round, organisations int) (time.Duration, error) {
	current := from.spread.Current()
	change, next, err := f.repository.Submit(ctx, wigeonconfig.Patch{
		ID: fmt.Sprint("change-", round), Base: current.Version, Author: "measure", Document: weightPatch(round, organisations),
	})
	if err != nil {
		return 0, err
	}
	changed := to.spread.Changed()
	started := time.Now()
	from.spread.ActivateWritten(change, next)
	for to.spread.Current().Version < next.Version {
		select {
		case <-changed:
			changed = to.spread.Changed()
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	return time.Since(started), nil
}

// measureApply measures the processor time of applying a change, and the heap size of a configuration.
func (m *changeCosts) measureApply(c *wigeonshift.Configuration, organisations int) error {
	started := processorTime()
	for i := range changeSampleCount {
		next, err := wigeonconfig.Apply(c, weightPatch(i, organisations))
		if err != nil {
			return err
		}
		c = next
	}
	m.applyMicros = float64((processorTime() - started).Microseconds()) / changeSampleCount
	document, err := wigeonconfig.Encode(c)
	if err != nil {
		return err
	}
	before := liveHeap()
	decoded, err := wigeonconfig.Decode(document)
	m.heapBytes = liveHeap() - before
	runtime.KeepAlive(decoded)
	runtime.KeepAlive(document)
	return err
}
