package wigeonrelay

import (
	"strings"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonprompt"

	"github.com/valyala/fasthttp"
)

// fingerprintsOf returns a hash of everything that a request asks for, and hashes of what it shares with others.
func (s *Service) fingerprintsOf(r *fasthttp.Request, organisation string) (wigeonshift.Fingerprint, wigeonshift.SharedFingerprints) {
	path, query, _ := strings.Cut(string(r.Header.RequestURI()), "?")
	content := wigeonprompt.BodyFingerprint(r.Body(), organisation, string(r.Header.Method()), path)
	headers := s.hashHeaders(&r.Header)
	shared := wigeonshift.SharedFingerprints{
		Content: content,
		Query:   wigeonprompt.Fingerprint("query", content.String(), query),
		Headers: wigeonprompt.Fingerprint("headers", content.String(), headers),
	}
	return wigeonprompt.Fingerprint("exact", content.String(), query, headers), shared
}

// hashHeaders returns a hash of the headers that describe a request. It doesn't depend on their order.
func (s *Service) hashHeaders(h *fasthttp.RequestHeader) string {
	var sum wigeonshift.Fingerprint
	s.dialect.VisitContentHeaders(h, func(name, value []byte) {
		sum += wigeonprompt.Fingerprint(strings.ToLower(string(name)), string(value))
	})
	return sum.String()
}
