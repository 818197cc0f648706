package lab_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// engineProcess is the stand-in for an endpoint, a process of its own. It reads "leave" from standard input and writes one line
// for each event of a request to standard output.
type engineProcess struct {
	id        string
	signature string
	// work is the time of a plain request, gap that between two events of a stream of so many events.
	work, gap time.Duration
	events    int
	// prefill is the time before the first event of a stream, and before the header of its answer.
	prefill time.Duration
	// deadlyAfter is the time from its first event after which a deadly request ends the process.
	deadlyAfter time.Duration
	// unframed makes the answers to streams end with their connections, without a length.
	unframed bool
	slots    chan struct{}
	waiting  atomic.Int32
	// refuseUntil is the Unix time in microseconds until which requests are turned away, with the wish to get none for a while.
	refuseUntil atomic.Int64
	leaving     atomic.Bool

	mu sync.Mutex
}

// refuseTime is the time for which an engine turns requests away, askedBackoff that for which it then wants none.
const (
	refuseTime   = heartbeatTime
	askedBackoff = 4 * time.Second
)

// deadlyBody begins the bodies of requests that crash each engine that runs them.
const deadlyBody = "deadly"

// engineQueue is the number of requests that wait at an engine beside those in its slots.
const engineQueue = 24

func runEngine(args []string) int {
	e := &engineProcess{}
	flags := flag.NewFlagSet("engine", flag.ContinueOnError)
	flags.StringVar(&e.id, "id", "", "")
	listen := flags.String("listen", "", "")
	slots := flags.Int("slots", 6, "")
	flags.DurationVar(&e.work, "work", 30*time.Millisecond, "")
	flags.DurationVar(&e.gap, "gap", 60*time.Millisecond, "")
	flags.DurationVar(&e.prefill, "prefill", 100*time.Millisecond, "")
	flags.DurationVar(&e.deadlyAfter, "deadly-after", 0, "")
	flags.IntVar(&e.events, "events", 60, "")
	refuse := flags.Duration("refuse", 0, "")
	flags.BoolVar(&e.unframed, "unframed", false, "")
	if err := flags.Parse(args); err != nil {
		return exitNotRun
	}
	e.signature, e.slots = "sig."+e.id, make(chan struct{}, *slots)
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(e.serve)) }()
	e.refuseFor(*refuse)
	e.print("ready", "-")
	input := bufio.NewScanner(os.Stdin)
	for input.Scan() {
		switch input.Text() {
		case "leave":
			e.leaving.Store(true)
			e.print("leaving", "-")
		case "refuse":
			e.refuseFor(refuseTime)
			e.print("refuses", "-")
		}
	}
	return exitHeld
}

// print writes an event of a request with the time at which it occurred.
func (e *engineProcess) print(event, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Printf("%d %s %s\n", time.Now().UnixMicro(), event, id)
}

func (e *engineProcess) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	e.print("arrives", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if e.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	w.Header().Set("Request-Id", id)
	if r.Header.Get("Expect-Instance") != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if time.Now().UnixMicro() < e.refuseUntil.Load() {
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Retry-After", strconv.FormatFloat(askedBackoff.Seconds(), 'f', -1, 64))
		e.print("refuses", id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	millis, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(millis)*time.Millisecond)
	defer cancel()
	if e.waiting.Add(1) > engineQueue || !e.takeSlot(ctx) {
		e.waiting.Add(-1)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.waiting.Add(-1)
	defer func() { <-e.slots }()
	e.print("runs", id)
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		e.stream(ctx, w, id, strings.HasPrefix(string(body), deadlyBody))
	} else {
		e.plain(ctx, w, id)
	}
}

// refuseFor makes the engine turn requests away for a time.
func (e *engineProcess) refuseFor(d time.Duration) {
	e.refuseUntil.Store(time.Now().Add(d).UnixMicro())
}

// takeSlot waits for a slot and reports whether there was one in time.
func (e *engineProcess) takeSlot(ctx context.Context) bool {
	select {
	case e.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *engineProcess) plain(ctx context.Context, w http.ResponseWriter, id string) {
	select {
	case <-time.After(e.work):
	case <-ctx.Done():
		e.print("drops", id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if e.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	w.Header().Set("Server-Signature", e.signature)
	body := "answer " + id + strings.Repeat(".", 800)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	e.print("answers", id)
	_, _ = io.WriteString(w, body)
}

// stream writes the events of a stream, each in one write.
func (e *engineProcess) stream(ctx context.Context, w http.ResponseWriter, id string, deadly bool) {
	select {
	case <-time.After(e.prefill):
	case <-ctx.Done():
		e.print("drops", id)
		return
	}
	if e.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	w.Header().Set("Server-Signature", e.signature)
	w.Header().Set("Content-Type", "text/event-stream")
	var out io.Writer = w
	flush := func() { w.(http.Flusher).Flush() }
	if e.unframed {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		head := "HTTP/1.1 200 OK\r\nConnection: close\r\n"
		for name, values := range w.Header() {
			head += name + ": " + values[0] + "\r\n"
		}
		if _, err := io.WriteString(c, head+"\r\n"); err != nil {
			return
		}
		out, flush = c, func() {}
	}
	if deadly {
		time.AfterFunc(e.gap+e.deadlyAfter, func() {
			e.print("crashes", id)
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		})
	}
	for k := 1; k <= e.events; k++ {
		select {
		case <-time.After(e.gap):
		case <-ctx.Done():
			e.print("drops", id)
			return
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s piece %d of %d\n\n", k, id, k, e.events); err != nil {
			e.print("drops", id)
			return
		}
		flush()
	}
	e.print("answers", id)
}
