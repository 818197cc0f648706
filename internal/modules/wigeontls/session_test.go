package wigeontls_test

import (
	"context"
	"net"
	"path/filepath"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonsession"
	"wigeonshift/internal/modules/wigeontls"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Sessions over TLS", func() {
	It("are established between identities of one authority and rejected for others", func(ctx SpecContext) {
		g := NewWithT(GinkgoT())
		dir := GinkgoT().TempDir()
		ours, other := newAuthority(g), newAuthority(g)
		received := make(chan string, 10)
		lost := make(chan string, 10)
		start := func(id string, signer *authority) *wigeonsession.Network {
			f := wigeontls.Files{
				Certificate: filepath.Join(dir, id+".crt"), Key: filepath.Join(dir, id+".key"), Authority: filepath.Join(dir, id+".ca"),
			}
			signer.issue(f, wigeontls.DefaultPeerName, ours)
			source, err := wigeontls.New(f)
			g.Expect(err).NotTo(HaveOccurred())
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			n := wigeonsession.New(wigeonshift.Instance{ID: id, Address: l.Addr().String()}, wigeonsession.WithListener(l),
				wigeonsession.WithTLS(source.Server(), source.Client(wigeontls.DefaultPeerName)))
			n.Subscribe(func(from wigeonshift.Instance, _ wigeonshift.PeerMessage) { received <- id + " from " + from.ID })
			n.SubscribePeerLost(func(i wigeonshift.Instance) { lost <- id + " without " + i.ID })
			g.Expect(n.Start(ctx)).To(Succeed())
			DeferCleanup(func() { Expect(n.Stop(context.Background())).To(Succeed()) })
			return n
		}
		a, b, untrusted := start("a", ours), start("b", ours), start("untrusted", other)
		g.Expect(a.Send(ctx, b.Self(), wigeonshift.ConfigurationAsk{})).To(Succeed())
		g.Eventually(ctx, received).Should(Receive(Equal("b from a")))
		g.Expect(untrusted.Send(ctx, b.Self(), wigeonshift.ConfigurationAsk{})).To(Succeed())
		g.Eventually(ctx, lost).Should(Receive(Equal("untrusted without b")))
		g.Expect(a.Send(ctx, untrusted.Self(), wigeonshift.ConfigurationAsk{})).To(Succeed())
		g.Eventually(ctx, lost).Should(Receive(Equal("a without untrusted")))
		g.Expect(received).NotTo(Receive())
	}, SpecTimeout(30*time.Second))
})
