package wigeonquarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wigeonshift"
)

const (
	// suspectLifetime is the time after its last crash for which a request stays suspected.
	suspectLifetime = 30 * time.Minute
	// quarantineLifetime is the time after its last crash for which a request is refused. It is long because each try after
	// it costs as many endpoints as the first ones did.
	quarantineLifetime = 24 * time.Hour
	// maxFingerprints bounds the number of requests in a record, maxCrashes the crashes of each.
	maxFingerprints = 12288
	maxCrashes      = 8
	// maxVariants bounds the requests with crashes that are compared for each content.
	maxVariants = 64
	// Weights of crashes. A crash in the middle of a run counts less, because a request that crashes endpoints does so when
	// it begins to run.
	crashWeight       = 2
	midRunCrashWeight = 1
)

// Record holds the crashes of each fingerprint. It is not safe for concurrent use.
type Record struct {
	// limit is the number of crashes from which a request is quarantined; those in the middle of a run count half unless
	// the request explains them best.
	limit   int
	crashes map[wigeonshift.Fingerprint][]wigeonshift.Crash
	// variants holds the requests with crashes by their content, at most maxVariants for each.
	variants map[wigeonshift.Fingerprint][]wigeonshift.Fingerprint
	// sharedWeights holds the weights that were computed since the latest change.
	sharedWeights map[wigeonshift.Fingerprint]sharedWeight
	// requestsWith holds the requests with crashes by their features, at most maxFeatureRequests for each.
	requestsWith map[wigeonshift.Fingerprint][]wigeonshift.Fingerprint
	// indexed lists the requests in requestsWith in the order in which they were added. indexedFeatures is the number of their
	// features, at most maxIndexedFeatures.
	indexed         []wigeonshift.Fingerprint
	indexedFeatures int
	// answeredAt holds the time of the latest answer by feature.
	answeredAt map[wigeonshift.Fingerprint]time.Time
	// mostCrashed holds the request with the most crashes at each endpoint; computed since the latest change, nil if it wasn't.
	mostCrashed map[string]crashCount
	// evidence and causes are what was computed since the latest change; causes only if causesAreKnown is set.
	evidence       map[wigeonshift.Fingerprint]evidence
	causes         []Cause
	causesAreKnown bool
}

// NewRecord returns an empty record in which a request is quarantined from limit crashes on.
func NewRecord(limit int) *Record {
	return &Record{
		limit:         limit,
		crashes:       map[wigeonshift.Fingerprint][]wigeonshift.Crash{},
		variants:      map[wigeonshift.Fingerprint][]wigeonshift.Fingerprint{},
		sharedWeights: map[wigeonshift.Fingerprint]sharedWeight{},
		requestsWith:  map[wigeonshift.Fingerprint][]wigeonshift.Fingerprint{},
		answeredAt:    map[wigeonshift.Fingerprint]time.Time{},
		evidence:      map[wigeonshift.Fingerprint]evidence{},
	}
}

// Add adds a crash and reports whether it is new. It ignores requests without a fingerprint, and everything beyond the
// bounds of the record.
func (r *Record) Add(c wigeonshift.Crash) bool {
	known, exists := r.crashes[c.Fingerprint]
	if c.Fingerprint == 0 || len(known) >= maxCrashes || !exists && len(r.crashes) >= maxFingerprints {
		return false
	}
	if r.Has(c) {
		return false
	}
	if exists {
		// All crashes of a request share one list of features.
		c.Features = known[0].Features
	}
	r.crashes[c.Fingerprint] = append(known, c)
	r.addVariant(c)
	r.addFeatures(c)
	r.invalidate(c.Features)
	return true
}

// invalidate forgets what was computed from crashes before a change of those under some features.
func (r *Record) invalidate(features []wigeonshift.Fingerprint) {
	clear(r.sharedWeights)
	r.mostCrashed = nil
	for _, feature := range features {
		delete(r.evidence, feature)
	}
	r.causesAreKnown = false
}

// addVariant adds the request of a crash to those with the same content.
func (r *Record) addVariant(c wigeonshift.Crash) {
	content := c.Shared.Content
	known := r.variants[content]
	if content != 0 && len(known) < maxVariants && !slices.Contains(known, c.Fingerprint) {
		r.variants[content] = append(known, c.Fingerprint)
	}
}

// removeVariant removes a request without crashes from those with the same content.
func (r *Record) removeVariant(f, content wigeonshift.Fingerprint) {
	left := slices.DeleteFunc(r.variants[content], func(v wigeonshift.Fingerprint) bool { return v == f })
	if len(left) == 0 {
		delete(r.variants, content)
		return
	}
	r.variants[content] = left
}

// Has reports whether the record has a crash.
func (r *Record) Has(c wigeonshift.Crash) bool {
	return slices.ContainsFunc(r.crashes[c.Fingerprint], func(k wigeonshift.Crash) bool { return k.Endpoint == c.Endpoint })
}

// Crashes returns the crashes of a request.
func (r *Record) Crashes(f wigeonshift.Fingerprint) []wigeonshift.Crash { return r.crashes[f] }

