package wigeonpace

import "time"

// MaxChunkTokens is the largest number of prompt tokens that a model engine prefills in one step, beside decoding.
const MaxChunkTokens = 4096

// riskStartShare is the share of the target for pauses from which a pause may exceed the target, because the reports of other instances
// are late and the pace is an estimate.
const riskStartShare = 0.8

// Pace is the pace of a model engine.
type Pace struct {
	// Step is the time of a step that decodes one token of each stream. Token is the time to prefill one prompt token.
	Step, Token time.Duration
	// EventTokens is the number of tokens in one event of a stream, at least 1.
	EventTokens int
}

// Load is the load of a model engine.
type Load struct {
	// Requests is the number of requests that the engine runs.
	Requests int
	// PendingTokens is the number of tokens of their prompts that aren't prefilled yet.
	PendingTokens int
}

// Target says what the callers of an engine's streams need.
type Target struct {
	// Pause is the target for the longest pause between two events of a stream; zero if there is none.
	Pause time.Duration
	// LateCost is the cost of a stream that misses the target. It is comparable with a latency.
	LateCost time.Duration
}

// Impact is what a prompt costs the other requests on an engine.
type Impact struct {
	// Pause is the expected longest pause between two events of the other streams.
	Pause time.Duration
	// ExceedsTarget is set if there are other streams and Pause is longer than the target.
	ExceedsTarget bool
	// Delay is the time by which the prompt delays the others, the first event of those that are pending included.
	Delay time.Duration
	// Cost is the cost of the streams that the prompt makes late. Delay is no part of it: weighed like the request's own latency, it
	// sent long prompts to slow endpoints and made more of them late.
	Cost time.Duration
}

// LongestPause returns the expected longest pause between two events of a stream while prompt tokens are pending. Each step between the
// events takes a chunk of the pending prompts.
func (p Pace) LongestPause(pendingTokens int) time.Duration {
	chunks := min(max(pendingTokens, 0), p.EventTokens*MaxChunkTokens)
	return time.Duration(p.EventTokens)*p.Step + time.Duration(chunks)*p.Token
}

// Impact returns what a prompt of which the engine prefills a number of tokens costs the other requests. Without a target for pauses it
// is zero.
func (p Pace) Impact(l Load, tokens int, t Target) Impact {
	if t.Pause <= 0 || l.Requests <= 0 {
		return Impact{}
	}
	before, after := p.LongestPause(l.PendingTokens), p.LongestPause(l.PendingTokens+tokens)
	risk := t.risk(after) - t.risk(before)
	return Impact{
		Pause:         after,
		ExceedsTarget: after > t.Pause,
		Delay:         time.Duration(max(tokens, 0)) * p.Token,
		Cost:          time.Duration(float64(l.Requests) * risk * float64(t.LateCost)),
	}
}

// risk returns the share of streams that are expected to miss the target at an expected pause.
func (t Target) risk(pause time.Duration) float64 {
	start := riskStartShare * float64(t.Pause)
	return min(max((float64(pause)-start)/(float64(t.Pause)-start), 0), 1)
}
