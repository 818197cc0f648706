package lab_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of a small deployment, as the users' sheets set them.
const (
	drainBound    = 2 * time.Second
	contactTime   = 3 * time.Second
	heartbeatTime = 1200 * time.Millisecond
)

// lab holds all processes and stand-ins of a script.
type lab struct {
	folder  string
	temp    string
	record  *record
	store   *store
	relays  []*relay
	engines []*engine
	// trouble is unset if the script runs without its disruption.
	trouble bool

	stopping chan struct{}
	tasks    sync.WaitGroup
}

func newLab(folder string) (*lab, error) {
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &lab{
		folder: folder, temp: temp, record: r, store: newStore(), trouble: os.Getenv("TROUBLE") != "0", stopping: make(chan struct{}),
	}, nil
}

// stop ends all processes that the lab has started.
func (l *lab) stop() {
	close(l.stopping)
	for _, r := range l.relays {
		_ = r.cmd.Process.Kill()
		_ = r.cmd.Wait()
	}
	for _, e := range l.engines {
		e.kill()
	}
	l.tasks.Wait()
	l.store.server.CloseClientConnections()
	l.record.close()
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(l.temp)
	}
}

// freeAddress returns a loopback address on which nothing listens. Its port is below those of outgoing connections.
func freeAddress() (string, error) {
	base := 11000 + os.Getpid()*83%9000
	for range 4000 {
		nextPort++
		l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(base+nextPort)))
		if err == nil {
			defer l.Close()
			return l.Addr().String(), nil
		}
	}
	return "", errNotRun
}

var nextPort int

// relay is a process of the project's relay.
type relay struct {
	name           string
	callers, ready string
	cmd            *exec.Cmd
	client         *http.Client
}

const relaySettings = `[node]
name = %q
zone = %q
region = "r"
[caller]
listen = %q
ready = %q
[peer]
listen = %q
[platform]
address = %q
[limits]
cores = 1
memoryMegabytes = 284
files = 4100
[retry]
ratio = 0.2
slack = 52.0
window = "10s"
[quota]
overage = 0.1
slack = 140000.0
window = "8s"
[drain]
timeout = "8s"
notice = "2500ms"
[log]
level = "info"
format = "json"
[metrics]
listen = %q
`

// startRelays starts relays with the command of the deploy file and waits until they have been ready for a while.
func (l *lab) startRelays(n int) error {
	for i := range n {
		var addresses []any
		for range 4 {
			a, err := freeAddress()
			if err != nil {
				return err
			}
			addresses = append(addresses, a)
		}
		r := &relay{name: fmt.Sprintf("front-%d", i+1), callers: addresses[0].(string), ready: addresses[1].(string)}
		settings := fmt.Sprintf(relaySettings, r.name, fmt.Sprintf("zone-%d", i+1), r.callers, r.ready, addresses[2], l.store.address(), addresses[3])
		path := filepath.Join(l.temp, r.name+".toml")
		if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(l.temp, r.name+".log"))
		if err != nil {
			return err
		}
		r.cmd = exec.Command("target/wigeonrelay", "serve")
		r.cmd.Env = append(os.Environ(), "WIGEONSHIFT_CONFIG="+path)
		r.cmd.Stdout, r.cmd.Stderr = log, log
		if err := r.cmd.Start(); err != nil {
			return err
		}
		r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
		l.relays = append(l.relays, r)
	}
	for _, r := range l.relays {
		if err := r.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(contactTime + time.Second)
	l.record.note("%d relays are ready", n)
	return nil
}

func (r *relay) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + r.ready + "/-/ready")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%w: %s isn't ready", errNotRun, r.name)
}

// engine is a process of the stand-in for an endpoint, with its row in the store.
type engine struct {
	lab          *lab
	id, service  string
	zone         string
	address      string
	slots        int
	born         int64
	args         []string
	cmd          *exec.Cmd
	input        io.WriteCloser
	heartbeats   sync.Once
	stopBeats    chan struct{}
	beatsStopped sync.WaitGroup

	mu       sync.Mutex
	state    string
	sequence int
	// beatAt is the time of the latest heartbeat.
	beatAt time.Time
	// arrivals holds when each request reached the engine, running those that it runs, with the time of their beginning.
	arrivals map[string]time.Time
	running  map[string]time.Time
	// refused holds when the engine turned each request away with the wish to get none for a while.
	refused map[string]time.Time
	ended   bool
}

