package lab

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The times of the case, from the moment at which the relays have been ready for rolloutContact.
const (
	rolloutContact  = 4 * time.Second
	orderAt         = time.Second
	orderDuration   = 40 * time.Second
	stopAt          = storeBackAt - 3600*time.Millisecond
	storeDownAt     = 8 * time.Second
	storeDownTime   = 4500 * time.Millisecond
	storeBackAt     = storeDownAt + storeDownTime
	startAgainAt    = storeBackAt + 50*time.Millisecond
	targetBackAt    = storeBackAt + 300*time.Millisecond
	othersBackAt    = storeBackAt + 1800*time.Millisecond
	badFrom         = storeBackAt + rolloutContact + time.Second
	rolloutTraffic  = orderAt + orderDuration
	lapseTime       = 3 * heartbeat
	rolloutEngines  = 3
	rolloutClients  = 4
	rolloutDeadline = 12 * time.Second
	exposeShare     = 0.1
	exposeSlack     = 50
	targetVersion   = "v2"
)

// rolloutRun is a run of the case.
type rolloutRun struct {
	*lab
	store           *store
	others, targets []*engine
	start           time.Time
	completedAt     atomic.Int64
	cutByCompletion atomic.Int64
	// failures counts the requests to the target version while it is bad.
	failures atomic.Int64
}

// rolloutCase lets the store lose the entries of engines during an outage, as one machine is restarted, while a rollout runs.
func rolloutCase(l *lab) (bool, error) {
	s, err := newStore()
	if err != nil {
		return false, err
	}
	x := &rolloutRun{lab: l, store: s}
	if err := x.startEngines(); err != nil {
		return false, err
	}
	s.put("op", "config", advisorConfiguration(7))
	for range 3 {
		if _, err := l.addRelay(s.addr, machine{memoryMegabytes: 284, files: maxDescriptors, hasRollouts: true}); err != nil {
			return false, err
		}
	}
	if !waitReady(l.relays, 10*time.Second) {
		return false, errors.New("the relays didn't become ready")
	}
	time.Sleep(rolloutContact)
	x.start = time.Now()
	done := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { x.watchStatus(done) })
	var clients sync.WaitGroup
	for k, r := range l.relays {
		for n := range rolloutClients {
			clients.Go(func() { sendStreams(l, r, k, n, x.start, x.start.Add(rolloutTraffic)) })
		}
	}
	err = x.play()
	clients.Wait()
	close(done)
	watch.Wait()
	if err != nil {
		return false, err
	}
	return x.judge(), nil
}

func (x *rolloutRun) startEngines() error {
	for k := range 2 * rolloutEngines {
		e := &engine{
			id: fmt.Sprintf("i-%d", k), service: "advisor", slots: 12, firstEvent: 300 * time.Millisecond, gap: 50 * time.Millisecond, events: 8,
			record: x.record,
		}
		if k >= rolloutEngines {
			e.version = targetVersion
			e.fails = x.isBad
		}
		e, err := newEngine(e)
		if err != nil {
			return err
		}
		x.store.put("servers", e.id, e.row("ready"))
		if e.version == targetVersion {
			x.targets = append(x.targets, e)
		} else {
			x.others = append(x.others, e)
		}
	}
	return nil
}

// isBad reports whether the target version fails a request: each second one, some time after its start.
func (x *rolloutRun) isBad() bool {
	return !x.start.IsZero() && time.Since(x.start) > badFrom && x.failures.Add(1)%2 == 0
}

func (x *rolloutRun) waitUntil(at time.Duration) { time.Sleep(time.Until(x.start.Add(at))) }

// play brings about what happens. Without the disruption the machine is restarted all the same.
func (x *rolloutRun) play() error {
	x.waitUntil(orderAt)
	x.store.put("op", "rollout/advisor", map[string]any{"service": "advisor", "to": targetVersion, "duration_s": orderDuration.Seconds()})
	x.record.note("the operator orders version %s", targetVersion)
	restarted := x.relays[2]
	x.waitUntil(storeDownAt)
	if x.trouble {
		x.record.note("the store is down")
		x.store.setDown(true)
	}
	x.waitUntil(stopAt)
	x.record.note("%s is stopped by SIGTERM", restarted.name)
	restarted.signal(syscall.SIGTERM)
	if x.trouble {
		x.waitUntil(storeDownAt + lapseTime)
		for _, e := range append(x.others, x.targets...) {
			x.store.put("servers", e.id, nil)
		}
		x.waitUntil(storeBackAt)
		x.store.setDown(false)
		x.record.note("the store is back; the entries of the engines have expired")
	}
	<-restarted.ended()
	x.waitUntil(startAgainAt)
	if err := restarted.start(); err != nil {
		return err
	}
	x.record.note("%s is started again", restarted.name)
	if !x.trouble {
		return nil
	}
	x.waitUntil(targetBackAt)
	for _, e := range x.targets {
		x.store.put("servers", e.id, e.row("ready"))
	}
	x.record.note("the engines of version %s have written their entries again", targetVersion)
	x.waitUntil(othersBackAt)
	if x.completedAt.Load() == 0 {
		for _, e := range x.others {
			x.store.put("servers", e.id, e.row("ready"))
		}
		x.record.note("the other engines have written their entries again")
	}
	return nil
}

// watchStatus stops the engines of the other version as soon as the rollout is completed.
func (x *rolloutRun) watchStatus(done <-chan struct{}) {
	last := ""
	for {
		select {
		case <-done:
			return
		case <-time.After(5 * time.Millisecond):
		}
		var status struct{ State, To, Reason string }
		if json.Unmarshal(x.store.value("status", "rollout/advisor"), &status) != nil || status.State == last {
			continue
		}
		last = status.State
		x.record.note("status/rollout/advisor: %s (%s)", status.State, status.Reason)
		if status.State != "completed" {
			continue
		}
		x.completedAt.Store(int64(time.Since(x.start)))
		for _, e := range x.others {
			x.cutByCompletion.Add(int64(e.busy()))
			e.exit()
		}
		x.record.note("the platform stops the old engines at once, %d requests run there", x.cutByCompletion.Load())
	}
}

// judge compares what the target version got with the bound of the rule.
func (x *rolloutRun) judge() bool {
	order, end := x.start.Add(orderAt).Sub(x.record.start), x.start.Add(rolloutTraffic).Sub(x.record.start)
	inTouch := x.start.Add(startAgainAt + rolloutContact).Sub(x.record.start)
	all, onTarget := 0, 0
	for k, e := range append(x.others, x.targets...) {
		for _, id := range x.record.ids("at " + e.id) {
			at := x.record.at("at "+e.id, id)
			if at < order || at > end {
				continue
			}
			all++
			if k >= len(x.others) && (at > inTouch || !strings.HasPrefix(id, "m3-") && at < x.start.Add(storeDownAt).Sub(x.record.start)) {
				onTarget++
			}
		}
	}
	bound := exposeShare*float64(all) + exposeSlack
	x.record.note("requests that reached the service since the order: %d; those that machines in touch sent to the bad version: %d, allowed: %.0f",
		all, onTarget, bound)
	return float64(onTarget) > bound
}
