package wigeonrelay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// medianLatency returns the median latency of requests on one keep-alive connection.
func medianLatency(address string, requests int) time.Duration {
	GinkgoHelper()
	c, err := net.Dial("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	Expect(c.SetDeadline(time.Now().Add(time.Minute))).To(Succeed())
	reader := bufio.NewReader(c)
	var times []time.Duration
	for range requests {
		started := time.Now()
		writeText(c, requestText("POST", "/safe/x", "", "text"))
		response, err := http.ReadResponse(reader, nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, response.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		times = append(times, time.Since(started))
	}
	slices.Sort(times)
	return times[len(times)/2]
}

var _ = Describe("Added latency", func() {
	It("has a median below the target of 3 ms", func() {
		const requests = 500
		e := newFakeEndpoint(respondOK)
		direct := medianLatency(e.address(), requests)
		relayed := medianLatency(newTestRelay(e).address, requests)
		AddReportEntry("added", fmt.Sprintf("ADDED %v: relayed %v, direct %v", relayed-direct, relayed, direct))
		Expect(relayed - direct).To(BeNumerically("<", 3*time.Millisecond))
	})
})
