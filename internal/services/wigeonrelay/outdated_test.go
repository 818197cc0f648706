package wigeonrelay_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a final refusal of a request that a newer version allows, by an instance that knows itself to be behind.
var _ = DescribeTable("A request for what an outdated configuration lacks may come back", func(path, key string, status int) {
	r := newTestRelay(newFakeEndpoint(respondOK))
	text := strings.Replace(requestText("POST", path, "", "b"), "Api-Key: key", "Api-Key: "+key, 1)
	Expect(r.statusOf(text)).To(Equal(status))
	r.service.ReportVersion(2)
	response, _, err := r.send(text)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
	r.configure(2)
	Expect(r.statusOf(text)).To(Equal(status))
},
	Entry("its route", "/none/x", "key", http.StatusNotFound),
	Entry("its key", "/safe/x", "other", http.StatusUnauthorized),
)
