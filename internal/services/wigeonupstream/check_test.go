package wigeonupstream

import (
	"context"
	"net"
	"net/http"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Check", func() {
	It("finds an endpoint running that accepts a connection, and keeps the connection for the next request", func() {
		e := newScriptedEndpoint(func(*net.TCPConn, *http.Request, int) bool { return true })
		p := New(testDialect{})
		DeferCleanup(p.Close)
		target := Target{ID: "e", Address: e.Addr().String()}
		for range 3 {
			Expect(p.Check(context.Background(), target)).To(Equal(wigeonshift.LivenessRunning))
		}
		// The endpoint counts a connection a moment after the dial.
		Eventually(e.connections.Load).Should(Equal(int32(1)))
		Consistently(e.connections.Load, 50*time.Millisecond).Should(Equal(int32(1)))
	})

	It("finds an endpoint ended whose address refuses connections", func() {
		e := newScriptedEndpoint(func(*net.TCPConn, *http.Request, int) bool { return true })
		p := New(testDialect{})
		DeferCleanup(p.Close)
		Expect(e.Close()).To(Succeed())
		Expect(p.Check(context.Background(), Target{ID: "e", Address: e.Addr().String()})).To(Equal(wigeonshift.LivenessEnded))
	})

	It("does not find an endpoint ended whose address gives no answer", func() {
		p := New(testDialect{}, WithDial(func(context.Context, string) (net.Conn, error) { return nil, context.DeadlineExceeded }))
		Expect(p.Check(context.Background(), Target{ID: "e"})).To(Equal(wigeonshift.LivenessUnknown))
	})
})
