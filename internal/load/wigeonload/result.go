package wigeonload

import (
	"cmp"
	"slices"
	"time"

	"wigeonshift"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the result of a run.
type Result struct {
	Scenario string    `json:"scenario"`
	Seed     uint64    `json:"seed"`
	Nodes    []string  `json:"nodes"`
	Started  time.Time `json:"started"`
	// ElapsedMS is the time from the start of the run to its last response.
	ElapsedMS int64 `json:"elapsedMs"`
	// SendMS is how long new requests were sent.
	SendMS int64 `json:"sendMs"`
	// Tiers has one entry per tier and kind of service, with all organisations together. Organisations has one entry per
	// tier, kind of service and organisation.
	Tiers         []TierResult   `json:"tiers"`
	Organisations []TierResult   `json:"organisations"`
	Refusals      []RefusalCount `json:"refusals"`
	// NotSent counts requests that were not sent because of the runner's limit on requests in flight.
	NotSent  int64          `json:"notSent"`
	Prefill  *Prefill       `json:"prefill,omitempty"`
	Checks   Checks         `json:"checks"`
	Timeline []SecondCounts `json:"timeline"`
	Overhead *Overhead      `json:"overhead,omitempty"`
}

// TierCounts counts the requests of one tier by their final outcome.
type TierCounts struct {
	// Requests counts each request once, no matter how often it was sent.
	Requests    int64 `json:"requests"`
	Sends       int64 `json:"sends"`
	Resends     int64 `json:"resends"`
	Good        int64 `json:"good"`
	Late        int64 `json:"late"`
	Refused     int64 `json:"refused"`
	Broken      int64 `json:"broken"`
	Unreachable int64 `json:"unreachable"`
	Wrong       int64 `json:"wrong"`
	// GoodTokens is the number of generated tokens of good responses.
	GoodTokens int64 `json:"goodTokens"`
}

// add counts a request with the given final outcome.
func (c *TierCounts) add(kind OutcomeKind) {
	switch kind {
	case OutcomeGood:
		c.Good++
	case OutcomeLate:
		c.Late++
	case OutcomeRefused:
		c.Refused++
	case OutcomeBroken:
		c.Broken++
	case OutcomeUnreachable:
		c.Unreachable++
	case OutcomeWrong:
		c.Wrong++
	}
}

// TierResult is the result of one tier's requests to one kind of service.
type TierResult struct {
	// Organisation is empty for the total of all organisations.
	Organisation string                  `json:"organisation,omitempty"`
	Tier         string                  `json:"tier"`
	Kind         wigeonshift.ServiceKind `json:"kind"`
	TierCounts
	// FirstToken and BetweenTokens are the first-token and inter-token latencies of streams. Total is the latency of all
	// complete responses, resends included.
	FirstToken    Quantiles `json:"firstToken"`
	BetweenTokens Quantiles `json:"betweenTokens"`
	Total         Quantiles `json:"total"`
}

// Quantiles are the quantiles of a latency in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Ms"`
	P95   float64 `json:"p95Ms"`
	P99   float64 `json:"p99Ms"`
	Max   float64 `json:"maxMs"`
}

// RefusalCount counts the refused sends of a tier by reason and state. It includes sends of requests that were sent
// again.
type RefusalCount struct {
	Tier   string                    `json:"tier"`
	Reason wigeonshift.RefusalReason `json:"reason"`
	State  wigeonshift.RunState      `json:"state"`
	Count  int64                     `json:"count"`
}

// SecondCounts counts the events of one second of the run.
type SecondCounts struct {
	Requests int64 `json:"requests"`
	Refusals int64 `json:"refusals"`
	// Good counts good responses by tier.
	Good map[string]int64 `json:"good"`
}

