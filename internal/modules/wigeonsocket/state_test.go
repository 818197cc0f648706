package wigeonsocket

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Peek", func() {
	var own, peer *net.TCPConn
	peekOwn := func() State {
		raw, err := own.SyscallConn()
		Expect(err).NotTo(HaveOccurred())
		return Peek(raw)
	}

	BeforeEach(func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		dialed, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		accepted, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		own, peer = dialed.(*net.TCPConn), accepted.(*net.TCPConn)
		DeferCleanup(func() {
			own.Close()
			peer.Close()
		})
	})

	It("returns Idle while no data has arrived", func() {
		Expect(peekOwn()).To(Equal(Idle))
	})

	It("returns Readable for received data and does not consume it", func() {
		_, err := peer.Write([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
		Eventually(peekOwn).Should(Equal(Readable))
		Expect(own.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
		var b [2]byte
		n, err := own.Read(b[:])
		Expect(err).NotTo(HaveOccurred())
		Expect(string(b[:n])).To(Equal("x"))
		Expect(peekOwn()).To(Equal(Idle))
	})

	It("returns Closed after the peer has closed the connection", func() {
		Expect(peer.Close()).To(Succeed())
		Eventually(peekOwn).Should(Equal(Closed))
	})

	It("returns Closed after the peer has reset the connection", func() {
		Expect(peer.SetLinger(0)).To(Succeed())
		Expect(peer.Close()).To(Succeed())
		Eventually(peekOwn).Should(Equal(Closed))
	})

	It("returns Closed after the connection was closed locally", func() {
		raw, err := own.SyscallConn()
		Expect(err).NotTo(HaveOccurred())
		Expect(own.Close()).To(Succeed())
		Expect(Peek(raw)).To(Equal(Closed))
	})
})
