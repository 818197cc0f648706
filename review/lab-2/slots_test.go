package lab

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// The deployment of the case: small machines with several cores, one model engine, and one engine of the service whose route is added.
const (
	slotsMachines   = 3
	slotsCores      = 4
	slotsMemory     = 284
	advisorPause    = 200 * time.Millisecond
	advisorDeadline = 12 * time.Second

	// registryWork is the time of a request at the engine, as the page of the site has it.
	registryWork     = 30 * time.Millisecond
	registrySlots    = 6
	registryDeadline = time.Second
	// registryPause is the time between two requests of clients that send one at a time, out of the 200 a second that the engine can serve.
	// batchRequests come at once from another client, each batchInterval.
	registryPause = time.Second / 12
	batches       = 11
	batchInterval = 6 * time.Second
	batchRequests = 24
)

// The disruption of the case: the client of the batches leaves within half of the latency objective. In any 5 s these are 24 of 84
// requests to the service, where the site file lets three tenths leave.
const (
	leavesAfter = 60 * time.Millisecond
	lastLeaves  = batches * batchInterval
)

// The check: what is sent from steadyAfter the last disruption on, for steadyTime.
const (
	steadyAfter = 4 * time.Second
	steadyFrom  = lastLeaves + steadyAfter
	steadyTime  = 8 * time.Second
	slotsEnd    = steadyFrom + steadyTime
	// minAdded is the number of requests on added routes from which on the rule holds, maxRatio how often the first routes may be served
	// for each time that the added ones are.
	minAdded = 20
	maxRatio = 4
	// idleTime is the pause before some requests are sent one after the other, for the record only.
	idleTime     = 2 * time.Second
	idleRequests = 12
)

// slotsRun is a run of the case.
type slotsRun struct {
	*lab
	start    time.Time
	requests sync.WaitGroup

	mu           sync.Mutex
	first, added tally
}

// tally counts requests of the check.
type tally struct{ sent, served int }

// isServed reports whether an engine's whole answer of success came.
func (a answer) isServed() bool { return a.err == nil && a.status == 200 && a.signature != "" }

// slotsCase lets a client leave early, time and again, and looks at how often the route is served once it is gone.
func slotsCase(l *lab) (bool, error) {
	x := &slotsRun{lab: l}
	registry, err := x.startDeployment()
	if err != nil {
		return false, err
	}
	x.start = time.Now()
	advisor := request{"first", "POST", "/review/x", []string{"Model: m", "Token-Usage: 600,50"}, []byte("prompt"), advisorDeadline}
	x.requests.Go(func() { x.sendEvery(advisorPause, advisor, &x.first) })
	x.requests.Go(func() {
		x.sendEvery(registryPause, request{"added", "GET", "/register/x", nil, nil, registryDeadline}, &x.added)
	})
	for k := range batches {
		time.Sleep(time.Until(x.start.Add(time.Duration(k) * batchInterval)))
		x.sendBatch(k)
	}
	x.requests.Wait()
	x.record.note("steady state, first routes: %d of %d requests served", x.first.served, x.first.sent)
	x.record.note("steady state, routes added later: %d of %d requests served", x.added.served, x.added.sent)
	x.testIdle(registry)
	return x.added.sent >= minAdded && x.added.served*x.first.sent*maxRatio < x.first.served*x.added.sent, nil
}

// startDeployment starts the engines and the relays, and adds a route once the first configuration is in force. It returns the engine
// that serves the added route.
func (x *slotsRun) startDeployment() (*engine, error) {
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	advisor, err := newEngine(&engine{
		id: "i-0", service: "advisor", slots: 12, firstEvent: 200 * time.Millisecond, gap: 20 * time.Millisecond, events: 10, record: x.record,
	})
	if err != nil {
		return nil, err
	}
	registry, err := newEngine(&engine{id: "i-1", service: "registry", slots: registrySlots, work: registryWork, record: x.record})
	if err != nil {
		return nil, err
	}
	for _, e := range []*engine{advisor, registry} {
		s.put("servers", e.id, e.row("ready"))
	}
	s.put("op", "config", advisorConfiguration(7))
	for range slotsMachines {
		if _, err := x.addRelay(s.addr, machine{memoryMegabytes: slotsMemory, files: maxDescriptors, cores: slotsCores}); err != nil {
			return nil, err
		}
	}
	if !waitReady(x.relays, 10*time.Second) {
		return nil, errors.New("the relays didn't become ready")
	}
	s.put("op", "config", registryConfiguration(8))
	time.Sleep(contactTime)
	x.record.note("version 8 adds a route")
	return registry, nil
}

