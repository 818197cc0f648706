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

func ask(version uint64) wigeonshift.PeerMessage { return wigeonshift.ConfigurationAsk{Have: version} }
func have(version uint64) wigeonshift.PeerMessage {
	return wigeonshift.ConfigurationHave{Version: version}
}

var _ = Describe("Sessions", func() {
	It("delivers in order, opens one session on demand and none to itself", func() {
		bubble(func(g *WithT) {
			w := newWire()
			a, b := startNode(g, w, "a"), startNode(g, w, "b")
			var sent []wigeonshift.PeerMessage
			for i := range uint64(200) {
				sent = append(sent, have(i))
				g.Expect(a.Send(ctx, b.Self(), have(i))).To(Succeed())
				g.Expect(a.Send(ctx, a.Self(), have(i))).To(Succeed())
			}
			time.Sleep(100 * time.Millisecond)
			g.Expect(b.messages()).To(Equal(sent))
			g.Expect(a.messages()).To(Equal(sent))
			g.Expect(b.Send(ctx, a.Self(), have(1))).To(Succeed())
			time.Sleep(100 * time.Millisecond)
			g.Expect(w.dials.Load()).To(BeEquivalentTo(1))
			g.Expect(a.Stop(ctx)).To(Succeed())
			synctest.Wait()
			g.Expect(b.losses()).To(BeEmpty(), "a goodbye is no loss")
			g.Expect(b.Stop(ctx)).To(Succeed())
		})
	})

	It("takes no stop of a peer for a loss", func() {
		for range 100 {
			bubble(func(g *WithT) {
				w := newWire()
				a, b := startNode(g, w, "a"), startNode(g, w, "b")
				g.Expect(a.Send(ctx, b.Self(), have(1))).To(Succeed())
				time.Sleep(100 * time.Millisecond)
				g.Expect(a.Stop(ctx)).To(Succeed())
				synctest.Wait()
				g.Expect(b.losses()).To(BeEmpty())
				g.Expect(b.Stop(ctx)).To(Succeed())
			})
		}
	})

	It("settles simultaneous dials on one session", func() {
		for round := range 300 {
			bubble(func(g *WithT) {
				w := newWire()
				a, b := startNode(g, w, "a"), startNode(g, w, "b")
				g.Expect(a.Send(ctx, b.Self(), have(1))).To(Succeed())
				// The second dial begins at every stage of the first.
				for range round {
					runtime.Gosched()
				}
				g.Expect(b.Send(ctx, a.Self(), have(2))).To(Succeed())
				for i := range uint64(40) {
					time.Sleep(200 * time.Millisecond)
					g.Expect(a.Send(ctx, b.Self(), have(i))).To(Succeed())
					g.Expect(b.Send(ctx, a.Self(), have(i))).To(Succeed())
				}
				synctest.Wait()
				g.Expect(a.messages()).To(HaveLen(41))
				g.Expect(b.messages()).To(HaveLen(41))
				g.Expect(w.dials.Load()).To(BeNumerically("<=", 2))
				g.Expect(a.losses()).To(BeEmpty())
				g.Expect(b.losses()).To(BeEmpty())
				g.Expect(a.Stop(ctx)).To(Succeed())
				g.Expect(b.Stop(ctx)).To(Succeed())
			})
		}
	})

	It("gives up a session that swallows both ways and talks over a fresh one", func() {
		for _, asks := range []bool{true, false} {
			bubble(func(g *WithT) {
				w := newWire()
				a, b := startNode(g, w, "a"), startNode(g, w, "b")
				g.Expect(a.Send(ctx, b.Self(), have(1))).To(Succeed())
				time.Sleep(3 * time.Second)
				w.swallow()
				bound := 5 * time.Second // Heartbeat silence: three periods of 1 s, the margin and a tick.
				if asks {
					g.Expect(a.Send(ctx, b.Self(), ask(2))).To(Succeed())
					bound = 3 * time.Second // A probe after 1 s, given up after another.
				}
				time.Sleep(bound)
				synctest.Wait()
				g.Expect(a.losses()).To(Equal([]string{"b"}))
				g.Expect(a.Send(ctx, b.Self(), have(3))).To(Succeed())
				time.Sleep(300 * time.Millisecond)
				g.Expect(b.messages()).To(Equal([]wigeonshift.PeerMessage{have(1), have(3)}))
				time.Sleep(time.Minute)
				g.Expect(b.Send(ctx, a.Self(), have(4))).To(Succeed())
				time.Sleep(300 * time.Millisecond)
				g.Expect(a.messages()).To(Equal([]wigeonshift.PeerMessage{have(4)}))
				g.Expect(w.dials.Load()).To(BeEquivalentTo(2))
				g.Expect(a.Stop(ctx)).To(Succeed())
				g.Expect(b.Stop(ctx)).To(Succeed())
			})
		}
	})

	It("reports peers that can't be dialled and other instances at the address", func() {
		bubble(func(g *WithT) {
			w := newWire()
			a, b := startNode(g, w, "a"), startNode(g, w, "b")
			dead := wigeonshift.Instance{ID: "dead", Address: "dead:1"}
			reborn := wigeonshift.Instance{ID: "old", Address: b.Self().Address}
			for _, to := range []wigeonshift.Instance{dead, reborn} {
				g.Expect(a.Send(ctx, to, have(1))).To(Succeed())
				synctest.Wait()
				g.Expect(a.Send(ctx, to, have(1))).To(MatchError(wigeonshift.ErrPeerUnreachable))
			}
			g.Expect(a.losses()).To(Equal([]string{"dead", "old"}))
			g.Expect(b.messages()).To(BeEmpty())
			g.Expect(a.Stop(ctx)).To(Succeed())
			g.Expect(b.Stop(ctx)).To(Succeed())
		})
	})

	It("warns of a broken handshake but not of a connection that closes without one", func() {
		bubble(func(g *WithT) {
			w := newWire()
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

	It("closes an idle session without a loss and refuses beyond a full queue", func() {
		bubble(func(g *WithT) {
			w := newWire()
			a := startNode(g, w, "a", wigeonsession.WithIdleTimeout(time.Minute))
			b := startNode(g, w, "b")
			g.Expect(a.Send(ctx, b.Self(), have(1))).To(Succeed())
			time.Sleep(2 * time.Minute)
			g.Expect(b.Send(ctx, a.Self(), have(2))).To(Succeed())
			time.Sleep(time.Second)
			g.Expect(w.dials.Load()).To(BeEquivalentTo(2))
			g.Expect(append(a.losses(), b.losses()...)).To(BeEmpty())
			w.listen("stuck:1") // Nobody accepts there, so the dial hangs until its timeout.
			stuck := wigeonshift.Instance{ID: "stuck", Address: "stuck:1"}
			var err error
			for i := 0; err == nil; i++ {
				err = a.Send(ctx, stuck, have(uint64(i)))
				g.Expect(i).To(BeNumerically("<", 1<<16))
			}
			g.Expect(err).To(MatchError(wigeonsession.ErrQueueFull))
			g.Expect(a.Stop(ctx)).To(Succeed())
			g.Expect(b.Stop(ctx)).To(Succeed())
		})
	})
})
