package wigeonspread_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonconfig"
	"wigeonshift/internal/models/wigeonstore"
	"wigeonshift/internal/services/wigeonspread"
	"wigeonshift/internal/standin/wigeonplatform"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
)

var suiteT *testing.T

func TestWigeonspread(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonspread")
}

// everywhere is the bound within which an accepted change is in force on every instance.
const everywhere = 12 * time.Second

// hub carries messages between the nodes of a test after a delay. A node is its own membership and network.
type hub struct {
	mu     sync.Mutex
	core   *wigeonplatform.Core
	nodes  map[string]*node
	live   []wigeonshift.Instance
	wake   chan struct{}
	random *rand.Rand
	// loss is the share of messages lost; cut tells whether two nodes are cut off from each other.
	loss float64
	cut  func(a, b string) bool
	// delay is the time a message takes.
	delay func(a, b string) time.Duration
	sent  int
}

func newHub() *hub {
	return &hub{
		core: wigeonplatform.NewCore(), nodes: map[string]*node{}, wake: make(chan struct{}),
		random: rand.New(rand.NewPCG(7, 7)), cut: func(string, string) bool { return false },
		delay: func(string, string) time.Duration { return 5 * time.Millisecond },
	}
}

// node is one instance under test.
type node struct {
	*wigeonspread.Spread
	hub     *hub
	self    wigeonshift.Instance
	handler wigeonshift.PeerHandler
	repo    *wigeonconfig.Repository
	// store is this node's own way to the platform, which a test can cut.
	store *cuttable
	dead  bool
}

// cuttable is a platform that a node can be cut off from.
type cuttable struct {
	*wigeonplatform.Core
	mu  sync.Mutex
	off bool
}

func (c *cuttable) cut(off bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.off = off
}

func (c *cuttable) Get(ctx context.Context, key string) (wigeonshift.Row, error) {
	c.mu.Lock()
	off := c.off
	c.mu.Unlock()
	if off {
		return wigeonshift.Row{}, wigeonshift.ErrUnavailable
	}
	return c.Core.Get(ctx, key)
}

func (n *node) Self() wigeonshift.Instance               { return n.self }
func (n *node) Subscribe(h wigeonshift.PeerHandler)      { n.handler = h }
func (n *node) SubscribeLost(func(wigeonshift.Instance)) {}

func (n *node) Send(ctx context.Context, to wigeonshift.Instance, m wigeonshift.PeerMessage) error {
	h := n.hub
	h.mu.Lock()
	target := h.nodes[to.ID]
	h.sent++
	lost := h.random.Float64() < h.loss
	broken := target == nil || target.dead || h.cut(n.self.ID, to.ID)
	delay := h.delay(n.self.ID, to.ID)
	h.mu.Unlock()
	if broken {
		<-ctx.Done()
		return wigeonshift.ErrPeerUnreachable
	}
	if !lost {
		time.AfterFunc(delay, func() { target.handler(n.self, m) })
	}
	return nil
}

func (n *node) Live() []wigeonshift.Instance {
	n.hub.mu.Lock()
	defer n.hub.mu.Unlock()
	return n.hub.live
}

func (n *node) Changed() <-chan struct{} {
	n.hub.mu.Lock()
	defer n.hub.mu.Unlock()
	return n.hub.wake
}

// members is a node as wigeonshift.Membership; Spread has a method Changed of its own.
type members struct{ n *node }

func (m members) Live() []wigeonshift.Instance { return m.n.Live() }
func (m members) Changed() <-chan struct{}     { return m.n.Changed() }

// add starts a node and shows it on every node's list.
func (h *hub) add(index int) *node {
	n := &node{hub: h, store: &cuttable{Core: h.core}, self: wigeonshift.Instance{
		ID: fmt.Sprintf("i%04d", index), Region: fmt.Sprintf("r%d", index%3), Zone: fmt.Sprintf("z%d", index%6),
	}}
	guard := wigeonstore.New(n.store)
	n.repo = wigeonconfig.NewRepository(guard, guard)
	log := logrus.New()
	log.SetOutput(GinkgoWriter)
	log.SetLevel(logrus.ErrorLevel)
	n.Spread = wigeonspread.New(n.repo, n, members{n}, wigeonspread.WithLogger(log))
	h.mu.Lock()
	h.nodes[n.self.ID] = n
	h.live = append(h.live[:len(h.live):len(h.live)], n.self)
	close(h.wake)
	h.wake = make(chan struct{})
	h.mu.Unlock()
	return n
}

// start runs nodes until the end of the test.
func (h *hub) start(t *testing.T, count int) []*node {
	nodes := make([]*node, count)
	for i := range nodes {
		nodes[i] = h.add(i)
	}
	for _, n := range nodes {
		_ = n.Start(t.Context())
		t.Cleanup(func() { _ = n.Stop(context.Background()) })
	}
	return nodes
}

