package wigeonsoak_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// partRelays and partEngines are the fleet of the runs with parts of prompts that crash endpoints.
	partRelays  = 6
	partEngines = 10
	// partCallers is the number of callers that send sound requests, which share the first part of their prompts.
	partCallers = 6
	// contactTime is the time in which relays learn of what others have seen.
	contactTime = 3 * time.Second
	// partCrashes is the number of crashes of a part after which, contactTime later, at most maxLateArrivals more requests
	// with it may reach endpoints.
	partCrashes = 5
	// minPartServedShare is the share of the sound requests served before that must be served from twice contactTime after
	// these crashes on.
	minPartServedShare = 0.9
	// calmPartTime is the time before the first request that crashes endpoints, partRunTime the time of these requests.
	calmPartTime = 4 * time.Second
	partRunTime  = 20 * time.Second
	// sharedPart begins the prompts of all sound requests.
	sharedPart = "5c1e07a2"
)

// partLog records the requests with parts that crash endpoints.
type partLog struct {
	mu sync.Mutex
	// byPart holds what is known of each such part.
	byPart map[string]*partRecord
	// crashedAt holds the time of the latest crash of each endpoint.
	crashedAt map[*engine]time.Time
}

// partRecord holds the arrivals of requests with one part, and the times of the crashes under them.
type partRecord struct {
	arrivals []poisonArrival
	crashes  []time.Time
}

func newPartLog(parts ...string) *partLog {
	l := &partLog{byPart: map[string]*partRecord{}, crashedAt: map[*engine]time.Time{}}
	for _, part := range parts {
		l.byPart[part] = &partRecord{}
	}
	return l
}

// recordArrival records a request at an endpoint and returns the part of its prompt that crashes endpoints, if it has one.
func (l *partLog) recordArrival(r *http.Request) (part string) {
	entries := strings.Split(r.Header.Get("Prompt-Prefix"), ",")
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, entry := range entries[:len(entries)-1] {
		name, _, _ := strings.Cut(entry, ":")
		if record := l.byPart[name]; record != nil {
			inTouch := strings.HasSuffix(r.Header.Get("Request-Id"), inTouchSuffix)
			record.arrivals = append(record.arrivals, poisonArrival{at: time.Now(), inTouch: inTouch})
			return name
		}
	}
	return ""
}

// recordCrash records that an endpoint crashes, unless it is down already.
func (l *partLog) recordCrash(part string, e *engine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.crashedAt[e]) > endpointDowntime {
		l.crashedAt[e] = time.Now()
		l.byPart[part].crashes = append(l.byPart[part].crashes, time.Now())
	}
}

// stoppedAt returns the time of the crash from which the part must be stopped: the fifth, or the last if there are fewer.
func (r *partRecord) stoppedAt() time.Time {
	if len(r.crashes) == 0 {
		return time.Now()
	}
	return r.crashes[min(len(r.crashes), partCrashes)-1]
}

// lateArrivals returns the number of arrivals, sent by relays in touch, later than contactTime after the fifth crash.
func (r *partRecord) lateArrivals() int {
	late := 0
	for _, a := range r.arrivals {
		if len(r.crashes) >= partCrashes && a.inTouch && a.at.Sub(r.stoppedAt()) > contactTime {
			late++
		}
	}
	return late
}

// serveDeadlyPart crashes the endpoint if a request has a part that does so, before or after the first event of its answer.
func (e *engine) serveDeadlyPart(w http.ResponseWriter, r *http.Request) {
	if e.parts == nil {
		return
	}
	part := e.parts.recordArrival(r)
	if part == "" {
		time.Sleep(time.Duration(50+100*e.randomFloat()) * time.Millisecond)
		return
	}
	time.Sleep(time.Duration(20+80*e.randomFloat()) * time.Millisecond)
	if e.crashesAfterEvent {
		w.Header().Set("Server-Signature", e.identity())
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprintf(w, "id: 1\ndata: %s\n\n", r.Header.Get("Request-Id"))
		w.(http.Flusher).Flush()
		time.Sleep(20 * time.Millisecond)
	}
	e.parts.recordCrash(part, e)
	e.crash()
	panic(http.ErrAbortHandler)
}

// promptHeaders returns the header lines of a request whose prompt has the given parts, and one of its own at the end.
func promptHeaders(own string, parts ...string) string {
	entries := make([]string, 0, len(parts)+1)
	for _, part := range append(slices.Clone(parts), own) {
		entries = append(entries, part+":100")
	}
	return fmt.Sprintf("Token-Usage: %d,20\r\nPrompt-Prefix: %s\r\n", 100*len(entries), strings.Join(entries, ","))
}

