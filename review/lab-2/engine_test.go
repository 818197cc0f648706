package lab

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine is a stand-in for a sound model engine with a number of slots.
type engine struct {
	// version is that of the engine's software.
	id, service, addr, version string
	slots                      int
	firstEvent, gap            time.Duration
	events                     int
	// work is the time of a request at an engine that answers with one body instead of a stream; zero for one that streams. Such an engine
	// ends what it has begun.
	work   time.Duration
	record *record

	// gapOf returns the pause between the events of the next stream; nil for gap.
	gapOf func() time.Duration
	// fails reports whether the engine fails the next request.
	fails  func() bool
	server *http.Server

	mu               sync.Mutex
	running, waiting int
	// leaving is set once the engine is taken away.
	leaving bool
}

func newEngine(e *engine) (*engine, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	e.addr = l.Addr().String()
	if e.version == "" {
		e.version = "v1"
	}
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go func() { _ = e.server.Serve(l) }()
	return e, nil
}

// startLeaving makes the engine say in all its answers that it leaves. It serves on.
func (e *engine) startLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

func (e *engine) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// exit ends the engine with what it runs.
func (e *engine) exit() { e.server.Close() }

// beat writes the engine's entry at each heartbeat while it changes.
func (e *engine) beat(s *store, offset time.Duration) {
	time.Sleep(offset)
	for left := coldTime; left > 0; left -= heartbeat {
		time.Sleep(heartbeat)
		if e.isLeaving() {
			return
		}
		row := e.row("ready")
		row["cold_remaining_ms"] = left.Milliseconds()
		s.put("servers", e.id, row)
	}
}

// row is the engine's entry in the store.
func (e *engine) row(state string) map[string]any {
	return map[string]any{
		"service": e.service, "address": e.addr, "zone": "zone-a", "version": e.version, "slots": e.slots, "state": state,
		"cold_remaining_ms": 0, "sequence": 1,
	}
}

// enter takes a slot and reports whether there is one or a place to wait for one.
func (e *engine) enter(r *http.Request) bool {
	e.mu.Lock()
	if e.running >= e.slots && e.waiting >= 6*e.slots {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	for e.running >= e.slots {
		e.mu.Unlock()
		select {
		case <-r.Context().Done():
			e.mu.Lock()
			e.waiting--
			e.mu.Unlock()
			return false
		case <-time.After(2 * time.Millisecond):
		}
		e.mu.Lock()
	}
	e.waiting--
	e.running++
	e.mu.Unlock()
	return true
}

func (e *engine) leave() {
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.record.add("at "+e.id, id, "")
	if e.isLeaving() {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Connection", "close")
	}
	if !e.enter(r) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.leave()
	e.record.add("runs", id, e.id)
	w.Header().Set("Server-Signature", "sig-"+e.id+"-"+id)
	if e.fails != nil && e.fails() {
		time.Sleep(e.firstEvent)
		w.WriteHeader(http.StatusInternalServerError)
		e.record.add("failed", id, e.id)
		return
	}
	if e.work > 0 {
		time.Sleep(e.work)
		fmt.Fprintf(w, "entry of %s", id)
		e.record.add("ran", id, e.id)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	pause, gap := e.firstEvent, e.gap
	if e.gapOf != nil {
		gap = e.gapOf()
	}
	for k := after + 1; k <= e.events; k++ {
		select {
		case <-r.Context().Done():
			e.record.add("leftBy", id, e.id)
			return
		case <-time.After(pause):
		}
		pause = gap
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", k, id)
		w.(http.Flusher).Flush()
	}
	e.record.add("ran", id, e.id)
}

// busy returns the number of requests that the engine runs.
func (e *engine) busy() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}
