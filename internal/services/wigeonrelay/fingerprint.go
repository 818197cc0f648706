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

// featuresOf returns the fingerprints of the parts of a prompt that other requests may have too: all but the last, which belongs
// to the request or its session alone. Each part has three: its own, that of its use at one service, whose endpoints may run another
// model, and that of its use by one organisation.
func featuresOf(parts []wigeonshift.PromptPart, service, organisation string) []wigeonshift.Fingerprint {
	if len(parts) < 2 {
		return nil
	}
	shared := parts[:len(parts)-1]
	features := make([]wigeonshift.Fingerprint, 0, 3*len(shared))
	for _, part := range shared {
		features = append(features,
			wigeonprompt.Fingerprint("part", part.ID),
			wigeonprompt.Fingerprint("partAtService", part.ID, service),
			wigeonprompt.Fingerprint("partOfOrganisation", part.ID, organisation),
		)
	}
	return features
}

// hashHeaders returns a hash of the headers that describe a request. It doesn't depend on their order.
func (s *Service) hashHeaders(h *fasthttp.RequestHeader) string {
	var sum wigeonshift.Fingerprint
	s.dialect.VisitContentHeaders(h, func(name, value []byte) {
		sum += wigeonprompt.Fingerprint(strings.ToLower(string(name)), string(value))
	})
	return sum.String()
}
