package wigeonbench

import (
	"slices"
	"strconv"
	"time"

	"wigeonshift/internal/policy/wigeontrace"
)

// TierResult is what one tier got.
type TierResult struct {
	Rank     int `json:"rank"`
	Requests int `json:"requests"`
	// Useful counts whole answers in time; Goodput is their share.
	Useful  int     `json:"useful"`
	Goodput float64 `json:"goodput"`
}

// ClassResult holds first-token times of one length class of admitted requests, in seconds.
type ClassResult struct {
	Class string  `json:"class"`
	Count int     `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

// Result is one policy's figures in one scenario.
type Result struct {
	Scenario string        `json:"scenario"`
	Policy   string        `json:"policy"`
	Seed     uint64        `json:"seed"`
	Load     float64       `json:"load"`
	TopLoad  float64       `json:"topLoad"`
	Tiers    []TierResult  `json:"tiers"`
	Classes  []ClassResult `json:"classes"`
	// InteractiveP95 is the first-token time of 95 in 100 admitted interactive requests, in seconds.
	InteractiveP95 float64 `json:"interactiveP95"`
	PromptTokens   int     `json:"promptTokens"`
	// RepeatedTokens were computed although some engine had computed the same blocks before. ThrownTokens were
	// computed for requests that ended without a whole answer in time.
	RepeatedTokens int     `json:"repeatedTokens"`
	ThrownTokens   int     `json:"thrownTokens"`
	WastedShare    float64 `json:"wastedShare"`
	// Jain is Jain's index over organisations of the work they got against their max-min fair share of all work got.
	Jain float64 `json:"jain"`
	// Refusals counts requests without a useful answer by reason.
	Refusals map[string]int `json:"refusals"`
	Events   int            `json:"events"`
	// CrashedEngines counts engines lost to poisonous requests.
	CrashedEngines int `json:"crashedEngines"`
}

// result sums a world up.
func (w *world) result(policy string) Result {
	sc := w.scenario
	r := Result{Scenario: sc.Name, Policy: policy, Seed: sc.Seed, Load: sc.Load, TopLoad: sc.TopTierLoad, Refusals: map[string]int{}, Events: w.events}
	firsts, interactive := map[wigeontrace.Class][]time.Duration{}, []time.Duration{}
	for _, c := range w.ordered {
		r.addTier(c)
		r.PromptTokens += c.request.PromptTokens
		if c.outcome == outcomeUseful {
			r.RepeatedTokens += c.repeated
		} else {
			r.ThrownTokens += c.computed
			r.Refusals[reasonName(c)]++
		}
		if c.firstToken > 0 {
			class := wigeontrace.ClassOf(c.request.PromptTokens)
			firsts[class] = append(firsts[class], c.firstToken)
		}
		if c.request.Interactive && c.attempt != nil {
			interactive = append(interactive, firstOrDeadline(c))
		}
	}
	slices.SortFunc(r.Tiers, func(a, b TierResult) int { return a.Rank - b.Rank })
	for i := range r.Tiers {
		r.Tiers[i].Goodput = float64(r.Tiers[i].Useful) / float64(r.Tiers[i].Requests)
	}
	for _, class := range []wigeontrace.Class{wigeontrace.ClassShort, wigeontrace.ClassMedium, wigeontrace.ClassLong} {
		f := firsts[class]
		r.Classes = append(r.Classes, ClassResult{
			Class: string(class), Count: len(f), P50: quantile(f, 0.5), P95: quantile(f, 0.95), P99: quantile(f, 0.99),
		})
	}
	r.InteractiveP95 = quantile(interactive, 0.95)
	r.WastedShare = float64(r.RepeatedTokens+r.ThrownTokens) / float64(max(1, r.PromptTokens))
	r.Jain = w.fairness()
	for _, e := range w.engines {
		r.CrashedEngines += e.incarnation - 1
	}
	return r
}

// firstOrDeadline is the time to a call's first token; one that never came counts as late as the caller waited.
func firstOrDeadline(c *call) time.Duration {
	if c.firstToken > 0 {
		return c.firstToken
	}
	return c.request.Deadline
}

// addTier counts a call in its tier. Requests that crash engines cannot be served and do not count.
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

// reasonName names why a call got no useful answer.
func reasonName(c *call) string {
	if c.reason != "" {
		return string(c.reason)
	}
	return string(c.outcome)
}

// quantile returns a quantile of durations in seconds, 0 for none.
func quantile(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	i := min(len(values)-1, int(q*float64(len(values))))
	return values[i].Seconds()
}

// fairness is Jain's index over organisations of the tokens served against the max-min fair share of all served.
func (w *world) fairness() float64 {
	demand, served := map[string]float64{}, map[string]float64{}
	var names []string
	total := 0.0
	for _, c := range w.ordered {
		name := c.request.Organisation
		if demand[name] == 0 {
			names = append(names, name)
		}
		tokens := float64(c.request.PromptTokens + c.request.OutputTokens)
		demand[name] += tokens
		if c.outcome == outcomeUseful {
			served[name] += tokens
			total += tokens
		}
	}
	slices.Sort(names)
	slices.SortStableFunc(names, func(a, b string) int {
		switch {
		case demand[a] < demand[b]:
			return -1
		case demand[a] > demand[b]:
			return 1
		}
		return 0
	})
	sum, squares := 0.0, 0.0
	for i, name := range names {
		share := min(demand[name], total/float64(len(names)-i))
		total -= share
		x := served[name] / max(share, 1)
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(names)) * squares)
}

// percent formats a share.
func percent(v float64) string { return strconv.FormatFloat(100*v, 'f', 2, 64) }
