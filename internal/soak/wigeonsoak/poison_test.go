package wigeonsoak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"wigeonshift/internal/soak/wigeonknown"

	. "github.com/onsi/gomega"
)

const (
	// poisonIDPrefix begins the ID of every try of a request that crashes every endpoint that begins to run it. inTouchSuffix
	// ends it if the relay was in touch.
	poisonIDPrefix = "poison-"
	// poisonBody is its body, which other requests may share.
	poisonBody    = "poison"
	inTouchSuffix = "-inTouch"
	// endpointDowntime is how long a crashed endpoint refuses connections.
	endpointDowntime = 2 * time.Second
	// crashesToQuarantine is the number of crashed endpoints after which the request may reach only maxLateArrivals more
	// endpoints, except within quarantineTime after the last of these crashes.
	crashesToQuarantine = 3
	quarantineTime      = 3 * time.Second
	maxLateArrivals     = 3
)

// poisonLog records when the request that crashes endpoints reached one.
type poisonLog struct {
	mu       sync.Mutex
	arrivals []poisonArrival
}

// poisonArrival is one arrival of the request at an endpoint.
type poisonArrival struct {
	at time.Time
	// inTouch is set if the relay that sent it was in touch.
	inTouch bool
}

func (p *poisonLog) recordArrival(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals = append(p.arrivals, poisonArrival{at: time.Now(), inTouch: strings.HasSuffix(id, inTouchSuffix)})
}

// arrivalCount returns the number of arrivals, each of which crashed an endpoint.
func (p *poisonLog) arrivalCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.arrivals)
}

// firstArrival returns the time of the first arrival.
func (p *poisonLog) firstArrival() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.arrivals[0].at
}

// lateArrivals returns the number of arrivals, sent by relays in touch, later than quarantineTime after crashesToQuarantine
// endpoints had crashed.
func (p *poisonLog) lateArrivals() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	late := 0
	for i, a := range p.arrivals {
		if i >= crashesToQuarantine && a.inTouch && a.at.Sub(p.arrivals[crashesToQuarantine-1].at) > quarantineTime {
			late++
		}
	}
	return late
}

// missedHeartbeatsTime is the time after which the row of a silent endpoint is removed.
const missedHeartbeatsTime = 3600 * time.Millisecond

// fallSilent makes the endpoint silent without closing connections. Its row disappears later, and it starts again under
// the same ID.
func (e *engine) fallSilent() {
	if e.proxy.currentMode() == modeStall {
		return
	}
	e.proxy.setMode(modeStall)
	id := e.identity()
	time.AfterFunc(missedHeartbeatsTime, func() { e.withdraw(id) })
	time.AfterFunc(missedHeartbeatsTime+endpointDowntime, func() { e.startSilenced(id) })
}

// fallSilentAndReturn is like fallSilent, but the endpoint starts again under a new ID before its old row disappears.
func (e *engine) fallSilentAndReturn() {
	if e.proxy.currentMode() == modeStall {
		return
	}
	e.proxy.setMode(modeStall)
	id := e.identity()
	time.AfterFunc(missedHeartbeatsTime, func() { e.withdraw(id) })
	time.AfterFunc(endpointDowntime, func() { e.startSilenced(fmt.Sprintf("%s-%d", e.firstID, time.Now().UnixMilli())) })
}

// startSilenced starts an endpoint that had fallen silent, under an ID.
func (e *engine) startSilenced(id string) {
	e.mu.Lock()
	e.id, e.startedAt = id, time.Now()
	e.mu.Unlock()
	e.proxy.setMode(modeReset)
	e.proxy.setMode(modeForward)
	e.announce(e)
}

// end ends the endpoint like a process that exits, and starts it again under the same ID after endpointDowntime. It is
// ready then, even if it was draining before.
func (e *engine) end() {
	if !e.proxy.shutDown() {
		return
	}
	time.AfterFunc(endpointDowntime, func() {
		e.mu.Lock()
		e.startedAt, e.drainingSince = time.Now(), time.Time{}
		e.mu.Unlock()
		if err := e.proxy.open(); err != nil {
			panic(err)
		}
		e.announce(e)
	})
}

// poisonCaller sends the request that crashes endpoints again and again, each time with a new ID, to any relay.
type poisonCaller struct {
	caller
	name, path string
	// vary returns the query and additional header lines of a try; nil for none.
	vary  func(try int) (query, headers string)
	tries int
}

// resendInterval is the time between two tries of a poisonCaller.
const resendInterval = 100 * time.Millisecond

func (c *poisonCaller) run() {
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(resendInterval):
		}
		p := c.soak.relays[c.random.IntN(len(c.soak.relays))]
		id := fmt.Sprintf("%s%s-%d", poisonIDPrefix, c.name, n)
		if c.soak.inTouch(p) {
			id += inTouchSuffix
		}
		c.send(id, p)
	}
}

// send sends the request and checks that a refusal, which promises that it did not run, is true.
func (c *poisonCaller) send(id string, p *relayProcess) {
	path := c.path
	if c.vary != nil {
		query, headers := c.vary(c.tries)
		path, c.headers = path+"?"+query, headers
		c.tries++
	}
	status, _, _, _ := c.roundTrip(path, id, poisonBody, p)
	if status == http.StatusServiceUnavailable && c.soak.executions.count(id) > 0 {
		c.soak.reportViolation("%s: refused with a status that promises no execution, but executed", id)
	}
}

// inTouch reports whether a relay, the store and the path between them have had no fault for quarantineTime.
func (s *soakRun) inTouch(p *relayProcess) bool {
	return p.stableFor(quarantineTime) && p.storeProxy.forwardingFor(quarantineTime) && s.store.healthyFor(quarantineTime)
}

