package wigeonsession

import "sync"

// Limits of the send queues. The local queue is for messages of the instance to itself, the others are per peer.
const (
	maxLocalQueueMessages = 1 << 16
	maxMainQueueMessages  = 4096
	maxMainQueueBytes     = 8 << 20
	maxBulkQueueMessages  = 256
	maxBulkQueueBytes     = 160 << 20
)

// queueItem is one element of a sendQueue.
type queueItem[T any] struct {
	value     T
	sizeBytes int
}

// sendQueue is a bounded FIFO queue whose reader waits on a channel.
type sendQueue[T any] struct {
	maxItems int
	maxBytes int
	// ready holds a signal if the queue may be non-empty.
	ready chan struct{}

	mu    sync.Mutex
	items []queueItem[T]
	bytes int
}

func newSendQueue[T any](maxItems, maxBytes int) *sendQueue[T] {
	return &sendQueue[T]{maxItems: maxItems, maxBytes: maxBytes, ready: make(chan struct{}, 1)}
}

// push appends an item. It returns false if the queue is full.
func (q *sendQueue[T]) push(item T, sizeBytes int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) >= q.maxItems || q.bytes+sizeBytes > q.maxBytes {
		return false
	}
	q.items = append(q.items, queueItem[T]{item, sizeBytes})
	q.bytes += sizeBytes
	q.signal()
	return true
}

// pop removes and returns the oldest item, if there is one.
func (q *sendQueue[T]) pop() (T, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) == 0 {
		var zero T
		return zero, false
	}
	first := q.items[0]
	q.items[0] = queueItem[T]{}
	q.items = q.items[1:]
	q.bytes -= first.sizeBytes
	if len(q.items) == 0 {
		q.items = nil
	}
	return first.value, true
}

// discardAll empties the queue and returns the number of items removed.
func (q *sendQueue[T]) discardAll() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := len(q.items)
	q.items, q.bytes = nil, 0
	return n
}

func (q *sendQueue[T]) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}

// signal wakes the reader.
func (q *sendQueue[T]) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}
