package wigeongateway

import (
	"slices"
	"sync"
	"time"
)

const (
	// peerRequestDelay gives the store time to deliver a newer version before this instance requests it from a peer.
	peerRequestDelay = 300 * time.Millisecond
	// peerRequestTimeout is the time after which a request counts as unanswered.
	peerRequestTimeout = time.Second
	// nextPeerDelay is the time after which another peer is asked beside one that hasn't answered.
	nextPeerDelay = 250 * time.Millisecond
	// maxPeerRequests is the number of peers that may be asked at the same time.
	maxPeerRequests = 2
)

// peerRequestThrottle limits how often an instance fetches a version that peers have and the store has not delivered.
// Every load notice of every peer carries a version and a response may be large, so only few requests are outstanding.
type peerRequestThrottle struct {
	mu sync.Mutex
	// newestVersion is the newest version that any peer has reported.
	newestVersion uint64
	// behindSince is when a peer first reported a version newer than the local one.
	behindSince time.Time
	// localVersion is the latest local version, attempts the number of requests since it has changed.
	localVersion uint64
	attempts     int
	// outstanding holds the latest requests, oldest first.
	outstanding []peerRequest
}

// peerRequest is a request for a version that a peer has reported.
type peerRequest struct {
	peer    string
	version uint64
	at      time.Time
}

// shouldRequest reports whether to request the version that a peer has just reported. If so, it records the request.
func (t *peerRequestThrottle) shouldRequest(peer string, peerVersion, localVersion uint64, at time.Time) bool {
	if peerVersion <= localVersion {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.newestVersion <= localVersion {
		t.behindSince = at
	}
	t.newestVersion = max(t.newestVersion, peerVersion)
	if localVersion != t.localVersion {
		t.localVersion, t.attempts = localVersion, 0
	}
	t.outstanding = slices.DeleteFunc(t.outstanding, func(r peerRequest) bool {
		return r.version <= localVersion || at.Sub(r.at) >= peerRequestTimeout
	})
	if at.Sub(t.behindSince) < peerRequestDelay || len(t.outstanding) >= maxPeerRequests {
		return false
	}
	for _, r := range t.outstanding {
		if r.peer == peer || at.Sub(r.at) < nextPeerDelay {
			return false
		}
	}
	t.outstanding = append(t.outstanding, peerRequest{peer: peer, at: at, version: peerVersion})
	t.attempts++
	return true
}

// isRepeated reports whether the latest request was not the first one since the local version has changed.
func (t *peerRequestThrottle) isRepeated() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.attempts > 1
}
