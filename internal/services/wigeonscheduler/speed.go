package wigeonscheduler

import "math"

// Speeds assumed for endpoints without observations.
const (
	defaultPrefillTokensPerSecond = 4000.0
	defaultSecondsPerToken        = 0.025
	// defaultOverhead is the part of a first token's latency that does not depend on the prompt, in seconds.
	defaultOverhead = 0.02
)

// Parameters of the averages of observed speeds.
const (
	// steadyGain is the weight of a new observation in an average. The second and third observations weigh initialGain.
	steadyGain     = 0.2
	initialGain    = 0.5
	initialSamples = 3
	// minPrefillSampleTokens is the least number of computed prompt tokens from which the prefill rate is updated.
	minPrefillSampleTokens = 128
	// minPrefillSeconds is the least prefill time assumed for such an update. It keeps the rate finite when the latency is
	// below the overhead.
	minPrefillSeconds = 0.005
	// bestPaceGrowth is the factor by which bestPace grows with each observation.
	bestPaceGrowth = 1.001
)

// speed is the observed speed of an endpoint. A zero field has no observation yet.
type speed struct {
	// prefillTokensPerSecond is the average prefill rate.
	prefillTokensPerSecond float64
	// secondsPerToken is the average time between two tokens of one stream. For a plain service it is the time of a call.
	secondsPerToken float64
	// bestPace is the lowest number of seconds per token observed. It grows slowly, so that an old minimum expires.
	bestPace float64
	// typicalPrefillTokensPerSecond and typicalSecondsPerToken are averages while the endpoint was up. The checks for
	// stragglers compare with typicalSecondsPerToken.
	typicalPrefillTokensPerSecond float64
	typicalSecondsPerToken        float64
	// rateSamples and paceSamples count the observations in the averages.
	rateSamples int
	paceSamples int
}

// observeFirstToken updates the prefill rate from the latency of a first token. tokens is the number of prompt tokens
// computed in that time, for the request itself and for prompts ahead of it.
func (p *speed) observeFirstToken(tokens int, seconds float64) {
	if tokens < minPrefillSampleTokens || seconds <= 0 {
		return
	}
	rate := float64(tokens) / math.Max(seconds-defaultOverhead, minPrefillSeconds)
	p.prefillTokensPerSecond = smooth(p.prefillTokensPerSecond, rate, p.rateSamples)
	p.rateSamples++
	p.typicalPrefillTokensPerSecond = p.prefillTokensPerSecond
}

// observePace updates the averages of the time between tokens. pace is that of a finished stream in seconds, or the time
// of a plain call.
func (p *speed) observePace(pace float64) {
	if pace <= 0 {
		return
	}
	p.secondsPerToken = smooth(p.secondsPerToken, pace, p.paceSamples)
	p.paceSamples++
	p.typicalSecondsPerToken = p.secondsPerToken
	if p.bestPace == 0 || pace < p.bestPace {
		p.bestPace = pace
	}
	p.bestPace *= bestPaceGrowth
}

// smooth adds a sample to a moving average of the given number of earlier samples.
func smooth(old, sample float64, samples int) float64 {
	switch {
	case samples == 0:
		return sample
	case samples < initialSamples:
		return old + initialGain*(sample-old)
	default:
		return old + steadyGain*(sample-old)
	}
}

// rate returns the average prefill rate in tokens per second, or a default without observations.
func (p *speed) rate() float64 {
	if p.prefillTokensPerSecond > 0 {
		return p.prefillTokensPerSecond
	}
	return defaultPrefillTokensPerSecond
}

// pace returns the average time per token in seconds, or a default without observations.
func (p *speed) pace() float64 {
	if p.secondsPerToken > 0 {
		return p.secondsPerToken
	}
	return defaultSecondsPerToken
}
