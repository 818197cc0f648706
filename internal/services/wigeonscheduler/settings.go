package wigeonscheduler

import "time"

// Settings are the tunable bounds of a shard's policy.
type Settings struct {
	// TickInterval is the period of time-driven checks while anything is queued or running.
	TickInterval time.Duration
	// PermitLifetime is the time in which a permit has to be spent.
	PermitLifetime time.Duration
	// PermitGrace is added to PermitLifetime before an unreported grant counts as void.
	PermitGrace time.Duration
	// FirstTokenTarget bounds the expected first token of interactive requests.
	FirstTokenTarget time.Duration
	// TokenPaceTarget is the time between tokens above which an endpoint takes fewer streams.
	TokenPaceTarget time.Duration
	// LongPromptTokens is the uncached prompt length from which a prefill is kept apart from short ones.
	LongPromptTokens int
	// MaxQueueSeconds bounds the queued work of the shard in seconds of all its slots.
	MaxQueueSeconds float64
	// InitialCapacity is the bound on dispatches in flight at an endpoint of which nothing is known.
	InitialCapacity int
	// MaxCapacity bounds the learned capacity of an endpoint.
	MaxCapacity int
	// ProbeInterval is the time between probes of an endpoint that is down or slow.
	ProbeInterval time.Duration
	// ClosedRequests is the number of ended requests remembered against late duplicates.
	ClosedRequests int
}

// Option changes one setting of a shard.
type Option func(*Settings)

// WithSettings replaces all settings.
func WithSettings(v Settings) Option {
	return func(s *Settings) { *s = v }
}

// WithFirstTokenTarget sets the bound on the expected first token of interactive requests.
func WithFirstTokenTarget(d time.Duration) Option {
	return func(s *Settings) { s.FirstTokenTarget = d }
}

// WithMaxQueueSeconds sets the bound on queued work.
func WithMaxQueueSeconds(v float64) Option {
	return func(s *Settings) { s.MaxQueueSeconds = v }
}

// defaultSettings returns the settings of a shard without options.
func defaultSettings() Settings {
	return Settings{
		TickInterval:     100 * time.Millisecond,
		PermitLifetime:   time.Second,
		PermitGrace:      2 * time.Second,
		FirstTokenTarget: 1700 * time.Millisecond,
		TokenPaceTarget:  31 * time.Millisecond,
		LongPromptTokens: 2048,
		MaxQueueSeconds:  120,
		InitialCapacity:  8,
		MaxCapacity:      256,
		ProbeInterval:    2 * time.Second,
		ClosedRequests:   4096,
	}
}