// startEngine starts an engine and lists it.
func (l *lab) startEngine(id, service, zone string, slots int, args ...string) (*engine, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	e := &engine{
		lab: l, id: id, service: service, zone: zone, address: address, slots: slots, born: time.Now().UnixMilli(), state: "ready",
		arrivals: map[string]time.Time{}, running: map[string]time.Time{}, refused: map[string]time.Time{},
		args: args, stopBeats: make(chan struct{}),
	}
	l.engines = append(l.engines, e)
	if err := e.startProcess(); err != nil {
		return nil, err
	}
	l.tasks.Go(func() { e.beat() })
	return e, nil
}

// startProcess starts the engine's process and waits until it listens.
func (e *engine) startProcess(more ...string) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	args := append([]string{"engine", "--id", e.id, "--listen", e.address, "--slots", strconv.Itoa(e.slots)}, e.args...)
	e.cmd = exec.Command(program, append(args, more...)...)
	e.cmd.Stderr = os.Stderr
	if e.input, err = e.cmd.StdinPipe(); err != nil {
		return err
	}
	output, err := e.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := e.cmd.Start(); err != nil {
		return err
	}
	ready := make(chan struct{})
	e.lab.tasks.Go(func() { e.readEvents(output, ready) })
	select {
	case <-ready:
		return nil
	case <-time.After(5 * time.Second):
		return errNotRun
	}
}

// crashDownTime is the time for which an engine is down that a request has crashed.
const crashDownTime = 2 * time.Second

// comeBack starts an engine again that has crashed, and writes its entry.
func (e *engine) comeBack(down time.Duration) {
	e.mu.Lock()
	e.ended = true
	clear(e.running)
	e.mu.Unlock()
	_ = e.cmd.Wait()
	select {
	case <-time.After(down):
	case <-e.lab.stopping:
		return
	}
	born := time.Now()
	if err := e.startProcess(); err != nil {
		e.lab.record.note("engine %s doesn't start again: %v", e.id, err)
		return
	}
	e.mu.Lock()
	e.born, e.sequence, e.ended = born.UnixMilli(), 0, false
	e.mu.Unlock()
	e.writeRow()
}

// crash ends the engine's process, starts it again under its id after a time, and writes its entry a heartbeat after that.
func (e *engine) crash(down time.Duration, more ...string) error {
	e.mu.Lock()
	e.ended = true
	clear(e.running)
	e.mu.Unlock()
	_ = e.cmd.Process.Signal(syscall.SIGKILL)
	_ = e.cmd.Wait()
	time.Sleep(down)
	born := time.Now()
	if err := e.startProcess(more...); err != nil {
		return err
	}
	time.Sleep(time.Until(born.Add(heartbeatTime)))
	e.mu.Lock()
	e.born, e.sequence, e.ended = born.UnixMilli(), 0, false
	e.mu.Unlock()
	e.writeRow()
	return nil
}

// readEvents records what the engine says of its requests.
func (e *engine) readEvents(output io.Reader, ready chan struct{}) {
	lines := bufio.NewScanner(output)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) != 3 {
			continue
		}
		micros, _ := strconv.ParseInt(fields[0], 10, 64)
		at, event, id := time.UnixMicro(micros), fields[1], fields[2]
		e.lab.record.at(at, "engine %s %s %s", e.id, event, id)
		e.mu.Lock()
		switch event {
		case "ready":
			close(ready)
		case "arrives":
			e.arrivals[id] = at
		case "runs":
			e.running[id] = at
		case "refuses":
			e.refused[id] = at
		case "crashes":
			e.lab.tasks.Go(func() { e.comeBack(crashDownTime) })
		default:
			delete(e.running, id)
		}
		e.mu.Unlock()
	}
}

// beat writes the engine's row about every heartbeatTime. An engine that has left without notice removes its row instead.
func (e *engine) beat() {
	t := time.NewTicker(heartbeatTime)
	defer t.Stop()
	for {
		e.writeRow()
		select {
		case <-t.C:
		case <-e.stopBeats:
			return
		case <-e.lab.stopping:
			return
		}
	}
}

func (e *engine) writeRow() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return
	}
	e.beatAt = time.Now()
	if e.state == "removed" {
		e.lab.store.put("servers", e.id, nil)
		return
	}
	e.lab.store.put("servers", e.id, e.row())
}

// row returns the next value of the engine's row. The caller must hold mu.
func (e *engine) row() map[string]any {
	e.sequence++
	return map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": e.slots, "state": e.state,
		"cold_remaining_ms": 0, "born": e.born, "sequence": e.sequence,
	}
}

