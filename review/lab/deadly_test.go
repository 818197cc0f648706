package lab_test

import (
	"strings"
	"sync"
	"time"
)

// Times, numbers and bounds of the script of the deadly request. All tries fall within 20 s.
const (
	// firstTries are sent firstInterval apart, laterTries laterInterval apart, and later than contactTime after the third crash.
	firstTries    = 3
	firstInterval = 400 * time.Millisecond
	laterPause    = contactTime + 500*time.Millisecond
	laterTries    = 6
	laterInterval = 250 * time.Millisecond
	// soundInterval is the time between two sound requests. Fewer than 3 in 100 requests are deadly.
	soundInterval = 30 * time.Millisecond
	soundTime     = 4 * time.Second
	// crashesKnown is the number of crashes after which the request may reach only lateAllowed further engines, if it is sent later
	// than contactTime after the last of them.
	crashesKnown = 3
	lateAllowed  = 3
)

// runDeadlyRequest sends a request that crashes each engine some time after its first event, beside sound ones. It comes three
// times, one after the other, and then again some times.
func runDeadlyRequest(l *lab) (bool, error) {
	l.putStreamConfiguration()
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8", "i-9", "i-10", "i-11", "i-12"} {
		if _, err := l.startEngine(id, "models", "zone-1", 9, "--events", "15", "--gap", "60ms", "--deadly-after", "700ms"); err != nil {
			return false, err
		}
	}
	if err := l.startRelays(3); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var senders sync.WaitGroup
	var mu sync.Mutex
	served, sent := 0, 0
	senders.Go(func() {
		t := time.NewTicker(soundInterval)
		defer t.Stop()
		for n := 0; ; n++ {
			select {
			case <-t.C:
			case <-stop:
				return
			}
			senders.Go(func() {
				x := l.sendPrompt(l.relays[n%len(l.relays)], n)
				mu.Lock()
				defer mu.Unlock()
				sent++
				if x.status == 200 && x.complete {
					served++
				}
			})
		}
	})
	time.Sleep(soundTime)
	var tries []*sentRequest
	if l.trouble {
		tries = l.sendDeadly()
	}
	time.Sleep(soundTime)
	close(stop)
	senders.Wait()
	l.record.note("%d sound requests, %d served", sent, served)
	if served < sent/2 {
		return false, errNotRun
	}
	return l.checkDeadly(tries), nil
}

// sendDeadly sends the deadly request, each time with the same path, body, key and headers, and waits for all answers.
func (l *lab) sendDeadly() []*sentRequest {
	send := func(n int) *sentRequest {
		return l.sendBody(l.relays[n%len(l.relays)], newRequestID(), "POST", "/stream/plan",
			deadlyBody+strings.Repeat("y", 600), 15*time.Second,
			map[string]string{"Model": "m", "Token-Usage": "1200,360", "Prompt-Prefix": "c0:60,dead:1140"})
	}
	var tries []*sentRequest
	for n := range firstTries {
		tries = append(tries, send(n))
		time.Sleep(firstInterval)
	}
	time.Sleep(laterPause)
	later := make([]*sentRequest, laterTries)
	var senders sync.WaitGroup
	for n := range laterTries {
		senders.Go(func() { later[n] = send(n) })
		time.Sleep(laterInterval)
	}
	senders.Wait()
	return append(tries, later...)
}

// checkDeadly reports whether the request reached more engines than allowed after it had crashed some.
func (l *lab) checkDeadly(tries []*sentRequest) bool {
	crashes, late := 0, 0
	var known time.Time
	for _, x := range tries {
		reached := false
		for _, e := range l.engines {
			if _, ok := e.arrivedAt(x.id); ok {
				reached = true
			}
		}
		if !reached {
			continue
		}
		crashes++
		switch {
		case crashes == crashesKnown:
			known = x.endedAt
		case crashes > crashesKnown && x.sentAt.Sub(known) > contactTime:
			late++
			l.record.note("late: %s reaches an engine, sent %.1f s after the third crash", x.id, x.sentAt.Sub(known).Seconds())
		}
	}
	l.record.note("%d tries, %d reached an engine, %d of them late", len(tries), crashes, late)
	return late > lateAllowed
}
