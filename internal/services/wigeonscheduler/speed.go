package wigeonscheduler

import "math"

// Speeds assumed for endpoints of which nothing is known.
const (
	defaultPrefillRate = 4000.0
	defaultTokenPace   = 0.025
	defaultOverhead    = 0.02
)

// Weights of a new observation against the earlier ones.
const (
	speedGain     = 0.2
	firstGain     = 0.5
	minRateSample = 128
)

// speed is what was observed of an endpoint. Zero values mean that nothing was observed yet.
type speed struct {
	// prefillRate is in prompt tokens a second.
	prefillRate float64
	// tokenPace is the time between two tokens of one stream, in seconds.
	tokenPace float64
	// bestPace is the least tokenPace observed, slowly forgotten.
	bestPace float64
	// typicalRate and typicalPace are long-term averages while the endpoint was up.
	typicalRate float64
	typicalPace float64
	rateSamples int
	paceSamples int
}

// observeFirstToken learns from the time to a first token that had a number of prompt tokens to compute, its own and
// those before it.
func (p *speed) observeFirstToken(tokens int, seconds float64) {
	if tokens < minRateSample || seconds <= 0 {
		return
	}
	rate := float64(tokens) / math.Max(seconds-defaultOverhead, 0.005)
	p.prefillRate = blend(p.prefillRate, rate, p.rateSamples)
	p.rateSamples++
	p.typicalRate = p.prefillRate
}

// observePace learns from the time between tokens of a finished stream.
func (p *speed) observePace(pace float64) {
	if pace <= 0 {
		return
	}
	p.tokenPace = blend(p.tokenPace, pace, p.paceSamples)
	p.paceSamples++
	p.typicalPace = p.tokenPace
	if p.bestPace == 0 || pace < p.bestPace {
		p.bestPace = pace
	}
	p.bestPace *= 1.001
}

// blend averages a new observation into an earlier value.
func blend(old, sample float64, samples int) float64 {
	switch {
	case samples == 0:
		return sample
	case samples < 3:
		return old + firstGain*(sample-old)
	default:
		return old + speedGain*(sample-old)
	}
}

// rate is the prefill rate to reckon with.
func (p *speed) rate() float64 {
	if p.prefillRate > 0 {
		return p.prefillRate
	}
	return defaultPrefillRate
}

// pace is the time between tokens to reckon with.
func (p *speed) pace() float64 {
	if p.tokenPace > 0 {
		return p.tokenPace
	}
	return defaultTokenPace
}