// accept submits a patch at a node and waits until it is in force there.
func accept(g *WithT, n *node, base uint64) {
	document := fmt.Sprintf(`{"products":{"p%d":{"tiers":{"t":{"rank":0,"defaultDeadlineMs":1}}}}}`, base)
	ch, c, err := n.repo.Submit(context.Background(), wigeonconfig.Patch{ID: fmt.Sprint("p", base), Base: base, Document: []byte(document)})
	g.Expect(err).NotTo(HaveOccurred())
	n.Accept(ch, c)
}

func version(n *node) uint64 {
	if c := n.Current(); c != nil {
		return c.Version
	}
	return 0
}

// lowest returns the lowest version in force.
func lowest(nodes []*node) uint64 {
	low := version(nodes[0])
	for _, n := range nodes {
		low = min(low, version(n))
	}
	return low
}

// within returns how long it took until all nodes had a version in force.
func within(g *WithT, nodes []*node, wanted uint64) time.Duration {
	start := time.Now()
	seen := map[*node]uint64{}
	for lowest(nodes) < wanted && time.Since(start) <= everywhere {
		time.Sleep(50 * time.Millisecond)
		for _, n := range nodes {
			g.Expect(version(n)).To(BeNumerically(">=", seen[n]), "a version fell")
			seen[n] = version(n)
		}
	}
	g.Expect(lowest(nodes)).To(BeNumerically(">=", wanted), "not in force everywhere")
	return time.Since(start)
}

func bubble(test func(t *testing.T, g *WithT, h *hub)) {
	synctest.Test(suiteT, func(t *testing.T) { test(t, NewWithT(t), newHub()) })
}

