package wigeonrelay_test

import (
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a new connection for each request, because the end of the call closed the connection of a whole answer.
var _ = Describe("A connection to an endpoint", func() {
	It("is used again after a buffered answer", func() {
		e := newFakeEndpoint(respondOK)
		r := newTestRelay(e)
		for range 5 {
			response, body, err := r.send(requestText("POST", "/safe/x", "", "b"))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusOK))
			Expect(body).To(Equal("ok:b"))
		}
		Expect(e.receivedRequests()).To(HaveLen(5))
		Expect(e.connectionCount()).To(Equal(1))
	})

	It("is used again after an error of the endpoint", func() {
		e := newFakeEndpoint(func(c net.Conn, r *http.Request, _ []byte) {
			writeText(c, "HTTP/1.1 500 Internal Server Error\r\nRequest-Id: "+r.Header.Get("Request-Id")+"\r\nServer-Signature: sig\r\nContent-Length: 1\r\n\r\nx")
		})
		r := newTestRelay(e)
		for range 3 {
			response, _, err := r.send(requestText("POST", "/unsafe/x", "", "b"))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusInternalServerError))
		}
		Expect(e.receivedRequests()).To(HaveLen(3))
		Expect(e.connectionCount()).To(Equal(1))
	})
})
