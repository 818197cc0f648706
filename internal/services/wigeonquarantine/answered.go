package wigeonquarantine

import (
	"maps"
	"slices"
	"time"

	"wigeonshift"
)

// isAnswered reports whether an answer to requests with a feature is known.
func (r *Record) isAnswered(feature wigeonshift.Fingerprint) bool {
	return !r.answeredAt[feature].IsZero()
}

// AddAnswer adds the answer to a request with a feature, and reports whether it is later than those known.
func (r *Record) AddAnswer(a wigeonshift.FeatureAnswer) bool {
	known, exists := r.answeredAt[a.Feature]
	if a.Feature == 0 || !a.At.After(known) || !exists && len(r.answeredAt) >= maxFingerprints {
		return false
	}
	r.answeredAt[a.Feature] = a.At
	r.invalidate([]wigeonshift.Fingerprint{a.Feature})
	return true
}

// Answers returns the latest answer of each feature that has one, sorted by feature.
func (r *Record) Answers() []wigeonshift.FeatureAnswer {
	answers := make([]wigeonshift.FeatureAnswer, 0, len(r.answeredAt))
	for _, feature := range slices.Sorted(maps.Keys(r.answeredAt)) {
		answers = append(answers, wigeonshift.FeatureAnswer{Feature: feature, At: r.answeredAt[feature]})
	}
	return answers
}

// RemoveAnswer forgets the answer of a feature.
func (r *Record) RemoveAnswer(feature wigeonshift.Fingerprint) {
	delete(r.answeredAt, feature)
	r.invalidate([]wigeonshift.Fingerprint{feature})
}

// replaceAnswers replaces all answers.
func (r *Record) replaceAnswers(answers []wigeonshift.FeatureAnswer) {
	stays := map[wigeonshift.Fingerprint]bool{}
	for _, a := range answers {
		stays[a.Feature] = true
	}
	for _, a := range r.Answers() {
		if !stays[a.Feature] {
			r.RemoveAnswer(a.Feature)
		}
	}
	for _, a := range answers {
		r.AddAnswer(a)
	}
}

// ExpireAnswers removes the answers whose time is over and returns their features.
func (r *Record) ExpireAnswers(now time.Time) []wigeonshift.Fingerprint {
	var expired []wigeonshift.Fingerprint
	for feature, at := range r.answeredAt {
		if now.Sub(at) > suspectLifetime {
			expired = append(expired, feature)
		}
	}
	for _, feature := range expired {
		r.RemoveAnswer(feature)
	}
	return expired
}

// minReportedCrashes is the number of endpoints that crashed under a feature from which the next answer to it is of interest to
// other instances.
const minReportedCrashes = 2

// NeedsAnswer reports whether an answer to requests with a feature, at a time, tells the other instances something: several
// endpoints crashed under it, and no answer was known, or some of them crashed before this one.
func (r *Record) NeedsAnswer(feature wigeonshift.Fingerprint, at time.Time) bool {
	e := r.evidenceOn(feature)
	if len(e) < minReportedCrashes && !r.isPartOfCause(feature) {
		return false
	}
	first, _ := e.period()
	return r.answeredAt[feature].IsZero() || at.After(first)
}

// SuspiciousFeatures returns the features for which NeedsAnswer may be true, sorted.
func (r *Record) SuspiciousFeatures() []wigeonshift.Fingerprint {
	var features []wigeonshift.Fingerprint
	for feature := range r.requestsWith {
		if r.maxWeight(feature) >= minReportedCrashes && len(r.evidenceOn(feature)) >= minReportedCrashes {
			features = append(features, feature)
		}
	}
	for _, c := range r.Causes() {
		features = append(features, c.Features...)
	}
	slices.Sort(features)
	return slices.Compact(features)
}
