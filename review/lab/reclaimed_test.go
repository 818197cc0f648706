package lab_test

import (
	"strings"
	"sync"
	"time"
)

// Times of the script of the reclaimed engine.
const (
	// reclaimNotice is the time from the notice of an engine that is reclaimed to its end.
	reclaimNotice = 2 * time.Second
	streamEvents  = 60
	// youngStreamAge is the age up to which a stream lasts longer than the notice.
	youngStreamAge = time.Second
)

// putStreamConfiguration writes a configuration with one route of streams that can't be resumed.
func (l *lab) putStreamConfiguration() {
	l.store.put("op", "config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "plan", "host": "site.example", "prefix": "/stream/", "kind": "streaming", "timeout_ms": 15000,
			"target_latency_ms": 1000, "gap_target_ms": 400, "priority": 0, "service": "models", "max_attempts": 1, "public": false,
			"sticky": true, "resumable": false,
		}},
		"services": []map[string]any{{
			"name": "models", "health_path": "/health", "max_connections": 360,
			"engine": map[string]any{"slots": 9, "kv_capacity": 569215, "stride": 6},
		}},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000,
		},
		"tenants": []map[string]any{{"name": "coop", "api_keys": []string{"key-1"}}},
	})
}

// runReclaimedEngine lets an engine be reclaimed while it streams answers without a length: it drains, and its process is killed
// after the notice.
func runReclaimedEngine(l *lab) (bool, error) {
	l.putStreamConfiguration()
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8"} {
		if _, err := l.startEngine(id, "models", "zone-1", 9, "--unframed", "--events", "60", "--gap", "60ms"); err != nil {
			return false, err
		}
	}
	if err := l.startRelays(2); err != nil {
		return false, err
	}
	var senders sync.WaitGroup
	var mu sync.Mutex
	var sent []*sentRequest
	stop := make(chan struct{})
	senders.Go(func() {
		t := time.NewTicker(200 * time.Millisecond)
		defer t.Stop()
		for n := 0; ; n++ {
			select {
			case <-t.C:
			case <-stop:
				return
			}
			r := l.relays[n%len(l.relays)]
			senders.Go(func() {
				x := l.sendPrompt(r, n)
				mu.Lock()
				defer mu.Unlock()
				sent = append(sent, x)
			})
		}
	})
	time.Sleep(6 * time.Second)
	gone, err := l.awaitBusyEngine(10 * time.Second)
	if err != nil {
		return false, err
	}
	gone.leave("draining")
	l.record.note("engine %s drains; it runs %d streams", gone.id, gone.runningCount())
	time.Sleep(reclaimNotice)
	if l.trouble {
		l.record.note("engine %s is killed; it runs %d streams", gone.id, gone.runningCount())
		gone.kill()
	}
	time.Sleep(3 * time.Second)
	close(stop)
	senders.Wait()
	short, whole := 0, 0
	for _, x := range sent {
		pieces := strings.Count(x.body, "\n\n")
		switch {
		case x.status != 200 || !x.complete:
		case pieces == streamEvents:
			whole++
		default:
			short++
			l.record.note("the answer to %s ends as complete after %d of %d pieces", x.id, pieces, streamEvents)
		}
	}
	l.record.note("%d streams, %d whole, %d ended as complete before their last piece", len(sent), whole, short)
	if whole < len(sent)/2 {
		return false, errNotRun
	}
	return short > 0, nil
}

// awaitBusyEngine waits for an engine that runs streams which last longer than the notice.
func (l *lab) awaitBusyEngine(limit time.Duration) (*engine, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, e := range l.engines {
			if e.runningSince(time.Now().Add(-youngStreamAge)) >= 2 {
				return e, nil
			}
		}
	}
	return nil, errNotRun
}
