package wigeonsoak_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"wigeonshift/internal/soak/wigeonwindow"

	. "github.com/onsi/gomega"
)

// The quota of the run, in tokens, and the tolerance of the deployment.
const (
	quotaTokensPerSecond = 10_000
	quotaBurst           = 5_000
	quotaOverage         = 0.1
	quotaSlack           = 14_000
	quotaWindow          = 8 * time.Second
	quotaRequestTokens   = 500
	// quotaDemandFactor is the number of times that callers ask for the quota.
	quotaDemandFactor = 4
	quotaRelays       = 6
)

// quotaLimit is the number of tokens that may run in a window.
var quotaLimit = (quotaTokensPerSecond*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack

// quotaLog records requests that endpoints ran.
type quotaLog struct {
	startedAt time.Time

	mu      sync.Mutex
	charges []wigeonwindow.Charge
}

// record records a request that was sent at a time and has just been answered.
func (l *quotaLog) record(sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.charges = append(l.charges, wigeonwindow.Charge{Sent: sentAt.Sub(l.startedAt), Arrived: time.Since(l.startedAt)})
}

// quotaCaller sends requests of the organisation to one relay at an even pace.
type quotaCaller struct {
	soak  *soakRun
	relay *relayProcess
	log   *quotaLog
	stop  chan struct{}
}

func (c *quotaCaller) run() {
	interval := quotaRequestTokens * quotaRelays * time.Second / (quotaTokensPerSecond * quotaDemandFactor)
	client := &http.Client{Timeout: 3 * time.Second}
	for n := 0; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(interval):
		}
		c.send(client, fmt.Sprintf("quota-%s-%d", c.relay.name, n))
	}
}

// send sends a request. Its outcome doesn't matter if it isn't a success.
func (c *quotaCaller) send(client *http.Client, id string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+c.relay.callerAddress+"/safe/", http.NoBody)
	if err != nil {
		c.soak.reportViolation("%v", err)
		return
	}
	request.Host = "h"
	for name, value := range map[string]string{
		"Request-Id": id, "Api-Key": "key", "Deadline-Ms": "2000", "Token-Usage": fmt.Sprintf("%d,100", quotaRequestTokens-100),
	} {
		request.Header.Set(name, value)
	}
	sentAt := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return
	}
	response.Body.Close()
	if response.StatusCode == http.StatusOK {
		c.log.record(sentAt)
	}
}

// quotaScenario is a fault during which the quota has to hold.
type quotaScenario struct {
	name     string
	duration time.Duration
	faults   func(s *soakRun)
}

// TestQuotaOfFleet guards against instances that exceed an organisation's quota together.
func TestQuotaOfFleet(t *testing.T) {
	binary := buildRelay(t)
	for _, sc := range []quotaScenario{
		{name: "in calm", duration: 12 * time.Second, faults: func(*soakRun) {}},
		{name: "while the store is down and instances restart", duration: 30 * time.Second, faults: restartDuringOutage},
	} {
		t.Run(sc.name, func(t *testing.T) {
			skipIfKnownRed(t)
			sc.run(t, binary)
		})
	}
}

// restartDuringOutage kills half of the relays while the store can't be reached, which returns later.
func restartDuringOutage(s *soakRun) {
	time.Sleep(6 * time.Second)
	for _, p := range s.relays {
		p.storeProxy.setMode(modeStall)
	}
	time.Sleep(4 * time.Second)
	for _, p := range s.relays[:quotaRelays/2] {
		s.restart(p, syscall.SIGKILL)
	}
	time.Sleep(14 * time.Second)
	for _, p := range s.relays {
		p.storeProxy.setMode(modeForward)
	}
}

func (sc quotaScenario) run(t *testing.T, binary string) {
	s := newRun(t, runOptions{seed: quotaSeed, binary: binary, relays: quotaRelays, limit: repeatLimit})
	s.putQuota()
	time.Sleep(2 * time.Second)
	log, stop := &quotaLog{startedAt: time.Now()}, make(chan struct{})
	var callers sync.WaitGroup
	for _, p := range s.relays {
		callers.Go((&quotaCaller{soak: s, relay: p, log: log, stop: stop}).run)
	}
	callers.Go(func() { sc.faults(s) })
	time.Sleep(sc.duration)
	close(stop)
	callers.Wait()
	most, start := wigeonwindow.MostCharges(log.charges, quotaWindow)
	worst := float64(most * quotaRequestTokens)
	t.Logf("worst window from %v: %.0f tokens of %.0f", start, worst, quotaLimit)
	s.g.Expect(s.violations).To(BeEmpty())
	s.g.Expect(worst).To(BeNumerically("<=", quotaLimit))
}

const quotaSeed = 25

// putQuota writes a configuration with an organisation that has a quota.
func (s *soakRun) putQuota() {
	s.configurationVersion++
	s.store.put("op", "config", map[string]any{
		"version": s.configurationVersion, "services": []map[string]any{{"name": "s"}},
		"routes": []map[string]any{{
			"name": "r", "host": "h", "prefix": "/safe/", "kind": "idempotent", "timeout_ms": 4000, "target_latency_ms": 500,
			"service": "s", "max_attempts": 2,
		}},
		"tenants": []map[string]any{{
			"name": "t", "api_keys": []string{"key"}, "unit": "tokens", "plain_tokens": quotaRequestTokens,
			"rate_per_s": quotaTokensPerSecond, "burst": quotaBurst,
		}},
	})
}
