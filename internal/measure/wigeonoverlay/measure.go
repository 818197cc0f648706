package wigeonoverlay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"wigeonshift"
)

// Row holds the figures of one way to reach instances.
type Row struct {
	Way       string  `json:"way"`
	Degree    int     `json:"degree,omitempty"`
	Shortcuts int     `json:"shortcuts,omitempty"`
	HopsMean  float64 `json:"hopsMean"`
	HopsMax   int     `json:"hopsMax"`
	// SessionsMean and SessionsMax are the sessions a node keeps.
	SessionsMean float64 `json:"sessionsMean"`
	SessionsMax  int     `json:"sessionsMax"`
	// Moved is the mean number of nodes that change address or parent when one node leaves for good.
	Moved float64 `json:"moved"`
	// Unreached holds the share of living targets not reached, in percent, after a share of the nodes died and
	// before any repair; the shares are Failures in order.
	Unreached []float64 `json:"unreachedPercent"`
}

// Failures are the shares of dead nodes at which routing is measured: none, one day's failures at once, a rack-sized
// loss, and one availability zone of six.
func Failures() []float64 {
	return []float64{0, 0.01, 0.05, 1.0 / 6}
}

// Sample bounds of one measurement.
const (
	routePairs    = 2000
	departureRuns = 200
	// failureSets is the number of random sets of dead nodes over which the unreached share is averaged.
	failureSets = 20
)

// averageFailures returns the mean of a measurement over random sets of dead nodes, for each share of Failures.
func averageFailures(measure func(share float64) float64) []float64 {
	means := make([]float64, 0, len(Failures()))
	for _, share := range Failures() {
		sum := 0.0
		for range failureSets {
			sum += measure(share)
		}
		means = append(means, sum/failureSets)
	}
	return means
}

// Measure returns the figures of all ways for a number of nodes. Equal seeds give equal figures.
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
		rows = append(rows, measureRanked(nodes, degree, seed))
	}
	return append(rows, measureDirect(nodes, owners, seed))
}

// newRandom returns a seeded source.
func newRandom(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))
}

// measureHyperbolic measures greedy routing.
func measureHyperbolic(nodes, degree, shortcuts int, join JoinRule, seed uint64) Row {
	random := newRandom(seed)
	h := NewHyperbolic(nodes, degree, shortcuts, join, random)
	row := Row{Way: "greedy hyperbolic, " + string(join) + " join", Degree: degree, Shortcuts: shortcuts}
	for i := range h.nodes {
		row.addSessions(h.sessions(i), nodes)
		row.Moved += float64(h.subtree(i)) / float64(nodes)
	}
	row.Unreached = averageFailures(func(share float64) float64 {
		kill(nodes, share, random, func(i int, alive bool) { h.nodes[i].alive = alive })
		return h.measureRoutes(&row, share == 0, random)
	})
	return row
}

// measureRoutes routes between random living nodes and returns the share dropped, in percent.
func (h *Hyperbolic) measureRoutes(row *Row, countHops bool, random *rand.Rand) float64 {
	dropped, arrived, total := 0, 0, 0
	for range routePairs {
		from, to := h.living(random), h.living(random)
		hops, ok := h.Route(from, to)
		if !ok {
			dropped++
			continue
		}
		arrived++
		total += hops
		if countHops {
			row.HopsMax = max(row.HopsMax, hops)
		}
	}
	if countHops {
		row.HopsMean = float64(total) / float64(max(1, arrived))
	}
	return 100 * float64(dropped) / routePairs
}

// living returns a random living node.
func (h *Hyperbolic) living(random *rand.Rand) int {
	for {
		if i := random.IntN(len(h.nodes)); h.nodes[i].alive {
			return i
		}
	}
}

// kill revives all nodes and then kills a share of them.
func kill(nodes int, share float64, random *rand.Rand, set func(i int, alive bool)) {
	dead := int(math.Round(share * float64(nodes)))
	for i, n := range random.Perm(nodes) {
		set(n, i >= dead)
	}
}

// addSessions adds one node's sessions to the mean and maximum.
func (r *Row) addSessions(sessions, nodes int) {
	r.SessionsMean += float64(sessions) / float64(nodes)
	r.SessionsMax = max(r.SessionsMax, sessions)
}

// measureRanked measures a tree over the rendezvous order of all nodes, root to every node.
func measureRanked(nodes, degree int, seed uint64) Row {
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
		row.addSessions(children+min(i, 1), nodes)
	}
	for range departureRuns {
		row.Moved += float64(movedParents(ranked, random.IntN(nodes), degree)) / departureRuns
	}
	row.Unreached = averageFailures(func(share float64) float64 {
		return unreachedRanked(nodes, degree, share, random)
	})
	return row
}

// rankedIDs returns node names in rendezvous order.
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

// movedParents counts the nodes whose parent in the heap order differs after one node left.
func movedParents(ranked []string, gone, degree int) int {
	parents := func(ids []string) map[string]string {
		m := make(map[string]string, len(ids))
		for i := 1; i < len(ids); i++ {
			m[ids[i]] = ids[(i-1)/degree]
		}
		return m
	}
	before := parents(ranked)
	after := parents(slices.Delete(slices.Clone(ranked), gone, gone+1))
	moved := 0
	for id, parent := range after {
		if before[id] != parent {
			moved++
		}
	}
	return moved
}

// unreachedRanked returns the share of living nodes with a dead node on their path to the root, in percent.
func unreachedRanked(nodes, degree int, share float64, random *rand.Rand) float64 {
	alive := make([]bool, nodes)
	kill(nodes, share, random, func(i int, a bool) { alive[i] = a })
	living, cut := 0, 0
	for i := range nodes {
		if !alive[i] {
			continue
		}
		living++
		for at := i; at > 0; at = (at - 1) / degree {
			if !alive[(at-1)/degree] {
				cut++
				break
			}
		}
	}
	return 100 * float64(cut) / float64(max(1, living))
}

// measureDirect measures direct sessions from every node to the shard owners that its requests need.
func measureDirect(nodes, owners int, seed uint64) Row {
	random := newRandom(seed)
	row := Row{Way: "direct session from the owner directory", HopsMean: 1, HopsMax: 2, SessionsMean: float64(owners), SessionsMax: nodes}
	// A departed node moves only the shards it owned; each is found again by one redirect.
	row.Moved = float64(owners) / float64(nodes)
	row.Unreached = averageFailures(func(share float64) float64 {
		dead := 0
		alive := make([]bool, nodes)
		kill(nodes, share, random, func(i int, a bool) { alive[i] = a })
		for i := range owners {
			if !alive[i] {
				dead++
			}
		}
		return 100 * float64(dead) / float64(owners)
	})
	return row
}
