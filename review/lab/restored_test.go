package lab_test

import (
	"sync"
	"time"
)

// Times of the script of the restored store.
const (
	// copyAge is the age of the copy from which the store comes back, storeAway the time for which it is away before.
	copyAge   = 5 * time.Second
	storeAway = 400 * time.Millisecond
	// drillDelay is the time from the removal of the engine's entry to the drill.
	drillDelay = 3 * time.Second
	// youngAge is the greatest age of the requests that the engine runs when it leaves.
	youngAge = 60 * time.Millisecond
	// quietLoadTime and fullLoadTime are the times between two requests of the load, before and after the engine leaves.
	quietLoadTime = 150 * time.Millisecond
	fullLoadTime  = 40 * time.Millisecond
)

// runRestoredStore lets an engine leave without notice while it runs requests. The store then comes back from a copy in which the
// engine is still listed, until the engine removes its entry again at its next heartbeat.
func runRestoredStore(l *lab) (bool, error) {
	l.putStreamConfiguration()
	for i, id := range []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8"} {
		// The heartbeats of the engines don't coincide.
		time.Sleep(time.Duration(i) * 90 * time.Millisecond)
		if _, err := l.startEngine(id, "models", "zone-1", 9, "--prefill", "550ms", "--events", "4"); err != nil {
			return false, err
		}
	}
	if err := l.startRelays(3); err != nil {
		return false, err
	}
	load := &steadyLoad{lab: l, full: make(chan struct{}), stop: make(chan struct{})}
	load.senders.Go(load.run)
	time.Sleep(copyAge)
	gone, err := l.awaitYoungEngine(10 * time.Second)
	if err != nil {
		return false, err
	}
	gone.leave("removed")
	l.record.note("engine %s leaves; its entry is removed; it serves on", gone.id)
	close(load.full)
	time.Sleep(drillDelay)
	// The engine writes again a whole heartbeat after the one that the store misses.
	time.Sleep(time.Until(gone.nextBeat().Add(-storeAway / 2)))
	if l.trouble {
		l.record.note("the store is away")
		l.store.leave()
		time.Sleep(storeAway)
		l.store.comeBack(copyAge)
		l.record.note("the store is back from a copy that is %v old", copyAge)
	} else {
		time.Sleep(storeAway)
	}
	time.Sleep(5 * time.Second)
	close(load.stop)
	load.senders.Wait()
	return load.check(gone)
}

// awaitYoungEngine waits for an engine that runs only requests that have just begun: these are answered after the relays have
// learnt that its entry is removed.
func (l *lab) awaitYoungEngine(limit time.Duration) (*engine, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, e := range l.engines {
			if e.runsOnlySince(time.Now().Add(-youngAge)) {
				return e, nil
			}
		}
	}
	return nil, errNotRun
}

// steadyLoad sends requests to the first relay: all callers are in its zone.
type steadyLoad struct {
	lab *lab
	// full is closed when the load rises to its full rate.
	full, stop chan struct{}
	senders    sync.WaitGroup

	mu   sync.Mutex
	sent []*sentRequest
}

func (p *steadyLoad) run() {
	t := time.NewTicker(quietLoadTime)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-t.C:
		case <-p.full:
			p.full = nil
			t.Reset(fullLoadTime)
			continue
		case <-p.stop:
			return
		}
		r := p.lab.relays[0]
		p.senders.Go(func() {
			x := p.lab.sendPrompt(r, n)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.sent = append(p.sent, x)
		})
	}
}

// check reports whether requests reached an engine through a relay that had passed on an answer by which the engine said that it
// is leaving, and were sent later than drainBound after that.
func (p *steadyLoad) check(gone *engine) (bool, error) {
	toldAt := map[*relay]time.Time{}
	served := 0
	for _, x := range p.sent {
		if x.status == 200 {
			served++
		}
		if x.leaving && x.signature == "sig."+gone.id && (toldAt[x.relay].IsZero() || x.endedAt.Before(toldAt[x.relay])) {
			toldAt[x.relay] = x.endedAt
		}
	}
	late := 0
	for _, x := range p.sent {
		told, isTold := toldAt[x.relay]
		at, reached := gone.arrivedAt(x.id)
		if isTold && reached && x.sentAt.Sub(told) > drainBound {
			late++
			p.lab.record.note("late: %s, sent %.2f s after %s had passed on that %s is leaving, reaches it %.0f ms later",
				x.id, x.sentAt.Sub(told).Seconds(), x.relay.name, gone.id, at.Sub(x.sentAt).Seconds()*1000)
		}
	}
	p.lab.record.note("%d requests, %d served; %d relays had passed on that the engine is leaving; %d late requests reached it",
		len(p.sent), served, len(toldAt), late)
	if len(toldAt) == 0 || served < len(p.sent)*9/10 {
		return false, errNotRun
	}
	return late > 0, nil
}
