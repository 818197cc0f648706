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

// maxSpreadTime is the longest time until an accepted change is active on all instances.
const maxSpreadTime = 12 * time.Second

// testNetwork delivers messages between the nodes of a test after a delay. Each node implements its own membership and
// network.
type testNetwork struct {
	mu       sync.Mutex
	platform *wigeonplatform.Core
	nodes    map[string]*node
	live     []wigeonshift.Instance
	changed  chan struct{}
	rng      *rand.Rand
	// lossRatio is the fraction of messages that are lost; isPartitioned reports whether two nodes can't reach each other.
	lossRatio     float64
	isPartitioned func(a, b string) bool
	// messageDelay returns the delay of a message from a to b.
	messageDelay func(a, b string) time.Duration
	sentCount    int
}

func newTestNetwork() *testNetwork {
	return &testNetwork{
		platform: wigeonplatform.NewCore(), nodes: map[string]*node{}, changed: make(chan struct{}),
		rng: rand.New(rand.NewPCG(7, 7)), isPartitioned: func(string, string) bool { return false },
		messageDelay: func(string, string) time.Duration { return 5 * time.Millisecond },
	}
}

// node is one instance under test.
type node struct {
	*wigeonspread.Spread
	network *testNetwork
	self    wigeonshift.Instance
	handler wigeonshift.PeerHandler
	repo    *wigeonconfig.Repository
	// store is this node's own connection to the platform, which a test can interrupt.
	store *disconnectableStore
	dead  bool
}

// disconnectableStore is a platform whose rows can't be read while it is disconnected.
type disconnectableStore struct {
	*wigeonplatform.Core
	mu           sync.Mutex
	disconnected bool
}

func (c *disconnectableStore) setDisconnected(disconnected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected = disconnected
}

func (c *disconnectableStore) Get(ctx context.Context, key string) (wigeonshift.Row, error) {
	c.mu.Lock()
	disconnected := c.disconnected
	c.mu.Unlock()
	if disconnected {
		return wigeonshift.Row{}, wigeonshift.ErrUnavailable
	}
	return c.Core.Get(ctx, key)
}

func (n *node) Self() wigeonshift.Instance                   { return n.self }
func (n *node) Subscribe(h wigeonshift.PeerHandler)          { n.handler = h }
func (n *node) SubscribePeerLost(func(wigeonshift.Instance)) {}

func (n *node) Send(ctx context.Context, to wigeonshift.Instance, m wigeonshift.PeerMessage) error {
	tn := n.network
	tn.mu.Lock()
	target := tn.nodes[to.ID]
	tn.sentCount++
	lost := tn.rng.Float64() < tn.lossRatio
	unreachable := target == nil || target.dead || tn.isPartitioned(n.self.ID, to.ID)
	delay := tn.messageDelay(n.self.ID, to.ID)
	tn.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return wigeonshift.ErrPeerUnreachable
	}
	if !lost {
		time.AfterFunc(delay, func() { target.handler(n.self, m) })
	}
	return nil
}

func (n *node) Live() []wigeonshift.Instance {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	return n.network.live
}

func (n *node) Changed() <-chan struct{} {
	n.network.mu.Lock()
	defer n.network.mu.Unlock()
	return n.network.changed
}

// nodeMembership adapts a node to wigeonshift.Membership, since node's embedded Spread also has a method Changed.
type nodeMembership struct{ n *node }

func (m nodeMembership) Live() []wigeonshift.Instance { return m.n.Live() }
func (m nodeMembership) Changed() <-chan struct{}     { return m.n.Changed() }

