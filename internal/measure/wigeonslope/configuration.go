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

// changesMeasured is the number of changes over which a configuration's costs are averaged.
const changesMeasured = 20

// patchOf returns a patch of one organisation's weight.
func patchOf(round, organisations int) []byte {
	return fmt.Appendf(nil, `{"products":{"p":{"organisations":{%q:{"weight":%d}}}}}`,
		organisationName(round%organisations), 3+round)
}

// MeasureConfiguration measures what one change costs an instance and how long one hop takes.
func (s Scale) MeasureConfiguration(ctx context.Context) ([]Series, error) {
	var processor, heap, delay, bytes []Point
	for _, organisations := range s.Organisations {
		x := float64(organisations)
		m, err := s.measureChanges(ctx, organisations)
		if err != nil {
			return nil, err
		}
		processor = append(processor, Point{x, m.processor})
		heap = append(heap, Point{x, m.heap})
		delay = append(delay, Point{x, m.delay})
		bytes = append(bytes, Point{x, m.bytes})
	}
	return []Series{
		newSeries("changeProcessor", "organisations", "µs of processor time a change",
			"applying a patch of one organisation to a configuration in force", processor),
		newSeries("configurationHeap", "organisations", "bytes of heap", "live heap of one configuration with a key for each organisation", heap),
		newSeries("changeHop", "organisations", "ms", "median time from acceptance at one node to force at the other, over loopback", delay),
		newSeries("changeBytes", "organisations", "bytes a change and hop", "bytes at the receiving node, its acknowledgement included", bytes),
	}, nil
}

// changeCosts are the costs of one change.
type changeCosts struct {
	processor, heap, delay, bytes float64
}

// measureChanges runs two nodes and submits changes at one of them.
func (s Scale) measureChanges(ctx context.Context, organisations int) (m changeCosts, err error) {
	f, err := startFleet(ctx, shape{nodes: 2, shards: 1, endpointsPerShard: 4, organisations: organisations})
	if f != nil {
		defer func() { err = errors.Join(err, f.stop(ctx)) }()
	}
	if err != nil {
		return m, err
	}
	if err := f.awaitVersion(ctx); err != nil {
		return m, err
	}
	// The nodes still exchange what they learned at their start.
	if err := wait(ctx, s.Settle); err != nil {
		return m, err
	}
	from, to := f.nodes[0], f.nodes[1]
	delays := make([]float64, changesMeasured)
	for i := range delays {
		before := to.peers.bytes.Load()
		took, err := f.hop(ctx, from, to, i, organisations)
		if err != nil {
			return m, err
		}
		delays[i] = float64(took.Microseconds()) / 1e3
		if err := wait(ctx, pollPause); err != nil {
			return m, err
		}
		m.bytes += float64(to.peers.bytes.Load()-before) / changesMeasured
	}
	m.delay = median(delays)
	return m, m.apply(to.spread.Current(), organisations)
}

// awaitVersion waits until the newest configuration is in force on all nodes.
func (f *fleet) awaitVersion(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	for _, n := range f.nodes {
		for c := n.spread.Current(); c == nil || c.Version < f.version; c = n.spread.Current() {
			if err := wait(ctx, pollPause); err != nil {
				return oops.In("measure").Wrapf(err, "version %d is not in force", f.version)
			}
		}
	}
	return nil
}

// hop submits a change at one node and waits until it is in force at the other.
func (f *fleet) hop(ctx context.Context, from, to *node, round, organisations int) (time.Duration, error) {
	current := from.spread.Current()
	change, next, err := f.repository.Submit(ctx, wigeonconfig.Patch{
		ID: fmt.Sprint("change-", round), Base: current.Version, Author: "measure", Document: patchOf(round, organisations),
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

// apply measures the processor time of applying a change, and the heap of a configuration.
func (m *changeCosts) apply(c *wigeonshift.Configuration, organisations int) error {
	started := processorTime()
	for i := range changesMeasured {
		next, err := wigeonconfig.Apply(c, patchOf(i, organisations))
		if err != nil {
			return err
		}
		c = next
	}
	m.processor = float64((processorTime() - started).Microseconds()) / changesMeasured
	document, err := wigeonconfig.Encode(c)
	if err != nil {
		return err
	}
	before := liveHeap()
	decoded, err := wigeonconfig.Decode(document)
	m.heap = liveHeap() - before
	runtime.KeepAlive(decoded)
	runtime.KeepAlive(document)
	return err
}
