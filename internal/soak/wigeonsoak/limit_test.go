package wigeonsoak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	limitRelays  = 6
	limitEngines = 8
	limitCallers = 12
	// limitWindow is the length of the windows in which requests are counted. An endpoint may get limitFactor times what its
	// limit allows in it, and limitSlack requests in addition.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitNotice is the time after which a relay must keep to a limit that it was told.
	limitNotice = 600 * time.Millisecond
	// Endpoints name their limits from limitStart to limitEnd. limitRunTime is the length of a run.
	limitStart   = 3 * time.Second
	limitEnd     = 13 * time.Second
	limitRunTime = 18 * time.Second
	// minLimitUse is the share of the sum of all limits that must be used while all endpoints of a service are limited.
	minLimitUse = 0.8
	// minServedBesideLimits is the share of the requests that must be served while other endpoints are sound.
	minServedBesideLimits = 0.99
	// limitReturnTime is the time after the end of a limit from which on the endpoint gets its usual part again, and
	// minReturnedShare the share of the mean of the others that it must get.
	limitReturnTime  = 3 * time.Second
	minReturnedShare = 0.5
)

// limitLog records the requests at one endpoint that names a limit for a while.
type limitLog struct {
	perSecond float64
	relayOf   func(id string) *relayProcess

	mu sync.Mutex
	// from is the time of the first answer that names the limit, until the time from which on answers don't.
	from, until time.Time
	toldAt      map[*relayProcess]time.Time
	arrivals    []limitArrival
}

// limitArrival is the arrival of a request; told is set if its relay must keep to the limit.
type limitArrival struct {
	at   time.Time
	told bool
}

// recordArrival records a request and returns the limit to name in its answer; empty if there is none.
func (l *limitLog) recordArrival(id string) string {
	relay, now := l.relayOf(id), time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	since, told := l.toldAt[relay]
	told = told && now.Sub(since) >= limitNotice && relay.undisruptedFor(contactTime)
	l.arrivals = append(l.arrivals, limitArrival{at: now, told: told})
	if now.Before(l.from) || now.After(l.until) {
		delete(l.toldAt, relay)
		return ""
	}
	if _, told := l.toldAt[relay]; !told {
		l.toldAt[relay] = now
	}
	return strconv.FormatFloat(l.perSecond, 'f', -1, 64)
}

// allowed returns the number of requests that may come in limitWindow.
func (l *limitLog) allowed() int {
	return int(limitFactor*l.perSecond*limitWindow.Seconds()) + limitSlack
}

// most returns the largest number of requests of relays that were told the limit in a window that ends contactTime after the
// first answer or later.
func (l *limitLog) most() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for i, last := range l.arrivals {
		if last.at.Before(l.from.Add(contactTime)) || last.at.After(l.until) {
			continue
		}
		n := 0
		for _, a := range l.arrivals[:i+1] {
			if a.told && last.at.Sub(a.at) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// countBetween returns the number of arrivals from one time to another.
func (l *limitLog) countBetween(from, until time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, a := range l.arrivals {
		if a.at.After(from) && a.at.Before(until) {
			n++
		}
	}
	return n
}

// undisruptedFor reports whether the process was not started, stopped or paused for d.
func (p *relayProcess) undisruptedFor(d time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.disruptedAt) > d && time.Since(p.terminatedAt) > d
}

// limitScenario is a way in which endpoints name limits.
type limitScenario struct {
	name, path string
	relays     int
	// limited is the number of endpoints that name the limit perSecond.
	limited   int
	perSecond float64
	callers   int
	// runTime is how long each request runs in addition.
	runTime time.Duration
	// faults run from limitStart + contactTime on.
	faults func(t *testing.T, s *soakRun)
}

// TestEndpointLimit guards against endpoints that get more requests from all relays together than the limit that they name in
// their answers: each relay took no notice of it.
func TestEndpointLimit(t *testing.T) {
	skipIfKnownRed(t)
	binary := buildRelay(t)
	for _, scenario := range []limitScenario{
		{name: "two of eight", limited: 2, perSecond: 4.1},
		{name: "nine relays", limited: 2, perSecond: 1.7, relays: 9},
		{name: "one in two seconds", limited: 2, perSecond: 0.5},
		{name: "not repeatable", limited: 2, perSecond: 4.1, path: "/unsafe/"},
		{name: "all", limited: limitEngines, perSecond: 3},
		{name: "relays are killed", limited: 2, perSecond: 4.1, faults: func(_ *testing.T, s *soakRun) {
			for _, p := range s.relays[:3] {
				s.restart(p, syscall.SIGKILL)
				time.Sleep(time.Second)
			}
		}},
		{name: "relays join", limited: 2, perSecond: 4.1, faults: func(t *testing.T, s *soakRun) {
			for range 3 {
				s.addRelay(t)
				time.Sleep(time.Second)
			}
		}},
		{name: "the store is away", limited: 2, perSecond: 1.7, faults: func(_ *testing.T, s *soakRun) {
			s.store.setFault(true, 0)
			time.Sleep(4 * time.Second)
			s.store.setFault(false, 0)
		}},
		{name: "long requests", limited: 2, perSecond: 4.1, runTime: 300 * time.Millisecond, callers: 50},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			skipIfKnownRed(t)
			t.Parallel()
			newLimitRun(t, binary, &scenario).runWithLimits(t, scenario)
		})
	}
}

