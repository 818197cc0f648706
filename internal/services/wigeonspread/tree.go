package wigeonspread

import (
	"wigeonshift"
)

// Keys of the rendezvous orders.
const (
	treeKey = "configuration/tree"
	pollKey = "configuration/poll"
)

// tree is the order in which pushes travel, as one instance sees it: in each region the instances form a heap in
// rendezvous order, whose first is the region's head. Messages cross regions only on their way to the heads.
type tree struct {
	self wigeonshift.Instance
	// regions holds the ranked instances of each region.
	regions map[string][]wigeonshift.Instance
	// position is each instance's index in its region.
	position map[string]int
	// others holds the members without this instance.
	others []wigeonshift.Instance
	fanOut int
	// polls is set when this instance polls the platform.
	polls bool
}

func newTree(self wigeonshift.Instance, live []wigeonshift.Instance, s Settings) *tree {
	t := &tree{self: self, regions: map[string][]wigeonshift.Instance{}, position: map[string]int{}, fanOut: s.FanOut}
	for _, i := range wigeonshift.RankCandidates(treeKey, live) {
		t.position[i.ID] = len(t.regions[i.Region])
		t.regions[i.Region] = append(t.regions[i.Region], i)
		if i.ID != self.ID {
			t.others = append(t.others, i)
		}
	}
	t.polls = polls(self, live, s.PollersPerZone)
	return t
}

// polls reports whether an instance is among the first of its zone.
func polls(self wigeonshift.Instance, live []wigeonshift.Instance, perZone int) bool {
	before := 0
	for _, i := range wigeonshift.RankCandidates(pollKey, live) {
		if i.ID == self.ID {
			return before < perZone
		}
		if i.Zone == self.Zone {
			before++
		}
	}
	// An instance that the list doesn't show yet asks its peers like any other.
	return false
}

// heads returns the first instance of each region.
func (t *tree) heads() []wigeonshift.Instance {
	var heads []wigeonshift.Instance
	for _, ranked := range t.regions {
		heads = append(heads, ranked[0])
	}
	return heads
}

// children returns the instances that an instance pushes to.
func (t *tree) children(i wigeonshift.Instance) []wigeonshift.Instance {
	position, ok := t.position[i.ID]
	if !ok {
		return nil
	}
	ranked := t.regions[i.Region]
	first := min(position*t.fanOut+1, len(ranked))
	return ranked[first:min(first+t.fanOut, len(ranked))]
}

// parent returns the instance that this one asks: the one above it in the heap, for a head the head of another
// region, and for an instance that the list doesn't show yet the head of its region.
func (t *tree) parent() (wigeonshift.Instance, bool) {
	position, ok := t.position[t.self.ID]
	ranked := t.regions[t.self.Region]
	switch {
	case !ok && len(ranked) > 0:
		return ranked[0], true
	case ok && position > 0:
		return ranked[(position-1)/t.fanOut], true
	}
	for _, h := range t.heads() {
		if h.ID != t.self.ID {
			return h, true
		}
	}
	return wigeonshift.Instance{}, false
}
