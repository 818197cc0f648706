package wigeonengine

import "wigeonshift/internal/standin/wigeonledger"

// Stats counts what an engine did since its process started, crashes included.
type Stats struct {
	Incarnation string `json:"incarnation"`
	wigeonledger.Counts
	// Refused is the number of requests refused with proof that they did not run.
	Refused               int64 `json:"refused"`
	PrefillTokensComputed int64 `json:"prefillTokensComputed"`
	PrefillTokensCached   int64 `json:"prefillTokensCached"`
	// PrefillTokensRepeated counts tokens computed again after their eviction.
	PrefillTokensRepeated int64 `json:"prefillTokensRepeated"`
	// PrefillTokensThrownAway counts tokens computed for completions that never finished.
	PrefillTokensThrownAway int64 `json:"prefillTokensThrownAway"`
	DecodeTokens            int64 `json:"decodeTokens"`
	// DecodeTokensThrownAway counts tokens generated for completions that never finished.
	DecodeTokensThrownAway int64  `json:"decodeTokensThrownAway"`
	Crashes                int64  `json:"crashes"`
	StaleOrders            int64  `json:"staleOrders"`
	Role                   string `json:"role,omitempty"`
	Version                string `json:"version,omitempty"`
}
