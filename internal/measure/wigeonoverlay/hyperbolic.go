// Package wigeonoverlay compares ways for one instance to reach another: greedy routing over hyperbolic coordinates
// (Tiendrebeogo, Ahmat and Magoni, "Reliable and Scalable Distributed Hash Tables Harnessing Hyperbolic Coordinates",
// NTMS 2012), direct sessions from an owner directory, and a tree ranked by rendezvous hashing.
package wigeonoverlay

import (
	"math"
	"math/cmplx"
	"math/rand/v2"
)

// noNode marks a missing parent or next hop.
const noNode = -1

// JoinRule tells to which node of the addressing tree a new node attaches.
type JoinRule string

// Rules of joining.
const (
	// JoinRandom asks a random node and goes down its neighbours until one has a free address.
	JoinRandom JoinRule = "random"
	// JoinBalanced takes the free address nearest to the root.
	JoinBalanced JoinRule = "balanced"
)

// hyperbolicNode is one node of the addressing tree.
type hyperbolicNode struct {
	// at lies inside the unit disk.
	at       complex128
	parent   int
	children []int
	links    []int
	depth    int
	alive    bool
}

// Hyperbolic is an addressing tree of a degree with shortcut links.
type Hyperbolic struct {
	degree int
	nodes  []hyperbolicNode
}

// NewHyperbolic builds a tree of count nodes of a degree; each node opens a number of shortcut links to random nodes.
func NewHyperbolic(count, degree, shortcuts int, join JoinRule, random *rand.Rand) *Hyperbolic {
	h := &Hyperbolic{degree: degree, nodes: make([]hyperbolicNode, 0, count)}
	h.nodes = append(h.nodes, hyperbolicNode{parent: noNode, alive: true})
	next := 0
	for len(h.nodes) < count {
		parent := next
		if join == JoinRandom {
			parent = h.freeBelow(random.IntN(len(h.nodes)), random)
		} else if !h.hasFree(next) {
			next++
			continue
		}
		h.attach(parent)
	}
	for i := range h.nodes {
		for range shortcuts {
			h.link(i, random.IntN(count))
		}
	}
	return h
}

// hasFree tells whether a node can give an address to another child.
func (h *Hyperbolic) hasFree(i int) bool {
	return len(h.nodes[i].children) < h.capacity(i)
}

// capacity returns the number of children a node may have.
func (h *Hyperbolic) capacity(i int) int {
	if h.nodes[i].parent == noNode {
		return h.degree
	}
	return h.degree - 1
}

// freeBelow walks down from a node until one has a free address.
func (h *Hyperbolic) freeBelow(i int, random *rand.Rand) int {
	for !h.hasFree(i) {
		i = h.nodes[i].children[random.IntN(len(h.nodes[i].children))]
	}
	return i
}

// attach adds a child with the next free address of a parent.
func (h *Hyperbolic) attach(parent int) {
	p := &h.nodes[parent]
	id := len(h.nodes)
	slot := len(p.children)
	p.children = append(p.children, id)
	h.nodes = append(h.nodes, hyperbolicNode{
		at:     h.childAt(parent, slot),
		parent: parent,
		depth:  h.nodes[parent].depth + 1,
		alive:  true,
	})
}

// childAt returns the coordinate of a node's child. Neighbours lie at twice the inradius of an ideal polygon, so that
// the perpendicular bisectors of a node's edges do not cross and greedy routing works on the unbroken tree.
func (h *Hyperbolic) childAt(parent, slot int) complex128 {
	p := h.nodes[parent]
	radius := math.Tanh(math.Acosh(1 / math.Sin(math.Pi/float64(h.degree))))
	angle := 2 * math.Pi * float64(slot) / float64(h.degree)
	if p.parent != noNode {
		up := (h.nodes[p.parent].at - p.at) / (1 - cmplx.Conj(p.at)*h.nodes[p.parent].at)
		angle = cmplx.Phase(up) + 2*math.Pi*float64(slot+1)/float64(h.degree)
	}
	local := cmplx.Rect(radius, angle)
	return (local + p.at) / (1 + cmplx.Conj(p.at)*local)
}

// link adds a shortcut in both directions.
func (h *Hyperbolic) link(a, b int) {
	if a == b {
		return
	}
	h.nodes[a].links = append(h.nodes[a].links, b)
	h.nodes[b].links = append(h.nodes[b].links, a)
}

// distance orders points by hyperbolic distance; the inverse hyperbolic cosine is monotonic and left out.
func distance(z, w complex128) float64 {
	d := real((z - w) * cmplx.Conj(z-w))
	return d / ((1 - real(z*cmplx.Conj(z))) * (1 - real(w*cmplx.Conj(w))))
}

// Route returns the number of hops of greedy routing, or false when the packet meets a local minimum.
func (h *Hyperbolic) Route(from, to int) (hops int, ok bool) {
	for from != to {
		next := h.nextHop(from, h.nodes[to].at)
		if next == noNode {
			return hops, false
		}
		from = next
		hops++
	}
	return hops, true
}

// nextHop returns the living neighbour nearest to the target if it is nearer than the node itself.
func (h *Hyperbolic) nextHop(from int, target complex128) int {
	n := h.nodes[from]
	best, next := distance(n.at, target), noNode
	consider := func(i int) {
		if i == noNode || !h.nodes[i].alive {
			return
		}
		if d := distance(h.nodes[i].at, target); d < best {
			best, next = d, i
		}
	}
	consider(n.parent)
	for _, i := range n.children {
		consider(i)
	}
	for _, i := range n.links {
		consider(i)
	}
	return next
}

// subtree returns the number of nodes below a node.
func (h *Hyperbolic) subtree(i int) int {
	count := 0
	for _, c := range h.nodes[i].children {
		count += 1 + h.subtree(c)
	}
	return count
}

// sessions returns the number of neighbours of a node.
func (h *Hyperbolic) sessions(i int) int {
	n := h.nodes[i]
	count := len(n.children) + len(n.links)
	if n.parent != noNode {
		count++
	}
	return count
}
