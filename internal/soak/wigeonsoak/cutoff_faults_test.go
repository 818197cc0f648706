package wigeonsoak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestCutOffsAmongFaults cuts random relays off from all endpoints while relays are restarted, paused, lose the store or each other, and
// endpoints fail. It checks what callers are promised throughout, and that all are served afterwards.
func TestCutOffsAmongFaults(t *testing.T) {
	seeds, seconds := environmentInt("WIGEONSHIFT_SOAK_SEEDS", 2), environmentInt("WIGEONSHIFT_SOAK_SECONDS", 6)
	first := environmentInt("WIGEONSHIFT_SOAK_FIRST", 2)
	binary := buildRelay(t)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			skipIfKnownRed(t)
			s := newRun(t, runOptions{
				seed: uint64(seed), binary: binary, relays: relayCount(uint64(seed)), limit: repeatLimit, ownPaths: true, engines: cutOffEngines,
			})
			s.runWithCutOffs(time.Duration(seconds) * time.Second)
			s.checkAfterCutOffs(t)
		})
	}
}

// runWithCutOffs sends requests, cuts relays off and injects other faults for a duration, and then waits until all have ended.
func (s *soakRun) runWithCutOffs(duration time.Duration) {
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	for i := range callerCount {
		c := &caller{soak: s, random: rand.New(rand.NewPCG(uint64(i), s.random.Uint64())), stop: stop}
		tasks.Go(c.run)
	}
	// The two halves of the fleet are cut off at times of their own, which may overlap.
	half := len(s.relays) / 2
	for i, relays := range [][]*relayProcess{s.relays[:half], s.relays[half:]} {
		random := rand.New(rand.NewPCG(s.seed, uint64(19+i)))
		tasks.Go(func() { s.runCutOffs(relays, random, stop) })
	}
	for end := time.Now().Add(duration); time.Now().Before(end); {
		fault, name := s.randomRelayFault()
		s.countFault(name)
		tasks.Go(fault)
		time.Sleep(time.Duration(200+s.random.IntN(1500)) * time.Millisecond)
	}
	close(stop)
	tasks.Wait()
}

// runCutOffs cuts some of the relays off from all endpoints at random times until stop is closed.
func (s *soakRun) runCutOffs(relays []*relayProcess, random *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(200+random.IntN(2500)) * time.Millisecond):
		}
		cut := relays[:1+random.IntN(len(relays))]
		hang, liveOn := random.IntN(2) == 0, random.IntN(2) == 0
		s.countFault("cutOff")
		eachPath(cut, func(p *proxy) { p.cutOff(hang, liveOn) })
		time.Sleep(time.Duration(500+random.IntN(5000)) * time.Millisecond)
		eachPath(cut, func(p *proxy) {
			if err := p.heal(); err != nil {
				s.reportViolation("path wasn't healed: %v", err)
			}
		})
	}
}

// randomRelayFault returns a function that injects a fault of relays, of their paths to the store and each other, or of an endpoint, and
// reverts it, and the name of the fault.
func (s *soakRun) randomRelayFault() (fault func(), name string) {
	p := s.relays[s.random.IntN(len(s.relays))]
	e := s.engines[s.random.IntN(len(s.engines))]
	d := time.Duration(500+s.random.IntN(1500)) * time.Millisecond
	switch s.random.IntN(8) {
	case 0:
		return func() { s.restart(p, syscall.SIGKILL) }, "kill"
	case 1:
		return func() { s.restart(p, syscall.SIGTERM) }, "stop"
	case 2:
		return func() { pause([]*relayProcess{p}, d) }, "pause"
	case 3:
		return func() { s.store.setFault(true, 0); time.Sleep(d); s.store.setFault(false, 0) }, "storeDown"
	case 4:
		return func() { silence(s.relays, true, true) }, "silence"
	case 5:
		return func() { silence([]*relayProcess{p}, false, true) }, "peersSilent"
	case 6:
		return func() { e.setFault(faultTruncate, 0.8); time.Sleep(d); e.setFault(faultMixed, 0) }, "endpointTruncates"
	default:
		return func() { e.setFault(faultMixed, 0.4); time.Sleep(d); e.setFault(faultMixed, 0) }, "endpointGrey"
	}
}

// checkAfterCutOffs waits settleTime after the last fault. It then checks that all relays serve, and that no check failed in the run.
func (s *soakRun) checkAfterCutOffs(t *testing.T) {
	time.Sleep(settleTime)
	c, served := &caller{soak: s, random: rand.New(rand.NewPCG(9, 9))}, 0
	const finalRequests = 40
	for i := range finalRequests {
		if c.request("/safe/", s.relays[i%len(s.relays)]) == http.StatusOK {
			served++
		}
	}
	t.Logf("faults %v, responses by status %v, %d of %d requests served after the faults", s.faults, s.outcomes, served, finalRequests)
	s.checkRepeats(t)
	s.g.Expect(served).To(Equal(finalRequests))
	s.g.Expect(s.violations).To(BeEmpty())
	for _, p := range s.relays {
		s.g.Expect(p.isReady()).To(BeTrue(), p.name)
		text, err := os.ReadFile(p.logFile.Name())
		s.g.Expect(err).NotTo(HaveOccurred())
		s.g.Expect(string(text)).NotTo(MatchRegexp("DATA RACE|panic:|fatal error:"), p.name)
	}
}
