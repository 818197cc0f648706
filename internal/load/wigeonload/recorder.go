package wigeonload

import (
	"sync"
	"time"

	"wigeonshift"
	"wigeonshift/internal/load/wigeonscenario"
	"wigeonshift/internal/modules/wigeonprompt"
	"wigeonshift/internal/standin/wigeonengine"
	"wigeonshift/internal/standin/wigeonplain"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Recorded durations are clamped to the range from histogramMinMicros to histogramMaxMicros.
	histogramMinMicros         = 1
	histogramMaxMicros         = int64(10 * time.Minute / time.Microsecond)
	histogramSignificantDigits = 3
	// maxFaultSamples limits the wrong responses that the result describes.
	maxFaultSamples = 5
)

// recorder collects the counts and latencies of a run. It is safe for concurrent use.
type recorder struct {
	mu       sync.Mutex
	start    time.Time
	tiers    map[tierKey]*tierStats
	refusals map[refusalKey]int64
	timeline []SecondCounts
	// sendsByContent counts the sends of each content, except reads of plain services.
	sendsByContent map[wigeonshift.Fingerprint]*sendCounts
	// seenBlocks holds the distinct prompt blocks of complete responses.
	seenBlocks map[wigeonshift.BlockHash]struct{}
	// neededTokens is the number of prompt tokens that had to be computed at least once.
	neededTokens int64
	faultSamples []string
	// notSent counts requests that exceeded the limit on requests in flight.
	notSent  int64
	requests int64
	finished int64
}

type tierKey struct {
	// organisation is empty for the total of all organisations.
	organisation string
	tier         string
	kind         wigeonshift.ServiceKind
}

type refusalKey struct {
	tier   string
	reason wigeonshift.RefusalReason
	state  wigeonshift.RunState
}

// sendCounts counts the sends of one content, and those that provably did not run.
type sendCounts struct {
	sends        int
	provenNotRun int
	// plain marks a non-idempotent call of a plain service.
	plain bool
}

// tierStats has the counts and latencies of one tier's requests to one kind of service.
type tierStats struct {
	TierCounts
	firstToken, betweenTokens, total *hdrhistogram.Histogram
}

func newRecorder(start time.Time) *recorder {
	return &recorder{
		start:          start,
		tiers:          map[tierKey]*tierStats{},
		refusals:       map[refusalKey]int64{},
		sendsByContent: map[wigeonshift.Fingerprint]*sendCounts{},
		seenBlocks:     map[wigeonshift.BlockHash]struct{}{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMinMicros, histogramMaxMicros, histogramSignificantDigits)
}

// classStats returns the statistics to which the requests of a class belong.
func (r *recorder) classStats(c *wigeonscenario.Class) *tierStats {
	return statsFor(r.tiers, tierKey{organisation: c.Organisation, tier: c.Tier, kind: serviceKind(c)})
}

// statsFor returns the statistics of a key and creates them if needed.
func statsFor(stats map[tierKey]*tierStats, key tierKey) *tierStats {
	t, ok := stats[key]
	if !ok {
		t = &tierStats{firstToken: newHistogram(), betweenTokens: newHistogram(), total: newHistogram()}
		stats[key] = t
	}
	return t
}

// serviceKind returns the kind of service that a class calls.
func serviceKind(c *wigeonscenario.Class) wigeonshift.ServiceKind {
	if c.Kind == wigeonscenario.KindCall {
		return wigeonshift.ServicePlain
	}
	return wigeonshift.ServiceModel
}

// currentSecond returns the timeline entry of the current second.
func (r *recorder) currentSecond() *SecondCounts {
	index := int(time.Since(r.start) / time.Second)
	for len(r.timeline) <= index {
		r.timeline = append(r.timeline, SecondCounts{Good: map[string]int64{}})
	}
	return &r.timeline[index]
}

// recordRequest counts a new request, before its first send.
func (r *recorder) recordRequest(req *wigeonscenario.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	r.classStats(req.Class).Requests++
	r.currentSecond().Requests++
}

// recordNotSent counts a request that was not sent because of the limit on requests in flight.
func (r *recorder) recordNotSent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notSent++
}

