package wigeonslope

import (
	"context"
	"fmt"
	"slices"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonspread"
)

// Regions and zones of the target fleet.
const (
	targetRegions  = 3
	zonesPerRegion = 2
	// departureSamples is the number of departures over which the number of moved instances is averaged.
	departureSamples = 50
)

// instancesInZones returns instances spread evenly over the regions and zones of the target fleet.
func instancesInZones(count int) []wigeonshift.Instance {
	instances := make([]wigeonshift.Instance, count)
	for i := range instances {
		region := i % targetRegions
		instances[i] = wigeonshift.Instance{
			ID: fmt.Sprint("node", i), Region: fmt.Sprint("r", region),
			Zone: fmt.Sprintf("r%dz%d", region, i/targetRegions%zonesPerRegion), State: wigeonshift.InstanceLive,
		}
	}
	return instances
}

// maxPushHops returns the number of pushes from the instance that accepted a change to the deepest instance of the tree.
func maxPushHops(parents map[string]string) int {
	deepest := 0
	for id := range parents {
		depth := 0
		for at, ok := parents[id], true; ok; at, ok = parents[at] {
			depth++
		}
		deepest = max(deepest, depth)
	}
	// One more push takes the change from the accepting instance to the region roots.
	return deepest + 1
}

// meanMovedParents returns the mean number of instances whose parent changes when one instance leaves.
func meanMovedParents(live []wigeonshift.Instance) float64 {
	before := wigeonspread.TreeParents(live, wigeonspread.DefaultSettings())
	count, samples := 0, min(departureSamples, len(live))
	for i := range samples {
		departed := i * len(live) / samples
		after := wigeonspread.TreeParents(slices.Delete(slices.Clone(live), departed, departed+1), wigeonspread.DefaultSettings())
		for id, parent := range after {
			if before[id] != parent {
				count++
			}
		}
	}
	return float64(count) / float64(samples)
}

// MeasureTree calculates the depth of the configuration's push tree, and how many parents change when a node leaves. It
// evaluates the rule of the tree and starts no nodes.
func (s Scale) MeasureTree(_ context.Context) ([]Series, error) {
	depth, _ := measurePoints(s.TreeNodes, func(n int) (float64, error) {
		return float64(maxPushHops(wigeonspread.TreeParents(instancesInZones(n), wigeonspread.DefaultSettings()))), nil
	})
	departed, _ := measurePoints(s.TreeNodes, func(n int) (float64, error) { return meanMovedParents(instancesInZones(n)), nil })
	return []Series{
		newSeries("treeHops", "nodes", "hops", "the push tree's rule over 3 regions, from acceptance to the deepest node", depth),
		newSeries("treeMoved", "nodes", "nodes with another parent", "mean over departures of one node", departed),
	}, nil
}
