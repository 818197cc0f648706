package wigeonsoak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// siblingCallers is the number of callers that send sound requests with the content of the one that crashes endpoints.
	siblingCallers = 4
	// minServedShare is the share of these requests that must be served once the other one must be stopped.
	minServedShare = 0.99
	// siblingRunTime is the length of a run.
	siblingRunTime = 16 * time.Second
)

// variation returns the query and additional header lines of a try.
type variation = func(try int) (query, headers string)

// Variations of requests that share organisation, method, path and body.
func sameQuery(int) (query, headers string)      { return "item=0", "" }
func freshQuery(try int) (query, headers string) { return fmt.Sprintf("item=%d", 1+try), "" }
func fewQueries(try int) (query, headers string) { return fmt.Sprintf("item=%d", 1+try%8), "" }
func changingQuery(try int) (query, headers string) {
	return fmt.Sprintf("item=0&nonce=%d", try), ""
}

func changingHeaders(try int) (query, headers string) {
	return "item=0", fmt.Sprintf("X-Nonce: %d\r\n", try)
}

// siblingLog counts what callers of sound requests got.
type siblingLog struct {
	mu    sync.Mutex
	tries []siblingTry
}

// siblingTry is one sound request.
type siblingTry struct {
	sentAt time.Time
	served bool
}

func (l *siblingLog) record(t siblingTry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tries = append(l.tries, t)
}

// servedAfter returns how many requests were sent after a time, and how many of these were served.
func (l *siblingLog) servedAfter(at time.Time) (sent, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.tries {
		if !t.sentAt.After(at) {
			continue
		}
		sent++
		if t.served {
			served++
		}
	}
	return sent, served
}

// siblingCaller sends sound requests that share the content of the one that crashes endpoints. Like every caller, it sends a
// request again at another relay if it was refused.
type siblingCaller struct {
	caller
	index int
	path  string
	vary  variation
	log   *siblingLog
}

// siblingInterval is the time between two requests of a siblingCaller, siblingTries the number of its tries for each.
const (
	siblingInterval = 50 * time.Millisecond
	siblingTries    = 3
)

func (s *soakRun) newSiblingCaller(index int, path string, vary variation, log *siblingLog, stop chan struct{}) *siblingCaller {
	return &siblingCaller{
		index: index, path: path, vary: vary, log: log,
		caller: caller{soak: s, random: rand.New(rand.NewPCG(uint64(index), 8)), stop: stop},
	}
}

func (c *siblingCaller) run() {
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(siblingInterval):
		}
		query, headers := c.vary(n*siblingCallers + c.index)
		c.headers = headers
		sentAt := time.Now()
		c.log.record(siblingTry{sentAt: sentAt, served: c.send(fmt.Sprintf("sibling-%d-%d", c.index, n), c.path+"?"+query)})
	}
}

// send sends a request until it is served, and reports whether it is.
func (c *siblingCaller) send(id, target string) bool {
	for try := range siblingTries {
		tryID := fmt.Sprintf("%s-%d", id, try)
		p := c.soak.randomRelay(c.random)
		status, body, complete, _ := c.roundTrip(target, tryID, poisonBody, p)
		if status == http.StatusOK && complete && body != "" {
			return true
		}
		if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			return false
		}
		if n := c.soak.executions.count(tryID); n > 0 {
			c.soak.reportViolation("%s: refused with a status that promises no execution, but executed %d times", tryID, n)
		}
		time.Sleep(siblingInterval)
	}
	return false
}