var _ = Describe("Spread", func() {
	It("brings a change into force everywhere, past a dead head of a region and a dead relay", func() {
		bubble(func(t *testing.T, g *WithT, h *hub) {
			nodes := h.start(t, 60)
			within(g, nodes, 0)
			time.Sleep(time.Second)
			accept(g, nodes[5], 0)
			g.Expect(within(g, nodes, 1)).To(BeNumerically("<=", time.Second))

			ranked := wigeonshift.RankCandidates("configuration/tree", h.live)
			dead := map[string]bool{ranked[0].ID: true}
			for _, i := range ranked[1:] {
				if i.Region == ranked[0].Region {
					dead[i.ID] = true
					break
				}
			}
			var alive []*node
			h.mu.Lock()
			for _, n := range nodes {
				n.dead = dead[n.self.ID]
				if !n.dead {
					alive = append(alive, n)
				}
			}
			h.mu.Unlock()
			accept(g, alive[7], 1)
			within(g, alive, 2)
		})
	})

	It("makes up for lost messages", func() {
		bubble(func(t *testing.T, g *WithT, h *hub) {
			nodes := h.start(t, 60)
			time.Sleep(time.Second)
			h.mu.Lock()
			h.loss = 0.5
			h.mu.Unlock()
			for v := range uint64(5) {
				accept(g, nodes[v], v)
				within(g, nodes, v+1)
			}
		})
	})

	It("reaches a node that is cut off from all peers, or from the platform", func() {
		bubble(func(t *testing.T, g *WithT, h *hub) {
			nodes := h.start(t, 9)
			time.Sleep(time.Second)
			nodes[1].store.cut(true)
			h.mu.Lock()
			h.cut = func(a, b string) bool { return a == nodes[2].self.ID || b == nodes[2].self.ID }
			h.mu.Unlock()
			time.Sleep(time.Minute)
			accept(g, nodes[0], 0)
			within(g, nodes, 1)
			time.Sleep(5 * time.Minute)
			for _, n := range nodes {
				g.Expect(n.Ready()).To(BeTrue())
			}
		})
	})

	It("reaches everyone by the platform alone when no instance can reach another", func() {
		bubble(func(t *testing.T, g *WithT, h *hub) {
			nodes := h.start(t, 60)
			time.Sleep(time.Second)
			h.mu.Lock()
			h.cut = func(string, string) bool { return true }
			h.mu.Unlock()
			time.Sleep(time.Minute)
			accept(g, nodes[0], 0)
			within(g, nodes, 1)
		})
	})

	It("spreads a patch whose acceptor died before it told anybody, though the store fails right after", func() {
		bubble(func(t *testing.T, g *WithT, h *hub) {
			nodes := h.start(t, 12)
			time.Sleep(time.Second)
			patch := wigeonconfig.Patch{ID: "p", Document: []byte(`{"products":{"p":{"tiers":{"t":{"rank":0,"defaultDeadlineMs":1}}}}}`)}
			_, _, err := nodes[3].repo.Submit(t.Context(), patch)
			g.Expect(err).NotTo(HaveOccurred())
			h.core.SetFaults(wigeonplatform.Faults{Outage: true})
			h.mu.Lock()
			nodes[3].dead = true
			h.mu.Unlock()
			g.Expect(nodes[3].Stop(t.Context())).To(Succeed())
			time.Sleep(10 * time.Minute)
			h.core.SetFaults(wigeonplatform.Faults{})
			within(g, append(nodes[:3:3], nodes[4:]...), 1)
			g.Expect(nodes[3].Start(t.Context())).To(Succeed())
		})
	})

	It("never reverts to an older configuration that comes late", func() {
		bubble(func(t *testing.T, g *WithT, h *hub) {
			nodes := h.start(t, 3)
			time.Sleep(time.Second)
			accept(g, nodes[0], 0)
			old := nodes[0].Current()
			accept(g, nodes[1], 1)
			within(g, nodes, 2)
			nodes[0].Accept(wigeonshift.Change{Version: 1}, old)
			for range 100 {
				time.Sleep(time.Millisecond)
				g.Expect(version(nodes[0])).To(BeEquivalentTo(2))
			}
		})
	})

	It("keeps every node serving through a store outage, and lets one start with the peers' version", func() {
		bubble(func(t *testing.T, g *WithT, h *hub) {
			nodes := h.start(t, 9)
			time.Sleep(time.Second)
			accept(g, nodes[0], 0)
			within(g, nodes, 1)
			h.core.SetFaults(wigeonplatform.Faults{Outage: true})
			time.Sleep(10 * time.Minute)
			late := h.add(9)
			g.Expect(late.Start(t.Context())).To(Succeed())
			defer func() { _ = late.Stop(context.Background()) }()
			g.Expect(late.Ready()).To(BeFalse(), "no version yet")
			within(g, append(nodes, late), 1)
			time.Sleep(3 * time.Second)
			for _, n := range append(nodes, late) {
				g.Expect(n.Ready()).To(BeTrue())
			}
			h.core.SetFaults(wigeonplatform.Faults{})
			time.Sleep(5 * time.Second)
			accept(g, nodes[3], 1)
			within(g, append(nodes, late), 2)
		})
	})

	It("takes a node out that can ask neither platform nor peers, and keeps its version", func() {
		bubble(func(t *testing.T, g *WithT, h *hub) {
			nodes := h.start(t, 9)
			time.Sleep(time.Second)
			accept(g, nodes[0], 0)
			within(g, nodes, 1)
			lone := nodes[4]
			h.mu.Lock()
			h.cut = func(a, b string) bool { return a == lone.self.ID || b == lone.self.ID }
			h.mu.Unlock()
			lone.store.cut(true)
			time.Sleep(everywhere + 5*time.Second)
			g.Expect(lone.Confirmed()).To(BeFalse())
			g.Expect(lone.Ready()).To(BeFalse())
			g.Expect(version(lone)).To(BeEquivalentTo(1))
			accept(g, nodes[0], 1)
			time.Sleep(time.Minute)
			g.Expect(version(lone)).To(BeEquivalentTo(1))
			h.mu.Lock()
			h.cut = func(string, string) bool { return false }
			h.mu.Unlock()
			within(g, nodes, 2)
			g.Expect(lone.Ready()).To(BeTrue())
		})
	})

	It("never starts ready on a version older than the peers' newest while the store is down", func() {
		bubble(func(t *testing.T, g *WithT, h *hub) {
			nodes := h.start(t, 3)
			time.Sleep(time.Second)
			accept(g, nodes[0], 0)
			within(g, nodes, 1)
			behind := nodes[2]
			behind.store.cut(true)
			h.mu.Lock()
			h.cut = func(a, b string) bool {
				return (a == behind.self.ID) != (b == behind.self.ID) && a != "i0009" && b != "i0009"
			}
			h.mu.Unlock()
			accept(g, nodes[0], 1)
			within(g, nodes[:2], 2)
			h.mu.Lock()
			h.delay = func(a, b string) time.Duration {
				if a == behind.self.ID || b == behind.self.ID {
					return time.Millisecond
				}
				return 300 * time.Millisecond
			}
			h.mu.Unlock()
			h.core.SetFaults(wigeonplatform.Faults{Outage: true})
			late := h.add(9)
			g.Expect(late.Start(t.Context())).To(Succeed())
			defer func() { _ = late.Stop(context.Background()) }()
			for start := time.Now(); !late.Ready() && time.Since(start) < everywhere; {
				time.Sleep(10 * time.Millisecond)
			}
			g.Expect(late.Ready()).To(BeTrue())
			g.Expect(version(late)).To(BeEquivalentTo(2))
		})
	})

	It("shows the version of each instance", func() {
		bubble(func(t *testing.T, g *WithT, h *hub) {
			nodes := h.start(t, 9)
			time.Sleep(time.Second)
			accept(g, nodes[0], 0)
			within(g, nodes, 1)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			list := nodes[0].Survey(ctx)
			g.Expect(list).To(HaveLen(9))
			for _, v := range list {
				g.Expect(v).To(And(HaveField("Version", BeEquivalentTo(1)), HaveField("Lag", BeZero())))
			}
		})
	})
})
