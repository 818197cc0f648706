package wigeonslope

import (
	"context"
	"fmt"
	"slices"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonspread"
)

// Places of the target.
const (
	targetRegions  = 3
	zonesPerRegion = 2
	// departures is the number of departures over which the moved parents are averaged.
	departures = 50
)

// placed returns instances spread over the target's regions and zones.
func placed(count int) []wigeonshift.Instance {
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

// hops returns the number of pushes from the instance that accepted a change to the deepest instance.
func hops(parents map[string]string) int {
	deepest := 0
	for id := range parents {
		depth := 0
		for at, ok := parents[id], true; ok; at, ok = parents[at] {
			depth++
		}
		deepest = max(deepest, depth)
	}
	// One more push brings the change from the accepting instance to the heads.
	return deepest + 1
}

// moved returns the mean number of instances whose parent changes when one leaves.
func moved(live []wigeonshift.Instance) float64 {
	before := wigeonspread.TreeParents(live, wigeonspread.DefaultSettings())
	count, tries := 0, min(departures, len(live))
	for i := range tries {
		gone := i * len(live) / tries
		after := wigeonspread.TreeParents(slices.Delete(slices.Clone(live), gone, gone+1), wigeonspread.DefaultSettings())
		for id, parent := range after {
			if before[id] != parent {
				count++
			}
		}
	}
	return float64(count) / float64(tries)
}

// MeasureTree takes the depth of the configuration's push tree, and what a departure changes in it, from its rule.
func (s Scale) MeasureTree(_ context.Context) ([]Series, error) {
	depth, _ := points(s.TreeNodes, func(n int) (float64, error) {
		return float64(hops(wigeonspread.TreeParents(placed(n), wigeonspread.DefaultSettings()))), nil
	})
	departed, _ := points(s.TreeNodes, func(n int) (float64, error) { return moved(placed(n)), nil })
	return []Series{
		newSeries("treeHops", "nodes", "hops", "the push tree's rule over 3 regions, from acceptance to the deepest node", depth),
		newSeries("treeMoved", "nodes", "nodes with another parent", "mean over departures of one node", departed),
	}, nil
}
