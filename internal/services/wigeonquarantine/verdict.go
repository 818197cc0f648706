package wigeonquarantine

import (
	"slices"
	"time"

	"wigeonshift"
)

// Verdict tells whether a request may be sent to endpoints.
type Verdict int

const (
	// VerdictSend means that nothing speaks against the request.
	VerdictSend Verdict = iota
	// VerdictTry means that endpoints crashed under several requests that have something in common with this one, and that
	// no request like this one has been answered. It may be such a request, or a sound one beside them.
	VerdictTry
	// VerdictRefuse means that several endpoints crashed under this very request, or some under it and several under others
	// that have something in common with it.
	VerdictRefuse
)

// minCrashShare is the share of all crashes, since the first one of requests that share a fingerprint, from which they are
// the likely cause. When endpoints crash for other reasons, they crash under requests of all kinds.
const minCrashShare = 0.5

// Judge decides whether a request may be sent. A request is refused for the crashes under it alone, unless it was answered at
// least as often. What it shares with others counts if at least the limit of endpoints crashed under requests that share it,
// see IsSuspected. A request of which a variant was answered is not suspected for the rest that it shares.
func (r *Record) Judge(f wigeonshift.Fingerprint, shared wigeonshift.SharedFingerprints, answers *AnswerCounter) Verdict {
	if len(r.crashes) == 0 {
		return VerdictSend
	}
	if r.Quarantined(f) && answers.Count(f) < len(r.crashes[f]) {
		return VerdictRefuse
	}
	if answers.Count(f) > 0 {
		return VerdictSend
	}
	suspected := r.IsSuspected(shared.Content, shared.Content, answers, 0)
	for _, k := range [...]wigeonshift.Fingerprint{shared.Query, shared.Headers} {
		switch {
		case r.IsSuspected(shared.Content, k, answers, 0):
			suspected = true
		case answers.Count(k) > 0:
			return VerdictSend
		}
	}
	switch {
	case !suspected:
		return VerdictSend
	case len(r.crashes[f]) > 0:
		return VerdictRefuse
	default:
		return VerdictTry
	}
}

// isSuspectedByShared reports whether anything that requests share with others makes them suspected.
func (r *Record) isSuspectedByShared(shared wigeonshift.SharedFingerprints) bool {
	for _, k := range [...]wigeonshift.Fingerprint{shared.Content, shared.Query, shared.Headers} {
		if r.exceedsLimit(r.weightOfShared(shared.Content, k), 0, false) {
			return true
		}
	}
	return false
}

// IsSuspected reports whether requests that share a fingerprint, which is their content or covers it, are the likely cause of
// crashes after a number of further ones. The crashes under the variant that has most of them don't count if they alone reach
// the limit, or if there are several and some of the requests were answered.
func (r *Record) IsSuspected(content, shared wigeonshift.Fingerprint, answers *AnswerCounter, further int) bool {
	return r.exceedsLimit(r.weightOfShared(content, shared), further, answers.Count(shared) > 0)
}

// MayBeOneVariant reports whether one variant may have caused the crashes for which requests are suspected: several of them
// happened under it, and too few under others.
func (r *Record) MayBeOneVariant(shared wigeonshift.SharedFingerprints) bool {
	for _, k := range [...]wigeonshift.Fingerprint{shared.Content, shared.Query, shared.Headers} {
		w := r.weightOfShared(shared.Content, k)
		if r.exceedsLimit(w, 0, false) && (!w.hasRepeatedVariant() || w.total-w.heaviest >= r.limit*crashWeight) {
			return false
		}
	}
	return true
}

// sharedWeight is the weight of crashes under requests that share a fingerprint.
type sharedWeight struct {
	// total is the weight of these crashes, heaviest that of those under the variant that has most of them.
	total, heaviest int
	// first is the time of the first of them.
	first time.Time
}

// exceedsLimit reports whether crashes and a number of further ones make requests suspected of which some were answered or
// none.
func (r *Record) exceedsLimit(w sharedWeight, further int, answered bool) bool {
	counted := w.total + further*crashWeight
	if answered && w.hasRepeatedVariant() || w.heaviest >= r.limit*crashWeight {
		counted -= w.heaviest
	}
	if counted < r.limit*crashWeight {
		return false
	}
	all := further * crashWeight
	if w.total > 0 {
		all += r.weightSince(w.first)
	}
	return float64(counted) >= minCrashShare*float64(all)
}

// hasRepeatedVariant reports whether at least two endpoints crashed under one variant.
func (w sharedWeight) hasRepeatedVariant() bool { return w.heaviest >= 2*crashWeight }

