package wigeonquarantine

import (
	"maps"
	"slices"
	"time"

	"wigeonshift"
)

const (
	// causeLimit is the number of crashes since the latest answer to a feature from which the feature may be their cause.
	causeLimit = 4
	// answeredCauseLimit is the number of these crashes from which a feature is refused that was answered before them.
	answeredCauseLimit = 2 * causeLimit
	// minCrashPeriod is the shortest time between the first and the latest crash of a feature that is refused. Endpoints that end
	// together, as those of one rack do, end under everything that they ran.
	minCrashPeriod = 500 * time.Millisecond
)

// Cause is an explanation of crashes by what the requests at them had in common.
type Cause struct {
	// Features explain the crashes equally well, sorted. One of them is the cause.
	Features []wigeonshift.Fingerprint
	// Certain is set if requests with all of Features are refused. Otherwise they are tried one at a time.
	Certain bool
	// Endpoints are those that crashed, sorted. LatestAt is the time of the latest crash.
	Endpoints []string
	LatestAt  time.Time
	// AnsweredAt is the time of the latest answer to a request with one of Features, before the crashes; zero if none is known.
	AnsweredAt time.Time
}

// Key identifies the cause.
func (c *Cause) Key() wigeonshift.Fingerprint { return c.Features[0] }

// matches returns the number of Features that a request has.
func (c *Cause) matches(features []wigeonshift.Fingerprint) int {
	n := 0
	for _, feature := range c.Features {
		if slices.Contains(features, feature) {
			n++
		}
	}
	return n
}

// Identifiers returns everything that a request may have in common with others, itself included.
func Identifiers(f wigeonshift.Fingerprint, shared wigeonshift.SharedFingerprints, features []wigeonshift.Fingerprint) []wigeonshift.Fingerprint {
	return append([]wigeonshift.Fingerprint{f, shared.Content, shared.Query, shared.Headers}, features...)
}

// JudgeFeatures decides whether a request with some identifiers may be sent, given the causes of crashes, and returns the cause that
// speaks against it. If several features explain the crashes equally well, a request that has all of them is refused, whichever is
// the cause. One that has some of them is tried: its answer, or another crash, tells them apart.
func (r *Record) JudgeFeatures(identifiers []wigeonshift.Fingerprint) (Verdict, *Cause) {
	verdict, found := VerdictSend, (*Cause)(nil)
	for i := range r.Causes() {
		c := &r.causes[i]
		switch n := c.matches(identifiers); {
		case n == 0:
		case n == len(c.Features) && c.Certain:
			return VerdictRefuse, c
		default:
			verdict, found = VerdictTry, c
		}
	}
	return verdict, found
}

// Causes returns the explanations of the crashes under requests with features. Each step takes the feature with the most crashes that
// are not explained yet, so that what is only often beside a cause is left without crashes of its own. Features that were never
// answered come first: one that is beside two causes has more crashes than either.
func (r *Record) Causes() []Cause {
	if r.causesAreKnown {
		return r.causes
	}
	r.causes, r.causesAreKnown = nil, true
	explained, isCause := map[string]bool{}, map[wigeonshift.Fingerprint]bool{}
	for weighed := r.sortedByWeight(causeLimit*crashWeight, explained); len(weighed) > 0; {
		c := r.newCause(weighed, explained)
		r.causes = append(r.causes, c)
		for _, endpoint := range c.Endpoints {
			explained[endpoint] = true
		}
		for _, feature := range c.Features {
			isCause[feature] = true
		}
		weighed = r.sortedByWeight(causeLimit*crashWeight, explained)
	}
	for _, w := range r.sortedByWeight(causeLimit*crashWeight, nil) {
		if !w.answered && !isCause[w.feature] {
			r.causes = append(r.causes, r.newSuspect(w.feature))
		}
	}
	return r.causes
}

// newSuspect returns the cause that stands for a feature whose crashes another one explains and that was never answered. It is tried
// until it is.
func (r *Record) newSuspect(feature wigeonshift.Fingerprint) Cause {
	e := r.evidenceOn(feature)
	_, latest := e.period()
	return Cause{Features: []wigeonshift.Fingerprint{feature}, Endpoints: slices.Sorted(maps.Keys(e)), LatestAt: latest}
}

// newCause returns the cause that the first of some features stands for, with all that explain its crashes equally well.
func (r *Record) newCause(weighed []weighedFeature, explained map[string]bool) Cause {
	first := r.evidenceOn(weighed[0].feature)
	features := r.commonIdentifiers(weighed[0], first)
	endpoints := maps.Clone(first)
	for _, w := range weighed {
		e := r.evidenceOn(w.feature)
		if w.answered != weighed[0].answered || w.weight < weighed[0].weight || 2*e.overlap(first) < len(first) {
			continue
		}
		features = append(features, w.feature)
		maps.Copy(endpoints, e)
	}
	maps.DeleteFunc(endpoints, func(endpoint string, _ endpointCrash) bool { return explained[endpoint] })
	slices.Sort(features)
	c := Cause{Features: features, Endpoints: slices.Sorted(maps.Keys(endpoints))}
	for _, feature := range c.Features {
		if at := r.answeredAt[feature]; at.After(c.AnsweredAt) {
			c.AnsweredAt = at
		}
	}
	c.Certain, c.LatestAt = isCertain(endpoints, c.AnsweredAt)
	return c
}

// isCertain reports whether crashes suffice to refuse requests, and returns the time of the latest.
func isCertain(endpoints evidence, answeredAt time.Time) (certain bool, latest time.Time) {
	first, latest := endpoints.period()
	limit := causeLimit
	if !answeredAt.IsZero() {
		limit = answeredCauseLimit
	}
	return latest.Sub(first) >= minCrashPeriod && endpoints.weight(nil) >= limit*crashWeight, latest
}

// commonIdentifiers returns the whole request, content, query and headers that were at all crashes of a feature and explain them as
// well: a caller that sends one request again and again must not get a part refused that others use.
func (r *Record) commonIdentifiers(w weighedFeature, crashes evidence) []wigeonshift.Fingerprint {
	endpointsOf := map[wigeonshift.Fingerprint]evidence{}
	for _, c := range r.crashesWith(w.feature) {
		for _, id := range Identifiers(c.Fingerprint, c.Shared, nil) {
			if id == 0 || r.isAnswered(id) != w.answered || !c.At.After(r.answeredAt[id]) {
				continue
			}
			if endpointsOf[id] == nil {
				endpointsOf[id] = evidence{}
			}
			endpointsOf[id].addCrash(c)
		}
	}
	var common []wigeonshift.Fingerprint
	for id, e := range endpointsOf {
		if e.overlap(crashes) == len(crashes) {
			common = append(common, id)
		}
	}
	return common
}

// isPartOfCause reports whether a fingerprint is among the features of a cause, certain or not.
func (r *Record) isPartOfCause(id wigeonshift.Fingerprint) bool {
	return slices.ContainsFunc(r.Causes(), func(c Cause) bool { return slices.Contains(c.Features, id) })
}

// isCertainCause reports whether a request with some features is refused for one of them.
func (r *Record) isCertainCause(features []wigeonshift.Fingerprint) bool {
	return slices.ContainsFunc(r.Causes(), func(c Cause) bool { return c.Certain && c.matches(features) > 0 })
}

// isExplained reports whether what requests share explains the crash of an endpoint.
func (r *Record) isExplained(endpoint string) bool {
	return slices.ContainsFunc(r.Causes(), func(c Cause) bool {
		_, found := slices.BinarySearch(c.Endpoints, endpoint)
		return c.Certain && found
	})
}
