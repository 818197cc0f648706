package wigeonspread

import (
	"sync"
	"time"

	"wigeonshift"
)

// inForce holds the configuration in force. Its version only rises.
type inForce struct {
	mu      sync.Mutex
	current *wigeonshift.Configuration
	wake    chan struct{}
}

func newInForce() inForce {
	return inForce{wake: make(chan struct{})}
}

func (f *inForce) get() *wigeonshift.Configuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

func (f *inForce) version() uint64 {
	if c := f.get(); c != nil {
		return c.Version
	}
	return 0
}

func (f *inForce) changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wake
}

// set brings a configuration into force if it is newer, and reports whether it was.
func (f *inForce) set(c *wigeonshift.Configuration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current != nil && c.Version <= f.current.Version {
		return false
	}
	f.current = c
	close(f.wake)
	f.wake = make(chan struct{})
	return true
}

// confirmation remembers who last agreed that the version in force is the newest known.
type confirmation struct {
	mu sync.Mutex
	// settled is set once the first version was confirmed as the newest one known.
	settled bool
	at      time.Time
	peers   map[string]bool
	firstAt time.Time
}

// heard notes a confirmation by the platform or a peer.
func (c *confirmation) heard(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = now
}

// settle ends the start: the platform named the version in force as the newest.
func (c *confirmation) settle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settled, c.at = true, now
}

// heardPeer notes a peer that knows nothing newer; enough of them end the start.
func (c *confirmation) heardPeer(id string, now time.Time, needed int, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = now
	if c.settled {
		return
	}
	if c.peers == nil {
		c.peers, c.firstAt = map[string]bool{}, now
	}
	c.peers[id] = true
	c.settled = len(c.peers) >= needed || now.Sub(c.firstAt) >= wait
	if c.settled {
		c.peers = nil
	}
}

func (c *confirmation) state() (settled bool, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.settled, c.at
}

// Confirmed reports whether the platform or a peer agreed within the bound that the version in force is the newest.
func (s *Spread) Confirmed() bool {
	settled, at := s.confirm.state()
	return settled && time.Since(at) <= s.settings.ConfirmBound
}

// Ready reports whether the instance may take requests under its version: it has one that was the newest known when
// it started, and is not cut off from the platform and from all the others. An instance alone on the list goes on.
func (s *Spread) Ready() bool {
	settled, _ := s.confirm.state()
	if !settled || s.Current() == nil {
		return false
	}
	return s.Confirmed() || len(s.members.Live()) <= 1
}
