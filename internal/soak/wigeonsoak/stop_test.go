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

// stopScenario is a planned stop of one of three relays.
type stopScenario struct {
	name, path string
	// runTime is how long each request runs.
	runTime time.Duration
	callers int
	// bodyPause is the pause in the middle of a request's body.
	bodyPause time.Duration
	// rejectRatio is the share of the requests that endpoints reject.
	rejectRatio float64
}

const (
	// stopSignalAt is the time of the signal, stopRunTime the length of a run.
	stopSignalAt = time.Second
	stopRunTime  = 9 * time.Second
	// stopNotice is the time after the signal for which a relay takes requests.
	stopNotice = 1500 * time.Millisecond
)

// stopLog counts the answers of the relay that stops.
type stopLog struct {
	mu sync.Mutex
	// byStatus counts the answers by status, 0 for none.
	byStatus map[int]int
	// cut holds the IDs of requests that an endpoint got and that weren't answered.
	cut []string
}

// stopCaller sends requests to one relay until it refuses connections, and keeps using a connection that the relay wants closed.
type stopCaller struct {
	caller
	scenario *stopScenario
	log      *stopLog
	index    int
	to       *relayProcess
}

func (c *stopCaller) run() {
	// The first requests come at all times until after the relay refuses new ones.
	time.Sleep(time.Duration(c.random.Int64N(int64(stopSignalAt + stopNotice + stopNotice/4))))
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(20+c.random.IntN(60)) * time.Millisecond):
		}
		id := fmt.Sprintf("stop-%d-%d", c.index, n)
		status, _, complete, _ := c.roundTrip(c.scenario.path, id, "body of "+id, c.to)
		c.check(id, status, complete)
	}
}

func (c *stopCaller) check(id string, status int, complete bool) {
	executed := c.soak.executions.count(id)
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	c.log.byStatus[status]++
	switch {
	case status == 0 && executed > 0 || status != 0 && !complete:
		c.log.cut = append(c.log.cut, id)
	case status == http.StatusServiceUnavailable && executed > 0:
		c.soak.reportViolation("%s: refused with a status that promises no execution, but executed", id)
	case executed > 1 && c.scenario.path == "/unsafe/":
		c.soak.reportViolation("%s: executed %d times, but must not be repeated", id, executed)
	}
}

// TestPlannedStop guards against requests that are taken or sent on so late in a planned stop that its end cuts them without an
// answer.
func TestPlannedStop(t *testing.T) {
	binary := buildRelay(t)
	for _, scenario := range []stopScenario{
		{name: "short work", path: "/unsafe/", runTime: 400 * time.Millisecond, callers: 40},
		{name: "work that ends just before the end", path: "/unsafe/", runTime: 2800 * time.Millisecond, callers: 32},
		{name: "work that ends after the end", path: "/unsafe/", runTime: 3300 * time.Millisecond, callers: 32},
		{name: "requests that wait", path: "/unsafe/", runTime: 1200 * time.Millisecond, callers: 90},
		{name: "requests that wait and may be repeated", path: "/safe/", runTime: 1200 * time.Millisecond, callers: 90},
		{name: "endpoints reject", path: "/unsafe/", runTime: 1500 * time.Millisecond, callers: 40, rejectRatio: 0.5},
		{name: "slow bodies", path: "/unsafe/", runTime: 300 * time.Millisecond, callers: 60, bodyPause: 1200 * time.Millisecond},
		{name: "streams", path: "/stream/", callers: 60},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			skipIfKnownRed(t)
			t.Parallel()
			runPlannedStop(t, binary, &scenario)
		})
	}
}

func runPlannedStop(t *testing.T, binary string, scenario *stopScenario) {
	s := newSoakRun(t, 1, binary)
	for _, e := range s.engines {
		e.runTime = scenario.runTime
		e.setFault(faultReject, scenario.rejectRatio)
	}
	stop, log := make(chan struct{}), &stopLog{byStatus: map[int]int{}}
	signalAt := time.Now().Add(stopSignalAt)
	var tasks sync.WaitGroup
	for i := range scenario.callers {
		c := &stopCaller{
			scenario: scenario, log: log, index: i, to: s.relays[0],
			caller: caller{
				soak: s, random: rand.New(rand.NewPCG(uint64(i), 5)), stop: stop, bodyPause: scenario.bodyPause, keepsConnection: true,
			},
		}
		tasks.Go(c.run)
	}
	time.Sleep(time.Until(signalAt))
	s.relays[0].signal(syscall.SIGTERM)
	select {
	case <-s.relays[0].exitChannel():
	case <-time.After(stopRunTime):
		t.Error("the relay didn't stop in time")
	}
	close(stop)
	tasks.Wait()
	t.Logf("answers by status %v, cut %d %.200q", log.byStatus, len(log.cut), log.cut)
	s.g.Expect(log.cut).To(BeEmpty(), "requests that an endpoint got and whose connection was closed without a whole answer")
	s.g.Expect(s.violations).To(BeEmpty())
	s.g.Expect(log.byStatus[http.StatusOK]).To(BeNumerically(">", 0))
}
