package wigeonsoak_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeondispatch"

	. "github.com/onsi/gomega"
)

const (
	cutOffRelays  = 6
	cutOffEngines = 8
	// Relays are cut off from cutOffStart to cutOffEnd. cutOffRunTime is the length of a run.
	cutOffStart   = 3 * time.Second
	cutOffEnd     = 13 * time.Second
	cutOffRunTime = 18 * time.Second
	// cutOffCallers is the number of callers for each relay.
	cutOffCallers = 4
	// minServedByCutOff is the share of what the others serve that must be served by relays that are cut off, from contactTime
	// after the cut on.
	minServedByCutOff = 0.9
	// healTime is the time after the end of the cut from which on minServedAfterCut of the requests must be served.
	healTime          = 2 * time.Second
	minServedAfterCut = 0.99
)

// addOwnPaths makes paths to all endpoints for the next relay, and returns the address of a store whose rows name these.
func (s *soakRun) addOwnPaths(t *testing.T) string {
	paths := map[string]*proxy{}
	for _, e := range s.engines {
		paths[e.proxy.address()] = newProxy(e.server.Listener.Addr().String())
	}
	s.latestPaths = paths
	view := s.store.newView(func(r storeRow) storeRow {
		var row map[string]any
		if r.Table != "servers" || json.Unmarshal(r.Value, &row) != nil {
			return r
		}
		if address, ok := row["address"].(string); ok && paths[address] != nil {
			row["address"] = paths[address].address()
			r.Value, _ = json.Marshal(row)
		}
		return r
	})
	t.Cleanup(view.CloseClientConnections)
	return view.Listener.Addr().String()
}

// cutOffScenario is a partition between some relays and all endpoints.
type cutOffScenario struct {
	name, path string
	// relays is the number of relays, cutOffRelays if zero. The first cut of them are cut off, or if wholeGroup is set all that are in
	// the group of the first.
	relays, cut  int
	wholeGroup   bool
	hang, liveOn bool
	// sameBody gives all requests the same body, so that losses on one count against all.
	sameBody bool
	// runTime is how long each request runs in addition. With one beyond the callers' deadlines, only the promises are checked.
	runTime time.Duration
}

// tries counts first tries and those of them that were served.
type tries struct{ sent, served int }

func (n tries) share() float64 { return float64(n.served) / float64(max(n.sent, 1)) }

func (n tries) String() string { return fmt.Sprintf("%d of %d", n.served, n.sent) }

// cutOffCounts counts first tries by the kind of relay and the time.
type cutOffCounts struct {
	mu sync.Mutex
	// duringCut and afterCut hold the tries at relays that are cut off, duringOthers and afterOthers those at the others.
	duringCut, duringOthers, afterCut, afterOthers tries
	failures                                       map[int]int
}

// TestCutOffRelays guards against callers who aren't served because their relay reaches no endpoint, while others do.
func TestCutOffRelays(t *testing.T) {
	binary := buildRelay(t)
	for _, scenario := range []cutOffScenario{
		{name: "connections hang", path: "/safe/", cut: 2, hang: true},
		{name: "connections are reset", path: "/safe/", cut: 2},
		{name: "open connections live on", path: "/safe/", cut: 2, liveOn: true},
		{name: "not repeatable, hang", path: "/unsafe/", cut: 2, hang: true},
		{name: "not repeatable, longer than the deadline", path: "/unsafe/", cut: 2, runTime: 4 * time.Second},
		{name: "streams, reset", path: "/stream/", cut: 2},
		{name: "streams, hang", path: "/stream/", cut: 2, hang: true},
		{name: "three of six, reset", path: "/safe/", cut: 3},
		{name: "four of six, hang", path: "/safe/", cut: 4, hang: true},
		{name: "three of six, reset, all alike", path: "/safe/", cut: 3, sameBody: true, runTime: 300 * time.Millisecond},
		{name: "five of six, reset, not repeatable, all alike", path: "/unsafe/", cut: 5, sameBody: true, runTime: 300 * time.Millisecond},
		{name: "a whole group of fourteen, hang", path: "/safe/", relays: 14, wholeGroup: true, hang: true},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			skipIfKnownRed(t)
			t.Parallel()
			runCutOff(t, binary, scenario)
		})
	}
}

