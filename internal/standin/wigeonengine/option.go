package wigeonengine

import (
	"time"

	"wigeonshift/internal/standin/wigeonfault"
)

// DefaultModel is the model that an engine serves when none is named.
const DefaultModel = "heron-small"

// Speed determines how long an engine takes for a completion.
type Speed struct {
	// PrefillTokensPerSecond is the rate at which uncached prompt tokens are computed; 0 means that prefill takes no
	// time.
	PrefillTokensPerSecond float64
	// DecodeStep is the duration of one decode step in a batch of one sequence; 0 generates complete texts at once.
	DecodeStep time.Duration
	// BatchSlowdown is the fraction of DecodeStep that each further decoding sequence adds to a step.
	BatchSlowdown float64
	// MaxBatch is the number of sequences in a batch; the others wait in order of arrival.
	MaxBatch int
	// PrefillChunk is the number of prompt tokens that one step computes, in addition to decoding.
	PrefillChunk int
}

// DefaultSpeed is the speed of a mid-range engine.
var DefaultSpeed = Speed{
	PrefillTokensPerSecond: 8000,
	DecodeStep:             12 * time.Millisecond,
	BatchSlowdown:          0.03,
	MaxBatch:               32,
	PrefillChunk:           512,
}

// CacheSettings describes an engine's prefix cache and its events.
type CacheSettings struct {
	// Tokens is the capacity of the cache.
	Tokens int
	// EventDelay is the delay after which an event can be read.
	EventDelay time.Duration
	// EventLoss is the share of events, from 0 to 1, that can never be read.
	EventLoss float64
}

// DefaultCache holds 64 Ki tokens and delays its events by half a second.
var DefaultCache = CacheSettings{Tokens: 65536, EventDelay: 500 * time.Millisecond}

// settings holds the options of an engine.
type settings struct {
	speed         Speed
	cache         CacheSettings
	models        []string
	faults        wigeonfault.Faults
	loadLag       time.Duration
	modelLoadTime time.Duration
	retention     time.Duration
	// pausedRetention applies to paused streams instead of retention.
	pausedRetention time.Duration
	seed            uint64
}

func defaultSettings() settings {
	return settings{
		speed: DefaultSpeed, cache: DefaultCache, models: []string{DefaultModel},
		loadLag: time.Second, modelLoadTime: 2 * time.Second, retention: 20 * time.Second, pausedRetention: 10 * time.Minute,
	}
}

// Option configures an engine.
type Option func(*settings)

// WithSpeed sets the engine's speed.
func WithSpeed(s Speed) Option { return func(o *settings) { o.speed = s } }

// WithCache sets the engine's prefix cache.
func WithCache(c CacheSettings) Option { return func(o *settings) { o.cache = c } }

// WithModels sets the models that are loaded at the start and after a crash.
func WithModels(models ...string) Option { return func(o *settings) { o.models = models } }

// WithFaults sets the initial faults.
func WithFaults(f wigeonfault.Faults) Option { return func(o *settings) { o.faults = f } }

// WithLoadLag sets the age at which a new load report replaces the latest one.
func WithLoadLag(d time.Duration) Option { return func(o *settings) { o.loadLag = d } }

// WithModelLoadTime sets how long loading a model takes.
func WithModelLoadTime(d time.Duration) Option { return func(o *settings) { o.modelLoadTime = d } }

// WithRetention sets how long the engine keeps the state of broken or finished streams, and that of paused streams.
func WithRetention(broken, paused time.Duration) Option {
	return func(o *settings) { o.retention, o.pausedRetention = broken, paused }
}

// WithSeed seeds the random loss of cache events.
func WithSeed(seed uint64) Option { return func(o *settings) { o.seed = seed } }
