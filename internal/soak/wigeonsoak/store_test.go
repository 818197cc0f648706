package wigeonsoak_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's store. It keeps the latest rows and a log of all changes.
type store struct {
	server    *httptest.Server
	handler   http.Handler
	startedAt time.Time

	mu      sync.Mutex
	version uint64
	// era counts the returns from an older copy.
	era     int
	rows    map[string]map[string]storeRow
	log     []storeRow
	changed chan struct{}
	// compacted is the version up to which changes were dropped.
	compacted uint64
	// unavailable makes every call fail with status 503; responseDelay delays every call.
	unavailable   bool
	responseDelay time.Duration
	// faultChangedAt is the time at which a fault last began or ended.
	faultChangedAt time.Time
}

type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
	// writtenAt is the time of the change.
	writtenAt time.Time
}

func newStore() *store {
	s := &store{startedAt: time.Now(), rows: map[string]map[string]storeRow{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.commit)
	s.handler = mux
	s.server = httptest.NewServer(mux)
	return s
}

// viewKey is the key of a storeView in the context of a call.
type viewKey struct{}

// storeView changes the rows that one reader gets.
type storeView func(r storeRow) storeRow

// newView returns a server of the store whose rows are changed by a view.
func (s *store) newView(v storeView) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handler.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), viewKey{}, v)))
	}))
}

// seenBy returns a row as the reader of a call sees it.
func (r storeRow) seenBy(call *http.Request) storeRow {
	if v, ok := call.Context().Value(viewKey{}).(storeView); ok {
		return v(r)
	}
	return r
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
	s.applyRow(r)
}

func (s *store) applyRow(r storeRow) {
	if s.rows[r.Table] == nil {
		s.rows[r.Table] = map[string]storeRow{}
	}
	if r.writtenAt.IsZero() {
		r.writtenAt = time.Now()
	}
	s.rows[r.Table][r.Key] = r
	if r.Deleted {
		delete(s.rows[r.Table], r.Key)
	}
	s.log = append(s.log, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// setFault changes the simulated fault; setFault(false, 0) ends it.
func (s *store) setFault(unavailable bool, responseDelay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable, s.responseDelay, s.faultChangedAt = unavailable, responseDelay, time.Now()
}

// healthyFor reports whether the store has had no fault for d.
func (s *store) healthyFor(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.unavailable && s.responseDelay == 0 && time.Since(s.faultChangedAt) > d
}

// admit applies the simulated fault to a call and reports whether the call may proceed.
func (s *store) admit(w http.ResponseWriter) bool {
	s.mu.Lock()
	unavailable, responseDelay := s.unavailable, s.responseDelay
	s.mu.Unlock()
	time.Sleep(responseDelay)
	w.Header().Set("Store-Era", strconv.Itoa(s.currentEra()))
	if unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return !unavailable
}

// dropHistory drops all changes up to now. Relays that don't know them have to list the tables again.
func (s *store) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log, s.compacted = nil, s.version
}

func (s *store) currentEra() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// restore returns the store to its state some time ago. The operator's and the endpoints' rows are written again, as
// their owners would do, and the later rows of the relays are lost.
func (s *store) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kept, rewritten []storeRow
	version := uint64(0)
	for _, row := range s.log {
		if time.Since(row.writtenAt) >= age {
			kept = append(kept, row)
			version = row.Version
		} else if row.Table == "op" || row.Table == "servers" {
			rewritten = append(rewritten, row)
		}
	}
	s.era++
	s.version, s.log, s.rows, s.faultChangedAt = version, nil, map[string]map[string]storeRow{}, time.Now()
	for _, row := range kept {
		s.applyRow(row)
	}
	for _, row := range rewritten {
		s.version++
		row.Version = s.version
		s.applyRow(row)
	}
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []storeRow{}
	for _, row := range s.rows[r.URL.Query().Get("table")] {
		rows = append(rows, row.seenBy(r))
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "truncated": false, "ver": s.version, "now_ms": s.nowMillis()})
}

// nowMillis returns the time on the store's clock, which a return from an older copy doesn't change.
func (s *store) nowMillis() int64 { return time.Since(s.startedAt).Milliseconds() + 1 }

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w) {
		return
	}
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after_revision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		rows := []storeRow{}
		for _, row := range s.log {
			if row.Table == q.Get("table") && row.Version > after {
				rows = append(rows, row.seenBy(r))
			}
		}
		version, changed, compacted := s.version, s.changed, s.compacted
		s.mu.Unlock()
		// The store may have returned from an older copy during the wait.
		w.Header().Set("Store-Era", strconv.Itoa(s.currentEra()))
		if after > version || after < compacted {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 || timedOut {
			_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "ver": version, "now_ms": s.nowMillis()})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
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
		Conditions []storeRow `json:"expected_revision"`
		Writes     []storeRow `json:"writes"`
		Remove     []storeRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range tx.Conditions {
		if s.rows[c.Table][c.Key].Version != c.Version {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, row := range tx.Remove {
		row.Deleted = true
		tx.Writes = append(tx.Writes, row)
	}
	for _, row := range tx.Writes {
		s.version++
		row.Version = s.version
		s.applyRow(row)
	}
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	fmt.Fprintf(w, `{"ver":%d}`, s.version)
}
