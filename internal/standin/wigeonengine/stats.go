package wigeonengine

import "wigeonshift/internal/standin/wigeonledger"

// Stats counts the work of an engine since its process started. Simulated crashes don't reset it.
type Stats struct {
	Incarnation string `json:"incarnation"`
	wigeonledger.Counts
	// Refused is the number of requests that were refused with proof that they did not run.
	Refused               int64 `json:"refused"`
	PrefillTokensComputed int64 `json:"prefillTokensComputed"`
	PrefillTokensCached   int64 `json:"prefillTokensCached"`
	// PrefillTokensRepeated counts prompt tokens that were computed again after their eviction from the cache.
	PrefillTokensRepeated int64 `json:"prefillTokensRepeated"`
	// PrefillTokensThrownAway counts prompt tokens that were computed for completions that never finished.
	PrefillTokensThrownAway int64 `json:"prefillTokensThrownAway"`
	DecodeTokens            int64 `json:"decodeTokens"`
	// DecodeTokensThrownAway counts tokens that were generated for completions that never finished.
	DecodeTokensThrownAway int64  `json:"decodeTokensThrownAway"`
	Crashes                int64  `json:"crashes"`
	StaleOrders            int64  `json:"staleOrders"`
	Role                   string `json:"role,omitempty"`
	Version                string `json:"version,omitempty"`
}
