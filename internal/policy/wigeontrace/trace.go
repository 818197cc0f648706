// Package wigeontrace makes the seeded workloads of the policy benchmark: requests, engines and faults of each scenario.
package wigeontrace

import (
	"time"

	"wigeonshift"
)

// Class groups requests by the length of their prompts.
type Class string

// Classes of prompts.
const (
	ClassShort  Class = "short"
	ClassMedium Class = "medium"
	ClassLong   Class = "long"
)

// Bounds between the classes, in prompt tokens.
const (
	shortTokens  = 1024
	mediumTokens = 4096
)

// ClassOf returns the class of a prompt length.
func ClassOf(tokens int) Class {
	switch {
	case tokens < shortTokens:
		return ClassShort
	case tokens < mediumTokens:
		return ClassMedium
	default:
		return ClassLong
	}
}

// Request is one caller request of a trace.
type Request struct {
	ID           wigeonshift.RequestID
	At           time.Duration
	Organisation string
	Rank         wigeonshift.TierRank
	Model        string
	PromptTokens int
	// OutputTokens is the length of the answer; MaxTokens is the bound that the scheduler knows.
	OutputTokens int
	MaxTokens    int
	// Deadline is relative to At; the caller leaves then.
	Deadline time.Duration
	// Interactive callers wait for the first token.
	Interactive   bool
	Prefix        []wigeonshift.BlockHash
	Fingerprint   wigeonshift.Fingerprint
	NonIdempotent bool
	// Poison requests crash the engine that runs them.
	Poison bool
}

// Engine describes one fake engine.
type Engine struct {
	Name       string
	Generation string
	// PrefillRate is in prompt tokens a second.
	PrefillRate float64
	// StepBase and StepPerStream make up the time of one decoding step.
	StepBase      time.Duration
	StepPerStream time.Duration
	// Batch is the number of streams run at once, ChunkTokens the prompt tokens computed in one step.
	Batch       int
	ChunkTokens int
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	CanPause    bool
	Models      []string
}

// DecodeRate is the engine's rate of generated tokens a second with a full batch.
func (e *Engine) DecodeRate() float64 {
	step := e.StepBase + time.Duration(e.Batch)*e.StepPerStream
	return float64(e.Batch) / step.Seconds()
}

// FaultKind names what happens to an engine.
type FaultKind string

// Kinds of faults.
const (
	// FaultSlow multiplies the time of each step by Factor; 1 ends the fault.
	FaultSlow FaultKind = "slow"
	// FaultCrash kills the engine, which restarts empty after Restart.
	FaultCrash FaultKind = "crash"
)

// Fault happens to one engine.
type Fault struct {
	At      time.Duration
	Engine  int
	Kind    FaultKind
	Factor  float64
	Restart time.Duration
}

// Scenario is one workload with its engines and faults.
type Scenario struct {
	Name string
	// Seed made the trace; the benchmark's own delays are drawn from it, too.
	Seed     uint64
	Engines  []Engine
	Requests []Request
	Faults   []Fault
	// LoadLagMin and LoadLagMax bound the age of load reports, CacheLag that of cache events.
	LoadLagMin, LoadLagMax time.Duration
	CacheLagMin            time.Duration
	CacheLagMax            time.Duration
	// CacheLoss is the share of cache event batches that never arrive.
	CacheLoss float64
	// Crashes is set when engines are lost in the scenario.
	Crashes bool
	// Load is the offered load against the capacity of the engines, TopLoad that of tier 0 alone.
	Load, TopLoad float64
	// Slack is the time after the last arrival in which requests may end.
	Slack time.Duration
}
