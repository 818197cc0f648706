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
	brittleEngines = 10
	brittleSlots   = 6
	brittleCallers = 140
	brittleRunTime = 300 * time.Millisecond
	// brittleStart is the time from which on endpoints say that they are brittle; from brittleStart + contactTime on they may let fewer
	// requests wait.
	brittleStart = 3 * time.Second
	brittleTime  = 16 * time.Second
	// minBrittleUse is the share of what the endpoints can do that must be served meanwhile.
	minBrittleUse = 0.7
)

// brittleLog records the requests at one endpoint that falls over if it has to reject too many.
type brittleLog struct {
	mu sync.Mutex
	// perSecond is the number of rejections in a second beyond which it falls over.
	perSecond int
	// from is the time from which on it is brittle, places the number of requests that may wait, placesLater that later on.
	from                time.Time
	places, placesLater int
	running             int
	rejections          []time.Time
	// fallenAt holds the times since from at which it fell over.
	fallenAt []time.Duration
	// served counts the requests that it has served from settledAt on.
	settledAt time.Time
	served    int
}

// isBrittle reports whether the endpoint is brittle now.
func (l *brittleLog) isBrittle() bool { return time.Now().After(l.from) }

// admit reports whether there is room for a request, and whether the endpoint falls over because it has to reject one too many.
func (l *brittleLog) admit() (admitted, falls bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	places := l.places
	if time.Now().After(l.settledAt) {
		places = l.placesLater
	}
	if l.running < brittleSlots+places {
		l.running++
		return true, false
	}
	if !l.isBrittle() {
		return false, false
	}
	now := time.Now()
	l.rejections = append(l.rejections, now)
	recent := 0
	for _, at := range l.rejections {
		if now.Sub(at) < time.Second {
			recent++
		}
	}
	if recent <= l.perSecond {
		return false, false
	}
	l.fallenAt, l.rejections = append(l.fallenAt, now.Sub(l.from).Round(time.Millisecond)), nil
	return false, true
}

// leave records the end of an admitted request.
func (l *brittleLog) leave(served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	if served && time.Now().After(l.settledAt) {
		l.served++
	}
}

// serveBrittle handles the room for a request and reports whether it may run.
func (e *engine) serveBrittle(w http.ResponseWriter) bool {
	if e.brittle.isBrittle() {
		w.Header().Set("Server-Brittle", "4")
		if e.brittle.perSecond == 2 {
			w.Header().Set("Server-Brittle", "2")
		}
	}
	admitted, falls := e.brittle.admit()
	if falls {
		e.end()
		panic(http.ErrAbortHandler)
	}
	if !admitted {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return admitted
}

// TestBrittleEndpoints guards against endpoints that fall over because the relays together send them more requests than they have
// room for: each relay took the free slots for its own.
func TestBrittleEndpoints(t *testing.T) {
	skipIfKnownRed(t)
	binary := buildRelay(t)
	for _, scenario := range []struct {
		name                            string
		relays, perSecond, places, lost int
	}{
		{name: "nothing may wait", perSecond: 4},
		{name: "two may wait", perSecond: 4, places: 2},
		{name: "four of ten are lost", perSecond: 4, lost: 4},
		{name: "nine relays", relays: 9, perSecond: 2},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			skipIfKnownRed(t)
			s := newRun(t, runOptions{
				seed: uint64(environmentInt("WIGEONSHIFT_SOAK_FIRST", 1)), binary: binary, relays: max(scenario.relays, limitRelays),
				limit: repeatLimit, engineSlots: brittleSlots,
			})
			for len(s.engines) < brittleEngines {
				s.addEngine()
			}
			startedAt := time.Now()
			for _, e := range s.engines {
				e.brittle = &brittleLog{
					perSecond: scenario.perSecond, from: startedAt.Add(brittleStart), places: 2, placesLater: scenario.places,
					settledAt: startedAt.Add(brittleStart + contactTime),
				}
			}
			s.runWithBrittle(t, scenario.lost, startedAt)
		})
	}
}

// runWithBrittle lets callers ask for twice what the endpoints can do, and checks that few of them fall over and that they are used.
func (s *soakRun) runWithBrittle(t *testing.T, lost int, startedAt time.Time) {
	stop, log := make(chan struct{}), &siblingLog{}
	var tasks sync.WaitGroup
	for i := range brittleCallers {
		c := &limitCaller{index: i, path: "/safe/", log: log,
			caller: caller{soak: s, random: rand.New(rand.NewPCG(uint64(i), s.seed)), stop: stop}}
		tasks.Go(c.run)
	}
	time.Sleep(brittleStart + contactTime + time.Second)
	for _, e := range s.engines[:lost] {
		e.withdraw(e.identity())
		e.proxy.shutDown()
	}
	time.Sleep(time.Until(startedAt.Add(brittleTime)))
	close(stop)
	tasks.Wait()
	served := 0
	var fallenAt []time.Duration
	for _, e := range s.engines {
		fallenAt = append(fallenAt, e.brittle.fallenAt...)
		served += e.brittle.served
	}
	seconds := (brittleTime - brittleStart - contactTime).Seconds()
	capacity := float64(brittleSlots*(brittleEngines-lost)) * seconds / (brittleRunTime + 20*time.Millisecond).Seconds()
	t.Logf("%d falls at %v, %d served, %.2f of what the endpoints can do", len(fallenAt), fallenAt, served, float64(served)/capacity)
	s.g.Expect(len(fallenAt)).To(BeNumerically("<=", 2+brittleEngines/10))
	s.g.Expect(float64(served)).To(BeNumerically(">=", minBrittleUse*capacity))
	s.g.Expect(s.violations).To(BeEmpty())
}