func runCutOff(t *testing.T, binary string, scenario cutOffScenario) {
	s := newRun(t, runOptions{
		seed: uint64(environmentInt("WIGEONSHIFT_SOAK_FIRST", 1)), binary: binary, relays: cmp.Or(scenario.relays, cutOffRelays), limit: repeatLimit,
		ownPaths: true, engines: cutOffEngines,
	})
	for _, e := range s.engines {
		e.runTime = scenario.runTime
	}
	counts, stop, startedAt := &cutOffCounts{failures: map[int]int{}}, make(chan struct{}), time.Now()
	cut := s.relaysToCut(scenario)
	var tasks sync.WaitGroup
	for i, p := range s.relays {
		for k := range cutOffCallers {
			c := &caller{soak: s, random: rand.New(rand.NewPCG(uint64(i*cutOffCallers+k), 7)), stop: stop}
			tasks.Go(func() {
				c.runFirstTries(scenario, p, func(sentAt time.Time, status int) {
					counts.record(sentAt.Sub(startedAt), slices.Contains(cut, p), status)
				})
			})
		}
	}
	time.Sleep(time.Until(startedAt.Add(cutOffStart)))
	eachPath(cut, func(p *proxy) { p.cutOff(scenario.hang, scenario.liveOn) })
	time.Sleep(time.Until(startedAt.Add(cutOffEnd)))
	eachPath(cut, func(p *proxy) { s.g.Expect(p.heal()).To(Succeed()) })
	time.Sleep(time.Until(startedAt.Add(cutOffRunTime)))
	close(stop)
	tasks.Wait()
	counts.check(t, s, scenario.runTime < contactTime)
}

// relaysToCut returns the relays that are cut off in a scenario.
func (s *soakRun) relaysToCut(scenario cutOffScenario) []*relayProcess {
	if !scenario.wholeGroup {
		return s.relays[:scenario.cut]
	}
	var instances []wigeonshift.Instance
	for _, p := range s.relays {
		instances = append(instances, wigeonshift.Instance{ID: p.name, Address: p.peerProxy.address(), Zone: "z"})
	}
	groups := wigeondispatch.NewGroups(instances)
	s.g.Expect(groups.Count()).To(BeNumerically(">", 1))
	var cut []*relayProcess
	for _, p := range s.relays {
		if groups.SameGroup(p.name, s.relays[0].name) {
			cut = append(cut, p)
		}
	}
	return cut
}

// eachPath calls f for all paths of relays to endpoints.
func eachPath(relays []*relayProcess, f func(p *proxy)) {
	for _, p := range relays {
		for _, path := range p.enginePaths {
			f(path)
		}
	}
}

// runFirstTries sends requests to one relay until stop is closed. None is sent again.
func (c *caller) runFirstTries(scenario cutOffScenario, p *relayProcess, record func(sentAt time.Time, status int)) {
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(20+c.random.IntN(60)) * time.Millisecond):
		}
		sentAt := time.Now()
		if !scenario.sameBody {
			record(sentAt, c.request(scenario.path, p))
			continue
		}
		id := fmt.Sprintf("same-%d-%d", c.random.Uint64(), n)
		status, _, _, _ := c.roundTrip(fmt.Sprintf("%s?item=%s", scenario.path, id), id, "the body of all requests, some of which share a query", p)
		record(sentAt, status)
	}
}

func (n *cutOffCounts) record(at time.Duration, cut bool, status int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var counted *tries
	switch {
	case at > cutOffStart+contactTime && at < cutOffEnd && cut:
		counted = &n.duringCut
	case at > cutOffStart+contactTime && at < cutOffEnd:
		counted = &n.duringOthers
	case at > cutOffEnd+healTime && cut:
		counted = &n.afterCut
	case at > cutOffEnd+healTime:
		counted = &n.afterOthers
	default:
		return
	}
	counted.sent++
	if status == http.StatusOK {
		counted.served++
	} else {
		n.failures[status]++
	}
}

func (n *cutOffCounts) check(t *testing.T, s *soakRun, inTime bool) {
	t.Logf("during the cut: %v, others %v; after it: %v, others %v; failures by status %v; %.300q", n.duringCut, n.duringOthers,
		n.afterCut, n.afterOthers, n.failures, s.violations)
	s.g.Expect(n.duringCut.sent).To(BeNumerically(">", 0))
	s.g.Expect(s.violations).To(BeEmpty())
	if !inTime {
		return
	}
	s.g.Expect(n.duringCut.share()).To(BeNumerically(">=", minServedByCutOff*n.duringOthers.share()), "relays that are cut off")
	s.g.Expect(n.duringOthers.share()).To(BeNumerically(">=", minServedAfterCut), "the others")
	s.g.Expect(n.afterCut.share()).To(BeNumerically(">=", minServedAfterCut), "after the cut")
}
