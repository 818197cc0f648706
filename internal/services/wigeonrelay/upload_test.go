package wigeonrelay_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"wigeonshift/internal/modules/wigeonsocket"
	"wigeonshift/internal/services/wigeondispatch"
	"wigeonshift/internal/services/wigeonupstream"
	"wigeonshift/platform"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// uploadBytes is more than the buffers of a connection to an endpoint hold in these tests, so that the relay is still writing when the
// answer comes.
const uploadBytes = 512 << 10

// newUploadRelay returns a relay before one endpoint that responds before it reads a body. Connections to endpoints buffer little.
func newUploadRelay(respond func(c net.Conn, r *http.Request, body []byte)) *testRelay {
	GinkgoHelper()
	const bufferBytes = 4 << 10
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		c, err := wigeonsocket.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return c, c.(*net.TCPConn).SetWriteBuffer(bufferBytes)
	}
	e := newFakeEndpoint(respond)
	e.respondsEarly = true
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return startTestRelay(wigeondispatch.Settings{}, wigeonupstream.New(platform.Dialect{}, wigeonupstream.WithDial(dial)), l, e.address())
}

// Guards against an answer without a length whose end is a reset that the relay's write of the request saw, so that the read saw only
// the end of the connection: callers got the part as a whole answer.
var _ = Describe("An answer that comes during the upload", func() {
	const attempts = 5
	upload := func(path string) string { return requestText("POST", path, "", strings.Repeat("u", uploadBytes)) }

	DescribeTable("isn't whole if its connection is reset", func(path, mediaType, part string, pause time.Duration) {
		for range attempts {
			got := newUploadRelay(func(c net.Conn, r *http.Request, _ []byte) {
				writeText(c, signedHead(r)+contentType(mediaType)+"\r\n"+part)
				time.Sleep(pause)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}).readAnswer(upload(path))
			Expect(got.complete && got.status == http.StatusOK).To(BeFalse(), "%+v", got)
			Expect(promisesNoRun(got.status)).To(BeFalse(), "%+v", got)
		}
	},
		Entry("plain", "/unsafe/", "text/plain", "part", 5*time.Millisecond),
		Entry("plain, at once", "/unsafe/", "text/plain", "part", time.Duration(0)),
		Entry("plain on an idempotent route", "/safe/", "text/plain", "part", 5*time.Millisecond),
		Entry("plain on a streaming route", "/stream/", "text/plain", "part", 5*time.Millisecond),
		Entry("events", "/stream/", eventStreamType, eventText(1, 2, "\n"), 5*time.Millisecond),
		Entry("events that may be resumed", "/resume/", eventStreamType, eventText(1, 2, "\n"), 5*time.Millisecond),
	)

	It("isn't whole if its connection is closed with the request unread", func() {
		for range attempts {
			got := newUploadRelay(func(c net.Conn, r *http.Request, _ []byte) {
				writeText(c, signedHead(r)+"\r\npart")
				time.Sleep(5 * time.Millisecond)
				_ = c.Close()
			}).readAnswer(upload("/unsafe/"))
			Expect(got.complete && got.status == http.StatusOK).To(BeFalse(), "%+v", got)
		}
	})

	It("is whole if only its own side of the connection is closed", func() {
		for _, reads := range []bool{false, true} {
			r := newUploadRelay(func(c net.Conn, r *http.Request, _ []byte) {
				writeText(c, signedHead(r)+"\r\nwhole")
				_ = c.(*net.TCPConn).CloseWrite()
				if reads {
					_, _ = io.Copy(io.Discard, r.Body)
				}
				time.Sleep(100 * time.Millisecond)
			})
			Expect(r.readAnswer(upload("/unsafe/"))).To(Equal(answer{status: http.StatusOK, body: "whole", complete: true}), "reads: %t", reads)
		}
	})

	It("is whole with a length, whatever becomes of its connection", func() {
		r := newUploadRelay(func(c net.Conn, r *http.Request, _ []byte) {
			writeText(c, signedHead(r)+"Content-Length: 5\r\n\r\nwhole")
			closeWith(c, true)
		})
		Expect(r.readAnswer(upload("/unsafe/"))).To(Equal(answer{status: http.StatusOK, body: "whole", complete: true}))
	})
})
