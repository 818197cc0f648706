package wigeonendpoint_test

import (
	"context"
	"strings"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonendpoint"
	"wigeonshift/internal/standin/wigeonscript"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// startScripted starts a service that answers with a text. If ends is set, its process ends with the first connection.
func startScripted(answer string, ends bool) string {
	s := &wigeonscript.Server{Answer: answer, EndsWithAnswer: ends}
	address, err := s.Start()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Stop)
	return address
}

// A body that broke off was taken for whole if it had neither a length nor chunks.
var _ = Describe("Body of a response", func() {
	const head = "HTTP/1.1 200 OK\r\nWigeon-Attempt: a\r\n"
	call := wigeonshift.ServiceCall{Method: "POST", Path: "/", Token: "a"}

	DescribeTable("that may be truncated is lost",
		func(answer string, ends bool) {
			endpoint := wigeonendpoint.New().Endpoint(startScripted(answer, ends))
			_, err := endpoint.Call(context.Background(), call, func() {})
			Expect(err).To(MatchError(wigeonshift.ErrEndpointLost))
			endpoint = wigeonendpoint.New().Endpoint(startScripted(answer, ends))
			_, err = endpoint.ExportKV(context.Background(), "a")
			Expect(err).To(MatchError(wigeonshift.ErrEndpointLost))
		},
		Entry("ends with the connection of a process that ends", head+"\r\npart", true),
		Entry("is shorter than its length", head+"Content-Length: 9\r\n\r\npart", false),
		Entry("has no last chunk", head+"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", false),
		Entry("ends inside an event", head+"Content-Type: text/event-stream\r\nContent-Length: 7\r\n\r\ndata: a", false),
	)

	// The HTTP library takes status 000 for 200, for example.
	DescribeTable("whose head is malformed is lost", func(line, lines string) {
		answer := line + "\r\nWigeon-Attempt: a\r\n" + lines + "\r\n"
		_, err := wigeonendpoint.New().Endpoint(startScripted(answer+"whole", false)).Call(context.Background(), call, func() {})
		Expect(err).To(MatchError(wigeonshift.ErrEndpointLost))
		_, err = wigeonendpoint.New().Endpoint(startScripted(answer+`{"result":{"token":"a"}}`+"\n", false)).
			Resume(context.Background(), "a", 0, func(wigeonshift.Chunk) error { return nil })
		Expect(err).To(MatchError(wigeonshift.ErrEndpointLost))
	},
		Entry("status 000", "HTTP/1.1 000 Zero", ""),
		Entry("status 101", "HTTP/1.1 101 Switching Protocols", ""),
		Entry("another version", "HTTP/2.0 200 OK", ""),
		Entry("blank in a name", "HTTP/1.1 200 OK", "X Y: z\r\n"),
		Entry("blank after a name", "HTTP/1.1 200 OK", "Content-Length : 2\r\n"),
		Entry("line feed before a name", "HTTP/1.1 200 OK", "\nX: z\r\n"),
		Entry("refusal", "HTTP/1.1 503 Busy", "Wigeon-Run-State : notRun\r\n"),
	)

	DescribeTable("that is whole is returned",
		func(answer string) {
			endpoint := wigeonendpoint.New().Endpoint(startScripted(answer, false))
			got, err := endpoint.Call(context.Background(), call, func() {})
			Expect(err).NotTo(HaveOccurred())
			Expect(string(got.Body)).To(Equal("whole"))
		},
		Entry("ends with the connection", head+"\r\nwhole"),
		Entry("has a length", head+"Content-Length: 5\r\n\r\nwhole"),
		Entry("has chunks", head+"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"),
	)

	DescribeTable("without end is a failure", func(answer string) {
		endpoint := wigeonendpoint.New(wigeonendpoint.WithMaxBodyBytes(1 << 16)).Endpoint(startScripted(answer, false))
		_, err := endpoint.Call(context.Background(), call, func() {})
		Expect(err).To(MatchError(wigeonshift.ErrEndpointFailed))
	},
		Entry("that ends with the connection", head+"\r\n"+strings.Repeat("x", 1<<22)),
		Entry("in chunks", head+"Transfer-Encoding: chunked\r\n\r\n"+strings.Repeat("1000\r\n"+strings.Repeat("x", 1<<12)+"\r\n", 1<<10)),
	)
})
