package wigeonbench

import (
	"slices"
	"strconv"
	"time"

	"wigeonshift/internal/policy/wigeontrace"
)

// TierResult holds the figures of one tier.
type TierResult struct {
	Rank     int `json:"rank"`
	Requests int `json:"requests"`
	// Useful counts the requests that got the whole response before the deadline. Goodput is their share.
	Useful  int     `json:"useful"`
	Goodput float64 `json:"goodput"`
}

// ClassResult holds the first-token latencies of the requests of one length class that got a first token.
type ClassResult struct {
	Class      string  `json:"class"`
	Count      int     `json:"count"`
	P50Seconds float64 `json:"p50"`
	P95Seconds float64 `json:"p95"`
	P99Seconds float64 `json:"p99"`
}

// Result holds the figures of one policy in one scenario.
type Result struct {
	Scenario    string        `json:"scenario"`
	Policy      string        `json:"policy"`
	Seed        uint64        `json:"seed"`
	Load        float64       `json:"load"`
	TopTierLoad float64       `json:"topLoad"`
	Tiers       []TierResult  `json:"tiers"`
	Classes     []ClassResult `json:"classes"`
	// InteractiveP95Seconds is the 95th percentile of the first-token latency of interactive requests that got a permit.
	// A request without a first token counts with its deadline.
	InteractiveP95Seconds float64 `json:"interactiveP95"`
	PromptTokens          int     `json:"promptTokens"`
	// RepeatedTokens counts the tokens of useful requests that were computed although an engine had computed the same
	// block before.
	RepeatedTokens int `json:"repeatedTokens"`
	// DiscardedTokens counts the tokens computed for requests that were not useful.
	DiscardedTokens int `json:"thrownTokens"`
	// WastedShare is the ratio of repeated and discarded tokens to all prompt tokens.
	WastedShare float64 `json:"wastedShare"`
	// JainIndex is Jain's fairness index over the organisations. It compares the tokens served to each with its max-min
	// fair share of all served tokens.
	JainIndex float64 `json:"jain"`
	// Failures counts the requests that were not useful by the reason of the refusal or the outcome.
	Failures map[string]int `json:"refusals"`
	Events   int            `json:"events"`
	// CrashedEngines counts the engine crashes caused by faults and poison requests.
	CrashedEngines int `json:"crashedEngines"`
}

// buildResult computes the result of a finished simulation.
func (s *simulation) buildResult(policy string) Result {
	sc := s.scenario
	r := Result{Scenario: sc.Name, Policy: policy, Seed: sc.Seed, Load: sc.Load, TopTierLoad: sc.TopTierLoad, Failures: map[string]int{}, Events: s.eventCount}
	firstTokenLatencies, interactiveLatencies := map[wigeontrace.Class][]time.Duration{}, []time.Duration{}
	for _, c := range s.callsByArrival {
		r.addTier(c)
		r.PromptTokens += c.request.PromptTokens
		if c.outcome == outcomeUseful {
			r.RepeatedTokens += c.repeatedTokens
		} else {
			r.DiscardedTokens += c.computedTokens
			r.Failures[failureReason(c)]++
		}
		if c.firstTokenLatency > 0 {
			class := wigeontrace.ClassOf(c.request.PromptTokens)
			firstTokenLatencies[class] = append(firstTokenLatencies[class], c.firstTokenLatency)
		}
		if c.request.Interactive && c.attempt != nil {
			interactiveLatencies = append(interactiveLatencies, firstTokenLatencyOrDeadline(c))
		}
	}
	slices.SortFunc(r.Tiers, func(a, b TierResult) int { return a.Rank - b.Rank })
	for i := range r.Tiers {
		r.Tiers[i].Goodput = float64(r.Tiers[i].Useful) / float64(r.Tiers[i].Requests)
	}
	for _, class := range []wigeontrace.Class{wigeontrace.ClassShort, wigeontrace.ClassMedium, wigeontrace.ClassLong} {
		latencies := firstTokenLatencies[class]
		r.Classes = append(r.Classes, ClassResult{
			Class: string(class), Count: len(latencies), P50Seconds: quantileSeconds(latencies, 0.5),
			P95Seconds: quantileSeconds(latencies, 0.95), P99Seconds: quantileSeconds(latencies, 0.99),
		})
	}
	r.InteractiveP95Seconds = quantileSeconds(interactiveLatencies, 0.95)
	r.WastedShare = float64(r.RepeatedTokens+r.DiscardedTokens) / float64(max(1, r.PromptTokens))
	r.JainIndex = s.jainIndex()
	for _, e := range s.engines {
		r.CrashedEngines += e.incarnation - 1
	}
	return r
}

// firstTokenLatencyOrDeadline returns a call's first-token latency, or its deadline if it got no first token.
func firstTokenLatencyOrDeadline(c *call) time.Duration {
	if c.firstTokenLatency > 0 {
		return c.firstTokenLatency
	}
	return c.request.Deadline
}

// addTier counts a call in its tier. Poison requests do not count because they cannot be served.
func (r *Result) addTier(c *call) {
	if c.request.Poison {
		return
	}
	rank := int(c.request.Rank)
	i := slices.IndexFunc(r.Tiers, func(t TierResult) bool { return t.Rank == rank })
	if i < 0 {
		r.Tiers = append(r.Tiers, TierResult{Rank: rank})
		i = len(r.Tiers) - 1
	}
	r.Tiers[i].Requests++
	if c.outcome == outcomeUseful {
		r.Tiers[i].Useful++
	}
}

// failureReason returns the reason of a refusal, or the outcome of a call that was not refused.
func failureReason(c *call) string {
	if c.reason != "" {
		return string(c.reason)
	}
	return string(c.outcome)
}

// quantileSeconds returns the q-quantile of durations, or 0 if there are none. It sorts values in place.
func quantileSeconds(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	i := min(len(values)-1, int(q*float64(len(values))))
	return values[i].Seconds()
}

// jainIndex computes Result.JainIndex. It assigns the max-min fair shares in ascending order of demand.
func (s *simulation) jainIndex() float64 {
	demandTokens, servedTokens := map[string]float64{}, map[string]float64{}
	var names []string
	remainingTokens := 0.0
	for _, c := range s.callsByArrival {
		name := c.request.Organisation
		if demandTokens[name] == 0 {
			names = append(names, name)
		}
		tokens := float64(c.request.PromptTokens + c.request.OutputTokens)
		demandTokens[name] += tokens
		if c.outcome == outcomeUseful {
			servedTokens[name] += tokens
			remainingTokens += tokens
		}
	}
	slices.Sort(names)
	slices.SortStableFunc(names, func(a, b string) int {
		switch {
		case demandTokens[a] < demandTokens[b]:
			return -1
		case demandTokens[a] > demandTokens[b]:
			return 1
		}
		return 0
	})
	sum, sumOfSquares := 0.0, 0.0
	for i, name := range names {
		fairShare := min(demandTokens[name], remainingTokens/float64(len(names)-i))
		remainingTokens -= fairShare
		ratio := servedTokens[name] / max(fairShare, 1)
		sum += ratio
		sumOfSquares += ratio * ratio
	}
	if sumOfSquares == 0 {
		return 0
	}
	return sum * sum / (float64(len(names)) * sumOfSquares)
}

// formatPercent formats a share as a percentage without the percent sign.
func formatPercent(v float64) string { return strconv.FormatFloat(100*v, 'f', 2, 64) }