// recordSend counts one send of a request before it happens.
func (r *recorder) recordSend(req *wigeonscenario.Request, resend bool) {
	content, counted := contentFingerprint(req)
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.classStats(req.Class)
	t.Sends++
	if resend {
		t.Resends++
	}
	if !counted {
		return
	}
	counts, ok := r.sendsByContent[content]
	if !ok {
		counts = &sendCounts{plain: req.Class.Kind == wigeonscenario.KindCall}
		r.sendsByContent[content] = counts
	}
	counts.sends++
}

// recordOutcome records the outcome of one send.
func (r *recorder) recordOutcome(req *wigeonscenario.Request, o *outcome) {
	content, counted := contentFingerprint(req)
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.kind == OutcomeRefused {
		r.refusals[refusalKey{req.Class.Tier, o.refusal.Reason, o.refusal.State}]++
		r.currentSecond().Refusals++
	}
	if counted && o.provenNotRun() {
		r.sendsByContent[content].provenNotRun++
	}
	if o.kind == OutcomeWrong && len(r.faultSamples) < maxFaultSamples {
		r.faultSamples = append(r.faultSamples, req.Class.Name+": "+o.detail)
	}
}

// recordCompletion records the final outcome of a request, and the latencies if the response is complete.
func (r *recorder) recordCompletion(req *wigeonscenario.Request, o *outcome, elapsed time.Duration) {
	blocks := promptBlockHashes(req, o)
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.classStats(req.Class)
	r.finished++
	t.add(o.kind)
	if o.kind != OutcomeGood && o.kind != OutcomeLate {
		return
	}
	recordDuration(t.total, elapsed, 1)
	if o.firstToken > 0 {
		recordDuration(t.firstToken, o.firstToken, 1)
	}
	for _, g := range o.frameGaps {
		recordDuration(t.betweenTokens, g.duration/time.Duration(g.tokens), g.tokens)
	}
	if req.Class.Kind != wigeonscenario.KindCall {
		r.addNeededTokens(req, blocks)
		if o.kind == OutcomeGood {
			t.GoodTokens += int64(wigeonprompt.Tokens(o.text))
		}
	}
	if o.kind == OutcomeGood {
		r.currentSecond().Good[req.Class.Tier]++
	}
}

// addNeededTokens adds the prompt tokens of a request that had to be computed at least once. Blocks of earlier prompts
// are left out because they could be cached.
func (r *recorder) addNeededTokens(req *wigeonscenario.Request, blocks []wigeonshift.BlockHash) {
	needed := wigeonprompt.Tokens(enginePrompt(req)) - len(blocks)*wigeonshift.PrefixBlockTokens
	for _, b := range blocks {
		if _, ok := r.seenBlocks[b]; !ok {
			r.seenBlocks[b] = struct{}{}
			needed += wigeonshift.PrefixBlockTokens
		}
	}
	// The engine computes the last token even if the whole prompt is cached.
	r.neededTokens += int64(max(1, needed))
}

// promptBlockHashes returns the hashes of the prompt's blocks if the response was complete.
func promptBlockHashes(req *wigeonscenario.Request, o *outcome) []wigeonshift.BlockHash {
	complete := o.kind == OutcomeGood || o.kind == OutcomeLate
	if !complete || req.Class.Kind == wigeonscenario.KindCall {
		return nil
	}
	return wigeonprompt.PrefixHashes(req.Class.Model, enginePrompt(req))
}

// contentFingerprint returns the fingerprint under which the stand-ins count a request. counted is false for reads of
// plain services, which they do not count.
func contentFingerprint(req *wigeonscenario.Request) (content wigeonshift.Fingerprint, counted bool) {
	if req.Class.Kind == wigeonscenario.KindCall {
		return wigeonplain.CallFingerprint(req.Path, req.Body), req.Class.Call.NonIdempotent
	}
	return wigeonengine.CompletionFingerprint(req.Class.Model, enginePrompt(req), req.MaxTokens), true
}

// recordDuration adds a duration to a histogram count times.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration, count int) {
	// RecordValues fails only for values out of range, and the value is clamped.
	_ = h.RecordValues(min(max(d.Microseconds(), histogramMinMicros), histogramMaxMicros), int64(count))
}

// Progress counts the requests of a run so far.
type Progress struct {
	Requests int64
	Finished int64
	Good     int64
}

func (r *recorder) progress() Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Progress{Requests: r.requests, Finished: r.finished}
	for _, t := range r.tiers {
		p.Good += t.Good
	}
	return p
}
