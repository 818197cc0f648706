package wigeonquarantine

import (
	"cmp"
	"slices"
	"time"

	"wigeonshift"
)

// maxFeatureRequests bounds the requests with crashes that are compared for each feature. Beyond it those that were added first
// are left out.
const maxFeatureRequests = 256

// maxIndexedFeatures bounds the features in the index over all requests. Beyond it the requests that were indexed first lose
// theirs.
const maxIndexedFeatures = 1 << 16

// endpointCrash is the crash of one endpoint.
type endpointCrash struct {
	weight int
	at     time.Time
}

// evidence holds the endpoints that crashed under requests with one feature since the latest answer to such a request. The clocks
// of instances may differ by a little, which matters only for answers and crashes at nearly the same time.
type evidence map[string]endpointCrash

// weight returns the sum of the weights of the crashes of endpoints other than those left out.
func (e evidence) weight(leftOut map[string]bool) int {
	sum := 0
	for endpoint, c := range e {
		if !leftOut[endpoint] {
			sum += c.weight
		}
	}
	return sum
}

// overlap returns the number of endpoints that are in both.
func (e evidence) overlap(other evidence) int {
	n := 0
	for endpoint := range e {
		if _, both := other[endpoint]; both {
			n++
		}
	}
	return n
}

// period returns the times of the first and the latest crash.
func (e evidence) period() (first, latest time.Time) {
	for _, c := range e {
		if first.IsZero() || c.at.Before(first) {
			first = c.at
		}
		if c.at.After(latest) {
			latest = c.at
		}
	}
	return first, latest
}

// addCrash adds the crash of an endpoint. Under several requests it counts once.
func (e evidence) addCrash(c wigeonshift.Crash) {
	known := e[c.Endpoint]
	e[c.Endpoint] = endpointCrash{weight: max(known.weight, weightOf(c)), at: c.At}
}

// addFeatures adds the request of a crash to those with its features.
func (r *Record) addFeatures(c wigeonshift.Crash) {
	if len(r.crashes[c.Fingerprint]) == 1 {
		r.indexed = append(r.indexed, c.Fingerprint)
		r.indexedFeatures += len(c.Features)
	}
	for r.indexedFeatures > maxIndexedFeatures {
		r.forgetFeatures(r.indexed[0])
	}
	for _, feature := range c.Features {
		known := r.requestsWith[feature]
		if slices.Contains(known, c.Fingerprint) {
			continue
		}
		if len(known) >= maxFeatureRequests {
			known = known[1:]
		}
		r.requestsWith[feature] = append(known, c.Fingerprint)
	}
}

// forgetFeatures makes the record forget the features of a request, but not its crashes.
func (r *Record) forgetFeatures(f wigeonshift.Fingerprint) {
	crashes := slices.Clone(r.crashes[f])
	features := crashes[0].Features
	r.invalidate(features)
	r.removeFeatures(f, features)
	for i := range crashes {
		crashes[i].Features = nil
	}
	r.crashes[f] = crashes
}

// removeFeatures removes a request without crashes from those with its features.
func (r *Record) removeFeatures(f wigeonshift.Fingerprint, features []wigeonshift.Fingerprint) {
	if i := slices.Index(r.indexed, f); i >= 0 {
		r.indexed = slices.Delete(r.indexed, i, i+1)
		r.indexedFeatures -= len(features)
	}
	for _, feature := range features {
		left := slices.DeleteFunc(slices.Clone(r.requestsWith[feature]), func(w wigeonshift.Fingerprint) bool { return w == f })
		if len(left) == 0 {
			delete(r.requestsWith, feature)
			continue
		}
		r.requestsWith[feature] = left
	}
}

// evidenceOn returns the evidence on a feature. It keeps it only for features with crashes, which are bounded.
func (r *Record) evidenceOn(feature wigeonshift.Fingerprint) evidence {
	if len(r.requestsWith[feature]) == 0 {
		return nil
	}
	known, exists := r.evidence[feature]
	if exists {
		return known
	}
	found := evidence{}
	for _, c := range r.crashesWith(feature) {
		if c.At.After(r.answeredAt[feature]) {
			found.addCrash(c)
		}
	}
	r.evidence[feature] = found
	return found
}

// maxWeight returns a bound of the weight of the evidence on a feature that is quick to compute.
func (r *Record) maxWeight(feature wigeonshift.Fingerprint) int {
	crashes := 0
	for _, f := range r.requestsWith[feature] {
		crashes += len(r.crashes[f])
	}
	return crashes * crashWeight
}

// crashesWith returns the crashes under requests with a feature.
func (r *Record) crashesWith(feature wigeonshift.Fingerprint) []wigeonshift.Crash {
	var crashes []wigeonshift.Crash
	for _, f := range r.requestsWith[feature] {
		crashes = append(crashes, r.crashes[f]...)
	}
	return crashes
}

// heaviestEvidence returns the largest weight of the evidence on any feature of the request of a crash.
func (r *Record) heaviestEvidence(c wigeonshift.Crash) int {
	heaviest := 0
	for _, feature := range c.Features {
		heaviest = max(heaviest, r.evidenceOn(feature).weight(nil))
	}
	return heaviest
}

// SharesFeature reports whether a crash of another endpoint is known under a request that has a feature in common with the request
// of c, and that this feature was not answered since.
func (r *Record) SharesFeature(c wigeonshift.Crash) bool {
	for _, feature := range c.Features {
		for endpoint := range r.evidenceOn(feature) {
			if endpoint != c.Endpoint {
				return true
			}
		}
	}
	return false
}

// sortedByWeight returns the features with at least a weight of evidence without the endpoints left out: those that were never
// answered before the others, and the heaviest first.
func (r *Record) sortedByWeight(least int, leftOut map[string]bool) []weighedFeature {
	var weighed []weighedFeature
	for feature := range r.requestsWith {
		if r.maxWeight(feature) < least {
			continue
		}
		if weight := r.evidenceOn(feature).weight(leftOut); weight >= least {
			weighed = append(weighed, weighedFeature{feature: feature, weight: weight, answered: r.isAnswered(feature)})
		}
	}
	slices.SortFunc(weighed, weighedFeature.compare)
	return weighed
}

// weighedFeature is a feature with the weight of the crashes under it.
type weighedFeature struct {
	feature  wigeonshift.Fingerprint
	weight   int
	answered bool
}

// compare orders features by how well they explain crashes.
func (w weighedFeature) compare(other weighedFeature) int {
	if w.answered != other.answered {
		if w.answered {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(other.weight, w.weight), cmp.Compare(w.feature, other.feature))
}
