package wigeonlease

import (
	"wigeonshift"
)

// Event reports one change of a lease as this instance's elector sees it.
type Event struct {
	Kind EventKind
	// Epoch is the epoch acquired, or the epoch of the new holder.
	Epoch uint64
	// Holder is the new holder of a lost lease.
	Holder wigeonshift.Instance
}

// EventKind is the type of a lease event.
type EventKind string

// Kinds of lease events.
const (
	// Acquired means that this instance holds the lease, either for the first time or again after an expiry.
	Acquired EventKind = "acquired"
	// Expired means that no renewal succeeded in time. No other instance is known to hold the lease.
	Expired EventKind = "lapsed"
	// Lost means that another instance holds the lease.
	Lost EventKind = "lost"
)
