package wigeonlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPendingLines limits the lines queued for writing.
	maxPendingLines = 4096
	// maxLinesPerSecond limits the lines accepted per second.
	maxLinesPerSecond = 3000
)

// BoundedWriter is a log writer that never blocks its callers, even if the underlying writer is slow. Lines above the
// limits are dropped and counted, and the count is logged with the next lines written.
type BoundedWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}

	mu              sync.Mutex
	currentSecond   int64
	linesThisSecond int
	closed          bool
}

// NewBoundedWriter starts a writer to out. The caller must end it with Flush.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{out: out, lines: make(chan []byte, maxPendingLines), done: make(chan struct{})}
	go b.run()
	return b
}

// Write queues one line or drops it. It never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if second := time.Now().Unix(); second != b.currentSecond {
		b.currentSecond, b.linesThisSecond = second, 0
	}
	if b.closed || b.linesThisSecond >= maxLinesPerSecond {
		b.dropped.Add(1)
		return len(line), nil
	}
	select {
	case b.lines <- append([]byte(nil), line...):
		b.linesThisSecond++
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Flush writes the queued lines and closes the writer. Later lines are dropped.
func (b *BoundedWriter) Flush() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	b.mu.Unlock()
	<-b.done
}

// run writes the queued lines in batches until the writer is closed.
func (b *BoundedWriter) run() {
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

// write writes a batch of lines, followed by the number of lines dropped since the last write.
func (b *BoundedWriter) write(batch []byte) {
	if n := b.dropped.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, `{"level":"warning","msg":"log lines dropped","count":%d}`+"\n", n)
	}
	if len(batch) > 0 {
		// A failure to write the log can't be logged.
		_, _ = b.out.Write(batch)
	}
}
