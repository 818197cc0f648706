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

// store is a stand-in for the platform's store. It keeps the latest rows and a log of all changes.
type store struct {
	server    *httptest.Server
	startedAt time.Time

	mu      sync.Mutex
	version uint64
	// era counts the returns from an older copy.
	era     int
	rows    map[string]map[string]storeRow
	log     []storeRow
	changed chan struct{}
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
		rows = append(rows, row)
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
				rows = append(rows, row)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		// The store may have returned from an older copy during the wait.
		w.Header().Set("Store-Era", strconv.Itoa(s.currentEra()))
		if after > version {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(rows) > 0 || timedOut {
			_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "ver": version})
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

// engine is a stand-in for an endpoint. It serves plain requests and streams.
type engine struct {
	server     *httptest.Server
	proxy      *proxy
	executions *executionLog
	poison     *poisonLog
	repeats    *repeatLog
	// signals holds what the endpoints have said of themselves to each relay.
	signals *signalLog
	// truncations counts the ends of responses that faultTruncate made.
	truncations *truncationLog
	// announce writes the endpoint's row to the store, withdraw removes the row of an ID.
	announce func(e *engine)
	withdraw func(id string)
	// parts records requests with parts of prompts that crash endpoints; nil if there are none. crashesAfterEvent is set if they do
	// so after the first event.
	parts             *partLog
	crashesAfterEvent bool
	// limit records the requests at an endpoint that names a limit for a while; nil if it never does.
	limit *limitLog
	// brittle records the requests at an endpoint that falls over if it has to reject too many; nil if it never does.
	brittle *brittleLog
	// slots is the number of requests that it runs at once.
	slots int
	// runTime is how long each request runs in addition.
	runTime time.Duration
	// crash is what the request that crashes endpoints does to this one.
	crash func()
	// stable reports whether the store and the relays have had no fault for long enough that every relay must know that
	// the endpoint is draining.
	stable func() bool

	mu sync.Mutex
	// id is that of the running process, firstID that of the first one.
	id, firstID string
	random      *rand.Rand
	// faultKind selects how requests fail.
	faultKind faultKind
	// faultRatio is the ratio of requests that fail; faultChangedAt is the time at which it last changed.
	faultRatio     float64
	faultChangedAt time.Time
	// startedAt is the start time that the endpoint's row tells.
	startedAt time.Time
	// saysLeaving makes the endpoint say in all responses that it is leaving. backoffRatio is the ratio of requests that it
	// rejects with the wish to get no others for a while.
	saysLeaving  bool
	backoffRatio float64
	// drainingSince is the time at which the endpoint was announced as draining, or zero.
	drainingSince time.Time
}

// executionLog counts how often endpoints executed each request.
type executionLog struct {
	mu        sync.Mutex
	countByID map[string]int
	// lateRequests are the IDs of requests that reached a draining endpoint after drainGracePeriod.
	lateRequests []string
}

func (b *executionLog) record(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.countByID[id]++
}

func (b *executionLog) count(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.countByID[id]
}

func newEngine(id string, seed uint64, s *soakRun) *engine {
	e := &engine{
		id: id, firstID: id, executions: s.executions, poison: &s.poison, repeats: s.repeats, truncations: &s.truncations, signals: s.signals, stable: s.stable, random: rand.New(rand.NewPCG(seed, 3)),
		slots: s.engineSlots, startedAt: time.Now(), announce: func(e *engine) { s.store.put("servers", e.identity(), e.row("ready")) },
	}
	e.withdraw = func(id string) { s.store.put("servers", id, nil) }
	e.crash = e.end
	e.server = httptest.NewServer(http.HandlerFunc(e.serve))
	e.proxy = newProxy(e.server.Listener.Addr().String())
	return e
}

// identity returns the ID of the running process.
func (e *engine) identity() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.id
}

func (e *engine) row(state string) map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return map[string]any{
		"service": "s", "address": e.proxy.address(), "zone": "z", "slots": e.slots, "state": state, "born": e.startedAt.UnixMilli(),
	}
}

// faultKind selects how a faulty endpoint fails requests.
type faultKind int

const (
	// faultMixed rejects some requests, loses the answers to others and breaks off streams.
	faultMixed faultKind = iota
	// faultReject rejects requests without running them.
	faultReject
	// faultLose runs requests and loses the answers.
	faultLose
	// faultTruncate frames responses in all ways and cuts some of them anywhere.
	faultTruncate
)

