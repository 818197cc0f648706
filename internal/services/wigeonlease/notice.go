package wigeonlease

import (
	"wigeonshift"
)

// Notice is one change of a lease as its keeper sees it.
type Notice struct {
	Kind NoticeKind
	// Epoch is the epoch acquired, or the epoch of the new holder.
	Epoch uint64
	// Holder is the new holder of a lost lease.
	Holder wigeonshift.Instance
}

// NoticeKind names a change of a lease.
type NoticeKind string

// Kinds of notices.
const (
	// Acquired means that this instance holds the lease, newly or again after it lapsed.
	Acquired NoticeKind = "acquired"
	// Lapsed means that renewals failed for too long; nobody else is known to hold the lease.
	Lapsed NoticeKind = "lapsed"
	// Lost means that another instance holds the lease.
	Lost NoticeKind = "lost"
)
