package wigeonsession

import (
	"wigeonshift"
)

// Subscribe adds a handler for all received messages. It must be called before Start.
func (n *Network) Subscribe(h wigeonshift.PeerHandler) {
	n.messageHandlers = append(n.messageHandlers, h)
}

// SubscribePeerLost adds a handler that is called when the last session with an instance has ended without a goodbye,
// or when none could be opened. It must be called before Start.
func (n *Network) SubscribePeerLost(h func(wigeonshift.Instance)) {
	n.lostHandlers = append(n.lostHandlers, h)
}

// SubscribeDiscovered adds a handler that is called when an instance has opened a session to this one, and when a dial
// reaches another instance than expected. It must be called before Start.
func (n *Network) SubscribeDiscovered(h func(wigeonshift.Instance)) {
	n.discoveredHandlers = append(n.discoveredHandlers, h)
}

// SubscribeUnreachable adds a handler that is called when dialling an instance has failed. It must be called before Start.
func (n *Network) SubscribeUnreachable(h func(wigeonshift.Instance)) {
	n.unreachableHandlers = append(n.unreachableHandlers, h)
}

// SubscribeLeaving adds a handler that is called when an instance announces that it is leaving. It must be called before
// Start.
func (n *Network) SubscribeLeaving(h func(wigeonshift.Instance)) {
	n.leavingHandlers = append(n.leavingHandlers, h)
}

// SetLeaving announces to every peer, on open and later sessions, that this instance is leaving.
func (n *Network) SetLeaving() {
	n.leaving.Store(true)
	n.mu.Lock()
	peers := n.peerList()
	n.mu.Unlock()
	for _, p := range peers {
		for _, l := range p.snapshotLinks() {
			l.queueHeartbeat(false)
		}
	}
}

// deliver passes a message to all message handlers.
func (n *Network) deliver(from wigeonshift.Instance, m wigeonshift.PeerMessage) {
	for _, h := range n.messageHandlers {
		h(from, m)
	}
}

// notify calls every handler with the instance.
func notify(handlers []func(wigeonshift.Instance), i wigeonshift.Instance) {
	for _, h := range handlers {
		h(i)
	}
}
