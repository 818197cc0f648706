package lab_test

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// Times and bounds of the script of the deadly request.
const (
	// deadlyInterval is the time between two tries of the request.
	deadlyInterval = 3300 * time.Millisecond
	deadlyTries    = 29
	// deadlyRunTime is the time from the start of the script after which no further try is sent.
	deadlyRunTime = 112 * time.Second
	// crashesKnown is the number of crashes after which the request may reach only lateAllowed further engines, if it is sent later
	// than contactTime after the last of them.
	crashesKnown = 3
	lateAllowed  = 3
)

// runDeadlyRequest sends a request that crashes each engine some time after its first event, again and again, beside sound ones.
func runDeadlyRequest(l *lab) (bool, error) {
	l.putStreamConfiguration()
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8"} {
		if _, err := l.startEngine(id, "models", "zone-1", 9, "--events", "30", "--gap", "60ms", "--deadly-after", "700ms"); err != nil {
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
		t := time.NewTicker(150 * time.Millisecond)
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
	var tries []*sentRequest
	for n := range deadlyTries {
		time.Sleep(deadlyInterval)
		if time.Since(l.record.start) > deadlyRunTime {
			break
		}
		if !l.trouble {
			continue
		}
		// The same path, caller and body each time; the estimate of the answer's length differs.
		headers := map[string]string{
			"Model": "m", "Token-Usage": "1200,360", "Prompt-Prefix": "c0:60,dead:1140", "Length-Hint": fmt.Sprint(100 + n),
		}
		tries = append(tries, l.sendBody(l.relays[n%len(l.relays)], newRequestID(), "POST", "/stream/plan",
			deadlyBody+strings.Repeat("y", 600), 15*time.Second, headers))
	}
	close(stop)
	senders.Wait()
	l.record.note("%d sound requests, %d served", sent, served)
	return l.checkDeadly(tries)
}

// checkDeadly reports whether the request reached more engines than allowed after it had crashed some.
func (l *lab) checkDeadly(tries []*sentRequest) (bool, error) {
	crashes, late := 0, 0
	var known time.Time
	for _, x := range tries {
		reached := false
		for _, e := range l.engines {
			if _, ok := e.arrivedAt(x.id); ok {
				reached = true
			}
		}
		if reached && crashes >= crashesKnown && x.sentAt.Sub(known) > contactTime {
			late++
			l.record.note("late: %s reaches an engine, sent %.1f s after the third crash", x.id, x.sentAt.Sub(known).Seconds())
		}
		if reached {
			crashes++
			if crashes == crashesKnown {
				known = x.endedAt
			}
		}
	}
	l.record.note("%d tries, %d reached an engine, %d of them late", len(tries), crashes, late)
	return late > lateAllowed, nil
}
