package lab_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the store, or a change of one.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`

	writtenAt time.Time
}

type rowID struct{ table, part, key string }

func (r storeRow) id() rowID { return rowID{r.Table, r.Part, r.Key} }

// store is a stand-in for the platform's store: rows, transactions and the feed of changes, as the users' pages describe them.
type store struct {
	server *httptest.Server
	start  time.Time

	mu      sync.Mutex
	version uint64
	era     int
	rows    map[rowID]storeRow
	log     []storeRow
	changed chan struct{}
	away    bool
}

func newStore() *store {
	s := &store{start: time.Now(), rows: map[rowID]storeRow{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.commit)
	s.server = httptest.NewServer(mux)
	return s
}

func (s *store) address() string { return s.server.Listener.Addr().String() }

// put writes a row, or removes it if value is nil. It does nothing while the store is away.
func (s *store) put(table, key string, value any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return
	}
	row := storeRow{Table: table, Key: key, Deleted: value == nil}
	if value != nil {
		row.Value, _ = json.Marshal(value)
	}
	s.apply([]storeRow{row})
}

// apply applies one transaction. The caller must hold mu.
func (s *store) apply(changes []storeRow) {
	s.version++
	for _, row := range changes {
		row.Version, row.writtenAt = s.version, time.Now()
		s.keep(row)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) keep(row storeRow) {
	s.rows[row.id()] = row
	if row.Deleted {
		delete(s.rows, row.id())
	}
	s.log = append(s.log, row)
}

// leave makes the store unreachable until comeBack.
func (s *store) leave() {
	s.mu.Lock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	s.server.CloseClientConnections()
}

// comeBack makes the store reachable again, with its content of some time ago. The engines and the operator write theirs again.
func (s *store) comeBack(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.log
	s.away, s.log, s.rows = false, nil, map[rowID]storeRow{}
	s.era++
	s.version = 0
	for _, row := range old {
		if time.Since(row.writtenAt) >= age {
			s.keep(row)
			s.version = row.Version
		}
	}
}

// admit answers a call while the store is away, and reports whether it isn't.
func (s *store) admit(w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	if s.away {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return !s.away
}

func (s *store) nowMillis() int64 { return time.Since(s.start).Milliseconds() + 1 }

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w) {
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []storeRow{}
	for id, row := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, k int) bool { return rows[i].Key < rows[k].Key })
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "truncated": false, "ver": s.version, "now_ms": s.nowMillis()})
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
	for timedOut := false; ; {
		s.mu.Lock()
		rows := []storeRow{}
		for _, row := range s.log {
			if row.Table == q.Get("table") && row.Version > after {
				rows = append(rows, row)
			}
		}
		version, changed, era, away := s.version, s.changed, s.era, s.away
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.Itoa(era))
		switch {
		case away:
			panic(http.ErrAbortHandler)
		case after > version:
			w.WriteHeader(http.StatusGone)
			return
		case len(rows) > 0 || timedOut:
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
		Expected []storeRow `json:"expected_revision"`
		Writes   []storeRow `json:"writes"`
		Remove   []storeRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range tx.Expected {
		if s.rows[c.id()].Version != c.Version {
			current := []storeRow{}
			for _, e := range tx.Expected {
				if row, ok := s.rows[e.id()]; ok {
					current = append(current, row)
				}
			}
			w.WriteHeader(http.StatusPreconditionFailed)
			_ = json.NewEncoder(w).Encode(map[string]any{"rows": current, "ver": s.version, "now_ms": s.nowMillis()})
			return
		}
	}
	for i := range tx.Remove {
		tx.Remove[i].Deleted = true
	}
	s.apply(append(tx.Writes, tx.Remove...))
	_ = json.NewEncoder(w).Encode(map[string]any{"ver": s.version, "now_ms": s.nowMillis()})
}
