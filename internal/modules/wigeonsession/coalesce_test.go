package wigeonsession

import (
	"net"
	"runtime"
	"time"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// slowClosingConn closes only once it is told to.
type slowClosingConn struct {
	net.Conn
	mayClose chan struct{}
}

func (c *slowClosingConn) Close() error {
	<-c.mayClose
	return c.Conn.Close()
}

// A reader of a yamux session that ends by itself ran in a loop until the session had closed its streams. On an instance with
// one core nothing else ran meanwhile.
var _ = Describe("Readers of a session that yamux closes", func() {
	It("end before its connection is closed", func() {
		// Empties yamux's pool of timers, which other specs leave from their bubbles.
		runtime.GC()
		runtime.GC()
		own, remote := net.Pipe()
		slow := &slowClosingConn{Conn: own, mayClose: make(chan struct{})}
		conn := &coalescingConn{Conn: slow}
		mux, err := yamux.Client(conn, muxConfig())
		Expect(err).NotTo(HaveOccurred())
		server, err := yamux.Server(remote, muxConfig())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(server.Close)
		stream, err := mux.OpenStream()
		Expect(err).NotTo(HaveOccurred())
		l := newLink(&Network{}, nil, conn, mux)
		for i := range l.lanes {
			l.lanes[i] = &lane{link: l, stream: stream}
		}
		l.stopReadersOnClose()
		result := make(chan error, 1)
		go func() {
			_, err := stream.Read(make([]byte, 1))
			result <- err
		}()
		// The remote end closes the connection, as a reset does.
		Expect(remote.Close()).To(Succeed())
		var readError error
		Eventually(result).WithTimeout(5 * time.Second).Should(Receive(&readError))
		Expect(readFailureReason(readError)).To(Equal("closed"))
		close(slow.mayClose)
		Eventually(mux.IsClosed).Should(BeTrue())
	})
})
