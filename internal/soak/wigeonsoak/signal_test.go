package wigeonsoak_test

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// askedBackoff is the time for which an endpoint of the soak wants no requests, backoffNotice the time until a relay must
	// keep to it, maxDuringBackoff the number of requests of one relay that may still arrive.
	askedBackoff     = 1500 * time.Millisecond
	backoffNotice    = 500 * time.Millisecond
	maxDuringBackoff = 2
	// signalRunTime is the length of a run.
	signalRunTime = 12 * time.Second
)

// signalPath is the way from a relay to an endpoint.
type signalPath struct {
	relay string
	to    *engine
}

// toldBackoff is a time for which an endpoint told a relay that it wants no requests.
type toldBackoff struct {
	at, until time.Time
	arrivals  int
}

// signalLog records what endpoints said of themselves to relays, and which requests came all the same.
type signalLog struct {
	mu sync.Mutex
	// sends holds the relay and the time of each request.
	sends map[string]send
	// leavingSince holds the time at which an endpoint first told a relay that it is leaving.
	leavingSince map[signalPath]time.Time
	// backoffs holds the latest time for which each endpoint wants no requests of a relay.
	backoffs map[signalPath]toldBackoff
	// lateArrivals and backoffArrivals are the IDs of requests that must not have come; told counts the signals.
	lateArrivals, backoffArrivals []string
	told                          int
}

// send is the sending of a request by a caller.
type send struct {
	relay string
	at    time.Time
}

func newSignalLog() *signalLog {
	return &signalLog{sends: map[string]send{}, leavingSince: map[signalPath]time.Time{}, backoffs: map[signalPath]toldBackoff{}}
}

func (l *signalLog) recordSend(id, relay string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sends[id] = send{relay: relay, at: time.Now()}
}

// recordArrival checks that an endpoint wants a request that it gets. A request may reach a leaving endpoint if its caller sent
// it until drainGracePeriod after the relay was told.
func (l *signalLog) recordArrival(e *engine, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent := l.sends[id]
	path := signalPath{relay: sent.relay, to: e}
	if since, told := l.leavingSince[path]; told && sent.at.Sub(since) > drainGracePeriod {
		l.lateArrivals = append(l.lateArrivals, id)
	}
	b := l.backoffs[path]
	if now := time.Now(); now.After(b.at.Add(backoffNotice)) && now.Before(b.until) {
		if b.arrivals++; b.arrivals > maxDuringBackoff {
			l.backoffArrivals = append(l.backoffArrivals, id)
		}
		l.backoffs[path] = b
	}
}

func (l *signalLog) recordLeaving(e *engine, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	path := signalPath{relay: l.sends[id].relay, to: e}
	if _, told := l.leavingSince[path]; !told {
		l.leavingSince[path] = time.Now()
		l.told++
	}
}

func (l *signalLog) recordBackoff(e *engine, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	path := signalPath{relay: l.sends[id].relay, to: e}
	if now := time.Now(); now.After(l.backoffs[path].until) {
		l.backoffs[path] = toldBackoff{at: now, until: now.Add(askedBackoff)}
		l.told++
	}
}

// TestEndpointSignals guards against requests to endpoints that have said that they are leaving, although the list shows them
// ready, and to those that want no requests for a while.
func TestEndpointSignals(t *testing.T) {
	skipIfKnownRed(t)
	binary := buildRelay(t)
	s := newSoakRun(t, 1, binary)
	for range 2 {
		s.addEngine()
	}
	time.Sleep(time.Second)
	for i, e := range s.engines {
		e.mu.Lock()
		e.saysLeaving = i < 2
		if i >= 2 && i < 4 {
			e.backoffRatio = 0.05
		}
		e.mu.Unlock()
	}
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	for i := range callerCount {
		c := &caller{soak: s, random: rand.New(rand.NewPCG(uint64(i), 9)), stop: stop}
		tasks.Go(c.run)
	}
	time.Sleep(signalRunTime)
	close(stop)
	tasks.Wait()
	sent := 0
	for _, n := range s.outcomes {
		sent += n
	}
	t.Logf("%d signals; %d requests too late to leaving endpoints, %d to endpoints that wanted none; responses by status %v",
		s.signals.told, len(s.signals.lateArrivals), len(s.signals.backoffArrivals), s.outcomes)
	s.g.Expect(s.signals.told).To(BeNumerically(">=", 6))
	s.g.Expect(s.signals.lateArrivals).To(BeEmpty())
	s.g.Expect(s.signals.backoffArrivals).To(BeEmpty())
	s.g.Expect(float64(s.outcomes[http.StatusOK])).To(BeNumerically(">=", minServedShare*float64(sent)))
	s.g.Expect(s.violations).To(BeEmpty())
}
