package wigeonslope

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonwire"
	"wigeonshift/internal/services/wigeonlease"
	"wigeonshift/internal/services/wigeonmember"
	"wigeonshift/internal/standin/wigeonplatform"
)

// timingRepeats is the number of repetitions over which the time of a calculation is averaged.
const timingRepeats = 20

// listedInstances returns instances in zones, with IDs and addresses like those in a platform's list.
func listedInstances(count int) []wigeonshift.Instance {
	instances := instancesInZones(count)
	for i := range instances {
		instances[i].ID = fmt.Sprintf("5f2b1c9e-0000-4000-8000-%012d", i)
		instances[i].Address = fmt.Sprintf("10.1.%d.%d:7100", i/250, i%250)
	}
	return instances
}

// MeasureMembers measures the costs of the instance list, and of what an instance derives from it.
func (s Scale) MeasureMembers(ctx context.Context) ([]Series, error) {
	bytes, err := measurePoints(s.TreeNodes, func(n int) (float64, error) {
		list, err := json.Marshal(listedInstances(n))
		return float64(len(list)), err
	})
	if err != nil {
		return nil, err
	}
	rank, _ := measurePoints(s.TreeNodes, func(n int) (float64, error) {
		live := listedInstances(n)
		started := processorTime()
		for range timingRepeats {
			for i := range targetShards {
				pool := wigeonshift.Pool{Product: "p", Service: fmt.Sprint("s", i), Region: fmt.Sprint("r", i%targetRegions)}
				wigeonlease.Rank(pool.Shard(0), live, live[0].ID)
			}
		}
		return float64((processorTime() - started).Microseconds()) / timingRepeats, nil
	})
	shards, _ := measurePoints(s.FleetEndpoints, func(n int) (float64, error) {
		c := fleetConfiguration(n)
		started := processorTime()
		for range timingRepeats {
			c.Shards()
		}
		return float64((processorTime() - started).Microseconds()) / timingRepeats, nil
	})
	summary, err := measurePoints(s.FleetEndpoints, func(n int) (float64, error) {
		siblings := wigeonshift.ShardCount(n/targetRegions) - 1
		frame, err := wigeonwire.FrameOf(wigeonshift.ShardSummary{
			Shard: "product/assistant/costa-sur/12", Epoch: 100, LowestPriorityRunning: 3, LowestPriorityQueued: 3, FreeSlots: 200,
		})
		if err != nil {
			return 0, err
		}
		b, err := wigeonwire.EncodeFrame(frame)
		return float64(2 * siblings * len(b)), err
	})
	if err != nil {
		return nil, err
	}
	idle, err := measurePoints(s.TreeNodes, func(n int) (float64, error) { return s.measureIdleMembership(ctx, n) })
	if err != nil {
		return nil, err
	}
	return []Series{
		newSeries("memberListBytes", "nodes", "bytes of one read of the list", "the platform's list as JSON", bytes),
		newSeries("memberRank", "nodes", "µs of processor time", "one node ranks itself for 125 shards, after each change of the list", rank),
		newSeries("fleetShards", "endpoints of the fleet", "µs of processor time",
			"the list of shards of 29 services in 3 regions, after each change of the list or the configuration", shards),
		newSeries("summaryBytes", "endpoints of the fleet", "bytes/s of an owner",
			"summaries sent and received as encoded, one a second with each sibling, if all endpoints are one service", summary),
		newSeries("memberProcessor", "nodes", "% of a core", "one idle node that knows the list, in process", idle),
	}, nil
}

// targetModels is the number of models of the target fleet. Each of them is a service of its own here.
const targetModels = 29

// fleetConfiguration returns a configuration with endpoints spread over services and regions.
func fleetConfiguration(endpoints int) *wigeonshift.Configuration {
	services := map[string]wigeonshift.Service{}
	for m := range targetModels {
		services[fmt.Sprint("s", m)] = wigeonshift.Service{Endpoints: map[string]wigeonshift.EndpointSpec{}}
	}
	for e := range endpoints {
		services[fmt.Sprint("s", e%targetModels)].Endpoints[fmt.Sprint("engine", e)] = wigeonshift.EndpointSpec{
			Region: fmt.Sprint("r", e/targetModels%targetRegions),
		}
	}
	return &wigeonshift.Configuration{Products: map[string]wigeonshift.Product{"p": {Services: services}}}
}

// measureIdleMembership returns the processor usage, in percent of a core, of one idle node that tracks count instances.
func (s Scale) measureIdleMembership(ctx context.Context, count int) (percent float64, err error) {
	n, err := newMeshNode(ctx, "self")
	if err != nil {
		return 0, err
	}
	core := wigeonplatform.NewCore(wigeonplatform.WithListLag(0), wigeonplatform.WithInstances(listedInstances(count)...))
	members := wigeonmember.New(core, n.network)
	if err := members.Start(ctx); err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, members.Stop(ctx), n.network.Stop(ctx)) }()
	if err := sleep(ctx, s.Settle); err != nil {
		return 0, err
	}
	processorBefore, startedAt := processorTime(), time.Now()
	if err := sleep(ctx, s.Window/2); err != nil {
		return 0, err
	}
	return 100 * (processorTime() - processorBefore).Seconds() / time.Since(startedAt).Seconds(), nil
}
