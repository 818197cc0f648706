package wigeonspread

import (
	"sync"
	"time"

	"wigeonshift"
)

// activeConfiguration holds the active configuration. Its version never decreases.
type activeConfiguration struct {
	mu      sync.Mutex
	current *wigeonshift.Configuration
	// updated is closed and replaced when current changes.
	updated chan struct{}
}

func newActiveConfiguration() activeConfiguration {
	return activeConfiguration{updated: make(chan struct{})}
}

func (a *activeConfiguration) get() *wigeonshift.Configuration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current
}

func (a *activeConfiguration) version() uint64 {
	if c := a.get(); c != nil {
		return c.Version
	}
	return 0
}

// changed returns a channel that is closed when a newer configuration becomes active.
func (a *activeConfiguration) changed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.updated
}

// set replaces the active configuration if c is newer, and reports whether it did.
func (a *activeConfiguration) set(c *wigeonshift.Configuration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current != nil && c.Version <= a.current.Version {
		return false
	}
	a.current = c
	close(a.updated)
	a.updated = make(chan struct{})
	return true
}

// confirmation records when the platform or a peer last confirmed that the active version is the newest known.
type confirmation struct {
	mu sync.Mutex
	// initialVersionConfirmed is set once the version that the instance started with is confirmed as the newest known.
	initialVersionConfirmed bool
	confirmedAt             time.Time
	// confirmingPeers holds the IDs of the peers that have confirmed the version since the start, firstPeerAt the time
	// of the first of these confirmations.
	confirmingPeers map[string]bool
	firstPeerAt     time.Time
}

// setConfirmedAt sets the time of the last confirmation, without ending the startup phase.
func (c *confirmation) setConfirmedAt(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmedAt = now
}

// confirmByPlatform records that the platform has the active version as its newest. This ends the startup phase.
func (c *confirmation) confirmByPlatform(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.initialVersionConfirmed, c.confirmedAt = true, now
}

// confirmByPeer records that a peer knows no newer version. The startup phase ends after confirmations of
// requiredPeers peers, or with the first confirmation that comes at least timeout after the first peer's.
func (c *confirmation) confirmByPeer(id string, now time.Time, requiredPeers int, timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmedAt = now
	if c.initialVersionConfirmed {
		return
	}
	if c.confirmingPeers == nil {
		c.confirmingPeers, c.firstPeerAt = map[string]bool{}, now
	}
	c.confirmingPeers[id] = true
	c.initialVersionConfirmed = len(c.confirmingPeers) >= requiredPeers || now.Sub(c.firstPeerAt) >= timeout
	if c.initialVersionConfirmed {
		c.confirmingPeers = nil
	}
}

// state reports whether the startup phase has ended, and the time of the last confirmation.
func (c *confirmation) state() (initialVersionConfirmed bool, confirmedAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.initialVersionConfirmed, c.confirmedAt
}

// Confirmed reports whether the platform or a peer has confirmed within ConfirmationTimeout that the active version is
// the newest.
func (s *Spread) Confirmed() bool {
	initialVersionConfirmed, confirmedAt := s.confirmation.state()
	return initialVersionConfirmed && time.Since(confirmedAt) <= s.settings.ConfirmationTimeout
}

// Ready reports whether the instance may accept requests with its active version: the version was confirmed as the
// newest at startup, and the instance is not cut off from both the platform and all peers. The only instance on the
// list needs no further confirmation after startup.
func (s *Spread) Ready() bool {
	initialVersionConfirmed, _ := s.confirmation.state()
	if !initialVersionConfirmed || s.Current() == nil {
		return false
	}
	return s.Confirmed() || len(s.members.Live()) <= 1
}
