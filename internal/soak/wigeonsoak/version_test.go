package wigeonsoak_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// versionApplyTime is the time after the store's acknowledgement from which on a version must be in force.
	versionApplyTime = 2 * time.Second
	// keptVersions is the number of latest versions whose routes a version has.
	keptVersions = 40
	// probeInterval is the time between two requests of a prober.
	probeInterval = 50 * time.Millisecond
	// versionRunTime is the length of a run.
	versionRunTime = 31 * time.Second
	// minProbesServed is the share of the probes that must be answered by an endpoint.
	minProbesServed = 0.99
)

// disturbanceTimes are the times since the start of a run at which its disturbance begins.
var disturbanceTimes = []time.Duration{4 * time.Second, 13 * time.Second, 22 * time.Second}

// versionLog records when the store acknowledged each version, and what probers found.
type versionLog struct {
	// otherRoutes are in each version and get no requests.
	otherRoutes []map[string]any

	mu sync.Mutex
	// acknowledgedAt holds the time of version n+1 at index n.
	acknowledgedAt []time.Time
	// judgeFrom is the time from which on probes count again after the latest disturbance.
	judgeFrom time.Time
	// asked counts the probes that are judged, late those that were handled by an older version than they must be, back those
	// that were handled by an older version than an earlier probe at the relay, unserved those without an endpoint's answer.
	asked, late, back, unserved int
	// oldest is the longest time since the acknowledgement of a version that was not in force.
	oldest time.Duration
	// findings describe the first late or unserved probes.
	findings []string
}

// due returns the newest version that must be in force, and its age.
func (l *versionLog) due(at time.Time) (version int, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for n, acknowledged := range slices.Backward(l.acknowledgedAt) {
		if age := at.Sub(acknowledged); age > versionApplyTime {
			return n + 1, age
		}
	}
	return 0, 0
}

// maxFindings limits the findings of a run.
const maxFindings = 12

func (l *versionLog) note(format string, args ...any) {
	if len(l.findings) < maxFindings {
		l.findings = append(l.findings, fmt.Sprintf(format, args...))
	}
}

// versionProbe is one probe and its answer.
type versionProbe struct {
	relay   *relayProcess
	sentAt  time.Time
	version int
	age     time.Duration
	status  int
	// seen is the newest version of which the relay has shown the effect before.
	seen int
}

func (l *versionLog) record(p versionProbe) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.status == http.StatusNotFound && p.version <= p.seen {
		l.back++
	}
	if p.sentAt.Before(l.judgeFrom) || !p.relay.undisruptedFor(contactTime+time.Since(p.sentAt)) {
		return
	}
	l.asked++
	switch p.status {
	case http.StatusOK:
	case http.StatusNotFound:
		l.late++
		l.oldest = max(l.oldest, p.age)
		l.note("%s: %s has no version %d of %v before", p.sentAt.Format(time.TimeOnly+".000"), p.relay.name, p.version, p.age.Round(time.Millisecond))
	default:
		l.unserved++
		l.note("%s: %s answered %d", p.sentAt.Format(time.TimeOnly+".000"), p.relay.name, p.status)
	}
}

// versionProber asks one relay again and again for the newest version that must be in force.
type versionProber struct {
	caller
	log  *versionLog
	to   *relayProcess
	seen int
}

func (c *versionProber) run() {
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(probeInterval):
		}
		probe := versionProbe{relay: c.to, sentAt: time.Now(), seen: c.seen}
		if !c.to.undisruptedFor(0) {
			c.seen = 0
			continue
		}
		if probe.version, probe.age = c.log.due(probe.sentAt); probe.version == 0 {
			continue
		}
		id := fmt.Sprintf("version-%s-%d", c.to.name, n)
		probe.status, _, _, _ = c.roundTrip(fmt.Sprintf("/v%d/", probe.version), id, "body of "+id, c.to)
		c.log.record(probe)
		if probe.status == http.StatusOK {
			c.seen = max(c.seen, probe.version)
		}
	}
}

