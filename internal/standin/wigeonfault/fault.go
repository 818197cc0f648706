// Package wigeonfault gives the stand-in services their switches for faults and a listener that cuts or mutes
// connections.
package wigeonfault

import (
	"encoding/json"
	"sync"
	"time"
)

// Silence says which part of a service stays mute.
type Silence string

// Kinds of silence.
const (
	// SilenceNone answers normally.
	SilenceNone Silence = ""
	// SilenceRequests accepts requests and never answers them.
	SilenceRequests Silence = "requests"
	// SilenceStreams lets streams stop in the middle.
	SilenceStreams Silence = "streams"
	// SilenceConnections mutes the connections that are open now; new ones work.
	SilenceConnections Silence = "connections"
)

// Faults is the set of faults in force.
type Faults struct {
	// Crash cuts every connection and stops listening. It takes effect once.
	Crash bool `json:"crash,omitempty"`
	// RestartMS is the time after a crash at which the service listens again; 0 means never.
	RestartMS int64 `json:"restartMs,omitempty"`
	// CrashMarker crashes the service when a prompt or body contains it; empty means never.
	CrashMarker string `json:"crashMarker,omitempty"`
	// Straggle multiplies the time of everything; 0 counts as 1.
	Straggle float64 `json:"straggle,omitempty"`
	Silence  Silence `json:"silence,omitempty"`
	// CrossedReplies is the number of coming answers that carry another attempt's token.
	CrossedReplies int `json:"crossedReplies,omitempty"`
	// LateMS delays each answer's first byte.
	LateMS int64 `json:"lateMs,omitempty"`
	// RefuseNext is the number of coming requests refused with proof that they did not run; -1 means all.
	RefuseNext int `json:"refuseNext,omitempty"`
	// DropReplies is the number of coming requests that run and whose connection is then cut without an answer.
	DropReplies int `json:"dropReplies,omitempty"`
	// IgnoreFencing takes orders with old fencing numbers.
	IgnoreFencing bool `json:"ignoreFencing,omitempty"`
}

// Switch holds the faults in force. It is safe for concurrent use.
type Switch struct {
	mu     sync.Mutex
	faults Faults
	// changed is closed and replaced with each Set.
	changed chan struct{}
}

// NewSwitch returns a switch with initial faults.
func NewSwitch(initial Faults) *Switch {
	return &Switch{faults: initial, changed: make(chan struct{})}
}

// Get returns the faults in force.
func (s *Switch) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Changed returns a channel that is closed with the next Set.
func (s *Switch) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Set replaces the faults. Crash is an act, not a state, and isn't kept.
func (s *Switch) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f.Crash = false
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// Parse reads faults from JSON.
func Parse(document []byte) (Faults, error) {
	var f Faults
	err := json.Unmarshal(document, &f)
	return f, err
}

// TakeRefusal reports whether the coming request is to be refused.
func (s *Switch) TakeRefusal() bool {
	return s.take(func(f *Faults) *int { return &f.RefuseNext })
}

// TakeCrossed reports whether the coming answer is to carry another attempt's token.
func (s *Switch) TakeCrossed() bool {
	return s.take(func(f *Faults) *int { return &f.CrossedReplies })
}

// TakeDrop reports whether the coming answer is to be dropped with its connection.
func (s *Switch) TakeDrop() bool {
	return s.take(func(f *Faults) *int { return &f.DropReplies })
}

func (s *Switch) take(field func(*Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := field(&s.faults)
	if *n > 0 {
		*n--
		return true
	}
	return *n < 0
}

// Stretch returns a duration under the straggle factor.
func (f Faults) Stretch(d time.Duration) time.Duration {
	if f.Straggle <= 0 {
		return d
	}
	return time.Duration(float64(d) * f.Straggle)
}

// Late returns the delay of an answer's first byte.
func (f Faults) Late() time.Duration {
	return time.Duration(f.LateMS) * time.Millisecond
}
