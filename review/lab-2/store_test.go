package lab

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the platform's store as its protocol page describes it.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store. It keeps its history for as long as it runs.
type store struct {
	server *http.Server
	addr   string
	start  time.Time

	mu sync.Mutex
	// down is set while the store refuses all calls.
	down    bool
	version uint64
	era     uint64
	rows    map[string]storeRow
	history []storeRow
	changed chan struct{}
}

func rowID(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

func newStore() (*store, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	s := &store{addr: l.Addr().String(), start: time.Now(), rows: map[string]storeRow{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/-/rows-get", s.serve(s.get))
	mux.HandleFunc("/-/rows-feed", s.serve(s.feed))
	mux.HandleFunc("/-/rows-tx", s.serve(s.transact))
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put writes a row as the operator or an engine; a nil value removes it.
func (s *store) put(table, key string, value any) uint64 {
	var text []byte
	if value != nil {
		text, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.applyLocked(storeRow{Table: table, Key: key, Value: text, Version: s.version, Deleted: value == nil})
	s.notifyLocked()
	return s.version
}

func (s *store) applyLocked(r storeRow) {
	s.history = append(s.history, r)
	if r.Deleted {
		delete(s.rows, rowID(r.Table, r.Part, r.Key))
		return
	}
	s.rows[rowID(r.Table, r.Part, r.Key)] = r
}

func (s *store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setDown makes the store refuse all calls, also those that it holds, or serve them again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyLocked()
}

// value returns the value of a row; nil if there is none.
func (s *store) value(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowID(table, "", key)].Value
}

// serve calls a handler unless the store is down.
func (s *store) serve(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handle(w, r)
	}
}

func (s *store) now() int64 { return time.Since(s.start).Milliseconds() + 1 }

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	var rows []storeRow
	for _, row := range s.rows {
		if row.Table != q.Get("table") || row.Part != q.Get("part") || row.Key < q.Get("from") || q.Get("to") != "" && row.Key >= q.Get("to") {
			continue
		}
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, k int) bool { return rows[i].Key < rows[k].Key })
	s.answer(w, http.StatusOK, rows)
}

// answer writes a response with rows. The caller holds mu, which answer releases.
func (s *store) answer(w http.ResponseWriter, status int, rows []storeRow) {
	if rows == nil {
		rows = []storeRow{}
	}
	body, _ := json.Marshal(map[string]any{"rows": rows, "truncated": false, "ver": s.version, "now_ms": s.now()})
	era := s.era
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after_revision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after > s.version {
			s.answer(w, http.StatusGone, nil)
			return
		}
		var rows []storeRow
		for _, row := range s.history {
			if row.Version > after && row.Table == q.Get("table") {
				rows = append(rows, row)
			}
		}
		changed := s.changed
		if len(rows) > 0 || wait == 0 {
			s.answer(w, http.StatusOK, rows)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []storeRow `json:"expected_revision"`
		Writes   []storeRow `json:"writes"`
		Remove   []storeRow `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	var known []storeRow
	failed := false
	for _, e := range tx.Expected {
		row := s.rows[rowID(e.Table, e.Part, e.Key)]
		failed = failed || row.Version != e.Version
		if row.Version > 0 {
			known = append(known, row)
		}
	}
	if failed {
		s.answer(w, http.StatusPreconditionFailed, known)
		return
	}
	for _, row := range append(tx.Writes, tx.Remove...) {
		if row.Table == "op" || row.Table == "servers" {
			s.answer(w, http.StatusForbidden, nil)
			return
		}
	}
	s.version++
	for _, row := range tx.Writes {
		row.Version = s.version
		s.applyLocked(row)
	}
	for _, row := range tx.Remove {
		row.Version, row.Deleted = s.version, true
		s.applyLocked(row)
	}
	s.notifyLocked()
	s.answer(w, http.StatusOK, nil)
}

// listen opens a listener on a free port of the loopback address.
func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }
