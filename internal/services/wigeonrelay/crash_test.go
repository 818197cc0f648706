package wigeonrelay_test

import (
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A request that crashes endpoints", func() {
	It("is refused after three crashes, whatever its ID, query and deadline", func() {
		var endpoints []*fakeEndpoint
		for range 5 {
			e := newFakeEndpoint(respondOK)
			e.respond = func(c net.Conn, r *http.Request, body []byte) {
				if string(body) != "poison" {
					respondOK(c, r, body)
					return
				}
				_ = e.listener.Close()
				_ = c.Close()
			}
			endpoints = append(endpoints, e)
		}
		r := newTestRelay(endpoints...)
		poison := requestText("POST", "/safe/x?page=1", "", "poison")
		reached := func() int {
			n := 0
			for _, e := range endpoints {
				n += len(e.receivedRequests())
			}
			return n
		}

		response, _, _ := r.send(poison)
		Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
		Expect(reached()).To(Equal(2), "the route allows two attempts")
		response, _, _ = r.send(strings.Replace(poison, "page=1", "page=2", 1))
		Expect(response.StatusCode).To(Equal(http.StatusBadGateway), "it has run, so it can't be refused")
		Eventually(func() int {
			response, _, _ = r.send(strings.NewReplacer("Id: r1", "Id: r2", "1500", "900").Replace(poison))
			return response.StatusCode
		}).Should(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).To(HavePrefix("86"))
		Expect(reached()).To(Equal(3))

		response, body, _ := r.send(requestText("POST", "/safe/x", "", "other"))
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		Expect(body).To(Equal("ok:other"))
	})
})
