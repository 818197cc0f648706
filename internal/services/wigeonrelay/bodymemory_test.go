package wigeonrelay_test

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// heapNoise is the change of the heap between two measurements from which on something is still being given back.
const heapNoise = 16 << 10

// heapBytes returns the bytes of the objects that the process holds, once what earlier specs and pools hold has been given back.
func heapBytes() int64 {
	GinkgoHelper()
	var m runtime.MemStats
	latest := int64(0)
	Eventually(func() int64 {
		runtime.GC()
		runtime.ReadMemStats(&m)
		before := latest
		latest = int64(m.HeapAlloc)
		return max(latest-before, before-latest)
	}).WithTimeout(5 * time.Second).WithPolling(20 * time.Millisecond).MustPassRepeatedly(3).Should(BeNumerically("<", heapNoise))
	return latest
}

const (
	// serverEndDelay is longer than a stopped server of the HTTP library holds its memory, some 40 KB.
	serverEndDelay = 15 * time.Second
	// idleGoroutines is the number of goroutines beside which at most a few such servers are left.
	idleGoroutines = 20
)

const (
	// stallingEndpoints is the number of endpoints that send almost as much as may be held of a body and then nothing,
	// stalledCallers that of the callers that wait for it.
	stallingEndpoints = 32
	stalledCallers    = 90
	stalledBytes      = 250 << 10
	// mayHold is what the relay may hold of all of their bodies together: its memory for bodies, and a small part of each.
	mayHold = 8<<20 + stalledCallers*16<<10
)

// newStallingEndpoints returns endpoints that write head and a number of bytes, count that, and end when release is closed.
func newStallingEndpoints(head string, length int, release chan struct{}) ([]*fakeEndpoint, *atomic.Int32) {
	var written atomic.Int32
	text := []byte(strings.Repeat("x", length))
	var endpoints []*fakeEndpoint
	for range stallingEndpoints {
		endpoints = append(endpoints, newFakeEndpoint(func(c net.Conn, r *http.Request, _ []byte) {
			writeText(c, strings.Replace(head, "{signed}", signedHead(r), 1))
			_, _ = c.Write(text) // The relay may have closed the connection.
			written.Add(1)
			<-release
		}))
	}
	return endpoints, &written
}

// heldBytes returns what a relay and its endpoints hold while endpoints have sent a part of a body to each of stalledCallers callers.
func heldBytes(path, head string, length int) int64 {
	GinkgoHelper()
	release := make(chan struct{})
	defer close(release)
	endpoints, written := newStallingEndpoints(head, length, release)
	r := newTestRelay(endpoints...)
	before := heapBytes()
	for range stalledCallers {
		c, _ := r.dial()
		writeText(c, requestText("POST", path, "", "x"))
	}
	Eventually(written.Load).WithTimeout(time.Second).Should(BeNumerically(">", stallingEndpoints))
	time.Sleep(100 * time.Millisecond)
	r.logged.Reset()
	return heapBytes() - before
}

var _ = Describe("The memory for bodies of all requests together", func() {
	// Servers of earlier specs that gave their memory back between two measurements made the bodies seem 1.3 MB larger.
	BeforeEach(func() {
		Eventually(runtime.NumGoroutine).WithTimeout(serverEndDelay).WithPolling(50 * time.Millisecond).Should(BeNumerically("<=", idleGoroutines))
	})

	// A single body was bounded, but all that several faulty endpoints sent was kept at once.
	DescribeTable("is bounded while endpoints send without end",
		func(path, head string) {
			without := heldBytes(path, head, 1)
			held := heldBytes(path, head, stalledBytes) - without
			AddReportEntry("held", fmt.Sprintf("%d bytes of bodies, %d besides", held, without))
			Expect(held).To(BeNumerically("<=", mayHold))
		},
		Entry("plain bodies", "/unsafe/", "{signed}\r\n"),
		Entry("plain bodies with a length", "/unsafe/", "{signed}Content-Length: 262000\r\n\r\n"),
		Entry("failures", "/stream/", "HTTP/1.1 500 Oops\r\nRequest-Id: r1\r\nContent-Length: 262000\r\n\r\n"),
	)

	// Short answers must not suffer from the long ones of faulty endpoints.
	It("leaves short answers alone when it is used up", func() {
		release := make(chan struct{})
		defer close(release)
		endpoints, written := newStallingEndpoints("{signed}\r\n", stalledBytes, release)
		r := newTestRelay(endpoints...)
		for range stalledCallers {
			c, _ := r.dial()
			writeText(c, requestText("POST", "/unsafe/", "", "x"))
		}
		Eventually(written.Load).WithTimeout(time.Second).Should(BeNumerically(">", stallingEndpoints))
		sound := newFakeEndpoint(respondOK)
		r.dispatcher.SetEndpoints([]wigeonshift.EndpointRecord{{ID: "sound", Service: "model", Address: sound.address(), Zone: "z", Slots: 4}}, 1)
		for range 5 {
			got := r.fetch("/safe/", fetchDeadline)
			Expect(got.complete).To(BeTrue(), "%+v", got)
		}
	})

	It("is given back", func() {
		body := strings.Repeat("x", 250<<10)
		e := newFakeEndpoint(func(c net.Conn, r *http.Request, _ []byte) {
			writeText(c, signedHead(r)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
		})
		r := newTestRelay(e)
		for range 80 {
			got := r.fetch("/unsafe/", fetchDeadline)
			Expect(got.complete).To(BeTrue())
			Expect(got.body).To(Equal(body))
		}
	})
})