// Checks has the results of the invariant checks. Violated says which counts are violations.
type Checks struct {
	// Verified counts complete responses whose whole text matched the expected one.
	Verified int64 `json:"verified"`
	// Wrong counts responses that differ from the one expected for their request.
	Wrong int64 `json:"wrong"`
	// Ledgers is the number of stand-ins whose ledgers were compared. Missing is the number of those whose ledger could
	// not be read or was lost in a restart.
	Ledgers int `json:"ledgers"`
	Missing int `json:"missing"`
	// DispatchedTooOften counts contents that ran more often than they were sent. Sends that provably did not run are
	// left out.
	DispatchedTooOften int64 `json:"dispatchedTooOften"`
	// FalseNotRun counts contents that ran although every send was reported as not run.
	FalseNotRun int64 `json:"falseNotRun"`
	// NonIdempotentTwice counts non-idempotent calls that ran more than once.
	NonIdempotentTwice int64 `json:"nonIdempotentTwice"`
	// DuplicateTokens counts attempt tokens that reached an endpoint twice.
	DuplicateTokens int64 `json:"duplicateTokens"`
	// Samples describes the first wrong responses.
	Samples []string `json:"samples,omitempty"`
}

// Violated reports whether an invariant was violated.
func (c *Checks) Violated() bool {
	return c.Wrong+c.DispatchedTooOften+c.FalseNotRun+c.NonIdempotentTwice+c.DuplicateTokens > 0
}

// Prefill is the prefill work of the engines in tokens.
type Prefill struct {
	Computed int64 `json:"computed"`
	Cached   int64 `json:"cached"`
	// Needed is the number of tokens that had to be computed at least once for the complete responses.
	Needed int64 `json:"needed"`
	// Wasted is the excess of Computed over Needed, from discarded or repeated work.
	Wasted int64 `json:"wasted"`
	// ThrownAway is the number of tokens computed for completions that never finished.
	ThrownAway int64 `json:"thrownAway"`
	// RepeatedSameEngine is the number of tokens that an engine computed again after it evicted them.
	RepeatedSameEngine int64 `json:"repeatedSameEngine"`
}

// WastedShare returns the fraction of the computed tokens that was wasted.
func (p *Prefill) WastedShare() float64 {
	if p.Computed == 0 {
		return 0
	}
	return float64(p.Wasted) / float64(p.Computed)
}

// quantilesOf converts a histogram in microseconds to quantiles in milliseconds.
func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	percentileMS := func(percent float64) float64 { return float64(h.ValueAtPercentile(percent)) / 1000 }
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	return Quantiles{
		Count: h.TotalCount(), P50: percentileMS(50), P95: percentileMS(95), P99: percentileMS(99),
		Max: float64(h.Max()) / 1000,
	}
}

// merge adds the counts and latencies of other.
func (t *tierStats) merge(other *tierStats) {
	t.Requests += other.Requests
	t.Sends += other.Sends
	t.Resends += other.Resends
	t.Good += other.Good
	t.Late += other.Late
	t.Refused += other.Refused
	t.Broken += other.Broken
	t.Unreachable += other.Unreachable
	t.Wrong += other.Wrong
	t.GoodTokens += other.GoodTokens
	t.firstToken.Merge(other.firstToken)
	t.betweenTokens.Merge(other.betweenTokens)
	t.total.Merge(other.total)
}

// tierResults converts statistics to results, sorted by tier, kind of service and organisation.
func tierResults(stats map[tierKey]*tierStats) []TierResult {
	results := make([]TierResult, 0, len(stats))
	for key, t := range stats {
		results = append(results, TierResult{
			Organisation: key.organisation, Tier: key.tier, Kind: key.kind, TierCounts: t.TierCounts,
			FirstToken: quantilesOf(t.firstToken), BetweenTokens: quantilesOf(t.betweenTokens), Total: quantilesOf(t.total),
		})
	}
	slices.SortFunc(results, func(a, b TierResult) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Organisation, b.Organisation))
	})
	return results
}

// result returns the result of the run without the ledger checks and the fields of the scenario.
func (r *recorder) result() *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := &Result{Started: r.start, NotSent: r.notSent, Timeline: r.timeline}
	totals := map[tierKey]*tierStats{}
	for key, t := range r.tiers {
		statsFor(totals, tierKey{tier: key.tier, kind: key.kind}).merge(t)
		res.Checks.Verified += t.Good + t.Late
		res.Checks.Wrong += t.Wrong
	}
	res.Tiers, res.Organisations = tierResults(totals), tierResults(r.tiers)
	for key, count := range r.refusals {
		res.Refusals = append(res.Refusals, RefusalCount{key.tier, key.reason, key.state, count})
	}
	slices.SortFunc(res.Refusals, func(a, b RefusalCount) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.State, b.State))
	})
	res.Checks.Samples = r.faultSamples
	return res
}
