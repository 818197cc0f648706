package wigeonrelay

import (
	"bufio"
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"wigeonshift"
	"wigeonshift/platform"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/valyala/fasthttp"
)

var _ = Describe("Fingerprints", func() {
	s := &Service{dialect: platform.Dialect{}}
	of := func(uri, body string, headers ...string) (wigeonshift.Fingerprint, wigeonshift.SharedFingerprints) {
		var r fasthttp.Request
		r.SetRequestURI(uri)
		r.SetBodyString(body)
		for i := 0; i < len(headers); i += 2 {
			r.Header.Add(headers[i], headers[i+1])
		}
		return s.fingerprintsOf(&r, "o")
	}
	exact, shared := of("/a?q=1", "body", "X-Kind", "k", "Request-Id", "1")

	It("are the same for another try, whatever the order of the headers", func() {
		again, sharedAgain := of("/a?q=1", "body", "Request-Id", "2", "Deadline-Ms", "7", "X-Kind", "k")
		Expect(again).To(Equal(exact))
		Expect(sharedAgain).To(Equal(shared))
	})

	// A request that crashes endpoints was refused at the instances that knew it, and ran again when another had passed it on.
	It("are the same at an instance to which a request is passed on", func() {
		for _, headers := range []string{"", "X-Kind: k\r\n", "Content-Type: a/b\r\nUser-Agent: c\r\n", "Connection: X-Hop\r\nX-Hop: 1\r\n"} {
			for _, method := range []string{"POST", "GET"} {
				text := method + " /a?q=1 HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nContent-Length: 4\r\n" + headers + "\r\nbody"
				var first, second fasthttp.Request
				Expect(first.Read(bufio.NewReader(strings.NewReader(text)))).To(Succeed())
				var passed bytes.Buffer
				w := bufio.NewWriter(&passed)
				Expect(s.newPassedOnRequest(&first, time.Second).Write(w)).To(Succeed())
				Expect(w.Flush()).To(Succeed())
				Expect(second.Read(bufio.NewReader(&passed))).To(Succeed())
				Expect(takePassedOn(&second.Header)).To(BeTrue())
				before, sharedBefore := s.fingerprintsOf(&first, "o")
				after, sharedAfter := s.fingerprintsOf(&second, "o")
				Expect(after).To(Equal(before), "%s %q: %s", method, headers, second.Header.String())
				Expect(sharedAfter).To(Equal(sharedBefore))
			}
		}
	})

	It("share content and headers with a request that has another query", func() {
		other, otherShared := of("/a?q=2", "body", "X-Kind", "k")
		Expect(other).NotTo(Equal(exact))
		Expect(otherShared.Content).To(Equal(shared.Content))
		Expect(otherShared.Headers).To(Equal(shared.Headers))
		Expect(otherShared.Query).NotTo(Equal(shared.Query))
	})

	It("share content and query with a request that has other headers", func() {
		other, otherShared := of("/a?q=1", "body", "X-Kind", "l")
		Expect(other).NotTo(Equal(exact))
		Expect(otherShared.Content).To(Equal(shared.Content))
		Expect(otherShared.Query).To(Equal(shared.Query))
		Expect(otherShared.Headers).NotTo(Equal(shared.Headers))
	})

	It("share nothing with a request of another path or body", func() {
		for _, uriAndBody := range [][2]string{{"/b?q=1", "body"}, {"/a?q=1", "other"}} {
			other, otherShared := of(uriAndBody[0], uriAndBody[1], "X-Kind", "k")
			Expect([]wigeonshift.Fingerprint{other, otherShared.Content, otherShared.Query, otherShared.Headers}).NotTo(
				ContainElement(BeElementOf(exact, shared.Content, shared.Query, shared.Headers)))
		}
	})
})

// BenchmarkFingerprints measures the hashes of a request with ten headers and a body of 1 KiB.
func BenchmarkFingerprints(b *testing.B) {
	s := &Service{dialect: platform.Dialect{}}
	var r fasthttp.Request
	r.SetRequestURI("/path/of/a/request?item=7")
	r.SetBody(make([]byte, 1<<10))
	for n := range 10 {
		r.Header.Set(fmt.Sprintf("X-Header-%d", n), "some value")
	}
	for b.Loop() {
		s.fingerprintsOf(&r, "organisation")
	}
}

var _ = Describe("Features", func() {
	part := func(id string) wigeonshift.PromptPart { return wigeonshift.PromptPart{ID: id, Tokens: 1} }

	It("are those of all parts of a prompt but the last: at all, at one service and of one organisation", func() {
		three := featuresOf([]wigeonshift.PromptPart{part("a"), part("b"), part("own")}, "s", "o")
		Expect(three).To(HaveLen(6))
		Expect(featuresOf([]wigeonshift.PromptPart{part("b"), part("other")}, "s", "o")).To(Equal(three[3:]), "whatever is before or after the part")
		elsewhere := featuresOf([]wigeonshift.PromptPart{part("a"), part("own")}, "t", "o")
		Expect(elsewhere).To(Equal([]wigeonshift.Fingerprint{three[0], elsewhere[1], three[2]}))
		Expect(elsewhere[1]).NotTo(Equal(three[1]))
		others := featuresOf([]wigeonshift.PromptPart{part("a"), part("own")}, "s", "p")
		Expect(others).To(Equal([]wigeonshift.Fingerprint{three[0], three[1], others[2]}))
		Expect(others[2]).NotTo(Equal(three[2]))
		Expect(featuresOf([]wigeonshift.PromptPart{part("own")}, "s", "o")).To(BeEmpty(), "the last part belongs to the request")
	})
})
