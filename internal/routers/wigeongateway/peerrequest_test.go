package wigeongateway

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against request floods. An instance whose store calls were refused requested a large configuration from every
// peer at each of their load notices, 20 times a second. One instance hit its memory limit and was killed, and the links
// carried 1.1 GB (inrap-lofts-grown, trouble-1).
var _ = Describe("Requesting a configuration that the store doesn't deliver", func() {
	var t *peerRequestThrottle
	start := time.Unix(1000, 0)
	// countRequestsTo counts the requests while peers report a version 20 times in 50 ms.
	countRequestsTo := func(peers int, from, to time.Duration, peerVersion, localVersion uint64) int {
		n := 0
		for at := from; at < to; at += 50 * time.Millisecond {
			for k := range 20 {
				if t.shouldRequest(fmt.Sprint(k%peers), peerVersion, localVersion, start.Add(at)) {
					n++
				}
			}
		}
		return n
	}
	countRequests := func(from, to time.Duration, peerVersion, localVersion uint64) int {
		return countRequestsTo(1, from, to, peerVersion, localVersion)
	}

	BeforeEach(func() { t = &peerRequestThrottle{} })

	It("gives the store time to deliver it first", func() {
		Expect(countRequests(0, peerRequestDelay, 2, 1)).To(BeZero())
		Expect(countRequests(peerRequestDelay, 10*time.Second, 2, 2)).To(BeZero())
	})

	It("sends a peer one request at a time until it has the version", func() {
		Expect(countRequests(0, peerRequestDelay+peerRequestTimeout/2, 2, 1)).To(Equal(1))
		Expect(countRequests(peerRequestDelay+peerRequestTimeout/2, peerRequestDelay+3*peerRequestTimeout, 2, 1)).To(Equal(2))
	})

	It("asks a second peer soon, and no third one before a request has timed out", func() {
		Expect(countRequestsTo(20, 0, peerRequestDelay+nextPeerDelay, 2, 1)).To(Equal(1))
		Expect(countRequestsTo(20, peerRequestDelay+nextPeerDelay, peerRequestDelay+peerRequestTimeout, 2, 1)).To(Equal(1))
		Expect(countRequestsTo(20, peerRequestDelay+peerRequestTimeout, peerRequestDelay+3*peerRequestTimeout, 2, 1)).To(Equal(4))
	})

	It("sends the next request at once after an answer", func() {
		Expect(countRequests(0, peerRequestDelay+50*time.Millisecond, 2, 1)).To(Equal(1))
		Expect(countRequests(peerRequestDelay+50*time.Millisecond, peerRequestDelay+100*time.Millisecond, 3, 1)).To(BeZero())
		Expect(countRequests(peerRequestDelay+100*time.Millisecond, peerRequestDelay+150*time.Millisecond, 3, 2)).To(Equal(1))
	})

	It("keeps sending requests while new versions appear faster than it receives them", func() {
		n := 0
		for k := range uint64(50) {
			at := time.Duration(k) * 100 * time.Millisecond
			n += countRequests(at, at+100*time.Millisecond, k+2, 1)
		}
		Expect(n).To(Equal(5), "within 5 s")
	})

	It("gives the store time again for the next version", func() {
		countRequests(0, time.Second, 2, 1)
		Expect(countRequests(5*time.Second, 5*time.Second+peerRequestDelay, 3, 2)).To(BeZero())
		Expect(countRequests(5*time.Second+peerRequestDelay, 6*time.Second, 3, 2)).To(Equal(1))
	})

	It("is repeated until the local version changes", func() {
		Expect(countRequests(0, peerRequestDelay+50*time.Millisecond, 2, 1)).To(Equal(1))
		Expect(t.isRepeated()).To(BeFalse())
		Expect(countRequests(5*time.Second, 5*time.Second+50*time.Millisecond, 2, 1)).To(Equal(1))
		Expect(t.isRepeated()).To(BeTrue())
		Expect(countRequests(10*time.Second, 10*time.Second+50*time.Millisecond, 3, 2)).To(BeZero())
		Expect(t.isRepeated()).To(BeFalse())
	})
})