// registryConfiguration returns the first configuration with a route to a second service.
func registryConfiguration(version int) map[string]any {
	c := advisorConfiguration(version)
	c["routes"] = append(c["routes"].([]any), map[string]any{
		"name": "register", "host": "site.example", "prefix": "/register/", "kind": "idempotent", "timeout_ms": 1000,
		"target_latency_ms": 150, "priority": 2, "service": "registry", "max_attempts": 2, "public": true,
	})
	c["services"] = append(c["services"].([]any), map[string]any{
		"name": "registry", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": false,
	})
	return c
}

// request describes requests of one kind.
type request struct {
	prefix, method, path string
	headers              []string
	body                 []byte
	deadline             time.Duration
}

// sendEvery sends a request to one relay after the other at each interval, and counts those of the check.
func (x *slotsRun) sendEvery(interval time.Duration, q request, counted *tally) {
	var pools [slotsMachines]sync.Pool
	for k := 0; ; k++ {
		at := time.Duration(k) * interval
		if at >= slotsEnd {
			return
		}
		time.Sleep(time.Until(x.start.Add(at)))
		x.requests.Go(func() {
			machine, id := k%slotsMachines, fmt.Sprintf("%s-%d", q.prefix, k)
			c, _ := pools[machine].Get().(*client)
			if c == nil {
				c = newClient(x.relays[machine].caller, x.record)
			}
			a := c.send(id, q.method, q.path, q.headers, q.body, q.deadline)
			pools[machine].Put(c)
			x.record.add("answer", id, a.describe())
			if at < steadyFrom {
				return
			}
			x.mu.Lock()
			defer x.mu.Unlock()
			counted.sent++
			if a.isServed() {
				counted.served++
			}
		})
	}
}

// sendBatch sends requests to the first relay on connections of their own at once. The client waits for all answers, or closes all
// connections at the same moment.
func (x *slotsRun) sendBatch(n int) {
	patience := registryDeadline
	if x.trouble {
		patience = leavesAfter
	}
	var sent sync.WaitGroup
	leavesAt := time.Now().Add(patience)
	served := make(chan bool, batchRequests)
	for k := range batchRequests {
		sent.Go(func() {
			c := newClient(x.relays[0].caller, x.record)
			defer c.close()
			id := fmt.Sprintf("batch-%d-%d", n, k)
			a := c.sendUntil(id, "GET", "/register/x", nil, nil, registryDeadline, leavesAt)
			x.record.add("answer", id, a.describe())
			served <- a.isServed()
		})
	}
	sent.Wait()
	close(served)
	count := 0
	for s := range served {
		if s {
			count++
		}
	}
	x.record.note("batch %d of %d requests, whose client waits for %v: %d served", n, batchRequests, patience, count)
}

// testIdle notes how many requests are served that come one after the other.
func (x *slotsRun) testIdle(registry *engine) {
	time.Sleep(idleTime)
	busy, served := registry.busy(), 0
	for k := range idleRequests {
		c := newClient(x.relays[k%slotsMachines].caller, x.record)
		if c.send(fmt.Sprintf("idle-%d", k), "GET", "/register/x", nil, nil, registryDeadline).isServed() {
			served++
		}
		c.close()
	}
	x.record.note("afterwards, one after the other: %d of %d requests served; before these, the engine ran %d requests in %d slots",
		served, idleRequests, busy, registrySlots)
}