// putVersion writes the next version, which has the routes of the versions before it.
func (l *versionLog) putVersion(s *soakRun) {
	l.mu.Lock()
	version := len(l.acknowledgedAt) + 1
	l.mu.Unlock()
	routes := slices.Clone(l.otherRoutes)
	for n := max(version-keptVersions, 1); n <= version; n++ {
		routes = append(routes, s.newVersionRoute(fmt.Sprint("v", n)))
	}
	s.store.put("op", "config", map[string]any{
		// Versions increase in uneven steps and are above those of the start.
		"version": 10 + 3*version, "routes": routes, "services": []map[string]any{{"name": "s"}},
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acknowledgedAt = append(l.acknowledgedAt, time.Now())
}

// newVersionRoute returns a route for the paths below its name.
func (s *soakRun) newVersionRoute(name string) map[string]any {
	return map[string]any{
		"name": name, "host": "h", "prefix": "/" + name + "/", "kind": "idempotent",
		"timeout_ms": s.timeoutMillis, "target_latency_ms": 500, "service": "s", "max_attempts": 2,
	}
}

// newOtherRoutes returns routes that get no requests.
func (s *soakRun) newOtherRoutes(count int) []map[string]any {
	var routes []map[string]any
	for n := range count {
		routes = append(routes, s.newVersionRoute(fmt.Sprint("other", n)))
	}
	return routes
}

// versionScenario is a disturbance while the configuration changes.
type versionScenario struct {
	name   string
	relays int
	// otherRoutes is the number of routes that each version has in addition to those of the latest versions.
	otherRoutes int
	// disturb makes the disturbance and returns at its end.
	disturb func(s *soakRun)
}

// silence makes all open connections of relays silent: those to the store, to other relays, or both.
func silence(relays []*relayProcess, store, peers bool) {
	for _, p := range relays {
		if store {
			p.storeProxy.silenceOpen()
		}
		if peers {
			p.peerProxy.silenceOpen()
		}
	}
}

// silenceAll makes all open connections of all relays silent.
func silenceAll(s *soakRun) { silence(s.relays, true, true) }

// resetConnections resets all open connections of relays to the store and to other relays.
func resetConnections(relays []*relayProcess) {
	for _, p := range relays {
		for _, x := range []*proxy{p.storeProxy, p.peerProxy} {
			x.setMode(modeReset)
			x.setMode(modeForward)
		}
	}
}

// TestConfigurationInTime guards against versions that come into force late, or are replaced by older ones, because a relay waits
// on a connection that has fallen silent.
func TestConfigurationInTime(t *testing.T) {
	binary := buildRelay(t)
	for _, scenario := range []versionScenario{
		{name: "calm", disturb: func(*soakRun) {}},
		{name: "all silent", disturb: silenceAll},
		{name: "all silent, three relays", relays: 3, disturb: silenceAll},
		{name: "all silent, six relays", relays: 6, disturb: silenceAll},
		{name: "six of nine silent", disturb: func(s *soakRun) { silence(s.relays[:6], true, true) }},
		{name: "store silent", disturb: func(s *soakRun) { silence(s.relays, true, false) }},
		{name: "peers silent", disturb: func(s *soakRun) { silence(s.relays, false, true) }},
		{name: "four paused", disturb: func(s *soakRun) { pause(s.relays[:4], 3*time.Second) }},
		{name: "store away", disturb: func(s *soakRun) {
			s.store.setFault(true, 0)
			time.Sleep(3 * time.Second)
			s.store.setFault(false, 0)
		}},
		{name: "one cut from the store", disturb: func(s *soakRun) { stall(s.relays[:1], true, false) }},
		{name: "one cut from the others", disturb: func(s *soakRun) { stall(s.relays[:1], false, true) }},
		{name: "one silent and cut from the others", disturb: func(s *soakRun) {
			silence(s.relays[:1], true, true)
			stall(s.relays[:1], false, true)
		}},
		{name: "history dropped after a stall", disturb: func(s *soakRun) {
			stall(s.relays, true, false)
			s.store.dropHistory()
		}},
		{name: "all killed", disturb: func(s *soakRun) { s.restartAll(syscall.SIGKILL) }},
		{name: "three stopped in turn", disturb: func(s *soakRun) {
			for _, p := range s.relays[:3] {
				s.restart(p, syscall.SIGTERM)
			}
		}},
		{name: "all silent after a pause of half", disturb: func(s *soakRun) {
			pause(s.relays[:4], 2*time.Second)
			silenceAll(s)
		}},
		{name: "all reset", disturb: func(s *soakRun) { resetConnections(s.relays) }},
		{name: "reset again and again", disturb: func(s *soakRun) {
			for range 5 {
				resetConnections(s.relays)
				time.Sleep(400 * time.Millisecond)
			}
		}},
		{name: "store silent, others reset, then silent", disturb: func(s *soakRun) {
			silence(s.relays, true, false)
			for _, p := range s.relays {
				p.peerProxy.setMode(modeReset)
				p.peerProxy.setMode(modeForward)
			}
			time.Sleep(time.Second)
			silenceAll(s)
		}},
		{name: "silent three times in three seconds", disturb: func(s *soakRun) {
			for range 3 {
				silenceAll(s)
				time.Sleep(time.Second)
			}
		}},
		{name: "all silent, two thousand routes", otherRoutes: 2000, disturb: silenceAll},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			skipIfKnownRed(t)
			t.Parallel()
			runWithVersions(t, binary, scenario)
		})
	}
}

