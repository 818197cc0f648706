package standin

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// engineOptions are those of a stand-in engine. Each engine is a process.
type engineOptions struct {
	address, id, framing string
	// crash is the text in the body of requests that crash the engine; empty for none.
	crash        string
	slots, queue int
	gap, work    time.Duration
	// preemptEvery is the number of streams of which one is preempted in its middle, for preemptTime; zero for none.
	preemptEvery int
	preemptTime  time.Duration
	// keeps is set for an engine that goes on with a request whose connection has been closed.
	keeps bool
	// From slowFrom on, half of the plain answers take slowFactor times as long.
	slowFrom   time.Time
	slowFactor int
	// slowdown is the number of running requests with which the time between two events doubles; zero for none.
	slowdown int
	// closeEvery is the number of answers of which one says Connection: close; zero for none.
	closeEvery int
}

// engine answers requests as the users' pages say. A streamed answer has as many events as the header Events of the request asks for; that
// header stands for what the prompt makes a model say.
type engine struct {
	engineOptions
	slotsFree chan struct{}

	mu      sync.Mutex
	waiting int
	answers int
	streams int
}

func runEngine(args []string) {
	f := flag.NewFlagSet("engine", flag.ExitOnError)
	var o engineOptions
	f.StringVar(&o.address, "address", "", "")
	f.StringVar(&o.id, "id", "", "")
	f.StringVar(&o.framing, "framing", "chunked", "chunked or connection")
	f.IntVar(&o.slots, "slots", 9, "")
	f.IntVar(&o.queue, "queue", 24, "")
	f.DurationVar(&o.gap, "gap", 20*time.Millisecond, "time between two events")
	f.IntVar(&o.preemptEvery, "preempt-every", 0, "streams of which one is preempted")
	f.DurationVar(&o.preemptTime, "preempt-time", 0, "time for which it is")
	f.BoolVar(&o.keeps, "keeps", false, "go on with requests whose connections were closed")
	f.IntVar(&o.slowdown, "slowdown", 0, "running requests with which the gap doubles")
	f.DurationVar(&o.work, "work", 30*time.Millisecond, "time of a plain answer")
	f.StringVar(&o.crash, "crash", "", "text in the body of requests that crash the engine")
	f.IntVar(&o.closeEvery, "close-every", 0, "")
	slowFrom := f.Int64("slow-from", 0, "Unix millisecond")
	f.IntVar(&o.slowFactor, "slow-factor", 1, "")
	must(f.Parse(args))
	o.slowFrom = time.UnixMilli(*slowFrom)
	e := &engine{engineOptions: o, slotsFree: make(chan struct{}, o.slots)}
	l, err := net.Listen("tcp", o.address)
	must(err)
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

var logMu sync.Mutex

// report writes a line to the driver.
func report(format string, args ...any) {
	logMu.Lock()
	defer logMu.Unlock()
	fmt.Fprintf(os.Stdout, "%d %s\n", time.Now().UnixMilli(), fmt.Sprintf(format, args...))
}

func (e *engine) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !e.answer(c, r, string(body)) {
			return
		}
	}
}

// answer answers one request and reports whether the connection stays open.
func (e *engine) answer(c net.Conn, r *http.Request, body string) bool {
	id := r.Header.Get("Request-Id")
	head := func(status int, more string) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%s", status, http.StatusText(status), id, more)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		_, err := io.WriteString(c, head(421, "Instance-Id: "+e.id+"\r\nContent-Length: 0\r\n\r\n"))
		return err == nil
	}
	if !e.take() {
		report("full %s", id)
		_, err := io.WriteString(c, head(503, "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
		return err == nil
	}
	defer func() { <-e.slotsFree }()
	report("run %s %d", id, len(body))
	if e.crash != "" && strings.Contains(body, e.crash) {
		report("crash %s", id)
		os.Exit(1)
	}
	e.mu.Lock()
	e.answers++
	closes := e.closeEvery > 0 && e.answers%e.closeEvery == 0
	e.mu.Unlock()
	signature := "Server-Signature: " + e.id + "." + id + "\r\n"
	events, _ := strconv.Atoi(r.Header.Get("Events"))
	if events == 0 {
		time.Sleep(e.workTime())
		text := "answer to " + id + " by " + e.id + strings.Repeat(".", 700)
		end := ""
		if closes {
			end = "Connection: close\r\n"
		}
		_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n%s\r\n%s", head(200, signature), len(text), end, text)
		report("end %s", id)
		return err == nil && !closes
	}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	return e.stream(c, head(200, signature+"Content-Type: text/event-stream\r\n"), id, after, events, closes) == nil && !closes
}

// workTime returns the time of a plain answer, which varies by a fifth.
func (e *engine) workTime() time.Duration {
	work := time.Duration(float64(e.work) * (0.8 + 0.4*rand.Float64()))
	if e.slowFactor > 1 && time.Now().After(e.slowFrom) && rand.IntN(2) == 0 {
		work *= time.Duration(e.slowFactor)
	}
	return work
}

// eventGap returns the time between two events, which grows with the number of running requests.
func (e *engine) eventGap() time.Duration {
	if e.slowdown == 0 {
		return e.gap
	}
	return e.gap + e.gap*time.Duration(len(e.slotsFree))/time.Duration(e.slowdown)
}

// take waits for a slot and reports false if too many requests wait.
func (e *engine) take() bool {
	select {
	case e.slotsFree <- struct{}{}:
		return true
	default:
	}
	e.mu.Lock()
	if e.waiting >= e.queue {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	e.mu.Unlock()
	e.slotsFree <- struct{}{}
	e.mu.Lock()
	e.waiting--
	e.mu.Unlock()
	return true
}

// stream sends the events of an answer after the one that the request names as its last.
func (e *engine) stream(c net.Conn, head, id string, after, events int, closes bool) error {
	byConnection := e.framing == "connection"
	switch {
	case byConnection:
		head += "Connection: close\r\n"
	case closes:
		head += "Connection: close\r\nTransfer-Encoding: chunked\r\n"
	default:
		head += "Transfer-Encoding: chunked\r\n"
	}
	var writeError error
	write := func(text string) {
		if writeError == nil {
			_, writeError = io.WriteString(c, text)
		}
	}
	write(head + "\r\n")
	preemptAt := e.preemptionOf(after, events)
	for n := after + 1; n <= events; n++ {
		time.Sleep(e.eventGap())
		if n == preemptAt {
			report("preempted %s %d", id, n)
			e.pause(c)
		}
		if !e.keeps && (writeError != nil || isClosed(c)) {
			report("cut %s %d", id, n)
			return io.ErrClosedPipe
		}
		event := fmt.Sprintf("id: %d\ndata: %s %d of %d\n\n", n, id, n, events)
		if !byConnection {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		write(event)
	}
	report("end %s", id)
	if byConnection {
		return io.EOF
	}
	write("0\r\n\r\n")
	return writeError
}

// preemptionOf returns the event before which a stream is preempted; zero if it isn't.
func (e *engine) preemptionOf(after, events int) int {
	if e.preemptEvery == 0 || after > 0 || events < 10 {
		return 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams++
	if e.streams%e.preemptEvery != 0 {
		return 0
	}
	return events / 2
}

// pause waits for memory. An engine that drops requests whose connections were closed ends the wait then.
func (e *engine) pause(c net.Conn) {
	for end := time.Now().Add(e.preemptTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if !e.keeps && isClosed(c) {
			return
		}
	}
}

// isClosed reports whether the other end has closed or reset a connection on which no bytes are due.
func isClosed(c net.Conn) bool {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return closed || err != nil
}
