package wigeonsession_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing/synctest"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonsession"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// packetOverheadBytes is the overhead of a write on the wire: IP and TCP headers, the TLS record, and the headers of the
// acknowledgement.
const packetOverheadBytes = 52 + 22 + 52

// meter counts the payload bytes and the reads and writes of connections.
type meter struct {
	bytes, packets atomic.Int64
}

// meteredConn adds its reads and writes to a meter.
type meteredConn struct {
	net.Conn
	meter *meter
}

func (c *meteredConn) Write(b []byte) (int, error) {
	c.meter.bytes.Add(int64(len(b)))
	c.meter.packets.Add(1)
	return c.Conn.Write(b)
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.bytes.Add(int64(n))
	c.meter.packets.Add(1)
	return n, err
}

var _ = Describe("Heartbeats", func() {
	It("stay within a fifth of a node's 6 KB/s, independent of the number of peers", func() {
		for _, peers := range []int{1, 8, 60, 300} {
			runInBubble(func(g *WithT) {
				w, m := newMemoryNetwork(), &meter{}
				hub := startNode(g, w, "hub", wigeonsession.WithIdleTimeout(24*time.Hour),
					wigeonsession.WithDial(func(ctx context.Context, a string) (net.Conn, error) {
						c, err := w.dial(ctx, a)
						return &meteredConn{c, m}, err
					}))
				var spokes []*node
				for i := range peers {
					n := startNode(g, w, fmt.Sprintf("n%d", i), wigeonsession.WithIdleTimeout(24*time.Hour))
					spokes = append(spokes, n)
					g.Expect(hub.Send(ctx, n.Self(), configurationHave(1))).To(Succeed())
				}
				time.Sleep(5 * time.Minute)
				// Heartbeats may be due at both ends of the measured time; waiting counts them completely at each end.
				synctest.Wait()
				bytes, packets := m.bytes.Load(), m.packets.Load()
				const measuredSeconds = 600
				time.Sleep(measuredSeconds * time.Second)
				synctest.Wait()
				payloadRate := float64(m.bytes.Load()-bytes) / measuredSeconds
				wireRate := payloadRate + packetOverheadBytes*float64(m.packets.Load()-packets)/measuredSeconds
				GinkgoWriter.Printf("%d idle peers: %.1f payload B/s, about %.0f B/s on the wire, %.2f B/s per peer\n",
					peers, payloadRate, wireRate, wireRate/float64(peers))
				g.Expect(wireRate).To(BeNumerically("<=", 6000/5))
				g.Expect(hub.lostInstances()).To(BeEmpty())
				for _, n := range append(spokes, hub) {
					g.Expect(n.Stop(ctx)).To(Succeed())
				}
			})
		}
	})
})

var _ = Describe("Invalid connections", func() {
	It("are closed for silence and malformed handshakes without affecting other sessions", func() {
		runInBubble(func(g *WithT) {
			w := newMemoryNetwork()
			a, b := startNode(g, w, "a"), startNode(g, w, "b")
			for _, junk := range [][]byte{nil, []byte("GET / HTTP/1.1\r\n\r\n"), make([]byte, 1<<12)} {
				c, err := w.dial(ctx, a.Self().Address)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(c.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
				c.Write(junk)
				start := time.Now()
				_, err = c.Read(make([]byte, 1<<10))
				for err == nil {
					_, err = c.Read(make([]byte, 1<<10))
				}
				g.Expect(time.Since(start)).To(BeNumerically("<=", 3*time.Second), "closed within the handshake timeout")
			}
			g.Expect(b.Send(ctx, a.Self(), configurationHave(1))).To(Succeed())
			time.Sleep(time.Second)
			g.Expect(a.messages()).To(Equal([]wigeonshift.PeerMessage{configurationHave(1)}))
			g.Expect(a.Stop(ctx)).To(Succeed())
			g.Expect(b.Stop(ctx)).To(Succeed())
		})
	})
})