// leave makes the engine leave in a state: "draining", or "removed" without notice.
func (e *engine) leave(state string) {
	_, _ = io.WriteString(e.input, "leave\n")
	time.Sleep(5 * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = state
	if state == "removed" {
		e.lab.store.put("servers", e.id, nil)
		return
	}
	e.lab.store.put("servers", e.id, e.row())
}

// nextBeat returns the time of the engine's next heartbeat.
func (e *engine) nextBeat() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.beatAt.Add(heartbeatTime)
}

// kill ends the process of the engine.
func (e *engine) kill() {
	e.heartbeats.Do(func() {
		e.mu.Lock()
		e.ended = true
		e.mu.Unlock()
		close(e.stopBeats)
		_ = e.cmd.Process.Signal(syscall.SIGKILL)
		_ = e.cmd.Wait()
	})
}

// runningCount returns the number of requests that the engine runs.
func (e *engine) runningCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// runsOnlySince reports whether the engine runs requests, all of which have begun since a time.
func (e *engine) runsOnlySince(t time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, at := range e.running {
		if at.Before(t) {
			return false
		}
	}
	return len(e.running) > 0
}

// runningSince returns the number of requests that the engine runs and that have begun since a time.
func (e *engine) runningSince(t time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, at := range e.running {
		if at.After(t) {
			n++
		}
	}
	return n
}

func (e *engine) arrivedAt(id string) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, ok := e.arrivals[id]
	return at, ok
}

// sentRequest is a request of a client and its answer.
type sentRequest struct {
	id      string
	relay   *relay
	sentAt  time.Time
	endedAt time.Time
	// status is zero if there was no answer. complete is set if the answer ended as its framing says.
	status    int
	complete  bool
	signature string
	// leaving is set if the answer said that its engine is leaving.
	leaving bool
	body    string
}

var (
	requestMu sync.Mutex
	requests  int
)

func newRequestID() string {
	requestMu.Lock()
	defer requestMu.Unlock()
	requests++
	return fmt.Sprintf("%016x", uint64(requests)*0x9e3779b97f4a7c15)
}

// send sends a request to a relay and waits for the end of its answer.
func (l *lab) send(r *relay, method, path string, deadline time.Duration, headers map[string]string) *sentRequest {
	id := newRequestID()
	return l.sendBody(r, id, method, path, id+strings.Repeat("x", 600), deadline, headers)
}

// sendBody is send with an ID and a body of its own.
func (l *lab) sendBody(
	r *relay, id, method, path, body string, deadline time.Duration, headers map[string]string,
) *sentRequest {
	x := &sentRequest{id: id, relay: r}
	request, err := http.NewRequest(method, "http://"+r.callers+path, strings.NewReader(body))
	if err != nil {
		return x
	}
	request.Host = "site.example"
	request.Header.Set("Request-Id", x.id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("Api-Key", "key-1")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	x.sentAt = time.Now()
	l.record.at(x.sentAt, "client sends %s to %s: %s %s", x.id, r.name, method, path)
	response, err := r.client.Do(request)
	if err != nil {
		x.endedAt = time.Now()
		l.record.at(x.endedAt, "client gets no answer to %s: %v", x.id, err)
		return x
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	x.endedAt, x.status, x.complete, x.body = time.Now(), response.StatusCode, err == nil, string(answer)
	x.signature, x.leaving = response.Header.Get("Server-Signature"), response.Header.Get("Server-Leaving") != ""
	end := "complete"
	if !x.complete {
		end = "broken off"
	}
	l.record.at(x.endedAt, "client gets %d to %s, signature %q, leaving %t, %d bytes, %s", x.status, x.id, x.signature, x.leaving, len(answer), end)
	return x
}

// promptTokens is the number of tokens of a prompt. Engines that read 55 tokens in a millisecond need 550 ms for it.
const promptTokens = 30_000

// sendPrompt sends a request for a stream, the n-th one, and waits for the end of its answer.
func (l *lab) sendPrompt(r *relay, n int) *sentRequest {
	return l.send(r, "POST", "/stream/plan", 15*time.Second, map[string]string{
		"Model": "m", "Token-Usage": fmt.Sprintf("%d,360", promptTokens), "Prompt-Prefix": fmt.Sprintf("a%x:60,b%x:%d", n%160, n, promptTokens-60),
	})
}
