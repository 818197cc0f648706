package wigeonsession

import "sync"

// Bounds of the send queues of one peer.
const (
	localQueueMessages    = 1 << 16
	decisionQueueMessages = 4096
	decisionQueueBytes    = 8 << 20
	bulkQueueMessages     = 256
	bulkQueueBytes        = 160 << 20
)

// queued is one element of a sendQueue with its size in bytes.
type queued[T any] struct {
	item T
	size int
}

// sendQueue is a bounded queue that signals its readers.
type sendQueue[T any] struct {
	maxItems int
	maxBytes int
	// ready holds a signal whenever the queue may be non-empty.
	ready chan struct{}

	mu    sync.Mutex
	items []queued[T]
	bytes int
}

func newSendQueue[T any](maxItems, maxBytes int) *sendQueue[T] {
	return &sendQueue[T]{maxItems: maxItems, maxBytes: maxBytes, ready: make(chan struct{}, 1)}
}

// push appends an item; false means that the queue is full.
func (q *sendQueue[T]) push(item T, size int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) >= q.maxItems || q.bytes+size > q.maxBytes {
		return false
	}
	q.items = append(q.items, queued[T]{item, size})
	q.bytes += size
	q.signal()
	return true
}

// pop takes the oldest item.
func (q *sendQueue[T]) pop() (T, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) == 0 {
		var none T
		return none, false
	}
	first := q.items[0]
	q.items[0] = queued[T]{}
	q.items = q.items[1:]
	q.bytes -= first.size
	if len(q.items) == 0 {
		q.items = nil
	}
	return first.item, true
}

// drain removes all items and returns their number.
func (q *sendQueue[T]) drain() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := len(q.items)
	q.items, q.bytes = nil, 0
	return n
}

// len returns the number of items.
func (q *sendQueue[T]) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}

// signal wakes one reader.
func (q *sendQueue[T]) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}
