package wigeonsoak_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"wigeonshift/internal/soak/wigeonwindow"

	. "github.com/onsi/gomega"
)

// repeatLimit is the limit on repeats of the users' deployment inrap-lofts, largeRepeatLimit that of apme-lima.
var (
	repeatLimit      = wigeonwindow.RepeatLimit{Window: 10 * time.Second, Ratio: 0.2, Slack: 52}
	largeRepeatLimit = wigeonwindow.RepeatLimit{Window: 10 * time.Second, Ratio: 0.2, Slack: 58}
)

// repeatLog records when callers send requests and when endpoints receive a request again.
type repeatLog struct {
	limit     wigeonwindow.RepeatLimit
	startedAt time.Time

	mu      sync.Mutex
	arrived map[string]bool
	record  wigeonwindow.Record
}

func newRepeatLog(limit wigeonwindow.RepeatLimit) *repeatLog {
	return &repeatLog{limit: limit, startedAt: time.Now(), arrived: map[string]bool{}}
}

func (l *repeatLog) recordRequest() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record.Requests = append(l.record.Requests, time.Since(l.startedAt))
}

// recordArrival records a request that an endpoint received. Only the first arrival of a request is no repeat.
func (l *repeatLog) recordArrival(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.arrived[id] {
		l.record.Repeats = append(l.record.Repeats, time.Since(l.startedAt))
	}
	l.arrived[id] = true
}

// sorted returns a copy of what was recorded so far.
func (l *repeatLog) sorted() wigeonwindow.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := wigeonwindow.Record{
		Requests: append([]time.Duration(nil), l.record.Requests...), Repeats: append([]time.Duration(nil), l.record.Repeats...),
	}
	r.Sort()
	return r
}

// checkRepeats checks that the relays together kept the limit on repeats in every window.
func (s *soakRun) checkRepeats(t *testing.T) {
	record := s.repeats.sorted()
	worst := s.repeats.limit.Worst(record)
	t.Logf("%d requests, %d repeats; worst window from %v: %d repeats, %.1f allowed",
		len(record.Requests), len(record.Repeats), worst.Start, worst.Repeats, worst.Limit)
	s.g.Expect(worst.Exceeded()).To(BeFalse(), "%+v", worst)
}

// rejectedIDPrefix begins the ID of requests that every endpoint rejects.
const rejectedIDPrefix = "rejected-"

// runRejected sends requests that every endpoint rejects, so that more repeats are wanted than the limit allows.
func (c *caller) runRejected() {
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(c.random.Int64N(int64(rejectedInterval)))):
		}
		id := fmt.Sprintf("%s%d", rejectedIDPrefix, n)
		c.roundTrip("/safe/", id, "body of "+id, c.soak.randomRelay(c.random))
	}
}

// rejectedInterval is the longest time between two requests of runRejected.
const rejectedInterval = 40 * time.Millisecond

// repeatScenario is a load that wants more repeats than the limit allows, and faults of the relays beside it.
type repeatScenario struct {
	name   string
	seed   uint64
	relays int
	limit  wigeonwindow.RepeatLimit
	// endpoints makes the endpoints fail requests, faults disrupts the relays; both return when stop is closed.
	endpoints, faults func(r *repeatRun)
	// minUse is the smallest part of the limit that has to be used, after the first two windows.
	minUse float64
}

// repeatRun is one run of a repeatScenario.
type repeatRun struct {
	*soakRun
	t      *testing.T
	random *rand.Rand
	stop   chan struct{}
}

const (
	// repeatCallers send repeatRequestsPerSecond requests a second together.
	repeatCallers           = 19
	repeatRequestsPerSecond = 38
	repeatDuration          = 36 * time.Second
	// calmUse is the part of the limit that calm instances have to use if more repeats are wanted.
	calmUse = 0.85
)

// wait waits for d and reports whether the run goes on.
func (r *repeatRun) wait(d time.Duration) bool {
	select {
	case <-r.stop:
		return false
	case <-time.After(d):
		return true
	}
}

// waitRandom waits for a random time between from and to and reports whether the run goes on.
func (r *repeatRun) waitRandom(from, to time.Duration) bool {
	return r.wait(from + time.Duration(r.random.Int64N(int64(to-from))))
}

func (r *repeatRun) setEngineFaults(kind faultKind, ratio float64) {
	for _, e := range r.engines {
		e.setFault(kind, ratio)
	}
}

// rejectAll makes the endpoints reject all requests.
func rejectAll(r *repeatRun) { r.setEngineFaults(faultReject, 1) }

// loseInPulses makes the endpoints lose the answers to most requests for a second or two from time to time.
func loseInPulses(r *repeatRun) {
	for {
		r.setEngineFaults(faultLose, 0.7)
		if !r.waitRandom(2*time.Second, 4*time.Second) {
			return
		}
		r.setEngineFaults(faultLose, 0)
		if !r.waitRandom(2*time.Second, 4*time.Second) {
			return
		}
	}
}

// rejectInPulses makes the endpoints reject all requests for some seconds, after a pause in which the whole limit becomes
// free again.
func rejectInPulses(r *repeatRun) {
	for r.waitRandom(9*time.Second, 11*time.Second) {
		rejectAll(r)
		if !r.waitRandom(6*time.Second, 10*time.Second) {
			return
		}
		r.setEngineFaults(faultReject, 0)
	}
}

func noFaults(*repeatRun) {}

// killInTurn kills one relay after the other and starts it again.
func killInTurn(r *repeatRun) {
	for i := 0; r.wait(2 * time.Second); i++ {
		r.restart(r.relays[i%len(r.relays)], syscall.SIGKILL)
	}
}