// add creates a node and adds it to the instance list.
func (tn *testNetwork) add(index int) *node {
	n := &node{network: tn, store: &disconnectableStore{Core: tn.platform}, self: wigeonshift.Instance{
		ID: fmt.Sprintf("i%04d", index), Region: fmt.Sprintf("r%d", index%3), Zone: fmt.Sprintf("z%d", index%6),
	}}
	store := wigeonstore.New(n.store)
	n.repo = wigeonconfig.NewRepository(store, store)
	log := logrus.New()
	log.SetOutput(GinkgoWriter)
	log.SetLevel(logrus.ErrorLevel)
	n.Spread = wigeonspread.New(n.repo, n, nodeMembership{n}, wigeonspread.WithLogger(log))
	tn.mu.Lock()
	tn.nodes[n.self.ID] = n
	tn.live = append(tn.live[:len(tn.live):len(tn.live)], n.self)
	close(tn.changed)
	tn.changed = make(chan struct{})
	tn.mu.Unlock()
	return n
}

// start starts count nodes, which run until the end of the test.
func (tn *testNetwork) start(t *testing.T, count int) []*node {
	nodes := make([]*node, count)
	for i := range nodes {
		nodes[i] = tn.add(i)
	}
	for _, n := range nodes {
		_ = n.Start(t.Context())
		t.Cleanup(func() { _ = n.Stop(context.Background()) })
	}
	return nodes
}

// submitPatch stores a patch on the platform through a node, which then activates and pushes it.
func submitPatch(g *WithT, n *node, base uint64) {
	document := fmt.Sprintf(`{"products":{"p%d":{"tiers":{"t":{"rank":0,"defaultDeadlineMs":1}}}}}`, base)
	ch, c, err := n.repo.Submit(context.Background(), wigeonconfig.Patch{ID: fmt.Sprint("p", base), Base: base, Document: []byte(document)})
	g.Expect(err).NotTo(HaveOccurred())
	n.ActivateWritten(ch, c)
}

func activeVersion(n *node) uint64 {
	if c := n.Current(); c != nil {
		return c.Version
	}
	return 0
}

// lowestVersion returns the lowest active version among the nodes.
func lowestVersion(nodes []*node) uint64 {
	lowest := activeVersion(nodes[0])
	for _, n := range nodes {
		lowest = min(lowest, activeVersion(n))
	}
	return lowest
}

// waitForVersion waits until a version is active on all nodes, and returns how long that took.
func waitForVersion(g *WithT, nodes []*node, wanted uint64) time.Duration {
	start := time.Now()
	seen := map[*node]uint64{}
	for lowestVersion(nodes) < wanted && time.Since(start) <= maxSpreadTime {
		time.Sleep(50 * time.Millisecond)
		for _, n := range nodes {
			g.Expect(activeVersion(n)).To(BeNumerically(">=", seen[n]), "a node's version decreased")
			seen[n] = activeVersion(n)
		}
	}
	g.Expect(lowestVersion(nodes)).To(BeNumerically(">=", wanted), "version is not active on all nodes")
	return time.Since(start)
}

// runInBubble runs a test with a new network in a synctest bubble.
func runInBubble(test func(t *testing.T, g *WithT, tn *testNetwork)) {
	synctest.Test(suiteT, func(t *testing.T) { test(t, NewWithT(t), newTestNetwork()) })
}

