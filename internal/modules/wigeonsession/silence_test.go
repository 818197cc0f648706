package wigeonsession_test

import (
	"fmt"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// frameInterval is the time between two messages of a steady sender, maxFrameSilence the longest time without one.
	frameInterval   = 500 * time.Millisecond
	maxFrameSilence = 1300 * time.Millisecond
	// replaceTime is the time after which messages must arrive again.
	replaceTime = 2 * time.Second
)

// sendSteadily sends messages between all nodes for some time.
func sendSteadily(g *WithT, nodes []*node, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(frameInterval) {
		for _, from := range nodes {
			for _, to := range nodes {
				g.Expect(from.Send(ctx, to.Self(), configurationHave(1))).To(Succeed())
			}
		}
	}
}

// Guards against versions that come late because sessions that have fallen silent are kept for several heartbeat periods.
var _ = Describe("Sessions of which frames are expected", func() {
	It("are replaced soon after all connections fell silent, and no peer is reported as lost", func() {
		for _, count := range []int{2, 3, 9} {
			runInBubble(func(g *WithT) {
				w := newMemoryNetwork()
				var nodes []*node
				var peers []wigeonshift.Instance
				for i := range count {
					nodes = append(nodes, startNode(g, w, fmt.Sprint("n", i)))
					peers = append(peers, nodes[i].Self())
				}
				for _, n := range nodes {
					n.ExpectFrames(peers, maxFrameSilence)
				}
				sendSteadily(g, nodes, 5*time.Second)
				for range 3 {
					w.blackhole()
					sendSteadily(g, nodes, replaceTime)
					before := make([]int, count)
					for i, n := range nodes {
						before[i] = len(n.messages())
					}
					sendSteadily(g, nodes, 2*time.Second)
					for i, n := range nodes {
						// Each node sends 4 messages to each other one, and to itself.
						g.Expect(len(n.messages())-before[i]).To(BeNumerically(">=", 3*count), n.Self().ID)
					}
					sendSteadily(g, nodes, 12*time.Second)
				}
				for _, n := range nodes {
					g.Expect(n.lostInstances()).To(BeEmpty())
					g.Expect(n.Stop(ctx)).To(Succeed())
				}
			})
		}
	})

	It("are not replaced while frames arrive", func() {
		runInBubble(func(g *WithT) {
			w := newMemoryNetwork()
			nodes := []*node{startNode(g, w, "a"), startNode(g, w, "b")}
			for _, n := range nodes {
				n.ExpectFrames([]wigeonshift.Instance{instance("a"), instance("b")}, maxFrameSilence)
			}
			sendSteadily(g, nodes, 5*time.Second)
			dials := w.dials.Load()
			sendSteadily(g, nodes, time.Minute)
			g.Expect(w.dials.Load()).To(Equal(dials))
			for _, n := range nodes {
				g.Expect(n.Stop(ctx)).To(Succeed())
			}
		})
	})

	It("are dialled ever more rarely while a peer sends nothing, and stay open", func() {
		runInBubble(func(g *WithT) {
			w := newMemoryNetwork()
			a, b := startNode(g, w, "a"), startNode(g, w, "b")
			// The peer sends heartbeats only, one a second.
			a.ExpectFrames([]wigeonshift.Instance{instance("b")}, frameInterval)
			for range 60 {
				g.Expect(a.Send(ctx, b.Self(), configurationHave(1))).To(Succeed())
				time.Sleep(time.Second)
			}
			g.Expect(w.dials.Load()).To(And(BeNumerically(">=", 5), BeNumerically("<=", 12)))
			g.Expect(b.messages()).To(HaveLen(60))
			g.Expect(a.lostInstances()).To(BeEmpty())
			g.Expect(a.Stop(ctx)).To(Succeed())
			g.Expect(b.Stop(ctx)).To(Succeed())
		})
	})
})
