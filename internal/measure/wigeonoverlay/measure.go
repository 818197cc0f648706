package wigeonoverlay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"wigeonshift"
)

// Row holds the figures of one way to reach other instances.
type Row struct {
	Way       string  `json:"way"`
	Degree    int     `json:"degree,omitempty"`
	Shortcuts int     `json:"shortcuts,omitempty"`
	HopsMean  float64 `json:"hopsMean"`
	HopsMax   int     `json:"hopsMax"`
	// SessionsMean and SessionsMax are the numbers of sessions that a node keeps open.
	SessionsMean float64 `json:"sessionsMean"`
	SessionsMax  int     `json:"sessionsMax"`
	// Moved is the mean number of nodes that change address or parent when one node leaves permanently.
	Moved float64 `json:"moved"`
	// Unreached holds the percentage of alive targets that are not reached after nodes failed and before any repair,
	// one entry for each of FailureRatios.
	Unreached []float64 `json:"unreachedPercent"`
}

// FailureRatios returns the ratios of failed nodes at which routing is measured: none, the failures of one day at once,
// the loss of a rack, and the loss of one availability zone of six.
func FailureRatios() []float64 {
	return []float64{0, 0.01, 0.05, 1.0 / 6}
}

// Sample sizes.
const (
	routeSamples     = 2000
	departureSamples = 200
	// failureSamples is the number of random sets of failed nodes over which the unreached percentage is averaged.
	failureSamples = 20
)

// averageOverFailures returns the mean of a measurement over random sets of failed nodes, for each of FailureRatios.
func averageOverFailures(measure func(share float64) float64) []float64 {
	means := make([]float64, 0, len(FailureRatios()))
	for _, share := range FailureRatios() {
		sum := 0.0
		for range failureSamples {
			sum += measure(share)
		}
		means = append(means, sum/failureSamples)
	}
	return means
}

// Measure returns one row for each way to reach instances, and for each of its parameters. Equal seeds give equal rows.
func Measure(nodes, owners int, seed uint64) []Row {
	rows := make([]Row, 0, 16)
	for _, join := range []JoinRule{JoinBalanced, JoinRandom} {
		for _, degree := range []int{4, 8, 16} {
			for _, shortcuts := range []int{0, 4} {
				rows = append(rows, measureHyperbolic(nodes, degree, shortcuts, join, seed))
			}
		}
	}
	for _, degree := range []int{4, 8, 16} {
		rows = append(rows, measureRankedTree(nodes, degree, seed))
	}
	return append(rows, measureDirect(nodes, owners, seed))
}

func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
}

// measureHyperbolic measures greedy routing over hyperbolic coordinates.
func measureHyperbolic(nodes, degree, shortcuts int, join JoinRule, seed uint64) Row {
	random := newRandom(seed)
	h := NewHyperbolic(nodes, degree, shortcuts, join, random)
	row := Row{Way: "greedy hyperbolic, " + string(join) + " join", Degree: degree, Shortcuts: shortcuts}
	for i := range h.nodes {
		row.addSessionCount(h.sessionCount(i), nodes)
		row.Moved += float64(h.descendantCount(i)) / float64(nodes)
	}
	row.Unreached = averageOverFailures(func(share float64) float64 {
		setFailedNodes(nodes, share, random, func(i int, alive bool) { h.nodes[i].alive = alive })
		return h.measureRoutes(&row, share == 0, random)
	})
	return row
}

// measureRoutes routes between random alive nodes and returns the percentage of packets dropped.
func (h *Hyperbolic) measureRoutes(row *Row, countHops bool, random *rand.Rand) float64 {
	dropped, delivered, totalHops := 0, 0, 0
	for range routeSamples {
		from, to := h.randomAliveNode(random), h.randomAliveNode(random)
		hops, ok := h.Route(from, to)
		if !ok {
			dropped++
			continue
		}
		delivered++
		totalHops += hops
		if countHops {
			row.HopsMax = max(row.HopsMax, hops)
		}
	}
	if countHops {
		row.HopsMean = float64(totalHops) / float64(max(1, delivered))
	}
	return 100 * float64(dropped) / routeSamples
}

func (h *Hyperbolic) randomAliveNode(random *rand.Rand) int {
	for {
		if i := random.IntN(len(h.nodes)); h.nodes[i].alive {
			return i
		}
	}
}