var _ = Describe("Spread", func() {
	It("activates a change on all nodes although the root of a region and one of its children are dead", func() {
		runInBubble(func(t *testing.T, g *WithT, tn *testNetwork) {
			nodes := tn.start(t, 60)
			waitForVersion(g, nodes, 0)
			time.Sleep(time.Second)
			submitPatch(g, nodes[5], 0)
			g.Expect(waitForVersion(g, nodes, 1)).To(BeNumerically("<=", time.Second))

			ranked := wigeonshift.RankCandidates("configuration/tree", tn.live)
			dead := map[string]bool{ranked[0].ID: true}
			for _, i := range ranked[1:] {
				if i.Region == ranked[0].Region {
					dead[i.ID] = true
					break
				}
			}
			var alive []*node
			tn.mu.Lock()
			for _, n := range nodes {
				n.dead = dead[n.self.ID]
				if !n.dead {
					alive = append(alive, n)
				}
			}
			tn.mu.Unlock()
			submitPatch(g, alive[7], 1)
			waitForVersion(g, alive, 2)
		})
	})

	It("compensates for lost messages", func() {
		runInBubble(func(t *testing.T, g *WithT, tn *testNetwork) {
			nodes := tn.start(t, 60)
			time.Sleep(time.Second)
			tn.mu.Lock()
			tn.lossRatio = 0.5
			tn.mu.Unlock()
			for v := range uint64(5) {
				submitPatch(g, nodes[v], v)
				waitForVersion(g, nodes, v+1)
			}
		})
	})

	It("reaches a node that is cut off from all peers or from the platform", func() {
		runInBubble(func(t *testing.T, g *WithT, tn *testNetwork) {
			nodes := tn.start(t, 9)
			time.Sleep(time.Second)
			nodes[1].store.setDisconnected(true)
			tn.mu.Lock()
			tn.isPartitioned = func(a, b string) bool { return a == nodes[2].self.ID || b == nodes[2].self.ID }
			tn.mu.Unlock()
			time.Sleep(time.Minute)
			submitPatch(g, nodes[0], 0)
			waitForVersion(g, nodes, 1)
			time.Sleep(5 * time.Minute)
			for _, n := range nodes {
				g.Expect(n.Ready()).To(BeTrue())
			}
		})
	})

	It("reaches all nodes through the platform if no node can reach another", func() {
		runInBubble(func(t *testing.T, g *WithT, tn *testNetwork) {
			nodes := tn.start(t, 60)
			time.Sleep(time.Second)
			tn.mu.Lock()
			tn.isPartitioned = func(string, string) bool { return true }
			tn.mu.Unlock()
			time.Sleep(time.Minute)
			submitPatch(g, nodes[0], 0)
			waitForVersion(g, nodes, 1)
		})
	})

	It("distributes a patch whose node died before pushing it, although the store fails immediately afterwards", func() {
		runInBubble(func(t *testing.T, g *WithT, tn *testNetwork) {
			nodes := tn.start(t, 12)
			time.Sleep(time.Second)
			patch := wigeonconfig.Patch{ID: "p", Document: []byte(`{"products":{"p":{"tiers":{"t":{"rank":0,"defaultDeadlineMs":1}}}}}`)}
			_, _, err := nodes[3].repo.Submit(t.Context(), patch)
			g.Expect(err).NotTo(HaveOccurred())
			tn.platform.SetFaults(wigeonplatform.Faults{Outage: true})
			tn.mu.Lock()
			nodes[3].dead = true
			tn.mu.Unlock()
			g.Expect(nodes[3].Stop(t.Context())).To(Succeed())
			time.Sleep(10 * time.Minute)
			tn.platform.SetFaults(wigeonplatform.Faults{})
			waitForVersion(g, append(nodes[:3:3], nodes[4:]...), 1)
			g.Expect(nodes[3].Start(t.Context())).To(Succeed())
		})
	})

	It("never reverts to an older configuration that arrives late", func() {
		runInBubble(func(t *testing.T, g *WithT, tn *testNetwork) {
			nodes := tn.start(t, 3)
			time.Sleep(time.Second)
			submitPatch(g, nodes[0], 0)
			old := nodes[0].Current()
			submitPatch(g, nodes[1], 1)
			waitForVersion(g, nodes, 2)
			nodes[0].ActivateWritten(wigeonshift.Change{Version: 1}, old)
			for range 100 {
				time.Sleep(time.Millisecond)
				g.Expect(activeVersion(nodes[0])).To(BeEquivalentTo(2))
			}
		})
	})

	It("keeps all nodes ready during a store outage, and starts a new node with its peers' version", func() {
		runInBubble(func(t *testing.T, g *WithT, tn *testNetwork) {
			nodes := tn.start(t, 9)
			time.Sleep(time.Second)
			submitPatch(g, nodes[0], 0)
			waitForVersion(g, nodes, 1)
			tn.platform.SetFaults(wigeonplatform.Faults{Outage: true})
			time.Sleep(10 * time.Minute)
			late := tn.add(9)
			g.Expect(late.Start(t.Context())).To(Succeed())
			defer func() { _ = late.Stop(context.Background()) }()
			g.Expect(late.Ready()).To(BeFalse(), "no version yet")
			waitForVersion(g, append(nodes, late), 1)
			time.Sleep(3 * time.Second)
			for _, n := range append(nodes, late) {
				g.Expect(n.Ready()).To(BeTrue())
			}
			tn.platform.SetFaults(wigeonplatform.Faults{})
			time.Sleep(5 * time.Second)
			submitPatch(g, nodes[3], 1)
			waitForVersion(g, append(nodes, late), 2)
		})
	})

	It("makes a node unready that can reach neither the platform nor its peers, and keeps its version", func() {
		runInBubble(func(t *testing.T, g *WithT, tn *testNetwork) {
			nodes := tn.start(t, 9)
			time.Sleep(time.Second)
			submitPatch(g, nodes[0], 0)
			waitForVersion(g, nodes, 1)
			isolated := nodes[4]
			tn.mu.Lock()
			tn.isPartitioned = func(a, b string) bool { return a == isolated.self.ID || b == isolated.self.ID }
			tn.mu.Unlock()
			isolated.store.setDisconnected(true)
			time.Sleep(maxSpreadTime + 5*time.Second)
			g.Expect(isolated.Confirmed()).To(BeFalse())
			g.Expect(isolated.Ready()).To(BeFalse())
			g.Expect(activeVersion(isolated)).To(BeEquivalentTo(1))
			submitPatch(g, nodes[0], 1)
			time.Sleep(time.Minute)
			g.Expect(activeVersion(isolated)).To(BeEquivalentTo(1))
			tn.mu.Lock()
			tn.isPartitioned = func(string, string) bool { return false }
			tn.mu.Unlock()
			waitForVersion(g, nodes, 2)
			g.Expect(isolated.Ready()).To(BeTrue())
		})
	})

	It("never becomes ready at startup with an older version than its peers' newest while the store is down", func() {
		runInBubble(func(t *testing.T, g *WithT, tn *testNetwork) {
			nodes := tn.start(t, 3)
			time.Sleep(time.Second)
			submitPatch(g, nodes[0], 0)
			waitForVersion(g, nodes, 1)
			behind := nodes[2]
			behind.store.setDisconnected(true)
			tn.mu.Lock()
			tn.isPartitioned = func(a, b string) bool {
				return (a == behind.self.ID) != (b == behind.self.ID) && a != "i0009" && b != "i0009"
			}
			tn.mu.Unlock()
			submitPatch(g, nodes[0], 1)
			waitForVersion(g, nodes[:2], 2)
			tn.mu.Lock()
			tn.messageDelay = func(a, b string) time.Duration {
				if a == behind.self.ID || b == behind.self.ID {
					return time.Millisecond
				}
				return 300 * time.Millisecond
			}
			tn.mu.Unlock()
			tn.platform.SetFaults(wigeonplatform.Faults{Outage: true})
			late := tn.add(9)
			g.Expect(late.Start(t.Context())).To(Succeed())
			defer func() { _ = late.Stop(context.Background()) }()
			for start := time.Now(); !late.Ready() && time.Since(start) < maxSpreadTime; {
				time.Sleep(10 * time.Millisecond)
			}
			g.Expect(late.Ready()).To(BeTrue())
			g.Expect(activeVersion(late)).To(BeEquivalentTo(2))
		})
	})

	It("lists the version of each instance", func() {
		runInBubble(func(t *testing.T, g *WithT, tn *testNetwork) {
			nodes := tn.start(t, 9)
			time.Sleep(time.Second)
			submitPatch(g, nodes[0], 0)
			waitForVersion(g, nodes, 1)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			list := nodes[0].QueryVersions(ctx)
			g.Expect(list).To(HaveLen(9))
			for _, v := range list {
				g.Expect(v).To(And(HaveField("Version", BeEquivalentTo(1)), HaveField("Lag", BeZero())))
			}
		})
	})
})
