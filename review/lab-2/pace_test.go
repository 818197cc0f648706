package lab

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// The deployment of the case: streams of four seconds at a steady rate, and as many engines of the new version as of the old one.
const (
	paceMachines = 3
	paceEngines  = 16
	paceSlots    = 10
	paceFirst    = 200 * time.Millisecond
	paceEvents   = 96
	paceGap      = 40 * time.Millisecond
	paceRate     = 30
	paceDeadline = 15 * time.Second
	// paceOrderTime is the duration of the order in the users' example.
	paceOrderAt   = 6 * time.Second
	paceOrderTime = 12 * time.Second
	paceTraffic   = paceOrderAt + paceOrderTime
	// slowGap is the pause between the events of the bad version's slow streams, which begin as early as the others. From slowFrom on,
	// each second of its streams is slow.
	slowGap  = 144 * time.Millisecond
	slowFrom = paceOrderAt + 2*time.Second
)

// paceRun is a run of the case.
type paceRun struct {
	*lab
	store           *store
	others, targets []*engine
	start           time.Time
	// onTarget counts the streams of the target version since it is bad.
	onTarget atomic.Int64
}

// paceCase orders a version whose streams begin in time and end late.
func paceCase(l *lab) (bool, error) {
	s, err := newStore()
	if err != nil {
		return false, err
	}
	x := &paceRun{lab: l, store: s}
	if err := x.startEngines(); err != nil {
		return false, err
	}
	s.put("op", "config", advisorConfiguration(7))
	for range paceMachines {
		if _, err := l.addRelay(s.addr, machine{memoryMegabytes: 536, files: 8192, hasRollouts: true}); err != nil {
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
	time.AfterFunc(paceOrderAt, func() {
		x.record.note("the operator orders version %s", targetVersion)
		x.store.put("op", "rollout/advisor", map[string]any{"service": "advisor", "to": targetVersion, "duration_s": paceOrderTime.Seconds()})
	})
	x.sendStreams()
	close(done)
	watch.Wait()
	return x.judge(), nil
}

func (x *paceRun) startEngines() error {
	for k := range 2 * paceEngines {
		e := &engine{
			id: fmt.Sprintf("i-%d", k), service: "advisor", slots: paceSlots, firstEvent: paceFirst, gap: paceGap, events: paceEvents, record: x.record,
		}
		if k >= paceEngines {
			e.version, e.gapOf = targetVersion, x.gapOf
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

// sendStreams sends requests at random times to one relay after the other, and waits for their ends.
func (x *paceRun) sendStreams() {
	var streams sync.WaitGroup
	next := x.start
	for k := 0; time.Since(x.start) < paceTraffic; k++ {
		next = next.Add(time.Duration(rand.ExpFloat64() / paceRate * float64(time.Second)))
		time.Sleep(time.Until(next))
		streams.Go(func() {
			c := newClient(x.relays[k%paceMachines].caller, x.record)
			defer c.close()
			id := fmt.Sprintf("s-%d", k)
			a := c.send(id, "POST", "/review/x", []string{"Model: m", "Token-Usage: 600,480"}, []byte("prompt"), paceDeadline)
			x.record.add("answer", id, a.describe())
		})
	}
	streams.Wait()
}

// gapOf returns the pause between the events of the target version's next stream.
func (x *paceRun) gapOf() time.Duration {
	if x.trouble && time.Since(x.start) > slowFrom && x.onTarget.Add(1)%2 == 0 {
		return slowGap
	}
	return paceGap
}

// watchStatus stops the engines of the other version as soon as the rollout is completed.
func (x *paceRun) watchStatus(done <-chan struct{}) {
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
		n := 0
		for _, e := range x.others {
			n += e.busy()
			e.exit()
		}
		x.record.note("the platform stops the old engines at once, %d requests run there", n)
	}
}

// judge compares what the target version got with the bound of the rule for a bad one.
func (x *paceRun) judge() bool {
	order, end := x.start.Add(paceOrderAt).Sub(x.record.start), x.start.Add(paceTraffic).Sub(x.record.start)
	all, onTarget := 0, 0
	for k, e := range append(x.others, x.targets...) {
		for _, id := range x.record.ids("at " + e.id) {
			at := x.record.at("at "+e.id, id)
			if at < order || at > end {
				continue
			}
			all++
			if k >= len(x.others) {
				onTarget++
			}
		}
	}
	bound := exposeShare*float64(all) + exposeSlack
	x.record.note("requests that reached the service from the order to its deadline: %d; version %s got %d, allowed if it is bad: %.0f",
		all, targetVersion, onTarget, bound)
	return x.trouble && float64(onTarget) > bound
}
