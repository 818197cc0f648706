package wigeonsoak_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store.
type store struct {
	server *httptest.Server

	mu      sync.Mutex
	version uint64
	rows    map[string]map[string]storeRow
	log     []storeRow
	changed chan struct{}
	// refuses makes every call fail, slow delays it.
	refuses bool
	slow    time.Duration
	// troubledAt is the end of the latest trouble.
	troubledAt time.Time
}

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

func newStore() *store {
	s := &store{rows: map[string]map[string]storeRow{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.commit)
	s.server = httptest.NewServer(mux)
	return s
}

// put writes a row, or removes it when value is nil.
func (s *store) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r := storeRow{Table: table, Key: key, Version: s.version, Deleted: value == nil}
	if value != nil {
		r.Value, _ = json.Marshal(value)
	}
	s.store(r)
}

func (s *store) store(r storeRow) {
	if s.rows[r.Table] == nil {
		s.rows[r.Table] = map[string]storeRow{}
	}
	s.rows[r.Table][r.Key] = r
	if r.Deleted {
		delete(s.rows[r.Table], r.Key)
	}
	s.log = append(s.log, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// trouble changes how the store answers.
func (s *store) trouble(refuses bool, slow time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuses, s.slow, s.troubledAt = refuses, slow, time.Now()
}

// calmSince reports whether the store has been well for a time.
func (s *store) calmSince(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.refuses && s.slow == 0 && time.Since(s.troubledAt) > d
}

// admit delays or refuses a call.
func (s *store) admit(w http.ResponseWriter) bool {
	s.mu.Lock()
	refuses, slow := s.refuses, s.slow
	s.mu.Unlock()
	time.Sleep(slow)
	if refuses {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return !refuses
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []storeRow{}
	for _, row := range s.rows[r.URL.Query().Get("table")] {
		rows = append(rows, row)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "truncated": false, "ver": s.version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w) {
		return
	}
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after_revision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		rows := []storeRow{}
		for _, row := range s.log {
			if row.Table == q.Get("table") && row.Version > after {
				rows = append(rows, row)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || over {
			_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w) {
		return
	}
	var tx struct {
		Writes []storeRow `json:"writes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range tx.Writes {
		s.version++
		row.Version = s.version
		s.store(row)
	}
	fmt.Fprintf(w, `{"ver":%d}`, s.version)
}

// engine is a stand-in for an endpoint that serves plain requests and streams.
type engine struct {
	id     string
	server *httptest.Server
	proxy  *proxy
	runs   *runBook
	// calm reports whether store and relays have been without trouble for long enough to know that the endpoint leaves.
	calm func() bool

	mu     sync.Mutex
	random *rand.Rand
	// faulty is the share of requests that it spoils, faultyAt the time at which it last changed.
	faulty   float64
	faultyAt time.Time
	// leftAt is the time at which it told that it leaves.
	leftAt time.Time
}

// runBook notes what endpoints have run.
type runBook struct {
	mu   sync.Mutex
	runs map[string]int
	// late are requests that reached a leaving endpoint too late.
	late []string
}

func (b *runBook) ran(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id]++
}

func (b *runBook) count(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

func newEngine(id string, seed uint64, runs *runBook, calm func() bool) *engine {
	e := &engine{id: id, runs: runs, calm: calm, random: rand.New(rand.NewPCG(seed, 3))}
	e.server = httptest.NewServer(http.HandlerFunc(e.serve))
	e.proxy = newProxy(e.server.Listener.Addr().String())
	return e
}

func (e *engine) row(state string) map[string]any {
	return map[string]any{"service": "s", "address": e.proxy.address(), "zone": "z", "slots": 8, "state": state, "born": 1}
}

// setFaulty changes the share of requests that it spoils.
func (e *engine) setFaulty(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faulty, e.faultyAt = share, time.Now()
}

// soundSince reports whether the endpoint and the path to it were well for a time.
func (e *engine) soundSince(d time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faulty == 0 && time.Since(e.faultyAt) > d && e.proxy.calmSince(d)
}

func (e *engine) draw() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Float64()
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	faulty, leftAt := e.faulty, e.leftAt
	e.mu.Unlock()
	spoils := e.draw() < faulty
	how := e.draw()
	if spoils && how < 0.2 {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !leftAt.IsZero() && time.Since(leftAt) > drainBound && e.calm() {
		e.runs.mu.Lock()
		e.runs.late = append(e.runs.late, id)
		e.runs.mu.Unlock()
	}
	e.runs.ran(id)
	if spoils && how < 0.5 {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Server-Signature", e.id)
	if !strings.HasPrefix(r.URL.Path, "/stream/") {
		time.Sleep(time.Duration(10+20*e.draw()) * time.Millisecond)
		fmt.Fprint(w, answerOf(id))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for k := range streamEvents {
		if spoils && k == streamEvents/2 {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", k+1, id)
		w.(http.Flusher).Flush()
		select {
		case <-time.After(15 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
}

const streamEvents = 12

// answerOf is the whole answer to a plain request.
func answerOf(id string) string { return "answer " + id + strings.Repeat(".", 300) }

// streamOf is the whole answer to a stream.
func streamOf(id string) string {
	var b strings.Builder
	for k := range streamEvents {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", k+1, id)
	}
	return b.String()
}