func newLimitRun(t *testing.T, binary string, scenario *limitScenario) *soakRun {
	if scenario.relays == 0 {
		scenario.relays = limitRelays
	}
	if scenario.callers == 0 {
		scenario.callers = limitCallers
	}
	if scenario.path == "" {
		scenario.path = "/safe/"
	}
	s := newRun(t, runOptions{
		seed: uint64(environmentInt("WIGEONSHIFT_SOAK_FIRST", 1)), binary: binary, relays: scenario.relays, limit: repeatLimit,
	})
	for len(s.engines) < limitEngines {
		s.addEngine()
	}
	for i, e := range s.engines {
		e.limit = &limitLog{relayOf: s.relayOf, toldAt: map[*relayProcess]time.Time{}}
		e.runTime = scenario.runTime
		if i < scenario.limited {
			e.limit.perSecond = scenario.perSecond
		}
	}
	return s
}

// relayOf returns the relay to which a request was sent.
func (s *soakRun) relayOf(id string) *relayProcess {
	s.signals.mu.Lock()
	name := s.signals.sends[id].relay
	s.signals.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.relays {
		if p.name == name {
			return p
		}
	}
	return nil
}

// limitCaller sends one request after another, each to any relay.
type limitCaller struct {
	caller
	index int
	path  string
	log   *siblingLog
}

func (c *limitCaller) run() {
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(25 * time.Millisecond):
		}
		sentAt, id := time.Now(), fmt.Sprintf("limit-%d-%d", c.index, n)
		relay := c.soak.randomRelay(c.random)
		undisrupted := relay.undisruptedFor(contactTime)
		status, _, complete, _ := c.roundTrip(c.path, id, "body of "+id, relay)
		if status == http.StatusServiceUnavailable && c.soak.executions.count(id) > 0 {
			c.soak.reportViolation("%s: refused with a status that promises no execution, but executed", id)
		}
		if n := c.soak.executions.count(id); n > 1 && c.path == "/unsafe/" {
			c.soak.reportViolation("%s: executed %d times, but must not be repeated", id, n)
		}
		if undisrupted && relay.undisruptedFor(contactTime) {
			c.log.record(siblingTry{sentAt: sentAt, served: status == http.StatusOK && complete})
		}
	}
}

// runWithLimits sends requests while some endpoints name limits, and checks both sides: no endpoint gets too many requests, and
// what can be served is.
func (s *soakRun) runWithLimits(t *testing.T, scenario limitScenario) {
	stop, log, startedAt := make(chan struct{}), &siblingLog{}, time.Now()
	for _, e := range s.engines[:scenario.limited] {
		e.limit.mu.Lock()
		e.limit.from, e.limit.until = startedAt.Add(limitStart), startedAt.Add(limitEnd)
		e.limit.mu.Unlock()
	}
	var tasks sync.WaitGroup
	for i := range scenario.callers {
		c := &limitCaller{index: i, path: scenario.path, log: log,
			caller: caller{soak: s, random: rand.New(rand.NewPCG(uint64(i), s.seed)), stop: stop}}
		tasks.Go(c.run)
	}
	time.Sleep(limitStart + contactTime)
	if scenario.faults != nil {
		scenario.faults(t, s)
	}
	time.Sleep(time.Until(startedAt.Add(limitRunTime)))
	close(stop)
	tasks.Wait()
	s.checkLimits(t, log, scenario, startedAt)
}

func (s *soakRun) checkLimits(t *testing.T, log *siblingLog, scenario limitScenario, startedAt time.Time) {
	sent, served := log.servedAfter(startedAt)
	limited := s.engines[:scenario.limited]
	used := 0
	for _, e := range limited {
		used += e.limit.countBetween(startedAt.Add(limitStart+contactTime), startedAt.Add(limitEnd))
	}
	sum := scenario.perSecond * float64(scenario.limited) * (limitEnd - limitStart - contactTime).Seconds()
	t.Logf("at most %v in %v, allowed %d; %.2f of the limits used; %d of %d requests served", mostOf(limited), limitWindow,
		limited[0].limit.allowed(), float64(used)/sum, served, sent)
	for _, e := range limited {
		s.g.Expect(e.limit.most()).To(BeNumerically("<=", e.limit.allowed()), "requests to an endpoint with a limit")
	}
	s.g.Expect(s.violations).To(BeEmpty())
	if scenario.limited == limitEngines {
		s.g.Expect(float64(used)).To(BeNumerically(">=", minLimitUse*sum), "requests that the limits allow")
		return
	}
	s.g.Expect(float64(served)).To(BeNumerically(">=", minServedBesideLimits*float64(sent)), "requests beside sound endpoints")
	s.checkReturn(scenario, startedAt.Add(limitEnd+limitReturnTime))
}

// checkReturn checks that endpoints which no longer name a limit get their usual part again.
func (s *soakRun) checkReturn(scenario limitScenario, from time.Time) {
	until := from.Add(limitRunTime - limitEnd - limitReturnTime)
	others := 0
	for _, e := range s.engines[scenario.limited:] {
		others += e.limit.countBetween(from, until)
	}
	usual := float64(others) / float64(limitEngines-scenario.limited)
	for _, e := range s.engines[:scenario.limited] {
		s.g.Expect(float64(e.limit.countBetween(from, until))).To(BeNumerically(">=", minReturnedShare*usual), "after the limit")
	}
}

func mostOf(engines []*engine) []int {
	var most []int
	for _, e := range engines {
		most = append(most, e.limit.most())
	}
	slices.Sort(most)
	return most
}