// weightOfShared returns the weight of the crashes under requests that share a fingerprint.
func (r *Record) weightOfShared(content, shared wigeonshift.Fingerprint) sharedWeight {
	if shared == 0 || len(r.variants[content]) == 0 {
		return sharedWeight{}
	}
	w, known := r.sharedWeights[shared]
	if !known {
		w = r.weighShared(content, shared)
		r.sharedWeights[shared] = w
	}
	return w
}

func (r *Record) weighShared(content, shared wigeonshift.Fingerprint) sharedWeight {
	crashes := r.unexplained(r.ContentCrashes(content))
	if shared != content {
		crashes = slices.DeleteFunc(crashes, func(c wigeonshift.Crash) bool { return !isVariant(c, shared) })
	}
	if len(crashes) == 0 {
		return sharedWeight{}
	}
	total := weighEndpoints(crashes, nil).total()
	return sharedWeight{total: total, heaviest: heaviestVariant(crashes, shared), first: firstCrash(crashes)}
}

// unexplained returns those of some crashes that no feature of the requests explains.
func (r *Record) unexplained(crashes []wigeonshift.Crash) []wigeonshift.Crash {
	return slices.DeleteFunc(crashes, func(c wigeonshift.Crash) bool { return r.isExplained(c.Endpoint) })
}

// ContentCrashes returns the crashes of all requests with a content.
func (r *Record) ContentCrashes(content wigeonshift.Fingerprint) []wigeonshift.Crash {
	var crashes []wigeonshift.Crash
	for _, f := range r.variants[content] {
		crashes = append(crashes, r.crashes[f]...)
	}
	return crashes
}

// CrashedEndpoints returns how many endpoints crashed under requests with a content, and the time of the latest crash.
func (r *Record) CrashedEndpoints(content wigeonshift.Fingerprint) (count int, latest time.Time) {
	crashes := r.ContentCrashes(content)
	for _, c := range crashes {
		if c.At.After(latest) {
			latest = c.At
		}
	}
	return len(weighEndpoints(crashes, nil)), latest
}

// endpointWeights holds the weight of the crash of each endpoint.
type endpointWeights map[string]int

func (w endpointWeights) total() int {
	total := 0
	for _, weight := range w {
		total += weight
	}
	return total
}

// weighEndpoints returns the weights of the endpoints that crashed, for crashes that the filter accepts; nil accepts all.
func weighEndpoints(crashes []wigeonshift.Crash, accept func(wigeonshift.Crash) bool) endpointWeights {
	weights := endpointWeights{}
	for _, c := range crashes {
		if accept == nil || accept(c) {
			weights[c.Endpoint] = max(weights[c.Endpoint], weightOf(c))
		}
	}
	return weights
}

// heaviestVariant returns the weight of the crashes under the variant that has most of them: one query, one set of headers or
// one whole request.
func heaviestVariant(crashes []wigeonshift.Crash, shared wigeonshift.Fingerprint) int {
	heaviest := 0
	for _, variant := range variantsOf(crashes, shared) {
		weights := weighEndpoints(crashes, func(c wigeonshift.Crash) bool { return isVariant(c, variant) })
		heaviest = max(heaviest, weights.total())
	}
	return heaviest
}

func isVariant(c wigeonshift.Crash, variant wigeonshift.Fingerprint) bool {
	return variant != 0 && (c.Fingerprint == variant || c.Shared.Query == variant || c.Shared.Headers == variant)
}

// variantsOf returns the fingerprints that are more specific than the shared one.
func variantsOf(crashes []wigeonshift.Crash, shared wigeonshift.Fingerprint) []wigeonshift.Fingerprint {
	var variants []wigeonshift.Fingerprint
	for _, c := range crashes {
		variants = append(variants, c.Fingerprint)
		if c.Shared.Content == shared {
			variants = append(variants, c.Shared.Query, c.Shared.Headers)
		}
	}
	slices.Sort(variants)
	return slices.Compact(variants)
}

func firstCrash(crashes []wigeonshift.Crash) time.Time {
	first := crashes[0].At
	for _, c := range crashes {
		if c.At.Before(first) {
			first = c.At
		}
	}
	return first
}

// weightSince returns the weight of all crashes of endpoints since a time.
func (r *Record) weightSince(at time.Time) int {
	weights := endpointWeights{}
	for _, crashes := range r.crashes {
		for _, c := range crashes {
			if !c.At.Before(at) {
				weights[c.Endpoint] = max(weights[c.Endpoint], weightOf(c))
			}
		}
	}
	return weights.total()
}
