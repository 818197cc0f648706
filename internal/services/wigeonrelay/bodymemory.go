package wigeonrelay

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"

	"wigeonshift/internal/services/wigeonupstream"
)

const (
	// defaultBodyMemory is the memory for the bodies of all requests together, in bytes.
	defaultBodyMemory = 8 << 20
	// freeBodyBytes is the part of each body that doesn't count. Usual answers are shorter.
	freeBodyBytes = 16 << 10
	// firstBodyBytes is the capacity with which a buffer for a body begins.
	firstBodyBytes = 1 << 10
)

// errBodyMemoryUsed reports that the bodies of all requests together would exceed the memory for them.
var errBodyMemoryUsed = errors.New("memory for response bodies is used up")

// bodyMemory bounds the bytes that are held of all response bodies together. A bound on each body alone lets faulty endpoints fill the
// memory with many of them.
type bodyMemory struct {
	// left is the number of bytes that may still be held, zero or more.
	left atomic.Int64
}

// reserve takes bytes of the memory and reports whether there were enough.
func (m *bodyMemory) reserve(n int) bool {
	for {
		left := m.left.Load()
		if int64(n) > left {
			return false
		}
		if m.left.CompareAndSwap(left, left-int64(n)) {
			return true
		}
	}
}

func (m *bodyMemory) release(n int) { m.left.Add(int64(n)) }

// heldBody is a buffer for a body, whose capacity beyond freeBodyBytes is reserved in a bodyMemory until release.
type heldBody struct {
	memory   *bodyMemory
	data     []byte
	reserved int
}

// grow doubles the capacity, up to maxBufferedBodyBytes.
func (b *heldBody) grow() error {
	capacity := min(max(2*cap(b.data), firstBodyBytes), maxBufferedBodyBytes)
	more := max(capacity-freeBodyBytes, 0) - b.reserved
	if !b.memory.reserve(more) {
		return errBodyMemoryUsed
	}
	b.reserved += more
	grown := make([]byte, len(b.data), capacity)
	copy(grown, b.data)
	b.data = grown
	return nil
}

// readFrom reads to the end of a body. It fails if the body exceeds maxBufferedBodyBytes, and reads one byte more than that to notice it.
func (b *heldBody) readFrom(r io.Reader) error {
	for {
		free := b.data[len(b.data):cap(b.data)]
		if len(b.data) == maxBufferedBodyBytes {
			free = make([]byte, 1)
		} else if len(free) == 0 {
			if err := b.grow(); err != nil {
				return err
			}
			continue
		}
		n, err := r.Read(free)
		if len(b.data)+n > maxBufferedBodyBytes {
			return errBodyTooLarge
		}
		b.data = b.data[:len(b.data)+n]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// release gives the memory back. The data must not be used afterwards.
func (b *heldBody) release() {
	b.memory.release(b.reserved)
	b.data, b.reserved = nil, 0
}

// heldBodyReader reads a body for the HTTP library and gives its memory back once it has been written.
type heldBodyReader struct {
	bytes.Reader
	body *heldBody
}

func (b *heldBody) reader() *heldBodyReader {
	r := &heldBodyReader{body: b}
	r.Reset(b.data)
	return r
}

// Close gives the memory back.
func (r *heldBodyReader) Close() error {
	r.Reset(nil)
	r.body.release()
	return nil
}

// readBuffered reads a response body into memory. The caller must release it.
func (c *call) readBuffered(r *wigeonupstream.Response) (*heldBody, error) {
	b := &heldBody{memory: &c.service.bodyMemory}
	if err := b.readFrom(r.Body()); err != nil {
		b.release()
		return nil, err
	}
	return b, nil
}
