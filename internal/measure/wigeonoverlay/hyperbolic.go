// Package wigeonoverlay compares three ways for one instance to reach another: greedy routing over hyperbolic
// coordinates (Tiendrebeogo, Ahmat and Magoni, "Reliable and Scalable Distributed Hash Tables Harnessing Hyperbolic
// Coordinates", NTMS 2012), direct sessions to the owners in a directory, and a tree ranked by rendezvous hashing.
package wigeonoverlay

import (
	"math"
	"math/cmplx"
	"math/rand/v2"
)

// noNode marks a missing parent or next hop.
const noNode = -1

// JoinRule selects the node of the addressing tree to which a new node attaches.
type JoinRule string

// Join rules.
const (
	// JoinRandom starts at a random node and descends to random children until a node has a free address.
	JoinRandom JoinRule = "random"
	// JoinBalanced uses the free address nearest to the root.
	JoinBalanced JoinRule = "balanced"
)

// hyperbolicNode is one node of the addressing tree.
type hyperbolicNode struct {
	// coordinate lies inside the unit disk.
	coordinate complex128
	parent     int
	children   []int
	shortcuts  []int
	depth      int
	alive      bool
}

// Hyperbolic is an addressing tree whose nodes have at most degree tree neighbours, plus shortcut links.
type Hyperbolic struct {
	degree int
	nodes  []hyperbolicNode
}

// NewHyperbolic builds a tree of count nodes. Each node opens the given number of shortcut links to random nodes.
func NewHyperbolic(count, degree, shortcuts int, join JoinRule, random *rand.Rand) *Hyperbolic {
	h := &Hyperbolic{degree: degree, nodes: make([]hyperbolicNode, 0, count)}
	h.nodes = append(h.nodes, hyperbolicNode{parent: noNode, alive: true})
	firstFree := 0
	for len(h.nodes) < count {
		parent := firstFree
		if join == JoinRandom {
			parent = h.findFreeDescendant(random.IntN(len(h.nodes)), random)
		} else if !h.hasFreeAddress(firstFree) {
			firstFree++
			continue
		}
		h.attach(parent)
	}
	for i := range h.nodes {
		for range shortcuts {
			h.addShortcut(i, random.IntN(count))
		}
	}
	return h
}

// hasFreeAddress reports whether a node has an address left for another child.
func (h *Hyperbolic) hasFreeAddress(i int) bool {
	return len(h.nodes[i].children) < h.maxChildren(i)
}

// maxChildren returns the number of children that a node may have; the parent counts towards the degree.
func (h *Hyperbolic) maxChildren(i int) int {
	if h.nodes[i].parent == noNode {
		return h.degree
	}
	return h.degree - 1
}

// findFreeDescendant descends from a node to random children until a node has a free address.
func (h *Hyperbolic) findFreeDescendant(i int, random *rand.Rand) int {
	for !h.hasFreeAddress(i) {
		i = h.nodes[i].children[random.IntN(len(h.nodes[i].children))]
	}
	return i
}

// attach adds a node at the next free address of a parent.
func (h *Hyperbolic) attach(parent int) {
	p := &h.nodes[parent]
	id := len(h.nodes)
	slot := len(p.children)
	p.children = append(p.children, id)
	h.nodes = append(h.nodes, hyperbolicNode{
		coordinate: h.childCoordinate(parent, slot),
		parent:     parent,
		depth:      h.nodes[parent].depth + 1,
		alive:      true,
	})
}

// childCoordinate returns the coordinate of the child in a slot of a parent. The distance between neighbours is twice
// the inradius of an ideal polygon. The perpendicular bisectors of a node's edges therefore do not cross, and greedy
// routing always succeeds on a tree without failed nodes.
func (h *Hyperbolic) childCoordinate(parent, slot int) complex128 {
	p := h.nodes[parent]
	radius := math.Tanh(math.Acosh(1 / math.Sin(math.Pi/float64(h.degree))))
	angle := 2 * math.Pi * float64(slot) / float64(h.degree)
	if p.parent != noNode {
		parentDirection := (h.nodes[p.parent].coordinate - p.coordinate) / (1 - cmplx.Conj(p.coordinate)*h.nodes[p.parent].coordinate)
		angle = cmplx.Phase(parentDirection) + 2*math.Pi*float64(slot+1)/float64(h.degree)
	}
	relative := cmplx.Rect(radius, angle)
	return (relative + p.coordinate) / (1 + cmplx.Conj(p.coordinate)*relative)
}

// addShortcut adds a shortcut in both directions.
func (h *Hyperbolic) addShortcut(a, b int) {
	if a == b {
		return
	}
	h.nodes[a].shortcuts = append(h.nodes[a].shortcuts, b)
	h.nodes[b].shortcuts = append(h.nodes[b].shortcuts, a)
}

// distanceOrder returns a value that increases with the hyperbolic distance of two points. It omits the inverse
// hyperbolic cosine, which is monotonic.
func distanceOrder(z, w complex128) float64 {
	d := real((z - w) * cmplx.Conj(z-w))
	return d / ((1 - real(z*cmplx.Conj(z))) * (1 - real(w*cmplx.Conj(w))))
}

// Route returns the number of hops of greedy routing between two nodes. It returns false if the packet reaches a node
// with no neighbour nearer to the target (a local minimum).
func (h *Hyperbolic) Route(from, to int) (hops int, ok bool) {
	for from != to {
		next := h.nextHop(from, h.nodes[to].coordinate)
		if next == noNode {
			return hops, false
		}
		from = next
		hops++
	}
	return hops, true
}

// nextHop returns the alive neighbour nearest to the target, or noNode if none is nearer than the node itself.
func (h *Hyperbolic) nextHop(from int, target complex128) int {
	n := h.nodes[from]
	best, next := distanceOrder(n.coordinate, target), noNode
	consider := func(i int) {
		if i == noNode || !h.nodes[i].alive {
			return
		}
		if d := distanceOrder(h.nodes[i].coordinate, target); d < best {
			best, next = d, i
		}
	}
	consider(n.parent)
	for _, i := range n.children {
		consider(i)
	}
	for _, i := range n.shortcuts {
		consider(i)
	}
	return next
}

func (h *Hyperbolic) descendantCount(i int) int {
	count := 0
	for _, c := range h.nodes[i].children {
		count += 1 + h.descendantCount(c)
	}
	return count
}

// sessionCount returns the number of neighbours of a node; it keeps one session with each.
func (h *Hyperbolic) sessionCount(i int) int {
	n := h.nodes[i]
	count := len(n.children) + len(n.shortcuts)
	if n.parent != noNode {
		count++
	}
	return count
}