// TestPoisonRequest guards against a request that crashes every endpoint and is sent on without limit, because each try of
// its caller has a new ID and may reach another relay, a restarted one, or one that was cut off from the store.
func TestPoisonRequest(t *testing.T) {
	binary := buildRelay(t)
	for _, scenario := range []struct {
		name, path string
		faults     func(s *soakRun)
	}{
		{"relays without faults", "/unsafe/", func(*soakRun) {}},
		{"relays that restart or are cut off", "/safe/", func(s *soakRun) {
			s.restart(s.relays[0], syscall.SIGKILL)
			s.relays[1].storeProxy.setMode(modeStall)
			time.Sleep(time.Second)
			s.relays[1].storeProxy.setMode(modeForward)
			s.restart(s.relays[2], syscall.SIGTERM)
		}},
		{"all relays are killed", "/stream/", func(s *soakRun) {
			for _, p := range s.relays {
				p.signal(syscall.SIGKILL)
			}
			for _, p := range s.relays {
				s.restart(p, syscall.SIGKILL)
			}
		}},
		{"store returns from an older copy", "/safe/", func(s *soakRun) {
			s.store.restore(time.Since(s.poison.firstArrival()))
			time.Sleep(time.Second)
			s.restart(s.relays[0], syscall.SIGKILL)
		}},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			skipIfKnownRed(t)
			s := newSoakRun(t, 1, binary)
			time.Sleep(quarantineTime)
			s.runWithPoison(scenario.path, scenario.faults)
			s.checkPoison(t)
		})
	}
	// Only a timeout shows that an open connection is silent, and the store holds a poll for up to 15 s in a large fleet.
	t.Run("connections to the store are silent", func(t *testing.T) {
		skipIfKnownRed(t)
		s := newSoakRun(t, 3, binary)
		time.Sleep(time.Second)
		for _, p := range s.relays {
			p.storeProxy.silenceOpen()
		}
		time.Sleep(quarantineTime)
		s.runWithPoison("/unsafe/", func(*soakRun) {})
		s.checkPoison(t)
	})
	// An endpoint that falls silent shows neither a reset nor a refused connection. Its row disappears when it has missed
	// heartbeats.
	t.Run("endpoints fall silent", func(t *testing.T) {
		skipIfKnownRed(t)
		s := newSoakRun(t, 1, binary)
		for _, e := range s.engines {
			e.crash = e.fallSilent
		}
		time.Sleep(quarantineTime)
		s.runWithPoison("/safe/", func(*soakRun) {})
		s.checkPoison(t)
	})
	// Without the store, the relays learn of crashes from each other only.
	t.Run("store is down", func(t *testing.T) {
		skipIfKnownRed(t)
		s := newSoakRun(t, 1, binary)
		s.store.setFault(true, 0)
		s.runWithPoison("/safe/", func(*soakRun) {})
		s.g.Expect(s.poison.arrivalCount()).To(BeNumerically("<=", crashesToQuarantine+maxLateArrivals))
		s.checkPoison(t)
	})
}

// runWithPoison sends ordinary requests and the one that crashes endpoints. It injects the faults once the request should
// be refused.
func (s *soakRun) runWithPoison(path string, faults func(s *soakRun)) {
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	for i := range 4 {
		c := &caller{soak: s, random: rand.New(rand.NewPCG(uint64(i), 2)), stop: stop}
		tasks.Go(c.run)
	}
	for i := range 2 {
		tasks.Go(s.newPoisonCaller(uint64(i), path, stop).run)
	}
	s.g.Eventually(s.poison.arrivalCount).WithTimeout(10 * time.Second).Should(BeNumerically(">=", crashesToQuarantine))
	time.Sleep(quarantineTime / 2)
	faults(s)
	time.Sleep(2*quarantineTime + endpointDowntime)
	close(stop)
	tasks.Wait()
}

func (s *soakRun) newPoisonCaller(seed uint64, path string, stop chan struct{}) *poisonCaller {
	return &poisonCaller{
		name: fmt.Sprint(seed), path: path, caller: caller{soak: s, random: rand.New(rand.NewPCG(seed, 3)), stop: stop},
	}
}

// runEndpointFaults crashes endpoints and returns the store to an older copy from time to time. It has a random source of
// its own, so that the other faults of a seed stay the same.
func (s *soakRun) runEndpointFaults(seed uint64, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(seed, 4))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(1000+random.IntN(3000)) * time.Millisecond):
		}
		if random.IntN(3) == 0 {
			s.countFault("storeRestored")
			s.store.restore(time.Duration(random.IntN(4000)) * time.Millisecond)
			continue
		}
		s.countFault("endpointCrash")
		s.mu.Lock()
		e := s.engines[len(s.engines)-1-random.IntN(min(engineCount, len(s.engines)))]
		s.mu.Unlock()
		e.crash()
	}
}

// checkPoison checks that the request no longer reached endpoints and that no other request was taken for it.
func (s *soakRun) checkPoison(t *testing.T) {
	t.Logf("%d endpoints crashed, %d of them late; responses by status %v", s.poison.arrivalCount(), s.poison.lateArrivals(), s.outcomes)
	s.g.Expect(s.poison.lateArrivals()).To(BeNumerically("<=", maxLateArrivals))
	s.g.Expect(s.violations).To(BeEmpty())
	s.checkOnlyPoisonRefused()
}

// skipIfKnownRed skips a test that KNOWN-RED.txt lists and prints its entry.
func skipIfKnownRed(t *testing.T) {
	entry, err := wigeonknown.Failure(wigeonknown.Path, "wigeonsoak", t.Name())
	if err != nil {
		t.Fatal(err)
	}
	if entry != "" {
		t.Skip("known failure: " + entry)
	}
}
