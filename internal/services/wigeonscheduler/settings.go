package wigeonscheduler

import "time"

// Settings are the tunable parameters of a shard's scheduling policy.
type Settings struct {
	// TickInterval is the period of time-driven checks while any request is queued or running.
	TickInterval time.Duration
	// PermitLifetime is the time in which a permit has to be used.
	PermitLifetime time.Duration
	// PermitGrace is the time after PermitLifetime when a grant without a report expires, because the report of a permit
	// used at its last moment arrives later.
	PermitGrace time.Duration
	// FirstTokenTarget is the longest acceptable first-token latency of interactive requests.
	FirstTokenTarget time.Duration
	// TokenPaceTarget is the target time between two tokens of a stream. Clearly slower streams reduce an endpoint's
	// capacity.
	TokenPaceTarget time.Duration
	// LongPromptTokens is the number of uncached prompt tokens from which a prefill is kept apart from short ones.
	LongPromptTokens int
	// MaxQueueSeconds is the longest expected wait with which a request still joins the queue.
	MaxQueueSeconds float64
	// InitialCapacity is the concurrency limit of a new endpoint before anything is known of it.
	InitialCapacity int
	// MaxCapacity is the upper bound of the learned capacity of an endpoint.
	MaxCapacity int
	// ProbeInterval is the initial time between probes that test whether an endpoint has recovered from being down or
	// slow (a straggler).
	ProbeInterval time.Duration
	// ClosedRequests is the number of closed requests remembered to ignore late duplicates.
	ClosedRequests int
}

// Option changes a setting of a shard.
type Option func(*Settings)

// WithSettings replaces all settings.
func WithSettings(v Settings) Option {
	return func(s *Settings) { *s = v }
}

// WithFirstTokenTarget sets the longest acceptable first-token latency of interactive requests.
func WithFirstTokenTarget(d time.Duration) Option {
	return func(s *Settings) { s.FirstTokenTarget = d }
}

// WithMaxQueueSeconds sets the longest expected wait with which a request still joins the queue.
func WithMaxQueueSeconds(v float64) Option {
	return func(s *Settings) { s.MaxQueueSeconds = v }
}

// defaultSettings returns the settings of a shard without options. Settings explains the purpose of each field.
// PermitGrace follows PermitLifetime, so that the report on a permit used at its last moment can still arrive.
// ProbeInterval is the first interval between probes of an endpoint that is down or slow; it doubles up to
// maxProbeInterval. ClosedRequests is a number of requests, kept to recognise late duplicates.
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
