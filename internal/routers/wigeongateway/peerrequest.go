package wigeongateway

import (
	"sync"
	"time"
)

const (
	// peerRequestDelay gives the store time to deliver a newer version before this instance requests it from a peer.
	peerRequestDelay = 300 * time.Millisecond
	// peerRequestTimeout is the time after which a request counts as unanswered and the next one may be sent.
	peerRequestTimeout = time.Second
)

// peerRequestThrottle limits how often an instance fetches a version that peers have and the store has not delivered.
// Every load notice of every peer carries a version and a response may be large, so at most one request is outstanding.
type peerRequestThrottle struct {
	mu sync.Mutex
	// newestVersion is the newest version that any peer has reported.
	newestVersion uint64
	// behindSince is when a peer first reported a version newer than the local one.
	behindSince time.Time
	// requestedAt is the time of the latest request.
	requestedAt time.Time
}

// shouldRequest reports whether to request the version that a peer has just reported. If so, it records at as the time of
// the latest request.
func (t *peerRequestThrottle) shouldRequest(peerVersion, localVersion uint64, at time.Time) bool {
	if peerVersion <= localVersion {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.newestVersion <= localVersion {
		t.behindSince = at
	}
	t.newestVersion = max(t.newestVersion, peerVersion)
	if at.Sub(t.behindSince) < peerRequestDelay || at.Sub(t.requestedAt) < peerRequestTimeout {
		return false
	}
	t.requestedAt = at
	return true
}
