package wigeonsocket

import (
	"context"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"
)

var _ = Describe("Dial", func() {
	It("probes an idle connection and finds within three seconds that it is silent", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		own, err := Dial(context.Background(), l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer own.Close()
		peer, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		defer peer.Close()
		raw, err := own.(*net.TCPConn).SyscallConn()
		Expect(err).NotTo(HaveOccurred())
		Consistently(func() State { return Peek(raw) }).WithTimeout(4 * time.Second).WithPolling(100 * time.Millisecond).Should(Equal(Idle))
		peerRaw, err := peer.(*net.TCPConn).SyscallConn()
		Expect(err).NotTo(HaveOccurred())
		// The peer's kernel drops all that arrives.
		dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}
		Expect(peerRaw.Control(func(fd uintptr) {
			defer GinkgoRecover()
			Expect(unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll[0]})).To(Succeed())
		})).To(Succeed())
		Eventually(func() State { return Peek(raw) }).WithTimeout(3500 * time.Millisecond).WithPolling(50 * time.Millisecond).Should(Equal(Closed))
	})
})