// TestPoisonAmongSoundRequests guards against a request that crashes endpoints and is not told from sound ones of the same
// caller, path and body: an answer to one of these lets it run again, or they are refused in its place.
func TestPoisonAmongSoundRequests(t *testing.T) {
	binary := buildRelay(t)
	for _, scenario := range []struct {
		name, path    string
		poison, sound variation
		crash         func(e *engine)
		faults        func(s *soakRun)
		// timeoutMillis is the timeout of the routes; 0 leaves the usual one.
		timeoutMillis int
		// indistinct is set if nothing tells the sound requests from the other one, so that they wait for trials.
		indistinct bool
	}{
		{name: "another query", path: "/safe/", poison: sameQuery, sound: freshQuery},
		{name: "another query, not repeatable", path: "/unsafe/", poison: sameQuery, sound: freshQuery},
		{name: "queries that come again", path: "/stream/", poison: sameQuery, sound: fewQueries},
		{name: "endpoints fall silent", path: "/safe/", poison: sameQuery, sound: freshQuery, crash: (*engine).fallSilent},
		{name: "endpoints return under new IDs", path: "/safe/", poison: sameQuery, sound: freshQuery, crash: (*engine).fallSilentAndReturn},
		{
			name: "endpoints fall silent for longer than the timeout", path: "/safe/", poison: sameQuery, sound: freshQuery,
			crash: (*engine).fallSilent, timeoutMillis: 400,
		},
		{name: "endpoints fail without running", path: "/safe/", poison: sameQuery, sound: freshQuery, faults: func(s *soakRun) {
			for _, e := range s.engines {
				e.setFault(faultReject, 0.3)
			}
		}},
		{name: "all relays are killed", path: "/safe/", poison: sameQuery, sound: freshQuery, faults: func(s *soakRun) {
			for _, p := range s.relays {
				s.restart(p, syscall.SIGKILL)
			}
		}},
		{name: "changing query, alone", path: "/safe/", poison: changingQuery},
		{name: "changing query, alone and not repeatable", path: "/unsafe/", poison: changingQuery},
		{name: "changing headers, alone", path: "/safe/", poison: changingHeaders},
		{name: "changing headers beside other queries", path: "/safe/", poison: changingHeaders, sound: freshQuery},
		{
			name: "changing query beside other queries", path: "/safe/", poison: changingQuery, sound: freshQuery, indistinct: true,
		},
		{name: "changing query beside queries that come again", path: "/safe/", poison: changingQuery, sound: fewQueries},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			skipIfKnownRed(t)
			t.Parallel()
			s := newSoakRun(t, 1, binary)
			if scenario.crash != nil {
				for _, e := range s.engines {
					e.crash = func() { scenario.crash(e) }
				}
			}
			if scenario.timeoutMillis > 0 {
				s.timeoutMillis = scenario.timeoutMillis
				s.putConfiguration()
			}
			time.Sleep(quarantineTime)
			log := s.runAmongSound(scenario.path, scenario.poison, scenario.sound, scenario.faults)
			minServed := minServedShare
			if scenario.indistinct {
				minServed = 0
			}
			s.checkSiblings(t, log, minServed)
		})
	}
}

// runAmongSound sends sound requests and the one that crashes endpoints. It injects the faults once this one should be
// refused.
func (s *soakRun) runAmongSound(path string, poison, sound variation, faults func(s *soakRun)) *siblingLog {
	stop, log := make(chan struct{}), &siblingLog{}
	var tasks sync.WaitGroup
	for i := range siblingCallers {
		if sound == nil {
			break
		}
		tasks.Go(s.newSiblingCaller(i, path, sound, log, stop).run)
	}
	for i := range 2 {
		c := s.newPoisonCaller(uint64(i), path, stop)
		c.vary, c.tries = poison, i*1_000_000
		tasks.Go(c.run)
	}
	time.Sleep(siblingRunTime / 2)
	if faults != nil {
		faults(s)
	}
	time.Sleep(siblingRunTime / 2)
	close(stop)
	tasks.Wait()
	return log
}

// checkSiblings checks that the request that crashes endpoints was stopped, and that sound ones were served from then on.
func (s *soakRun) checkSiblings(t *testing.T, log *siblingLog, minServed float64) {
	all, allServed := log.servedAfter(time.Time{})
	sent, served := 0, 0
	if n := s.poison.arrivalCount(); n >= crashesToQuarantine {
		sent, served = log.servedAfter(s.poison.arrivals[crashesToQuarantine-1].at.Add(2 * quarantineTime))
	}
	t.Logf("%d endpoints crashed, %d of them late; %d of %d sound requests served, %d of %d of those sent after it must be stopped",
		s.poison.arrivalCount(), s.poison.lateArrivals(), allServed, all, served, sent)
	s.g.Expect(s.poison.lateArrivals()).To(BeNumerically("<=", maxLateArrivals))
	s.g.Expect(float64(served)).To(BeNumerically(">=", minServed*float64(sent)))
	s.g.Expect(s.violations).To(BeEmpty())
}
