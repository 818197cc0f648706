package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the platform's store on the wire.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store. It keeps all changes, so that a feed never gets 410.
type store struct {
	started time.Time

	mu      sync.Mutex
	version uint64
	rows    map[string]map[string]storeRow
	history []storeRow
	changed chan struct{}
}

func newStore() *store {
	return &store{started: time.Now(), rows: map[string]map[string]storeRow{}, changed: make(chan struct{})}
}

// put writes rows in one transaction; a row with Deleted set is removed.
func (s *store) put(rows ...storeRow) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyLocked(rows)
}

func (s *store) applyLocked(rows []storeRow) uint64 {
	s.version++
	for _, r := range rows {
		r.Version = s.version
		table := s.rows[r.Table]
		if table == nil {
			table = map[string]storeRow{}
			s.rows[r.Table] = table
		}
		if r.Deleted {
			r.Value = nil
			delete(table, r.Key)
		} else {
			table[r.Key] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// view serves the store at an address of its own. rewrite changes rows on their way to the reader; nil leaves them.
func (s *store) view(rewrite func(storeRow) storeRow) string {
	l, err := net.Listen("tcp", freeAddress())
	must(err)
	v := &storeView{store: s, rewrite: rewrite}
	mux := http.NewServeMux()
	mux.HandleFunc("/-/rows-get", v.get)
	mux.HandleFunc("/-/rows-feed", v.feed)
	mux.HandleFunc("/-/rows-tx", v.commit)
	go func() { _ = http.Serve(l, mux) }()
	return l.Addr().String()
}

type storeView struct {
	store   *store
	rewrite func(storeRow) storeRow
}

func (v *storeView) answer(w http.ResponseWriter, status int, rows []storeRow, version uint64) {
	out := make([]storeRow, 0, len(rows))
	for _, r := range rows {
		if v.rewrite != nil && !r.Deleted {
			r = v.rewrite(r)
		}
		out = append(out, r)
	}
	body, err := json.Marshal(map[string]any{
		"rows": out, "truncated": false, "ver": version, "now_ms": 1000 + time.Since(v.store.started).Milliseconds(),
	})
	must(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

func (v *storeView) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s := v.store
	s.mu.Lock()
	var rows []storeRow
	for _, row := range s.rows[q.Get("table")] {
		if row.Part == q.Get("part") && row.Key >= q.Get("from") {
			rows = append(rows, row)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(i, k int) bool { return rows[i].Key < rows[k].Key })
	v.answer(w, http.StatusOK, rows, version)
}

func (v *storeView) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after_revision"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s := v.store
	for {
		s.mu.Lock()
		var rows []storeRow
		latest := map[string]int{}
		for _, row := range s.history {
			if row.Table != q.Get("table") || row.Version <= after {
				continue
			}
			if i, known := latest[row.Key]; known {
				rows[i] = row
				continue
			}
			latest[row.Key] = len(rows)
			rows = append(rows, row)
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			sort.SliceStable(rows, func(i, k int) bool { return rows[i].Version < rows[k].Version })
			v.answer(w, http.StatusOK, rows, version)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			v.answer(w, http.StatusOK, nil, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (v *storeView) commit(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []storeRow `json:"expected_revision"`
		Writes   []storeRow `json:"writes"`
		Remove   []storeRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s := v.store
	s.mu.Lock()
	for _, row := range append(append([]storeRow{}, tx.Writes...), tx.Remove...) {
		if row.Table == "op" || row.Table == "servers" {
			s.mu.Unlock()
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, c := range tx.Expected {
		if s.rows[c.Table][c.Key].Version != c.Version {
			current, version := s.rows[c.Table][c.Key], s.version
			s.mu.Unlock()
			v.answer(w, http.StatusPreconditionFailed, []storeRow{current}, version)
			return
		}
	}
	for i := range tx.Remove {
		tx.Remove[i].Deleted = true
	}
	version := s.applyLocked(append(tx.Writes, tx.Remove...))
	s.mu.Unlock()
	v.answer(w, http.StatusOK, nil, version)
}