// TestConfigurationInTimeOfManyRelays does the same for more relays. It doesn't run beside the other cases, as each relay is a
// process.
func TestConfigurationInTimeOfManyRelays(t *testing.T) {
	skipIfKnownRed(t)
	runWithVersions(t, buildRelay(t), versionScenario{relays: environmentInt("WIGEONSHIFT_SOAK_MANY_RELAYS", 30), disturb: silenceAll})
}

// pause suspends relays for a time.
func pause(relays []*relayProcess, d time.Duration) {
	for _, p := range relays {
		p.signal(syscall.SIGSTOP)
	}
	time.Sleep(d)
	for _, p := range relays {
		p.signal(syscall.SIGCONT)
	}
}

// stallTime is the time for which stall holds back all data.
const stallTime = 3 * time.Second

// stall holds back all data to and from relays for a time: to the store, from other relays, or both.
func stall(relays []*relayProcess, store, peers bool) {
	set := func(m proxyMode) {
		for _, p := range relays {
			if store {
				p.storeProxy.setMode(m)
			}
			if peers {
				p.peerProxy.setMode(m)
			}
		}
	}
	set(modeStall)
	time.Sleep(stallTime)
	set(modeForward)
}

// restartAll ends all relays at once with a signal and starts them again.
func (s *soakRun) restartAll(sig syscall.Signal) {
	var tasks sync.WaitGroup
	for _, p := range s.relays {
		tasks.Go(func() { s.restart(p, sig) })
	}
	tasks.Wait()
}

// runWithVersions writes versions, makes the disturbance three times, and checks what probers at all relays found.
func runWithVersions(t *testing.T, binary string, scenario versionScenario) {
	s := newRun(t, runOptions{
		seed: uint64(environmentInt("WIGEONSHIFT_SOAK_FIRST", 1)), binary: binary, relays: cmp.Or(scenario.relays, 9), limit: repeatLimit,
	})
	log, stop, startedAt := &versionLog{otherRoutes: s.newOtherRoutes(scenario.otherRoutes)}, make(chan struct{}), time.Now()
	var tasks sync.WaitGroup
	tasks.Go(func() { log.writeVersions(s, stop) })
	for _, p := range s.relays {
		c := &versionProber{log: log, to: p, caller: caller{soak: s, stop: stop}}
		tasks.Go(c.run)
	}
	for _, at := range disturbanceTimes {
		time.Sleep(time.Until(startedAt.Add(at)))
		log.disturb(s, scenario.disturb)
	}
	time.Sleep(time.Until(startedAt.Add(versionRunTime)))
	close(stop)
	tasks.Wait()
	log.check(t, s)
}

// writeVersions writes a version each 0.4 to 1 s until stop is closed.
func (l *versionLog) writeVersions(s *soakRun, stop <-chan struct{}) {
	random := rand.New(rand.NewPCG(s.seed, 11))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(400+random.IntN(600)) * time.Millisecond):
			l.putVersion(s)
		}
	}
}

// disturb makes a disturbance. Probes from its begin until contactTime after its end are not judged.
func (l *versionLog) disturb(s *soakRun, disturb func(s *soakRun)) {
	l.setJudgeFrom(time.Now().Add(versionRunTime))
	disturb(s)
	l.setJudgeFrom(time.Now().Add(contactTime))
}

func (l *versionLog) setJudgeFrom(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.judgeFrom = at
}

func (l *versionLog) check(t *testing.T, s *soakRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.Logf("%d versions, %d relays: %d late of %d, oldest %v, %d back, %d unserved %q", len(l.acknowledgedAt), len(s.relays), l.late, l.asked,
		l.oldest.Round(time.Millisecond), l.back, l.unserved, l.findings)
	s.g.Expect(l.asked).To(BeNumerically(">", 0))
	s.g.Expect(l.late).To(BeZero(), "probes that were handled by a version older than due")
	s.g.Expect(l.back).To(BeZero(), "probes that were handled by a version older than one in force before")
	s.g.Expect(float64(l.unserved)).To(BeNumerically("<=", (1-minProbesServed)*float64(l.asked)), "probes without an endpoint's answer")
	s.g.Expect(s.violations).To(BeEmpty())
}
