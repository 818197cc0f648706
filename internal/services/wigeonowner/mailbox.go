package wigeonowner

import (
	"sync"

	"wigeonshift/internal/services/wigeonscheduler"
)

// mailboxLimit is the largest number of events queued for a shard's loop.
const mailboxLimit = 1 << 16

// mailbox is a bounded queue of events for a shard's loop.
type mailbox struct {
	ready chan struct{}

	mu     sync.Mutex
	events []wigeonscheduler.EventBody
}

func newMailbox() *mailbox {
	return &mailbox{ready: make(chan struct{}, 1)}
}

// put appends an event and returns false if the mailbox is full.
func (b *mailbox) put(e wigeonscheduler.EventBody) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.events) >= mailboxLimit {
		return false
	}
	b.events = append(b.events, e)
	select {
	case b.ready <- struct{}{}:
	default:
	}
	return true
}

// takeAll removes and returns all queued events.
func (b *mailbox) takeAll() []wigeonscheduler.EventBody {
	b.mu.Lock()
	defer b.mu.Unlock()
	events := b.events
	b.events = nil
	return events
}
