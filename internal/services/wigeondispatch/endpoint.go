package wigeondispatch

import (
	"time"

	"wigeonshift"

	"github.com/cespare/xxhash/v2"
)

const (
	// timingSampleWeight is the weight of a new sample in the moving averages of the timings.
	timingSampleWeight = 0.2
	// failureSampleWeight is the weight of a new outcome in the moving average of the failure rate.
	failureSampleWeight = 0.25
	// suspectFailureThreshold is the number of consecutive failures after which an endpoint is suspect.
	suspectFailureThreshold = 3
	// A suspect endpoint gets no requests for minSuspectTime. Each further failure doubles this time up to maxSuspectTime.
	minSuspectTime = 500 * time.Millisecond
	maxSuspectTime = 4 * time.Second
	// maxDoublings bounds the doublings of a pause, so that it doesn't overflow.
	maxDoublings = 8
	// defaultSlots is the number of slots of endpoints that don't report it.
	defaultSlots = 4
)

// load is the load that one or more instances put on one endpoint.
type load struct {
	running int
	// prefill is the number of prompt tokens of the running requests that have had no event yet.
	prefill int
	// reservedTokens is the engine memory that the running requests may need, in tokens.
	reservedTokens int
}

// timings are the times that an endpoint needs for the parts of a request. They give the expected latency of a
// request, by which endpoints are compared.
type timings struct {
	// decodeStep is the time for one output token, prefill the time for one prompt token, and plain the time for a request
	// without tokens.
	decodeStep, prefill, plain time.Duration
	// plainDeviation is the mean distance of a single sample of plain from plain.
	plainDeviation time.Duration
}

// defaultTimings are the initial timings of the first endpoint of a service, before any answer was measured.
var defaultTimings = timings{
	decodeStep: 4 * time.Millisecond, prefill: 20 * time.Microsecond, plain: 30 * time.Millisecond, plainDeviation: 15 * time.Millisecond,
}

// meanTimings returns the mean of the endpoints' timings, or defaultTimings if there are none. The mean is the initial
// value for a new endpoint, and the basis for estimates of queued requests whose endpoint isn't known yet. The time
// plain is that of a request without tokens.
func meanTimings(endpoints []*endpoint) timings {
	n := time.Duration(len(endpoints))
	if n == 0 {
		return defaultTimings
	}
	var sum timings
	for _, e := range endpoints {
		sum.decodeStep += e.decodeStep
		sum.prefill += e.prefill
		sum.plain += e.plain
		sum.plainDeviation += e.plainDeviation
	}
	return timings{
		decodeStep: sum.decodeStep / n, prefill: sum.prefill / n, plain: sum.plain / n, plainDeviation: sum.plainDeviation / n,
	}
}

// endpoint is one endpoint as this instance sees it.
type endpoint struct {
	record  wigeonshift.EndpointRecord
	pool    *pool
	ownLoad load
	// peerLoad is the sum of the loads that the other instances reported, groupLoad the number of running requests in it that the
	// members of this instance's group reported.
	peerLoad  load
	groupLoad int
	// allowance is the number of requests that this instance's group may run on the endpoint at a time if groups share it.
	allowance int
	timings
	// hasDecodeSample is set once decodeStep comes from a measurement on this endpoint.
	hasDecodeSample bool
	// failureRate is the moving average of failures: 0 if all attempts succeed, 1 if all fail.
	failureRate float64
	// consecutiveFailures is the number of failures since the last success, misplaced that of misdirected requests.
	consecutiveFailures, misplaced int
	// failedRequest is the request that failed last. It counts once, because it may fail on every endpoint.
	failedRequest wigeonshift.Fingerprint
	// suspectUntil is the time until which a suspect endpoint gets no requests.
	suspectUntil time.Duration
	// otherGroup is set for endpoints that are assigned to another group of instances. This instance uses them only if no
	// endpoint of its own group can accept a request.
	otherGroup bool
	// signals are what the endpoint has said of itself; nil if nothing.
	signals *signals
	// dispatchedAt is the time of this instance's latest dispatch to the endpoint, rejectedAt that at which this instance last learned of
	// a request, its own or one of its group, that the endpoint rejected; zero if there was none.
	dispatchedAt, rejectedAt time.Duration
	// rejections is the number of this instance's requests that the endpoint has rejected while it was brittle.
	rejections int
	// reportedLeaving is set while other instances report the endpoint as leaving or gone, and the own list is older than theirs.
	reportedLeaving bool
	// barred is set while the endpoint gets no requests because of a rollout.
	barred bool
	// probing is set while a single request tests whether a suspect endpoint works again.
	probing bool
	// hash is a hash of the endpoint's ID.
	hash uint64
	// kept are the parts of prompts that the endpoint is expected to keep.
	kept keptPrompts
}

// newEndpoint returns an endpoint whose initial timings are the mean of the other endpoints of its pool, because
// nothing was measured on it yet.
func newEndpoint(record wigeonshift.EndpointRecord, p *pool) *endpoint {
	return &endpoint{record: record, pool: p, timings: p.typicalTimings(), hash: xxhash.Sum64String(record.ID)}
}

// resetTimings replaces what was measured on the endpoint by the mean of its pool.
func (e *endpoint) resetTimings() {
	e.timings, e.hasDecodeSample = e.pool.typicalTimings(), false
	e.pool.cachedTimingsValid = false
}

