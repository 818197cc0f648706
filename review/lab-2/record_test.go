package lab

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run, with the time of each in milliseconds.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	out   *bufio.Writer
	// seen holds the first time of each kind of entry for each request.
	seen map[string]map[string]time.Duration
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, out: bufio.NewWriter(f), seen: map[string]map[string]time.Duration{}}, nil
}

// add notes an entry about a request.
func (r *record) add(kind, id, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.start)
	if r.seen[id] == nil {
		r.seen[id] = map[string]time.Duration{}
	}
	if _, ok := r.seen[id][kind]; !ok {
		r.seen[id][kind] = at
	}
	fmt.Fprintf(r.out, "%8d %-10s %-14s %s\n", at.Milliseconds(), kind, id, detail)
}

// note writes a line that belongs to no request.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf(format, args...)
	fmt.Fprintf(r.out, "%8d %s\n", time.Since(r.start).Milliseconds(), line)
	fmt.Println(line)
}

func (r *record) has(kind, id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.seen[id][kind]
	return ok
}

func (r *record) at(kind, id string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen[id][kind]
}

// ids returns the requests that have an entry of a kind.
func (r *record) ids(kind string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for id, kinds := range r.seen {
		if _, ok := kinds[kind]; ok {
			out = append(out, id)
		}
	}
	return out
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
