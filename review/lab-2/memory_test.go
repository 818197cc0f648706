package lab

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The deployment of the case: a machine of the site, its usual clients and the burst of the site file.
const (
	memoryMegabytes = 134
	maxDescriptors  = 4100
	usualClients    = 18
	// burstClients are the clients during a burst of 2.1 times the traffic.
	burstClients = 37
	burstAt      = 5 * time.Second
	burstTime    = 2500 * time.Millisecond
	trafficTime  = 12 * time.Second
	// bodyBytes is max_body_bytes of the configuration.
	bodyBytes      = 4194304
	callerDeadline = 15 * time.Second
	restartDelay   = 500 * time.Millisecond
	// allowedLosses is the number of requests that the rule lets a process lose.
	allowedLosses = 3
)

// memoryCase sends bodies of the size that the configuration allows, at times from twice as many clients as usual.
func memoryCase(l *lab) (bool, error) {
	s, err := newStore()
	if err != nil {
		return false, err
	}
	if err := addAdvisors(l, s, 9); err != nil {
		return false, err
	}
	r, err := l.addRelay(s.addr, machine{memoryMegabytes: memoryMegabytes, files: maxDescriptors})
	if err != nil {
		return false, err
	}
	if !waitReady(l.relays, 10*time.Second) {
		return false, errors.New("the relay didn't become ready")
	}
	k := &memoryKeeper{relay: r, record: l.record, stop: make(chan struct{}), done: make(chan struct{})}
	go k.run()
	var clients sync.WaitGroup
	start := time.Now()
	body := make([]byte, bodyBytes)
	for n := range burstClients {
		from, until := start, start.Add(trafficTime)
		if n >= usualClients {
			if !l.trouble {
				break
			}
			from, until = start.Add(burstAt), start.Add(burstAt+burstTime)
		}
		clients.Go(func() { sendBodies(l, r.caller, n, body, from, until) })
	}
	clients.Wait()
	close(k.stop)
	<-k.done
	lost := lostRequests(l.record)
	l.record.note("largest memory of the process alone: %d kB of %d kB", k.peak, memoryMegabytes*1024)
	l.record.note("ended for its memory: %d times", k.ended)
	l.record.note("requests on kept connections that an engine had begun to run and whose connection ended without an answer: %d (allowed: %d)",
		len(lost), allowedLosses)
	return len(lost) > allowedLosses, nil
}

// addAdvisors starts engines and writes them and a configuration to the store.
func addAdvisors(l *lab, s *store, n int) error {
	for k := range n {
		e, err := newEngine(&engine{
			id: fmt.Sprintf("i-%d", k), service: "advisor", slots: 12, firstEvent: 200 * time.Millisecond, gap: 16 * time.Millisecond, events: 76,
			record: l.record,
		})
		if err != nil {
			return err
		}
		s.put("servers", e.id, e.row("ready"))
	}
	s.put("op", "config", advisorConfiguration(7))
	return nil
}

// advisorConfiguration returns a configuration with one route for streams and the limits of the users' example.
func advisorConfiguration(version int) map[string]any {
	route := map[string]any{
		"name": "legacy-review", "host": "site.example", "prefix": "/review/", "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 800,
		"priority": 0, "service": "advisor", "max_attempts": 1, "public": true, "sticky": true, "resumable": false, "gap_target_ms": 300,
	}
	engineProfile := map[string]any{"slots": 12, "kv_capacity": 562371, "stride": 5}
	service := map[string]any{
		"name": "advisor", "health_path": "/health", "max_connections": 630, "protocol": "h1", "tls": false, "engine": engineProfile,
	}
	limits := map[string]any{"max_header_bytes": 16384, "max_body_bytes": bodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	return map[string]any{"version": version, "routes": []any{route}, "services": []any{service}, "limits": limits, "tenants": []any{}}
}

// sendBodies sends one request after the other on a kept connection: a short one first, then long ones.
func sendBodies(l *lab, address string, client int, body []byte, from, until time.Time) {
	time.Sleep(time.Until(from))
	c := newClient(address, l.record)
	defer c.close()
	for k := 0; time.Now().Before(until); k++ {
		id := fmt.Sprintf("c%d-%d", client, k)
		b := body
		if c.conn == nil {
			b = body[:600]
		}
		if c.used > 0 && c.conn != nil {
			l.record.add("kept", id, "")
		}
		a := c.send(id, "POST", "/review/x", []string{"Model: m", "Token-Usage: 6610,380"}, b, callerDeadline)
		switch {
		case a.isTimeout():
			l.record.add("gaveUp", id, a.describe())
		case a.err != nil:
			l.record.add("lost", id, a.describe())
		default:
			l.record.add("answer", id, a.describe())
		}
		if a.err != nil || a.status != 200 {
			time.Sleep(300 * time.Millisecond)
		}
	}
}

// lostRequests returns the requests that had come on a kept connection, that an engine had begun to run, and whose connection ended
// without a whole answer before the client's deadline.
func lostRequests(r *record) []string {
	var out []string
	for _, id := range r.ids("lost") {
		if r.has("kept", id) && r.has("sent", id) && r.has("runs", id) && !strings.HasPrefix(id, "probe") {
			out = append(out, id)
		}
	}
	return out
}

// memoryKeeper ends a process that exceeds the memory of its machine and starts it again, as the platform does.
type memoryKeeper struct {
	relay      *relay
	record     *record
	stop, done chan struct{}
	// peak is the largest memory in kilobytes, ended the number of times that the process was ended.
	peak, ended int
}

func (k *memoryKeeper) run() {
	defer close(k.done)
	for {
		select {
		case <-k.stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		used := k.relay.privateKilobytes()
		k.peak = max(k.peak, used)
		if used <= memoryMegabytes*1024 {
			continue
		}
		k.record.note("the process uses %d kB, more than %d MB: the platform ends it", used, memoryMegabytes)
		k.ended++
		k.relay.signal(syscall.SIGKILL)
		<-k.relay.ended()
		time.Sleep(restartDelay)
		if err := k.relay.start(); err != nil {
			k.record.note("not started again: %v", err)
			return
		}
	}
}
