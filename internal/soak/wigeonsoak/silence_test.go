package wigeonsoak_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// runSilences makes open connections silent at random times until stop is closed.
func (s *soakRun) runSilences(random *rand.Rand, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(500+random.IntN(8000)) * time.Millisecond):
			s.countFault("silence")
			s.silenceSome(random)
		}
	}
}

// silenceSome makes open connections silent: those of one relay or of all, to the store, to other relays, to endpoints, or to
// several of these.
func (s *soakRun) silenceSome(random *rand.Rand) {
	relays := []*relayProcess{s.randomRelay(random)}
	if random.IntN(2) == 0 {
		relays = s.relays
	}
	paths := 1 + random.IntN(7)
	s.mu.Lock()
	s.silencedAt = time.Now()
	engines := s.engines
	s.mu.Unlock()
	silence(relays, paths&1 != 0, paths&2 != 0)
	if paths&4 != 0 {
		for _, e := range engines {
			e.proxy.silenceOpen()
		}
	}
}

// recordVersion records that the store has acknowledged the newest version.
func (s *soakRun) recordVersion() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versionAcknowledgedAt = time.Now()
}

// dueVersion returns the newest version if it must be in force at all relays that are in touch, or 0.
func (s *soakRun) dueVersion() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.versionAcknowledgedAt.IsZero() || time.Since(s.versionAcknowledgedAt) < versionApplyTime {
		return 0
	}
	return s.configurationVersion
}

// mustHaveVersion reports whether a relay and its paths to the store and to other relays had no fault for contactTime.
func (s *soakRun) mustHaveVersion(p *relayProcess) bool {
	s.mu.Lock()
	silenced := time.Since(s.silencedAt) < contactTime
	s.mu.Unlock()
	return !silenced && p.stableFor(contactTime) && p.storeProxy.forwardingFor(contactTime) && s.store.healthyFor(contactTime)
}

// newestVersionProber asks relays for the route that only the newest version has.
type newestVersionProber struct {
	caller
}

func (c *newestVersionProber) run() {
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(probeInterval):
		}
		p := c.soak.randomRelay(c.random)
		version := c.soak.dueVersion()
		if version == 0 || !c.soak.mustHaveVersion(p) {
			continue
		}
		id := fmt.Sprintf("newest-%d", n)
		status, _, _, _ := c.roundTrip(fmt.Sprintf("/v%d/", version), id, "body of "+id, p)
		// A newer version, which lacks the route, may have come since.
		if status == http.StatusNotFound && c.soak.dueVersion() == version {
			c.soak.reportViolation("%s: %s doesn't have version %d %v after its acknowledgement", id, p.name, version, versionApplyTime)
		}
	}
}