// setFailedNodes calls set for each node: a random share of the nodes is marked failed, the others alive.
func setFailedNodes(nodes int, share float64, random *rand.Rand, set func(i int, alive bool)) {
	failedCount := int(math.Round(share * float64(nodes)))
	for i, n := range random.Perm(nodes) {
		set(n, i >= failedCount)
	}
}

// addSessionCount adds the number of sessions of one node to the mean and the maximum.
func (r *Row) addSessionCount(sessions, nodes int) {
	r.SessionsMean += float64(sessions) / float64(nodes)
	r.SessionsMax = max(r.SessionsMax, sessions)
}

// measureRankedTree measures the paths from the root to every node of a tree. The tree is laid out like a heap over the
// nodes in rendezvous order.
func measureRankedTree(nodes, degree int, seed uint64) Row {
	random := newRandom(seed)
	row := Row{Way: "rendezvous-ranked tree", Degree: degree}
	ranked := rankedIDs(nodes)
	for i := range nodes {
		depth := 0
		for at := i; at > 0; at = (at - 1) / degree {
			depth++
		}
		row.HopsMean += float64(depth) / float64(nodes)
		row.HopsMax = max(row.HopsMax, depth)
		children := max(0, min(degree, nodes-(i*degree+1)))
		row.addSessionCount(children+min(i, 1), nodes)
	}
	for range departureSamples {
		row.Moved += float64(countMovedParents(ranked, random.IntN(nodes), degree)) / departureSamples
	}
	row.Unreached = averageOverFailures(func(share float64) float64 {
		return unreachedPercentRankedTree(nodes, degree, share, random)
	})
	return row
}

// rankedIDs returns node IDs in rendezvous order.
func rankedIDs(nodes int) []string {
	instances := make([]wigeonshift.Instance, nodes)
	for i := range instances {
		instances[i].ID = fmt.Sprintf("node-%d", i)
	}
	ids := make([]string, nodes)
	for i, n := range wigeonshift.RankCandidates("configuration", instances) {
		ids[i] = n.ID
	}
	return ids
}

// countMovedParents counts the nodes whose parent in the ranked tree differs after one node left.
func countMovedParents(ranked []string, departed, degree int) int {
	parents := func(ids []string) map[string]string {
		m := make(map[string]string, len(ids))
		for i := 1; i < len(ids); i++ {
			m[ids[i]] = ids[(i-1)/degree]
		}
		return m
	}
	before := parents(ranked)
	after := parents(slices.Delete(slices.Clone(ranked), departed, departed+1))
	moved := 0
	for id, parent := range after {
		if before[id] != parent {
			moved++
		}
	}
	return moved
}

// unreachedPercentRankedTree returns the percentage of alive nodes with a failed node on their path to the root.
func unreachedPercentRankedTree(nodes, degree int, share float64, random *rand.Rand) float64 {
	alive := make([]bool, nodes)
	setFailedNodes(nodes, share, random, func(i int, a bool) { alive[i] = a })
	aliveCount, unreachedCount := 0, 0
	for i := range nodes {
		if !alive[i] {
			continue
		}
		aliveCount++
		for at := i; at > 0; at = (at - 1) / degree {
			if !alive[(at-1)/degree] {
				unreachedCount++
				break
			}
		}
	}
	return 100 * float64(unreachedCount) / float64(max(1, aliveCount))
}

// measureDirect measures direct sessions from every node to the shard owners that its requests need.
func measureDirect(nodes, owners int, seed uint64) Row {
	random := newRandom(seed)
	row := Row{Way: "direct session from the owner directory", HopsMean: 1, HopsMax: 2, SessionsMean: float64(owners), SessionsMax: nodes}
	// A departed node moves only the shards that it owned. One redirect leads to the new owner of each.
	row.Moved = float64(owners) / float64(nodes)
	row.Unreached = averageOverFailures(func(share float64) float64 {
		failedOwners := 0
		alive := make([]bool, nodes)
		setFailedNodes(nodes, share, random, func(i int, a bool) { alive[i] = a })
		for i := range owners {
			if !alive[i] {
				failedOwners++
			}
		}
		return 100 * float64(failedOwners) / float64(owners)
	})
	return row
}
