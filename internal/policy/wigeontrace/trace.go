// Package wigeontrace generates the workloads of the policy benchmark from a seed: the requests, engines and faults of
// each scenario.
package wigeontrace

import (
	"time"

	"wigeonshift"
)

// Class is the length class of a prompt.
type Class string

// Length classes.
const (
	ClassShort  Class = "short"
	ClassMedium Class = "medium"
	ClassLong   Class = "long"
)

// Lower bounds of the classes, in prompt tokens.
const (
	minMediumTokens = 1024
	minLongTokens   = 4096
)

// ClassOf returns the length class of a prompt with the given number of tokens.
func ClassOf(tokens int) Class {
	switch {
	case tokens < minMediumTokens:
		return ClassShort
	case tokens < minLongTokens:
		return ClassMedium
	default:
		return ClassLong
	}
}

// Request is one request of a caller.
type Request struct {
	ID wigeonshift.RequestID
	// Arrival is relative to the start of the trace.
	Arrival      time.Duration
	Organisation string
	Rank         wigeonshift.TierRank
	Model        string
	PromptTokens int
	// OutputTokens is the length of the response. The scheduler only knows MaxTokens, its upper bound.
	OutputTokens int
	MaxTokens    int
	// Deadline is relative to Arrival. The caller disconnects when it passes.
	Deadline time.Duration
	// Interactive is set if a user waits for the first token.
	Interactive   bool
	Prefix        []wigeonshift.BlockHash
	Fingerprint   wigeonshift.Fingerprint
	NonIdempotent bool
	// Poison is set if the request crashes the engine that runs it.
	Poison bool
}

// Engine specifies a simulated engine.
type Engine struct {
	Name                   string
	Generation             string
	PrefillTokensPerSecond float64
	// A step takes BaseStepTime, StepTimePerStream for each decoding stream and the time of its prefill tokens.
	BaseStepTime      time.Duration
	StepTimePerStream time.Duration
	// MaxBatchSize is the maximum number of streams that run at once.
	MaxBatchSize int
	// PrefillChunkTokens is the maximum number of prompt tokens computed in one step.
	PrefillChunkTokens int
	// CacheBlocks is the capacity of the prefix cache.
	CacheBlocks int
	CanPause    bool
	Models      []string
}

// DecodeTokensPerSecond returns the engine's decode throughput with a full batch and no prefill.
func (e *Engine) DecodeTokensPerSecond() float64 {
	step := e.BaseStepTime + time.Duration(e.MaxBatchSize)*e.StepTimePerStream
	return float64(e.MaxBatchSize) / step.Seconds()
}

// FaultKind is the kind of a Fault.
type FaultKind string

// Kinds of faults.
const (
	// FaultSlow multiplies the time of each step by SlowdownFactor. A factor of 1 ends the slowdown.
	FaultSlow FaultKind = "slow"
	// FaultCrash crashes the engine. It restarts with an empty queue and cache after RestartDelay.
	FaultCrash FaultKind = "crash"
)

// Fault is a fault of one engine.
type Fault struct {
	// At is relative to the start of the trace.
	At             time.Duration
	EngineIndex    int
	Kind           FaultKind
	SlowdownFactor float64
	RestartDelay   time.Duration
}

// Scenario is one workload with its engines and faults.
type Scenario struct {
	Name string
	// Seed generates the trace and the random delays of the benchmark.
	Seed     uint64
	Engines  []Engine
	Requests []Request
	Faults   []Fault
	// LoadLagMin and LoadLagMax bound the delay after which a load report arrives.
	LoadLagMin, LoadLagMax time.Duration
	// CacheLagMin and CacheLagMax bound the delay after which a batch of cache events arrives.
	CacheLagMin time.Duration
	CacheLagMax time.Duration
	// CacheLossRate is the share of cache event batches that are lost.
	CacheLossRate float64
	// HasCrashes is set if engines crash in the scenario.
	HasCrashes bool
	// Load is the ratio of the offered load to the capacity of the engines. TopTierLoad counts tier 0 only.
	Load, TopTierLoad float64
	// DrainTimeout is the time after the last arrival in which requests may end. The benchmark does not enforce it.
	DrainTimeout time.Duration
}
