package wigeongateway

import (
	"sync"
	"time"

	"wigeonshift"
)

const (
	// heardWindow is the time without a load notice after which a peer of the own group counts as not heard. It is above twice
	// maxNoticeInterval, so that one late notice doesn't matter.
	heardWindow = 1100 * time.Millisecond
	// maxPeerSilence is the time without a frame after which another session with such a peer is opened. It is above heardWindow,
	// so that peers count as not heard before the new sessions carry notices.
	maxPeerSilence = 1300 * time.Millisecond
)

// peerHearing holds when this instance last heard each peer. The zero value is ready for use.
type peerHearing struct {
	mu sync.Mutex
	// heardAt holds the times by instance ID. It holds only peers that the latest count has asked for, and those heard since.
	heardAt map[string]time.Time
}

// record records that a peer was heard.
func (h *peerHearing) record(id string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.heardAt == nil {
		h.heardAt = map[string]time.Time{}
	}
	h.heardAt[id] = at
}

// forget makes all peers count as not heard until they are heard again.
func (h *peerHearing) forget() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heardAt = nil
}

// count returns how many of the peers were heard within heardWindow, and forgets all others.
func (h *peerHearing) count(peers []wigeonshift.Instance, at time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	heard := make(map[string]time.Time, len(peers))
	for _, p := range peers {
		if since, ok := h.heardAt[p.ID]; ok && at.Sub(since) < heardWindow {
			heard[p.ID] = since
		}
	}
	h.heardAt = heard
	return len(heard)
}
