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
	// poolCallers callers fill the relays' pools of connections to endpoints, and ask again contactTime after the silence.
	poolCallers = 40
	// quietCallers callers ask in between.
	quietCallers = 2
	// poolPhase is the time for which the callers of a phase ask.
	poolPhase = 2 * time.Second
)

// runCallers sends requests for a time and returns how many were sent and served.
func (s *soakRun) runCallers(count int, path string, d time.Duration) (sent, served int) {
	stop := make(chan struct{})
	var mu sync.Mutex
	var tasks sync.WaitGroup
	for i := range count {
		c := &caller{soak: s, random: rand.New(rand.NewPCG(uint64(i), s.random.Uint64()))}
		tasks.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				status := c.request(path, s.randomRelay(c.random))
				mu.Lock()
				sent++
				if status == http.StatusOK {
					served++
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(d)
	close(stop)
	tasks.Wait()
	return sent, served
}

// TestSilentEndpointConnections guards against requests that are lost on pooled connections to endpoints long after these have
// fallen silent.
func TestSilentEndpointConnections(t *testing.T) {
	binary := buildRelay(t)
	for _, scenario := range []struct {
		name, path string
		// all makes the connections to the store and to other relays silent as well.
		all bool
	}{
		{"repeatable requests", "/safe/", false},
		{"streams", "/stream/", false},
		{"not repeatable, all connections", "/unsafe/", true},
		{"streams, all connections", "/stream/", true},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			skipIfKnownRed(t)
			t.Parallel()
			s := newSoakRun(t, 1, binary)
			s.runCallers(poolCallers, scenario.path, poolPhase)
			silencedAt := time.Now()
			for _, e := range s.engines {
				e.proxy.silenceOpen()
			}
			if scenario.all {
				silenceAll(s)
			}
			before, servedBefore := s.runCallers(quietCallers, scenario.path, contactTime)
			time.Sleep(time.Until(silencedAt.Add(contactTime)))
			sent, served := s.runCallers(poolCallers, scenario.path, poolPhase)
			t.Logf("served: %d of %d until 3 s after the silence, %d of %d then", servedBefore, before, served, sent)
			s.g.Expect(float64(served)).To(BeNumerically(">=", minProbesServed*float64(sent)))
			s.g.Expect(s.violations).To(BeEmpty())
		})
	}
}
