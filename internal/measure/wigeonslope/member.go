package wigeonslope

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"wigeonshift"
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
	idle, err := points(s.TreeNodes, func(n int) (float64, error) { return s.idleMembers(ctx, n) })
	if err != nil {
		return nil, err
	}
	return []Series{
		newSeries("memberListBytes", "nodes", "bytes of one read of the list", "the platform's list as JSON", bytes),
		newSeries("memberRank", "nodes", "µs of processor time", "one node ranks itself for 125 shards, after each change of the list", rank),
		newSeries("memberProcessor", "nodes", "% of a core", "one idle node that knows the list, in process", idle),
	}, nil
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
