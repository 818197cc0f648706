// Package wigeonfault injects faults into the stand-in services. It holds the active faults and has a listener that can
// reset or silence its connections.
package wigeonfault

import (
	"encoding/json"
	"sync"
	"time"
)

// Silence selects the part of a service that stops responding.
type Silence string

// Values of Silence.
const (
	// SilenceNone responds normally.
	SilenceNone Silence = ""
	// SilenceRequests accepts requests and never responds to them.
	SilenceRequests Silence = "requests"
	// SilenceStreams stops sending in the middle of a stream and leaves the connection open.
	SilenceStreams Silence = "streams"
	// SilenceConnections silences the connections that are open now; new ones work.
	SilenceConnections Silence = "connections"
)

// Faults is a set of faults. The zero value has none.
type Faults struct {
	// Crash resets every connection and stops listening. It takes effect once.
	Crash bool `json:"crash,omitempty"`
	// RestartMS is the time from a crash until the service listens again; 0 means never.
	RestartMS int64 `json:"restartMs,omitempty"`
	// CrashMarker crashes the service when a prompt or body contains this text; empty means never.
	CrashMarker string `json:"crashMarker,omitempty"`
	// SlowdownFactor multiplies the duration of the simulated work; 0 counts as 1.
	SlowdownFactor float64 `json:"straggle,omitempty"`
	Silence        Silence `json:"silence,omitempty"`
	// CrossedReplies is the number of coming responses that carry another attempt's token; -1 means all.
	CrossedReplies int `json:"crossedReplies,omitempty"`
	// FirstByteDelayMS delays the first byte of each response.
	FirstByteDelayMS int64 `json:"lateMs,omitempty"`
	// RefuseNext is the number of coming requests that are refused with proof that they did not run; -1 means all.
	RefuseNext int `json:"refuseNext,omitempty"`
	// DropReplies is the number of coming requests that run but whose connection is then closed without a response;
	// -1 means all.
	DropReplies int `json:"dropReplies,omitempty"`
	// IgnoreFencing accepts orders with outdated fencing numbers.
	IgnoreFencing bool `json:"ignoreFencing,omitempty"`
}

// Injector holds the active faults of a service. It is safe for concurrent use.
type Injector struct {
	mu     sync.Mutex
	faults Faults
	// changed is closed and replaced by each Set.
	changed chan struct{}
}

// NewInjector returns an injector with initial faults.
func NewInjector(initial Faults) *Injector {
	return &Injector{faults: initial, changed: make(chan struct{})}
}

// Get returns the active faults.
func (i *Injector) Get() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// Changed returns a channel that the next Set closes.
func (i *Injector) Changed() <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.changed
}

// Set replaces the faults. It doesn't keep Crash, because a crash is an event and not a state.
func (i *Injector) Set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	f.Crash = false
	i.faults = f
	close(i.changed)
	i.changed = make(chan struct{})
}

// Parse reads faults from JSON.
func Parse(document []byte) (Faults, error) {
	var f Faults
	err := json.Unmarshal(document, &f)
	return f, err
}

// TakeRefusal reports whether to refuse the current request, and counts RefuseNext down.
func (i *Injector) TakeRefusal() bool {
	return i.takeOne(func(f *Faults) *int { return &f.RefuseNext })
}

// TakeCrossedReply reports whether the current response must carry another attempt's token, and counts CrossedReplies
// down.
func (i *Injector) TakeCrossedReply() bool {
	return i.takeOne(func(f *Faults) *int { return &f.CrossedReplies })
}

// TakeDroppedReply reports whether to close the connection instead of responding, and counts DropReplies down.
func (i *Injector) TakeDroppedReply() bool {
	return i.takeOne(func(f *Faults) *int { return &f.DropReplies })
}

// takeOne decrements a positive counter. It returns false only if the counter is 0.
func (i *Injector) takeOne(field func(*Faults) *int) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := field(&i.faults)
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

// ScaleDuration returns a duration multiplied by the slowdown factor.
func (f Faults) ScaleDuration(d time.Duration) time.Duration {
	if f.SlowdownFactor <= 0 {
		return d
	}
	return time.Duration(float64(d) * f.SlowdownFactor)
}

// FirstByteDelay returns the delay of a response's first byte.
func (f Faults) FirstByteDelay() time.Duration {
	return time.Duration(f.FirstByteDelayMS) * time.Millisecond
}