// partScenario is a way in which requests with a part that crashes endpoints come.
type partScenario struct {
	name, path string
	// prompt returns the shared parts of the prompt of a request that crashes endpoints.
	prompt func(try int) []string
	// deadly are the parts that crash endpoints.
	deadly   []string
	interval time.Duration
	// silent makes the endpoints fall silent in place of ending, afterEvent makes them end after the first event.
	silent, afterEvent bool
	faults             func(s *soakRun)
}

// partCaller sends requests with parts that crash endpoints, no two alike, to any relay.
type partCaller struct {
	caller
	scenario partScenario
}

func (c *partCaller) run() {
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(c.scenario.interval):
		}
		go c.send(n)
	}
}

// send sends one request on a connection of its own and checks that a refusal, which promises that it did not run, is true.
func (c *partCaller) send(n int) {
	relay := c.soak.randomRelay(rand.New(rand.NewPCG(c.soak.seed, uint64(n))))
	id := fmt.Sprintf("%s%d", poisonIDPrefix, n)
	if c.soak.inTouch(relay) {
		id += inTouchSuffix
	}
	try := &caller{soak: c.soak, headers: promptHeaders(fmt.Sprintf("a%07x", n), c.scenario.prompt(n)...)}
	status, _, _, _ := try.roundTrip(c.scenario.path, id, fmt.Sprintf("prompt %d", n), relay)
	if try.conn != nil {
		try.closeConnection()
	}
	if status == http.StatusServiceUnavailable && c.soak.executions.count(id) > 0 {
		c.soak.reportViolation("%s: refused with a status that promises no execution, but executed", id)
	}
}

// soundPartCaller sends sound requests that share the first part of their prompts with those that crash endpoints.
type soundPartCaller struct {
	caller
	index int
	path  string
	log   *siblingLog
}

func (c *soundPartCaller) run() {
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		c.headers = promptHeaders(fmt.Sprintf("b%02x%05x", c.index, n), sharedPart, fmt.Sprintf("c%07x", n%7))
		id := fmt.Sprintf("sound-%d-%d", c.index, n)
		sentAt := time.Now()
		status, body, complete, _ := c.roundTrip(c.path, id, "sound prompt "+id, c.soak.randomRelay(c.random))
		c.log.record(siblingTry{sentAt: sentAt, served: status == http.StatusOK && complete && body != ""})
	}
}

func (s *soakRun) newSoundPartCaller(index int, path string, log *siblingLog, stop chan struct{}) *soundPartCaller {
	return &soundPartCaller{
		index: index, path: path, log: log,
		caller: caller{soak: s, random: rand.New(rand.NewPCG(uint64(index), 10)), stop: stop},
	}
}

// TestPoisonPart guards against a part of prompts that crashes every endpoint which begins to answer it, whatever else the
// requests hold: no two of them are alike, so that the crashes under them don't add up, and sound ones share the rest.
func TestPoisonPart(t *testing.T) {
	skipIfKnownRed(t)
	binary := buildRelay(t)
	const deadly, second = "dead0001", "dead0002"
	first := func(int) []string { return []string{deadly, sharedPart} }
	middle := func(int) []string { return []string{sharedPart, deadly} }
	anywhere := func(try int) []string {
		parts := []string{sharedPart, fmt.Sprintf("c%07x", try%7), fmt.Sprintf("d%07x", try)}
		return slices.Insert(parts, try%4, deadly)
	}
	usual := 150 * time.Millisecond
	for _, scenario := range []partScenario{
		{name: "first part", path: "/safe/", prompt: first},
		{name: "middle part, not repeatable", path: "/unsafe/", prompt: middle},
		{name: "any part, streams", path: "/stream/", prompt: anywhere},
		{name: "endpoints end after the first event", path: "/stream/", prompt: middle, afterEvent: true},
		{name: "endpoints fall silent", path: "/safe/", prompt: middle, silent: true},
		{name: "relays are killed", path: "/safe/", prompt: middle, faults: func(s *soakRun) {
			for _, p := range s.relays {
				s.restart(p, syscall.SIGKILL)
			}
		}},
		{name: "two parts", path: "/safe/", deadly: []string{deadly, second}, prompt: func(try int) []string {
			return []string{sharedPart, []string{deadly, second}[try%2]}
		}},
		{name: "seldom", path: "/safe/", prompt: middle, interval: 900 * time.Millisecond},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			skipIfKnownRed(t)
			t.Parallel()
			if scenario.interval == 0 {
				scenario.interval = usual
			}
			if scenario.deadly == nil {
				scenario.deadly = []string{deadly}
			}
			newPartRun(t, binary, scenario).runWithDeadlyPart(t, scenario)
		})
	}
}

