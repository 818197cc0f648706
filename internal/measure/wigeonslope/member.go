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

// rankRounds is the number of rankings over which their time is averaged.
const rankRounds = 20

// listed returns placed instances as a platform's list would name them.
func listed(count int) []wigeonshift.Instance {
	instances := placed(count)
	for i := range instances {
		instances[i].ID = fmt.Sprintf("5f2b1c9e-0000-4000-8000-%012d", i)
		instances[i].Address = fmt.Sprintf("10.1.%d.%d:7100", i/250, i%250)
	}
	return instances
}

// MeasureMembers measures what an instance spends on knowing the others.
func (s Scale) MeasureMembers(ctx context.Context) ([]Series, error) {
	bytes, err := points(s.TreeNodes, func(n int) (float64, error) {
		list, err := json.Marshal(listed(n))
		return float64(len(list)), err
	})
	if err != nil {
		return nil, err
	}
	rank, _ := points(s.TreeNodes, func(n int) (float64, error) {
		live := listed(n)
		started := processorTime()
		for range rankRounds {
			for i := range targetShards {
				pool := wigeonshift.Pool{Product: "p", Service: fmt.Sprint("s", i), Region: fmt.Sprint("r", i%targetRegions)}
				wigeonlease.Rank(pool.Shard(0), live, live[0].ID)
			}
		}
		return float64((processorTime() - started).Microseconds()) / rankRounds, nil
	})
	shards, _ := points(s.FleetEndpoints, func(n int) (float64, error) {
		c := fleetConfiguration(n)
		started := processorTime()
		for range rankRounds {
			c.Shards()
		}
		return float64((processorTime() - started).Microseconds()) / rankRounds, nil
	})
	summary, err := points(s.FleetEndpoints, func(n int) (float64, error) {
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
	idle, err := points(s.TreeNodes, func(n int) (float64, error) { return s.idleMembers(ctx, n) })
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

// targetModels is the number of models of the target, each a service of its own here.
const targetModels = 29

// fleetConfiguration returns a configuration with endpoints spread over models and regions.
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

// idleMembers returns the share of a core that the view of a number of instances takes, in percent.
func (s Scale) idleMembers(ctx context.Context, count int) (percent float64, err error) {
	n, err := newMeshNode(ctx, "self")
	if err != nil {
		return 0, err
	}
	core := wigeonplatform.NewCore(wigeonplatform.WithListLag(0), wigeonplatform.WithInstances(listed(count)...))
	members := wigeonmember.New(core, n.network)
	if err := members.Start(ctx); err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, members.Stop(ctx), n.network.Stop(ctx)) }()
	if err := wait(ctx, s.Settle); err != nil {
		return 0, err
	}
	started, at := processorTime(), time.Now()
	if err := wait(ctx, s.Window/2); err != nil {
		return 0, err
	}
	return 100 * (processorTime() - started).Seconds() / time.Since(at).Seconds(), nil
}
