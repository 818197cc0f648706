package wigeonsession_test

import (
	"context"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonsession"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

var suiteT *testing.T

func TestWigeonsession(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonsession")
}

var ctx = context.Background()

func configurationAsk(version uint64) wigeonshift.PeerMessage {
	return wigeonshift.ConfigurationAsk{Have: version}
}
func configurationHave(version uint64) wigeonshift.PeerMessage {
	return wigeonshift.ConfigurationHave{Version: version}
}

var _ = Describe("Sessions", func() {
	It("deliver messages in order, with one session opened on demand and none for local messages", func() {
		runInBubble(func(g *WithT) {
			w := newMemoryNetwork()
			a, b := startNode(g, w, "a"), startNode(g, w, "b")
			var sent []wigeonshift.PeerMessage
			for i := range uint64(200) {
				sent = append(sent, configurationHave(i))
				g.Expect(a.Send(ctx, b.Self(), configurationHave(i))).To(Succeed())
				g.Expect(a.Send(ctx, a.Self(), configurationHave(i))).To(Succeed())
			}
			time.Sleep(100 * time.Millisecond)
			g.Expect(b.messages()).To(Equal(sent))
			g.Expect(a.messages()).To(Equal(sent))
			g.Expect(b.Send(ctx, a.Self(), configurationHave(1))).To(Succeed())
			time.Sleep(100 * time.Millisecond)
			g.Expect(w.dials.Load()).To(BeEquivalentTo(1))
			g.Expect(a.Stop(ctx)).To(Succeed())
			synctest.Wait()
			g.Expect(b.lostInstances()).To(BeEmpty(), "a session that ends with a goodbye is not lost")
			g.Expect(b.Stop(ctx)).To(Succeed())
		})
	})

	It("deliver a broadcast to all others although one can't be reached", func() {
		runInBubble(func(g *WithT) {
			w := newMemoryNetwork()
			a, b, c := startNode(g, w, "a"), startNode(g, w, "b"), startNode(g, w, "c")
			gone := wigeonshift.Instance{ID: "gone", Address: "gone"}
			all := []wigeonshift.Instance{a.Self(), gone, b.Self(), c.Self()}
			g.Expect(a.Broadcast(ctx, nil, configurationHave(1))).To(Succeed())
			g.Expect(a.Broadcast(ctx, all, configurationHave(1))).To(Succeed())
			time.Sleep(50 * time.Millisecond)
			g.Expect(a.Broadcast(ctx, all, configurationHave(2))).To(MatchError(wigeonshift.ErrPeerUnreachable))
			time.Sleep(100 * time.Millisecond)
			g.Expect(a.messages()).To(BeEmpty())
			for _, n := range []*node{b, c} {
				g.Expect(n.messages()).To(Equal([]wigeonshift.PeerMessage{configurationHave(1), configurationHave(2)}))
			}
			for _, n := range []*node{a, b, c} {
				g.Expect(n.Stop(ctx)).To(Succeed())
			}
		})
	})

	It("do not report a peer that stopped as lost", func() {
		for range 100 {
			runInBubble(func(g *WithT) {
				w := newMemoryNetwork()
				a, b := startNode(g, w, "a"), startNode(g, w, "b")
				g.Expect(a.Send(ctx, b.Self(), configurationHave(1))).To(Succeed())
				time.Sleep(100 * time.Millisecond)
				g.Expect(a.Stop(ctx)).To(Succeed())
				synctest.Wait()
				g.Expect(b.lostInstances()).To(BeEmpty())
				g.Expect(b.Stop(ctx)).To(Succeed())
			})
		}
	})

	It("settle on one session after simultaneous dials", func() {
		for round := range 300 {
			runInBubble(func(g *WithT) {
				w := newMemoryNetwork()
				a, b := startNode(g, w, "a"), startNode(g, w, "b")
				g.Expect(a.Send(ctx, b.Self(), configurationHave(1))).To(Succeed())
				// Each round starts the second dial at a later stage of the first.
				for range round {
					runtime.Gosched()
				}
				g.Expect(b.Send(ctx, a.Self(), configurationHave(2))).To(Succeed())
				for i := range uint64(40) {
					time.Sleep(200 * time.Millisecond)
					g.Expect(a.Send(ctx, b.Self(), configurationHave(i))).To(Succeed())
					g.Expect(b.Send(ctx, a.Self(), configurationHave(i))).To(Succeed())
				}
				synctest.Wait()
				g.Expect(a.messages()).To(HaveLen(41))
				g.Expect(b.messages()).To(HaveLen(41))
				g.Expect(w.dials.Load()).To(BeNumerically("<=", 2))
				g.Expect(a.lostInstances()).To(BeEmpty())
				g.Expect(b.lostInstances()).To(BeEmpty())
				g.Expect(a.Stop(ctx)).To(Succeed())
				g.Expect(b.Stop(ctx)).To(Succeed())
			})
		}
	})

	It("are closed when the connection drops all data, and are replaced by new ones", func() {
		for _, withAsk := range []bool{true, false} {
			runInBubble(func(g *WithT) {
				w := newMemoryNetwork()
				a, b := startNode(g, w, "a"), startNode(g, w, "b")
				g.Expect(a.Send(ctx, b.Self(), configurationHave(1))).To(Succeed())
				time.Sleep(3 * time.Second)
				// Delivers the heartbeats that are due now; one that arrived after the message would count as its reply.
				synctest.Wait()
				w.blackhole()
				detectionTime := 5 * time.Second // The silence timeout of three 1 s periods plus the margin, and a tick.
				if withAsk {
					g.Expect(a.Send(ctx, b.Self(), configurationAsk(2))).To(Succeed())
					detectionTime = 3 * time.Second // The probe is sent after 1 s and times out after another second.
				}
				time.Sleep(detectionTime)
				synctest.Wait()
				g.Expect(a.lostInstances()).To(Equal([]string{"b"}))
				g.Expect(a.Send(ctx, b.Self(), configurationHave(3))).To(Succeed())
				time.Sleep(300 * time.Millisecond)
				g.Expect(b.messages()).To(Equal([]wigeonshift.PeerMessage{configurationHave(1), configurationHave(3)}))
				time.Sleep(time.Minute)
				g.Expect(b.Send(ctx, a.Self(), configurationHave(4))).To(Succeed())
				time.Sleep(300 * time.Millisecond)
				g.Expect(a.messages()).To(Equal([]wigeonshift.PeerMessage{configurationHave(4)}))
				g.Expect(w.dials.Load()).To(BeEquivalentTo(2))
				g.Expect(a.Stop(ctx)).To(Succeed())
				g.Expect(b.Stop(ctx)).To(Succeed())
			})
		}
	})

	It("report peers that can't be dialled and addresses that now belong to another instance", func() {
		runInBubble(func(g *WithT) {
			w := newMemoryNetwork()
			a, b := startNode(g, w, "a"), startNode(g, w, "b")
			unreachable := wigeonshift.Instance{ID: "dead", Address: "dead:1"}
			replaced := wigeonshift.Instance{ID: "old", Address: b.Self().Address}
			for _, to := range []wigeonshift.Instance{unreachable, replaced} {
				g.Expect(a.Send(ctx, to, configurationHave(1))).To(Succeed())
				synctest.Wait()
				g.Expect(a.Send(ctx, to, configurationHave(1))).To(MatchError(wigeonshift.ErrPeerUnreachable))
			}
			g.Expect(a.lostInstances()).To(Equal([]string{"dead", "old"}))
			g.Expect(b.messages()).To(BeEmpty())
			g.Expect(a.Stop(ctx)).To(Succeed())
			g.Expect(b.Stop(ctx)).To(Succeed())
		})
	})

	It("log a warning for a failed handshake but not for a connection that closes before it", func() {
		runInBubble(func(g *WithT) {
			w := newMemoryNetwork()
			log, hook := logtest.NewNullLogger()
			a := startNode(g, w, "a", wigeonsession.WithLogger(log))
			for _, sent := range []string{"", "GET / HTTP/1.1\r\n\r\n"} {
				g.Expect(hook.AllEntries()).To(BeEmpty())
				c, err := w.dial(ctx, a.Self().Address)
				g.Expect(err).NotTo(HaveOccurred())
				if sent != "" {
					_, err = c.Write([]byte(sent))
					g.Expect(err).NotTo(HaveOccurred())
				}
				g.Expect(c.Close()).To(Succeed())
				synctest.Wait()
			}
			g.Expect(hook.AllEntries()).To(HaveLen(1))
			g.Expect(hook.LastEntry().Level).To(Equal(logrus.WarnLevel))
			g.Expect(a.Stop(ctx)).To(Succeed())
		})
	})

	It("are closed when idle without being reported as lost, and reject messages when the queue is full", func() {
		runInBubble(func(g *WithT) {
			w := newMemoryNetwork()
			a := startNode(g, w, "a", wigeonsession.WithIdleTimeout(time.Minute))
			b := startNode(g, w, "b")
			g.Expect(a.Send(ctx, b.Self(), configurationHave(1))).To(Succeed())
			time.Sleep(2 * time.Minute)
			g.Expect(b.Send(ctx, a.Self(), configurationHave(2))).To(Succeed())
			time.Sleep(time.Second)
			g.Expect(w.dials.Load()).To(BeEquivalentTo(2))
			g.Expect(append(a.lostInstances(), b.lostInstances()...)).To(BeEmpty())
			w.listen("stuck:1") // Nothing accepts there, so the dial hangs until its timeout.
			unresponsive := wigeonshift.Instance{ID: "stuck", Address: "stuck:1"}
			var err error
			for i := 0; err == nil; i++ {
				err = a.Send(ctx, unresponsive, configurationHave(uint64(i)))
				g.Expect(i).To(BeNumerically("<", 1<<16))
			}
			g.Expect(err).To(MatchError(wigeonsession.ErrQueueFull))
			g.Expect(a.Stop(ctx)).To(Succeed())
			g.Expect(b.Stop(ctx)).To(Succeed())
		})
	})
})
