package wigeonspread

import (
	"wigeonshift"
)

// Keys for ranking instances by rendezvous hashing.
const (
	treeRankingKey   = "configuration/tree"
	pollerRankingKey = "configuration/poll"
)

// pushTree holds the trees along which changes are pushed, as seen by one instance. The instances of each region,
// ordered by rendezvous rank, form a tree in the array layout of a heap with fanOut children per instance; the first
// instance is the root. Only messages to and between the roots cross regions.
type pushTree struct {
	self wigeonshift.Instance
	// rankedByRegion holds the ranked instances of each region.
	rankedByRegion map[string][]wigeonshift.Instance
	// indexInRegion maps each instance ID to the instance's index in rankedByRegion.
	indexInRegion map[string]int
	// peers holds the live instances except this one.
	peers  []wigeonshift.Instance
	fanOut int
	// isPoller is set if this instance polls the platform.
	isPoller bool
}

func newTree(self wigeonshift.Instance, live []wigeonshift.Instance, s Settings) *pushTree {
	t := &pushTree{self: self, rankedByRegion: map[string][]wigeonshift.Instance{}, indexInRegion: map[string]int{}, fanOut: s.FanOut}
	for _, i := range wigeonshift.RankCandidates(treeRankingKey, live) {
		t.indexInRegion[i.ID] = len(t.rankedByRegion[i.Region])
		t.rankedByRegion[i.Region] = append(t.rankedByRegion[i.Region], i)
		if i.ID != self.ID {
			t.peers = append(t.peers, i)
		}
	}
	t.isPoller = isPoller(self, live, s.PollersPerZone)
	return t
}

// isPoller reports whether an instance is among the perZone highest-ranked ones of its zone, which poll the platform.
func isPoller(self wigeonshift.Instance, live []wigeonshift.Instance, perZone int) bool {
	rankInZone := 0
	for _, i := range wigeonshift.RankCandidates(pollerRankingKey, live) {
		if i.ID == self.ID {
			return rankInZone < perZone
		}
		if i.Zone == self.Zone {
			rankInZone++
		}
	}
	// An instance that is not on the list yet asks its peers like any instance that doesn't poll.
	return false
}

// regionRoots returns the root of each region's tree.
func (t *pushTree) regionRoots() []wigeonshift.Instance {
	var roots []wigeonshift.Instance
	for _, ranked := range t.rankedByRegion {
		roots = append(roots, ranked[0])
	}
	return roots
}

// children returns the instances that an instance pushes to.
func (t *pushTree) children(i wigeonshift.Instance) []wigeonshift.Instance {
	index, ok := t.indexInRegion[i.ID]
	if !ok {
		return nil
	}
	ranked := t.rankedByRegion[i.Region]
	first := min(index*t.fanOut+1, len(ranked))
	return ranked[first:min(first+t.fanOut, len(ranked))]
}

// parent returns the instance that this one asks for changes: its parent in the tree, for a root the root of another
// region, and for an instance that is not on the list yet the root of its region.
func (t *pushTree) parent() (wigeonshift.Instance, bool) {
	index, ok := t.indexInRegion[t.self.ID]
	ranked := t.rankedByRegion[t.self.Region]
	switch {
	case !ok && len(ranked) > 0:
		return ranked[0], true
	case ok && index > 0:
		return ranked[(index-1)/t.fanOut], true
	}
	for _, r := range t.regionRoots() {
		if r.ID != t.self.ID {
			return r, true
		}
	}
	return wigeonshift.Instance{}, false
}
