package wigeonengine

import (
	"time"

	"wigeonshift/internal/standin/wigeonfault"
)

// DefaultModel is the model that an engine serves when none is named.
const DefaultModel = "heron-small"

// Speed describes how fast an engine works.
type Speed struct {
	// PrefillTokensPerSecond is the speed of uncached prompt work; 0 takes no time.
	PrefillTokensPerSecond float64
	// DecodeStep is the time of one decode step of a batch of one; 0 gives whole answers at once.
	DecodeStep time.Duration
	// BatchSlowdown is the part of DecodeStep that each further sequence of the batch adds.
	BatchSlowdown float64
	// MaxBatch is the number of sequences that run together; the others wait in order of arrival.
	MaxBatch int
	// PrefillChunk is the number of prompt tokens worked on in one step, beside the decoding.
	PrefillChunk int
}

// DefaultSpeed is that of a middling engine.
var DefaultSpeed = Speed{
	PrefillTokensPerSecond: 8000,
	DecodeStep:             12 * time.Millisecond,
	BatchSlowdown:          0.03,
	MaxBatch:               32,
	PrefillChunk:           512,
}

// CacheSettings describes an engine's prefix cache and its events.
type CacheSettings struct {
	// Tokens is the capacity.
	Tokens int
	// EventDelay is the time after which an event can be read.
	EventDelay time.Duration
	// EventLoss is the share of events that are never shown, from 0 to 1.
	EventLoss float64
}

// DefaultCache holds 64 Ki tokens and shows its events after half a second.
var DefaultCache = CacheSettings{Tokens: 65536, EventDelay: 500 * time.Millisecond}

// settings are the options of an engine.
type settings struct {
	speed     Speed
	cache     CacheSettings
	models    []string
	faults    wigeonfault.Faults
	loadLag   time.Duration
	loadTime  time.Duration
	retention time.Duration
	// pausedRetention is the retention of a paused stream.
	pausedRetention time.Duration
	seed            uint64
}

func defaultSettings() settings {
	return settings{
		speed: DefaultSpeed, cache: DefaultCache, models: []string{DefaultModel},
		loadLag: time.Second, loadTime: 2 * time.Second, retention: 20 * time.Second, pausedRetention: 10 * time.Minute,
	}
}

// Option changes an engine.
type Option func(*settings)

// WithSpeed sets the engine's speed.
func WithSpeed(s Speed) Option { return func(o *settings) { o.speed = s } }

// WithCache sets the engine's prefix cache.
func WithCache(c CacheSettings) Option { return func(o *settings) { o.cache = c } }

// WithModels sets the models loaded at first.
func WithModels(models ...string) Option { return func(o *settings) { o.models = models } }

// WithFaults sets the faults in force at first.
func WithFaults(f wigeonfault.Faults) Option { return func(o *settings) { o.faults = f } }

// WithLoadLag sets how old a load report may be.
func WithLoadLag(d time.Duration) Option { return func(o *settings) { o.loadLag = d } }

// WithModelLoadTime sets how long loading a model takes.
func WithModelLoadTime(d time.Duration) Option { return func(o *settings) { o.loadTime = d } }

// WithRetention sets how long the state of a broken or finished stream is kept, and that of a paused one.
func WithRetention(broken, paused time.Duration) Option {
	return func(o *settings) { o.retention, o.pausedRetention = broken, paused }
}

// WithSeed seeds the loss of cache events.
func WithSeed(seed uint64) Option { return func(o *settings) { o.seed = seed } }