// running returns the number of requests that all instances together run on the endpoint.
func (e *endpoint) running() int { return e.ownLoad.running + e.peerLoad.running }

// slots returns the number of requests that the endpoint can run concurrently: as the endpoint reports it, else as the
// profile of the service's model engines says, else defaultSlots.
func (e *endpoint) slots() int {
	if e.record.Slots > 0 {
		return e.record.Slots
	}
	if e.pool.profile != nil && e.pool.profile.Slots > 0 {
		return e.pool.profile.Slots
	}
	return defaultSlots
}

// available reports whether the endpoint may get a request now. An endpoint that is leaving may not, nor one that wants none
// for a while, nor a suspect one
// (one that failed several times in a row) before its suspect time is over. After that a suspect endpoint gets one
// request at a time, which tests whether it works again, until one succeeds.
func (e *endpoint) available(at time.Duration) bool {
	if e.barred || e.isLeaving() || e.backoffLeft(at) > 0 {
		return false
	}
	if e.consecutiveFailures < suspectFailureThreshold {
		return true
	}
	return at >= e.suspectUntil && !e.probing
}

// startAttempt adds a request to the endpoint's load. On a suspect endpoint (one that failed several times in a row)
// the request is a probe, so the endpoint gets no other one until it ends.
func (e *endpoint) startAttempt(j *Job) {
	e.ownLoad.running++
	e.ownLoad.prefill += j.unreadTokens()
	e.ownLoad.reservedTokens += j.tokenFootprint()
	if e.consecutiveFailures >= suspectFailureThreshold {
		e.probing = true
	}
}

// answerStarted removes the prompt of a request from the pending prefill work, because its first event has arrived.
func (e *endpoint) answerStarted(j *Job) { e.ownLoad.prefill -= j.unreadTokens() }

// endAttempt removes a request from the endpoint's load. Its prompt is removed only if no event arrived, because
// answerStarted has already removed it otherwise.
func (e *endpoint) endAttempt(j *Job) {
	e.ownLoad.running--
	e.ownLoad.reservedTokens -= j.tokenFootprint()
	if j.firstEventLatency == 0 {
		e.ownLoad.prefill -= j.unreadTokens()
	}
	e.probing = false
}

// recordSuccess resets the consecutive failures and lowers the failure rate.
func (e *endpoint) recordSuccess() {
	e.consecutiveFailures, e.misplaced, e.failedRequest = 0, 0, 0
	e.failureRate -= e.failureRate * failureSampleWeight
}

// recordFailure counts a failure. An endpoint that fails several times in a row becomes suspect: it gets no requests
// for a time that doubles with each further failure up to a maximum. recordFailure returns this time, or zero if the
// endpoint stays available.
func (e *endpoint) recordFailure(at time.Duration) time.Duration {
	e.failureRate += (1 - e.failureRate) * failureSampleWeight
	e.consecutiveFailures++
	if e.consecutiveFailures < suspectFailureThreshold {
		return 0
	}
	pause := min(minSuspectTime<<min(e.consecutiveFailures-suspectFailureThreshold, maxDoublings), maxSuspectTime)
	e.suspectUntil = at + pause
	return pause
}

// recordFirstEvent updates the timings from the time to the first event of a request that got a free slot, so that the
// time includes no wait in the endpoint's own queue. For a model engine, the time to decode the event is subtracted,
// and the rest is the prefill, which processes the prompt. Prompts that are too short to tell the prefill time are
// ignored.
func (e *endpoint) recordFirstEvent(j *Job, first time.Duration) {
	e.pool.cachedTimingsValid = false
	if !j.HasTokens {
		e.plainDeviation = movingAverage(e.plainDeviation, (first - e.plain).Abs())
		e.plain = movingAverage(e.plain, first)
		return
	}
	if j.unreadTokens() < minPrefillSampleTokens {
		return
	}
	decode := e.decodeStep * time.Duration(e.pool.eventTokens())
	if first > decode {
		e.prefill = movingAverage(e.prefill, (first-decode)/time.Duration(j.unreadTokens()))
	}
}

// recordStreamEnd updates the time per output token from the span between the first and the last event of a stream.
// Streams with too few events to tell it are ignored. The first sample replaces the initial value, because that was
// only the mean of other endpoints or a default.
func (e *endpoint) recordStreamEnd(events int, span time.Duration) {
	if events < minDecodeSampleEvents {
		return
	}
	e.pool.cachedTimingsValid = false
	decodeStep := span / time.Duration((events-1)*e.pool.eventTokens())
	if !e.hasDecodeSample {
		e.decodeStep, e.hasDecodeSample = decodeStep, true
		return
	}
	e.decodeStep = movingAverage(e.decodeStep, decodeStep)
}

const (
	// minPrefillSampleTokens is the minimum size of a prompt whose time to the first event updates the prefill time.
	minPrefillSampleTokens = 1000
	// minDecodeSampleEvents is the minimum number of events of a stream that updates the decode time.
	minDecodeSampleEvents = 4
)

// movingAverage returns the exponential moving average after a new sample.
func movingAverage(average, sample time.Duration) time.Duration {
	return average + time.Duration(timingSampleWeight*float64(sample-average))
}
