package wigeonlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// pendingLines bounds the lines that wait to be written.
	pendingLines = 4096
	// linesPerSecond bounds the lines that are taken in a second.
	linesPerSecond = 3000
)

// Bounded writes lines to a slow writer without ever blocking its callers. Lines beyond the bounds are dropped and
// counted, and the count is written when there is room again.
type Bounded struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}

	mu     sync.Mutex
	second int64
	taken  int
	closed bool
}

// NewBounded returns a writer; Flush ends it.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, lines: make(chan []byte, pendingLines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write takes one line. It never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := time.Now().Unix(); second != b.second {
		b.second, b.taken = second, 0
	}
	if b.closed || b.taken >= linesPerSecond {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
		b.taken++
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Flush writes what waits and ends the writer. Later lines are dropped.
func (b *Bounded) Flush() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	b.mu.Unlock()
	<-b.done
}

// run writes lines, as many at once as are waiting.
func (b *Bounded) run() {
	defer close(b.done)
	var batch []byte
	for line := range b.lines {
		batch = append(batch[:0], line...)
		for range len(b.lines) {
			batch = append(batch, <-b.lines...)
		}
		b.write(batch)
	}
	b.write(nil)
}

// write writes lines and the number of those dropped since the last write.
func (b *Bounded) write(batch []byte) {
	if n := b.dropped.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, `{"level":"warning","msg":"log lines dropped","count":%d}`+"\n", n)
	}
	if len(batch) > 0 {
		// A log that can't be written has no place to say so.
		_, _ = b.out.Write(batch)
	}
}
