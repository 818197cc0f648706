package wigeonscheduler

import "math"

// Speeds assumed for endpoints without observations.
const (
	defaultPrefillTokensPerSecond = 4000.0
	defaultSecondsPerToken        = 0.025
	// defaultOverheadSeconds is the part of a first token's latency that does not depend on the prompt, in seconds.
	defaultOverheadSeconds = 0.02
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
	// bestSecondsPerTokenGrowth is the factor by which bestSecondsPerToken grows with each observation.
	bestSecondsPerTokenGrowth = 1.001
)

// speed is the observed speed of an endpoint. A zero field has no observation yet. The pace of an attempt is the time
// per token of its stream, or the duration of a call to a plain service, in seconds.
type speed struct {
	// prefillTokensPerSecond is the average prefill rate.
	prefillTokensPerSecond float64
	// secondsPerToken is the average pace.
	secondsPerToken float64
	// bestSecondsPerToken is the lowest pace observed. It grows slowly, so that an old minimum expires.
	bestSecondsPerToken float64
	// typicalPrefillTokensPerSecond and typicalSecondsPerToken are averages while the endpoint was up. The checks for
	// stragglers compare with typicalSecondsPerToken.
	typicalPrefillTokensPerSecond float64
	typicalSecondsPerToken        float64
	// prefillSamples and paceSamples count the observations in the averages of the prefill rate and the pace.
	prefillSamples int
	paceSamples    int
}

// observeFirstToken updates the prefill rate from the latency of a first token. tokens is the number of prompt tokens
// computed in that time, for the request itself and for prompts ahead of it. Short prompts are left out; the fixed
// overhead of a request is deducted.
func (p *speed) observeFirstToken(tokens int, seconds float64) {
	if tokens < minPrefillSampleTokens || seconds <= 0 {
		return
	}
	rate := float64(tokens) / math.Max(seconds-defaultOverheadSeconds, minPrefillSeconds)
	p.prefillTokensPerSecond = smooth(p.prefillTokensPerSecond, rate, p.prefillSamples)
	p.prefillSamples++
	p.typicalPrefillTokensPerSecond = p.prefillTokensPerSecond
}

// observePace updates the averages with the pace of a finished attempt: the time per token of its stream, or the
// duration of a call to a plain service, which has no tokens. The best pace grows slowly, so that an old minimum
// expires.
func (p *speed) observePace(pace float64) {
	if pace <= 0 {
		return
	}
	p.secondsPerToken = smooth(p.secondsPerToken, pace, p.paceSamples)
	p.paceSamples++
	p.typicalSecondsPerToken = p.secondsPerToken
	if p.bestSecondsPerToken == 0 || pace < p.bestSecondsPerToken {
		p.bestSecondsPerToken = pace
	}
	p.bestSecondsPerToken *= bestSecondsPerTokenGrowth
}

// smooth adds a sample to a moving average of the given number of earlier samples. Early samples weigh more, because
// the average rests on few others.
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

// expectedPrefillRate returns the average prefill rate in tokens per second, or a default without observations.
func (p *speed) expectedPrefillRate() float64 {
	if p.prefillTokensPerSecond > 0 {
		return p.prefillTokensPerSecond
	}
	return defaultPrefillTokensPerSecond
}

// expectedSecondsPerToken returns the average pace, or a default without observations.
func (p *speed) expectedSecondsPerToken() float64 {
	if p.secondsPerToken > 0 {
		return p.secondsPerToken
	}
	return defaultSecondsPerToken
}