// setFault makes a ratio of the requests fail.
func (e *engine) setFault(kind faultKind, ratio float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faultKind, e.faultRatio, e.faultChangedAt = kind, ratio, time.Now()
}

// healthyFor reports whether the endpoint and the path to it have had no fault for d.
func (e *engine) healthyFor(d time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faultRatio == 0 && time.Since(e.faultChangedAt) > d && e.proxy.forwardingFor(d)
}

func (e *engine) randomFloat() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Float64()
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.ReadAll(r.Body)
	id := r.Header.Get("Request-Id")
	e.repeats.recordArrival(id)
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != e.identity() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	faultRatio, kind, drainingSince := e.faultRatio, e.faultKind, e.drainingSince
	saysLeaving, backoffRatio := e.saysLeaving, e.backoffRatio
	e.mu.Unlock()
	e.signals.recordArrival(e, id)
	if e.limit != nil {
		if limit := e.limit.recordArrival(id); limit != "" {
			w.Header().Set("Server-Limit", limit)
		}
	}
	if saysLeaving {
		w.Header().Set("Server-Leaving", "1")
		e.signals.recordLeaving(e, id)
	}
	if e.randomFloat() < backoffRatio {
		w.Header().Set("Retry-After", strconv.FormatFloat(askedBackoff.Seconds(), 'f', -1, 64))
		w.Header().Set("Not-Executed", "1")
		e.signals.recordBackoff(e, id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if e.brittle != nil {
		if !e.serveBrittle(w) {
			return
		}
		time.Sleep(brittleRunTime)
		e.brittle.leave(true)
	}
	faulty := e.randomFloat() < faultRatio
	faultDraw := e.randomFloat()
	if strings.HasPrefix(id, rejectedIDPrefix) || faulty && (kind == faultReject || kind == faultMixed && faultDraw < 0.2) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !drainingSince.IsZero() && time.Since(drainingSince) > drainGracePeriod && e.stable() {
		e.executions.mu.Lock()
		e.executions.lateRequests = append(e.executions.lateRequests, id)
		e.executions.mu.Unlock()
	}
	e.executions.record(id)
	e.serveDeadlyPart(w, r)
	if e.parts == nil && strings.HasPrefix(id, poisonIDPrefix) {
		e.poison.recordArrival(id)
		e.crash()
		panic(http.ErrAbortHandler)
	}
	if faulty && (kind == faultLose || kind == faultMixed && faultDraw < 0.5) {
		panic(http.ErrAbortHandler)
	}
	isStream := strings.HasPrefix(r.URL.Path, "/stream/") || strings.HasPrefix(r.URL.Path, "/resume/")
	if faulty && kind == faultTruncate {
		e.truncate(w, r, isStream)
		return
	}
	w.Header().Set("Server-Signature", e.identity())
	if !isStream {
		time.Sleep(time.Duration(10+20*e.randomFloat())*time.Millisecond + e.runTime)
		fmt.Fprint(w, plainResponse(id))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for k := firstEvent(r) - 1; k < streamEventCount; k++ {
		if faulty && k == streamEventCount/2 {
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

const streamEventCount = 12

// firstEvent returns the id of the first event that a request asks for.
func firstEvent(r *http.Request) int {
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		return 1
	}
	return after + 1
}

// truncate answers with a random end.
func (e *engine) truncate(w http.ResponseWriter, r *http.Request, isStream bool) {
	id, contentType := r.Header.Get("Request-Id"), "text/plain"
	body := plainResponse(id)
	if isStream {
		contentType, body = "text/event-stream", streamResponseFrom(id, firstEvent(r))
	}
	e.mu.Lock()
	end := randomEnd(e.random, max(1, len(body)), isStream, body != "")
	e.mu.Unlock()
	if isStream {
		end.cutInsideEvent(body)
	}
	e.truncations.record(end)
	e.endResponse(w, end, contentType, body)
}

// plainResponse returns the body of the response to a plain request.
func plainResponse(id string) string { return "answer " + id + strings.Repeat(".", 300) }

// streamResponse returns the body of the response to a streaming request.
func streamResponse(id string) string { return streamResponseFrom(id, 1) }

// streamResponseFrom returns the events of a stream from the first one that is given.
func streamResponseFrom(id string, first int) string {
	var b strings.Builder
	for k := first; k <= streamEventCount; k++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", k, id)
	}
	return b.String()
}
