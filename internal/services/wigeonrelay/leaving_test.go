package wigeonrelay_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeondispatch"
	"wigeonshift/internal/services/wigeonupstream"
	"wigeonshift/platform"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// decisionAge is the age of a decision at which it is checked again before the request is sent.
const decisionAge = 150 * time.Millisecond

// sendWhileConnecting sends a request to a relay with two endpoints. Once it waits for its first connection, the endpoints change. It
// returns how often each endpoint was reached by the request.
func sendWhileConnecting(change func(r *testRelay, chosen, other wigeonshift.EndpointRecord)) (chosen, other int) {
	GinkgoHelper()
	endpoints := []*fakeEndpoint{newFakeEndpoint(respondOK), newFakeEndpoint(respondOK)}
	dialed, connect := make(chan string), make(chan struct{})
	var dials atomic.Int64
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			dialed <- address
			<-connect
		}
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	r := startTestRelay(wigeondispatch.Settings{}, wigeonupstream.New(platform.Dialect{}, wigeonupstream.WithDial(dial)), l,
		endpoints[0].address(), endpoints[1].address())
	go func() {
		defer GinkgoRecover()
		defer close(connect)
		records := []wigeonshift.EndpointRecord{
			{ID: "engine-0", Service: "model", Address: endpoints[0].address(), Zone: "z", Slots: 4},
			{ID: "engine-1", Service: "model", Address: endpoints[1].address(), Zone: "z", Slots: 4},
		}
		if <-dialed == records[1].Address {
			records[0], records[1], endpoints[0], endpoints[1] = records[1], records[0], endpoints[1], endpoints[0]
		}
		change(r, records[0], records[1])
		time.Sleep(decisionAge)
	}()
	Expect(r.statusOf(requestText("POST", "/unsafe/x", "", "b"))).To(Equal(http.StatusOK))
	return len(endpoints[0].receivedRequests()), len(endpoints[1].receivedRequests())
}

// Guards against requests that reach an endpoint long after its row has said that it leaves, because they waited for a connection.
var _ = DescribeTable("An endpoint that leaves while a request waits for its connection gets nothing",
	func(change func(r *testRelay, chosen, other wigeonshift.EndpointRecord)) {
		chosen, other := sendWhileConnecting(change)
		Expect(chosen).To(BeZero())
		Expect(other).To(Equal(1))
	},
	Entry("its row says so", func(r *testRelay, chosen, other wigeonshift.EndpointRecord) {
		chosen.Leaving = true
		r.dispatcher.SetEndpoints([]wigeonshift.EndpointRecord{chosen, other}, 1)
	}),
	Entry("its row is gone", func(r *testRelay, _, other wigeonshift.EndpointRecord) {
		r.dispatcher.SetEndpoints([]wigeonshift.EndpointRecord{other}, 1)
	}),
	Entry("a peer says so", func(r *testRelay, chosen, _ wigeonshift.EndpointRecord) {
		r.dispatcher.SetPeerLoad("peer", wigeonshift.LoadNotice{EndpointsRevision: 9, Leaving: []string{chosen.ID + "@0"}})
	}),
)
