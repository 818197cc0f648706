package lab

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

// The times of the case, from the moment at which all relays have been ready for contactTime.
const (
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	// The first machine is partitioned from the store twice.
	firstCutAt   = 2 * time.Second
	firstCutTime = 4500 * time.Millisecond
	secondCutAt  = firstCutAt + firstCutTime + 1600*time.Millisecond
	secondCut    = time.Second
	// An engine is taken away during the first cut. It never reports that it drains.
	removedAt = 5 * time.Second
	exitAt    = laterAt + 900*time.Millisecond
	// laterAt is when the clients of the first machine come back. It has been in touch for seconds then.
	laterAt      = secondCutAt + secondCut + contactTime + 500*time.Millisecond
	goneTraffic  = laterAt + 4*time.Second
	goneClients  = 12
	heartbeat    = 1200 * time.Millisecond
	coldTime     = 25 * time.Second
	goneEngines  = 8
	goneDeadline = 12 * time.Second
)

// goneCase takes an engine away while one machine doesn't reach the store, and looks at which requests the engine still gets.
func goneCase(l *lab) (bool, error) {
	s, err := newStore()
	if err != nil {
		return false, err
	}
	engines, err := startColdEngines(l, s)
	if err != nil {
		return false, err
	}
	s.put("op", "config", advisorConfiguration(7))
	var first *path
	for k := range 3 {
		p, err := newPath(s.addr)
		if err != nil {
			return false, err
		}
		if k == 0 {
			first = p
		}
		if _, err := l.addRelay(p.addr, machine{memoryMegabytes: 284, files: maxDescriptors}); err != nil {
			return false, err
		}
	}
	if !waitReady(l.relays, 10*time.Second) {
		return false, errors.New("the relays didn't become ready")
	}
	time.Sleep(contactTime)
	start := time.Now()
	leaving := engines[0]
	steps := []step{
		{removedAt, func() error {
			leaving.startLeaving()
			s.put("servers", leaving.id, nil)
			l.record.add("removed", leaving.id, "the store has acknowledged that the engine is gone")
			return nil
		}},
		{exitAt, func() error {
			l.record.note("engine %s exits", leaving.id)
			leaving.exit()
			return nil
		}},
	}
	if l.trouble {
		cut := func(from string) func() error {
			return func() error {
				l.record.note("%s: the store can't be reached from %s", from, l.relays[0].name)
				first.cut()
				return nil
			}
		}
		heal := func() error {
			l.record.note("the store can be reached again from %s", l.relays[0].name)
			return first.heal()
		}
		steps = append(steps, step{firstCutAt, cut("first cut")}, step{firstCutAt + firstCutTime, heal},
			step{secondCutAt, cut("second cut")}, step{secondCutAt + secondCut, heal})
	}
	errs := make(chan error, len(steps))
	for _, x := range steps {
		go func() {
			time.Sleep(time.Until(start.Add(x.at)))
			errs <- x.do()
		}()
	}
	var clients sync.WaitGroup
	for k, r := range l.relays {
		for n := range goneClients {
			from := start
			if k == 0 {
				from = start.Add(laterAt)
			}
			clients.Go(func() { sendStreams(l, r, k, n, from, start.Add(goneTraffic)) })
		}
	}
	clients.Wait()
	for range steps {
		if err := <-errs; err != nil {
			return false, err
		}
	}
	late, broken := lateRequests(l.record, leaving.id)
	l.record.note("requests that reached %s later than %v after the store had acknowledged that it is gone, sent by their clients after that: %d",
		leaving.id, drainTime, len(late))
	l.record.note("of these, streams that the exit of the engine broke off: %d", broken)
	return len(late) > 0, nil
}

// step is what is done at a time.
type step struct {
	at time.Duration
	do func() error
}

// startColdEngines starts engines that have just been started themselves: their entries change with each heartbeat, as they tell how
// much longer they are slow.
func startColdEngines(l *lab, s *store) ([]*engine, error) {
	var engines []*engine
	for k := range goneEngines {
		e, err := newEngine(&engine{
			id: fmt.Sprintf("i-%d", k), service: "advisor", slots: 12, firstEvent: 200 * time.Millisecond, gap: 40 * time.Millisecond, events: 30,
			record: l.record,
		})
		if err != nil {
			return nil, err
		}
		s.put("servers", e.id, e.row("ready"))
		engines = append(engines, e)
		go e.beat(s, time.Duration(k)*heartbeat/goneEngines)
	}
	return engines, nil
}

// sendStreams sends one request after the other to a relay.
func sendStreams(l *lab, r *relay, machine, client int, from, until time.Time) {
	time.Sleep(time.Until(from))
	c := newClient(r.caller, l.record)
	defer c.close()
	for k := 0; time.Now().Before(until); k++ {
		id := fmt.Sprintf("m%d-c%d-%d", machine+1, client, k)
		a := c.send(id, "POST", "/review/x", []string{"Model: m", "Token-Usage: 600,150"}, []byte("prompt"), goneDeadline)
		kind := "answer"
		if a.err != nil {
			kind = "lost"
		}
		l.record.add(kind, id, a.describe())
		if a.err != nil || a.status != 200 {
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// lateRequests returns the requests of the first machine that its clients sent later than drainTime after the store had acknowledged
// that the engine is gone and that reached it, and how many of them ended without a whole answer.
func lateRequests(r *record, engineID string) (late []string, broken int) {
	for _, id := range r.ids("at " + engineID) {
		if !strings.HasPrefix(id, "m1-") || r.at("sends", id) < r.at("removed", engineID)+drainTime {
			continue
		}
		late = append(late, id)
		if r.has("lost", id) {
			broken++
		}
	}
	return late, broken
}