func newPartRun(t *testing.T, binary string, scenario partScenario) *soakRun {
	s := newRun(t, runOptions{
		seed: uint64(environmentInt("WIGEONSHIFT_SOAK_FIRST", 1)), binary: binary,
		relays: environmentInt("WIGEONSHIFT_SOAK_RELAYS", partRelays), limit: repeatLimit,
	})
	for len(s.engines) < partEngines {
		s.addEngine()
	}
	log := newPartLog(scenario.deadly...)
	for _, e := range s.engines {
		e.parts, e.crashesAfterEvent = log, scenario.afterEvent
		if scenario.silent {
			e.crash = e.fallSilent
		}
	}
	return s
}

// runWithDeadlyPart sends sound requests and, after a while, requests that crash endpoints. It checks that these are stopped and
// that the others are served then.
func (s *soakRun) runWithDeadlyPart(t *testing.T, scenario partScenario) {
	stop, log := make(chan struct{}), &siblingLog{}
	var tasks sync.WaitGroup
	time.Sleep(contactTime)
	for i := range partCallers {
		tasks.Go(s.newSoundPartCaller(i, scenario.path, log, stop).run)
	}
	time.Sleep(calmPartTime)
	calmSent, calmServed := log.servedAfter(time.Time{})
	tasks.Go((&partCaller{caller: caller{soak: s, stop: stop}, scenario: scenario}).run)
	time.Sleep(partRunTime / 2)
	if scenario.faults != nil {
		scenario.faults(s)
	}
	time.Sleep(partRunTime / 2)
	close(stop)
	tasks.Wait()
	s.checkDeadlyParts(t, log, float64(calmServed)/float64(calmSent))
}

func (s *soakRun) checkDeadlyParts(t *testing.T, log *siblingLog, calmShare float64) {
	parts := s.engines[0].parts
	for part, record := range parts.byPart {
		sent, served := log.servedAfter(record.stoppedAt().Add(2 * contactTime))
		t.Logf("%s: %d arrivals, %d crashes, %d late; %.2f of the sound requests served before, then %d of %d", part,
			len(record.arrivals), len(record.crashes), record.lateArrivals(), calmShare, served, sent)
		s.g.Expect(len(record.crashes)).To(BeNumerically(">", 0))
		s.g.Expect(record.lateArrivals()).To(BeNumerically("<=", maxLateArrivals), "requests that crash endpoints")
		s.g.Expect(float64(served)).To(BeNumerically(">=", minPartServedShare*calmShare*float64(sent)), "sound requests")
	}
	s.g.Expect(s.violations).To(BeEmpty())
	s.checkOnlyPoisonRefused()
	s.checkQuarantineCommands(len(parts.byPart))
}

// checkQuarantineCommands checks that an operator sees one cause for each part, and that the relays follow when it is cleared.
func (s *soakRun) checkQuarantineCommands(causes int) {
	refused := s.refusedCauses()
	s.g.Expect(refused).To(HaveLen(causes))
	for _, cause := range refused {
		s.runQuarantine("clear", strings.Split(cause, ",")[0])
	}
	s.g.Expect(s.refusedCauses()).To(BeEmpty())
}

// refusedCauses returns the features of the causes that an operator sees as refused.
func (s *soakRun) refusedCauses() []string {
	var refused []string
	for line := range strings.Lines(s.runQuarantine("list")) {
		fields := strings.Split(line, "\t")
		if fields[0] == "cause" && fields[2] == "refused" {
			refused = append(refused, fields[1])
		}
	}
	return refused
}

// runQuarantine runs a quarantine command with the settings of a relay and returns its output.
func (s *soakRun) runQuarantine(arguments ...string) string {
	arguments = append(append([]string{"quarantine"}, arguments...), "--config", s.relays[0].settingsPath)
	out, err := exec.Command(s.binary, arguments...).CombinedOutput()
	s.g.Expect(err).NotTo(HaveOccurred(), string(out))
	return string(out)
}

// checkOnlyPoisonRefused checks in the logs of the relays that no sound request was refused for crashes.
func (s *soakRun) checkOnlyPoisonRefused() {
	for _, p := range s.relays {
		text, err := os.ReadFile(p.logFile.Name())
		s.g.Expect(err).NotTo(HaveOccurred())
		for line := range bytes.Lines(text) {
			if bytes.Contains(line, []byte(`"reason":"quarantined"`)) {
				s.g.Expect(string(line)).To(ContainSubstring(poisonIDPrefix), "an innocent request was refused")
			}
		}
	}
}