// killAllInPulses kills all relays together and starts them again, after they have used the limit in a pulse of
// rejections, which goes on.
func killAllInPulses(r *repeatRun) {
	for r.waitRandom(10*time.Second, 11*time.Second) {
		rejectAll(r)
		r.waitRandom(2*time.Second, 4*time.Second)
		var restarts sync.WaitGroup
		for _, p := range r.relays {
			restarts.Go(func() { r.restart(p, syscall.SIGKILL) })
		}
		restarts.Wait()
		r.waitRandom(7*time.Second, 8*time.Second)
		r.setEngineFaults(faultReject, 0)
	}
}

// killOneByOneInPulses kills one relay after the other and starts it again, after they have used the limit in a pulse of
// rejections, which goes on.
func killOneByOneInPulses(r *repeatRun) {
	for r.waitRandom(10*time.Second, 11*time.Second) {
		rejectAll(r)
		r.waitRandom(2*time.Second, 3*time.Second)
		for _, p := range r.relays {
			r.restart(p, syscall.SIGKILL)
			r.wait(200 * time.Millisecond)
		}
		r.waitRandom(5*time.Second, 7*time.Second)
		r.setEngineFaults(faultReject, 0)
	}
}

// freeze pauses random relays for some seconds.
func freeze(r *repeatRun) {
	for r.waitRandom(500*time.Millisecond, 2*time.Second) {
		p := r.randomRelay(r.random)
		p.signal(syscall.SIGSTOP)
		r.waitRandom(500*time.Millisecond, 4*time.Second)
		p.signal(syscall.SIGCONT)
	}
}

// join adds relays one after the other.
func join(r *repeatRun) {
	for range 4 {
		if !r.waitRandom(2*time.Second, 6*time.Second) {
			return
		}
		r.addRelay(r.t)
	}
}

// cutOff cuts random relays off from the store, kills others and returns the store from an older copy.
func cutOff(r *repeatRun) {
	for r.waitRandom(time.Second, 3*time.Second) {
		p := r.randomRelay(r.random)
		p.storeProxy.setMode(modeStall)
		r.waitRandom(time.Second, 4*time.Second)
		r.restart(r.randomRelay(r.random), syscall.SIGKILL)
		r.store.restore(time.Duration(r.random.IntN(6000)) * time.Millisecond)
		p.storeProxy.setMode(modeForward)
	}
}

// TestRepeatsBeyondBudget guards against repeats beyond the limit of all relays together in some sliding window, counted
// at the endpoints: with coarse windows, after restarts, and with relays that join, freeze or are cut off.
func TestRepeatsBeyondBudget(t *testing.T) {
	binary := buildRelay(t)
	for _, sc := range []repeatScenario{
		{name: "pulses of loss", seed: 1, relays: 3, limit: repeatLimit, endpoints: loseInPulses, faults: noFaults},
		{name: "rejections", seed: 2, relays: 3, limit: repeatLimit, endpoints: rejectAll, faults: noFaults, minUse: calmUse},
		{name: "nine relays and rejections", seed: 3, relays: 9, limit: largeRepeatLimit, endpoints: rejectAll, faults: noFaults, minUse: calmUse},
		{name: "a relay is killed every 2 s", seed: 4, relays: 3, limit: repeatLimit, endpoints: rejectInPulses, faults: killInTurn},
		{name: "all relays are killed", seed: 5, relays: 3, limit: repeatLimit, endpoints: noFaults, faults: killAllInPulses},
		{name: "nine relays are killed one by one", seed: 6, relays: 9, limit: largeRepeatLimit, endpoints: noFaults, faults: killOneByOneInPulses},
		{name: "relays freeze", seed: 7, relays: 3, limit: repeatLimit, endpoints: rejectAll, faults: freeze},
		{name: "relays join", seed: 8, relays: 2, limit: repeatLimit, endpoints: rejectInPulses, faults: join},
		{name: "relays are cut off from the store", seed: 9, relays: 3, limit: repeatLimit, endpoints: rejectInPulses, faults: cutOff},
	} {
		t.Run(sc.name, func(t *testing.T) {
			skipIfKnownRed(t)
			t.Parallel()
			sc.run(t, binary)
		})
	}
}

func (sc repeatScenario) run(t *testing.T, binary string) {
	s := newRun(t, runOptions{seed: sc.seed, binary: binary, relays: sc.relays, limit: sc.limit})
	r := &repeatRun{soakRun: s, t: t, random: rand.New(rand.NewPCG(sc.seed, 5)), stop: make(chan struct{})}
	var tasks sync.WaitGroup
	for i := range repeatCallers {
		c := &caller{soak: s, random: rand.New(rand.NewPCG(uint64(i), 6)), stop: r.stop}
		tasks.Go(c.runPaced)
	}
	tasks.Go(func() { sc.endpoints(r) })
	tasks.Go(func() { sc.faults(r) })
	time.Sleep(repeatDuration)
	close(r.stop)
	tasks.Wait()
	s.checkRepeats(t)
	s.g.Expect(s.violations).To(BeEmpty())
	end := time.Since(s.repeats.startedAt)
	use := s.repeats.limit.Use(s.repeats.sorted(), 2*s.repeats.limit.Window, end)
	t.Logf("mean use of the limit after two windows: %.0f %%", 100*use)
	s.g.Expect(use).To(BeNumerically(">=", sc.minUse))
}

// runPaced sends requests that may be repeated, each to a random relay, at the caller's share of
// repeatRequestsPerSecond.
func (c *caller) runPaced() {
	const interval = repeatCallers * time.Second / repeatRequestsPerSecond
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(interval/2 + time.Duration(c.random.Int64N(int64(interval)))):
		}
		c.request("/safe/", c.soak.randomRelay(c.random))
	}
}