// Related returns the crashes of the request of c, and of all requests with the same content.
func (r *Record) Related(c wigeonshift.Crash) []wigeonshift.Crash {
	if !slices.Contains(r.variants[c.Shared.Content], c.Fingerprint) {
		return r.crashes[c.Fingerprint]
	}
	return r.ContentCrashes(c.Shared.Content)
}

// Suspected reports whether a request was there at some crash, but at too few for the quarantine.
func (r *Record) Suspected(f wigeonshift.Fingerprint) bool {
	return len(r.crashes) > 0 && len(r.crashes[f]) > 0 && !r.Quarantined(f)
}

// Quarantined reports whether a request must be refused.
func (r *Record) Quarantined(f wigeonshift.Fingerprint) bool {
	return r.QuarantinedAfter(f, 0)
}

// QuarantinedAfter reports whether a request must be refused after a number of further crashes. Crashes in the middle of its runs count
// in full if it explains them best.
func (r *Record) QuarantinedAfter(f wigeonshift.Fingerprint, further int) bool {
	weight := further * crashWeight
	for _, c := range r.crashes[f] {
		weight += weightOf(c)
	}
	return weight >= r.limit*crashWeight || len(r.crashes[f])+further >= r.limit && r.explainsBest(f)
}

func weightOf(c wigeonshift.Crash) int {
	if c.MidRun {
		return midRunCrashWeight
	}
	return crashWeight
}

// ExpiresAt returns the time at which a request is forgotten.
func (r *Record) ExpiresAt(f wigeonshift.Fingerprint) time.Time {
	var last time.Time
	for _, c := range r.crashes[f] {
		if c.At.After(last) {
			last = c.At
		}
	}
	if r.Quarantined(f) || r.suspectedByShared(f) || r.hasCertainCause(f) {
		return last.Add(quarantineLifetime)
	}
	return last.Add(suspectLifetime)
}

// hasCertainCause reports whether a request with crashes has a feature that is refused.
func (r *Record) hasCertainCause(f wigeonshift.Fingerprint) bool {
	crashes := r.crashes[f]
	return len(crashes) > 0 && r.isCertainCause(crashes[0].Features)
}

// suspectedByShared reports whether a request with crashes is suspected by what it shares with others.
func (r *Record) suspectedByShared(f wigeonshift.Fingerprint) bool {
	crashes := r.crashes[f]
	if len(crashes) == 0 {
		return false
	}
	return r.isSuspectedByShared(crashes[0].Shared)
}

// Replace replaces all crashes and answers. What is computed from those that stay is kept.
func (r *Record) Replace(evidence wigeonshift.CrashEvidence) {
	stays := map[wigeonshift.Fingerprint]map[string]bool{}
	for _, c := range evidence.Crashes {
		if stays[c.Fingerprint] == nil {
			stays[c.Fingerprint] = map[string]bool{}
		}
		stays[c.Fingerprint][c.Endpoint] = true
	}
	for _, c := range r.All() {
		if !stays[c.Fingerprint][c.Endpoint] {
			r.RemoveCrash(c.Fingerprint, c.Endpoint)
		}
	}
	for _, c := range evidence.Crashes {
		r.Add(c)
	}
	r.replaceAnswers(evidence.Answers)
}

// Remove removes a request with all its crashes.
func (r *Record) Remove(f wigeonshift.Fingerprint) { r.set(f, nil) }

// RemoveFalseCrash removes a crash of an endpoint that didn't happen. Requests that are quarantined stay so.
func (r *Record) RemoveFalseCrash(endpoint string) {
	for f, known := range r.crashes {
		if r.Quarantined(f) {
			continue
		}
		r.set(f, slices.DeleteFunc(slices.Clone(known), func(c wigeonshift.Crash) bool { return c.Endpoint == endpoint }))
	}
}

// RemoveCrash removes one crash of a request.
func (r *Record) RemoveCrash(f wigeonshift.Fingerprint, endpoint string) {
	r.set(f, slices.DeleteFunc(slices.Clone(r.crashes[f]), func(c wigeonshift.Crash) bool { return c.Endpoint == endpoint }))
}

func (r *Record) set(f wigeonshift.Fingerprint, crashes []wigeonshift.Crash) {
	known := r.crashes[f]
	if len(known) > 0 {
		r.invalidate(known[0].Features)
	}
	if len(crashes) > 0 {
		r.crashes[f] = crashes
		return
	}
	if len(known) > 0 {
		r.removeVariant(f, known[0].Shared.Content)
		r.removeFeatures(f, known[0].Features)
	}
	delete(r.crashes, f)
}

// Expire removes the requests whose time is over and returns their crashes.
func (r *Record) Expire(now time.Time) []wigeonshift.Crash {
	var expired []wigeonshift.Crash
	for f, known := range r.crashes {
		if now.After(r.ExpiresAt(f)) {
			expired = append(expired, known...)
		}
	}
	for _, c := range expired {
		r.Remove(c.Fingerprint)
	}
	return expired
}

// All returns all crashes, sorted by fingerprint.
func (r *Record) All() []wigeonshift.Crash {
	all := slices.Concat(slices.Collect(maps.Values(r.crashes))...)
	slices.SortStableFunc(all, func(a, b wigeonshift.Crash) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return all
}
