package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// heartbeat is the time between two writes of an engine's entry.
const heartbeat = 1200 * time.Millisecond

// server is an engine process with its entry in the store. The driver writes the entry, as the engine would.
type server struct {
	id, service, address, zone, version string
	born                                int64
	slots                               int
	process                             *exec.Cmd

	mu       sync.Mutex
	state    string
	sequence int
	isGone   bool
}

// startServer starts an engine of version v1 and enters it in the store. Its heartbeats change nothing but a number, so that the entry needn't change.
func (c *run) startServer(id, service, zone string, arguments ...string) *server {
	return c.startServerOf("v1", id, service, zone, arguments...)
}

// startServerOf starts an engine of a version.
func (c *run) startServerOf(version, id, service, zone string, arguments ...string) *server {
	s := &server{
		id: id, service: service, zone: zone, version: version, address: freeAddress(), born: time.Now().UnixMilli(), slots: slotsOf(arguments), state: "ready",
	}
	own, err := os.Executable()
	must(err)
	s.process = exec.Command(own, append([]string{"engine", "-address", s.address, "-id", id}, arguments...)...)
	s.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	s.process.Stderr = os.Stderr
	out, err := s.process.StdoutPipe()
	must(err)
	must(s.process.Start())
	go s.read(c, bufio.NewScanner(out))
	c.onEnd(s.kill)
	waitListening(s.address)
	s.write(c)
	return s
}

// slotsOf returns the number of slots in the arguments of an engine.
func slotsOf(arguments []string) int {
	if i := slices.Index(arguments, "-slots"); i >= 0 {
		n, err := strconv.Atoi(arguments[i+1])
		must(err)
		return n
	}
	return 9
}

// read takes what the engine reports.
func (s *server) read(c *run, in *bufio.Scanner) {
	for in.Scan() {
		fields := strings.Fields(in.Text())
		if len(fields) < 3 {
			continue
		}
		at, _ := strconv.ParseInt(fields[0], 10, 64)
		if c.onReport != nil {
			c.onReport(s, time.UnixMilli(at), fields[1], fields[2])
		}
		c.note("engine %s: %s", s.id, strings.Join(fields[1:], " "))
	}
}

// write writes the entry.
func (s *server) write(c *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isGone {
		return
	}
	s.sequence++
	value, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots, "state": s.state,
		"cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born,
	})
	must(err)
	c.store.put(storeRow{Table: "servers", Key: s.id, Value: value})
}

// drain makes the engine report that it leaves. The store has acknowledged that when it returns.
func (s *server) drain(c *run) {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	s.write(c)
	c.note("engine %s reports draining", s.id)
}

func (s *server) kill() { _ = s.process.Process.Kill() }

// leave ends the engine and removes its entry after three heartbeats of silence.
func (s *server) leave(c *run) {
	s.mu.Lock()
	s.isGone = true
	s.mu.Unlock()
	s.kill()
	c.note("engine %s is gone", s.id)
	time.AfterFunc(3*heartbeat, func() { c.store.put(storeRow{Table: "servers", Key: s.id, Deleted: true}) })
}

func waitListening(address string) {
	for range 200 {
		if conn, err := dial(address, time.Second); err == nil {
			conn.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	panic("an engine doesn't listen")
}

// route is a route of the configuration.
type route struct {
	Name      string  `json:"name"`
	Host      string  `json:"host"`
	Prefix    string  `json:"prefix"`
	Kind      string  `json:"kind"`
	TimeoutMs float64 `json:"timeout_ms"`
	TargetMs  float64 `json:"target_latency_ms"`
	GapMs     float64 `json:"gap_target_ms,omitempty"`
	Priority  int     `json:"priority"`
	Service   string  `json:"service"`
	Attempts  int     `json:"max_attempts"`
	Sticky    bool    `json:"sticky,omitempty"`
	Resumable bool    `json:"resumable,omitempty"`
}

// host is that of all routes.
const host = "ficu95.example"

// The routes follow the sheet of inrap-lofts.
func planRoute() route {
	return route{Name: "plan", Host: host, Prefix: "/plan/", Kind: "streaming", TimeoutMs: 15000, TargetMs: 1000, GapMs: 400, Service: "llm", Attempts: 1, Sticky: true}
}

func issueRoute() route {
	return route{Name: "issue", Host: host, Prefix: "/issue/", Kind: "non_idempotent", TimeoutMs: 1000, TargetMs: 150, Priority: 2, Service: "records", Attempts: 2}
}

func historyRoute() route {
	return route{Name: "history", Host: host, Prefix: "/history/", Kind: "idempotent", TimeoutMs: 1000, TargetMs: 150, Priority: 2, Service: "records", Attempts: 2}
}

// configure writes a version of the configuration.
func (c *run) configure(version int, tenants []any, routes ...route) {
	document := map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{
				"name": "llm", "max_connections": 360,
				"engine": map[string]any{"slots": 9, "kv_capacity": 569215, "stride": 6},
			},
			map[string]any{"name": "records", "max_connections": 96},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	}
	if tenants != nil {
		document["tenants"] = tenants
	}
	value, err := json.Marshal(document)
	must(err)
	c.store.put(storeRow{Table: "op", Key: "config", Value: value})
	c.note("configuration %d acknowledged", version)
}

// site is a deployment of the users' pages.
type site struct {
	region          string
	zones           []string
	memoryMegabytes int
	budgetSlack     string
	// hasRollouts is set if the bounds of rollouts apply.
	hasRollouts bool
}

// The small deployments, and a small form of a grown one.
var (
	mwakilema = site{
		region: "dar-coast", zones: []string{"kurasini", "ubungo", "mbezi"}, memoryMegabytes: 184, budgetSlack: "164", hasRollouts: true,
	}
	inrapLofts = site{
		region: "costa-sur", zones: []string{"champerico", "sipacate", "iztapa", "monterrico"}, memoryMegabytes: 284, budgetSlack: "52",
	}
	apmeLima = site{region: "lima", zones: []string{"miraflores", "surquillo", "san-isidro"}, memoryMegabytes: 134, budgetSlack: "58"}
)

// zone returns the zone of the machine or engine with a number.
func (s site) zone(n int) string { return s.zones[n%len(s.zones)] }

// startRelays starts relays and waits until they are ready.
func (c *run) startRelays(s site, n int, storeOf func(name string) string) []*relay {
	var relays []*relay
	for i := range n {
		name := fmt.Sprintf("front-%s-%d", s.zone(i), i/len(s.zones)+1)
		r := newRelay(s, name, s.zone(i), storeOf(name))
		r.start()
		c.onEnd(r.kill)
		relays = append(relays, r)
	}
	for _, r := range relays {
		if !r.waitReady(10 * time.Second) {
			panic("relay " + r.name + " isn't ready: " + r.logs())
		}
	}
	c.note("%d relays are ready", n)
	return relays
}
