package wigeonload

import (
	"cmp"
	"slices"
	"time"

	"wigeonshift"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what a run measured.
type Result struct {
	Scenario string    `json:"scenario"`
	Seed     uint64    `json:"seed"`
	Nodes    []string  `json:"nodes"`
	Started  time.Time `json:"started"`
	// ElapsedMS is the time from the first request to the last answer.
	ElapsedMS int64 `json:"elapsedMs"`
	// SendMS is the time in which requests were sent.
	SendMS int64 `json:"sendMs"`
	// Tiers holds each tier's model and plain services, all organisations together; Organisations each one's.
	Tiers         []TierResult   `json:"tiers"`
	Organisations []TierResult   `json:"organisations"`
	Refusals      []RefusalCount `json:"refusals"`
	// NotSent counts requests that the load's own bound on requests in flight kept back.
	NotSent  int64     `json:"notSent"`
	Prefill  *Prefill  `json:"prefill,omitempty"`
	Checks   Checks    `json:"checks"`
	Timeline []Second  `json:"timeline"`
	Overhead *Overhead `json:"overhead,omitempty"`
}

// TierCounts counts the requests of one tier of an organisation by their last ending.
type TierCounts struct {
	// Requests counts each once, however often it was sent.
	Requests    int64 `json:"requests"`
	Sends       int64 `json:"sends"`
	Resends     int64 `json:"resends"`
	Good        int64 `json:"good"`
	Late        int64 `json:"late"`
	Refused     int64 `json:"refused"`
	Broken      int64 `json:"broken"`
	Unreachable int64 `json:"unreachable"`
	Wrong       int64 `json:"wrong"`
	// GoodTokens is the number of generated tokens of good answers.
	GoodTokens int64 `json:"goodTokens"`
}

func (c *TierCounts) end(e Ending) {
	switch e {
	case EndingGood:
		c.Good++
	case EndingLate:
		c.Late++
	case EndingRefused:
		c.Refused++
	case EndingBroken:
		c.Broken++
	case EndingUnreachable:
		c.Unreachable++
	case EndingWrong:
		c.Wrong++
	}
}

// TierResult is one tier's requests to one kind of services.
type TierResult struct {
	// Organisation is empty for all together.
	Organisation string                  `json:"organisation,omitempty"`
	Tier         string                  `json:"tier"`
	Kind         wigeonshift.ServiceKind `json:"kind"`
	TierCounts
	// FirstToken and BetweenTokens are of streams, Total of all whole answers.
	FirstToken    Quantiles `json:"firstToken"`
	BetweenTokens Quantiles `json:"betweenTokens"`
	Total         Quantiles `json:"total"`
}

// Quantiles of a time in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50Ms"`
	P95   float64 `json:"p95Ms"`
	P99   float64 `json:"p99Ms"`
	Max   float64 `json:"maxMs"`
}

// RefusalCount counts refusals, those of sends that were sent again included.
type RefusalCount struct {
	Tier   string                    `json:"tier"`
	Reason wigeonshift.RefusalReason `json:"reason"`
	State  wigeonshift.RunState      `json:"state"`
	Count  int64                     `json:"count"`
}

// Second is one second of the run.
type Second struct {
	Requests int64 `json:"requests"`
	Refusals int64 `json:"refusals"`
	// Good counts good answers by tier.
	Good map[string]int64 `json:"good"`
}

// Checks are the invariants seen from outside. Counts other than Verified are violations.
type Checks struct {
	// Verified counts answers compared whole.
	Verified int64 `json:"verified"`
	// Wrong counts answers that were not the ones to their requests.
	Wrong int64 `json:"wrong"`
	// Ledgers is the number of stand-ins whose ledgers were compared; Missing those that could not be read, or
	// that lost their ledger in a restart.
	Ledgers int `json:"ledgers"`
	Missing int `json:"missing"`
	// DispatchedTooOften counts contents that ran more often than they were sent without proof of not-run.
	DispatchedTooOften int64 `json:"dispatchedTooOften"`
	// FalseNotRun counts contents that ran although every send was refused as not run.
	FalseNotRun int64 `json:"falseNotRun"`
	// NonIdempotentTwice counts non-idempotent calls that ran more than once.
	NonIdempotentTwice int64 `json:"nonIdempotentTwice"`
	// DuplicateTokens counts attempt tokens that reached an endpoint twice.
	DuplicateTokens int64    `json:"duplicateTokens"`
	Samples         []string `json:"samples,omitempty"`
}

// Violated reports whether an invariant was broken.
func (c *Checks) Violated() bool {
	return c.Wrong+c.DispatchedTooOften+c.FalseNotRun+c.NonIdempotentTwice+c.DuplicateTokens > 0
}

// Prefill is the engines' prompt work in tokens.
type Prefill struct {
	Computed int64 `json:"computed"`
	Cached   int64 `json:"cached"`
	// Needed is what had to be computed once for the answers that came.
	Needed int64 `json:"needed"`
	// Wasted is Computed beyond Needed: thrown away or repeated.
	Wasted int64 `json:"wasted"`
	// ThrownAway was computed for completions that never finished.
	ThrownAway int64 `json:"thrownAway"`
	// RepeatedSameEngine was computed again by an engine after its eviction there.
	RepeatedSameEngine int64 `json:"repeatedSameEngine"`
}

// WastedShare is the part of the computed tokens that was wasted.
func (p *Prefill) WastedShare() float64 {
	if p.Computed == 0 {
		return 0
	}
	return float64(p.Wasted) / float64(p.Computed)
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(percent float64) float64 { return float64(h.ValueAtPercentile(percent)) / 1000 }
	if h.TotalCount() == 0 {
		return Quantiles{}
	}
	return Quantiles{
		Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000,
	}
}

// merge adds another book.
func (t *tierBook) merge(other *tierBook) {
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
	t.first.Merge(other.first)
	t.between.Merge(other.between)
	t.total.Merge(other.total)
}

// tierResults turns books into results in order.
func tierResults(books map[tierKey]*tierBook) []TierResult {
	results := make([]TierResult, 0, len(books))
	for key, t := range books {
		results = append(results, TierResult{
			Organisation: key.organisation, Tier: key.tier, Kind: key.kind, TierCounts: t.TierCounts,
			FirstToken: quantiles(t.first), BetweenTokens: quantiles(t.between), Total: quantiles(t.total),
		})
	}
	slices.SortFunc(results, func(a, b TierResult) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Organisation, b.Organisation))
	})
	return results
}

// result turns the books into a result.
func (r *recorder) result() *Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	res := &Result{Started: r.start, NotSent: r.notSent, Timeline: r.timeline}
	totals := map[tierKey]*tierBook{}
	for key, t := range r.tiers {
		bookOf(totals, tierKey{tier: key.tier, kind: key.kind}).merge(t)
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
	res.Checks.Samples = r.samples
	return res
}
