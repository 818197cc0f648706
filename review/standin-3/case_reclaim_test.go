package standin

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["reclaim"] = reclaim }

// reclaim: all engines of a zone are taken away, 2.5 s after the notice, and others come 4 s later; then those of the next zone. Streams have
// no length and end with their connection. A client must not get a stream as complete that broke off.
func reclaim(c *run) {
	const (
		perZone  = 3
		notice   = 2500 * time.Millisecond
		renewal  = 4 * time.Second
		pause    = 200 * time.Millisecond
		clients  = 108
		machines = 9
		runTime  = 90 * time.Second
		lastTime = runTime - notice - renewal - time.Second
	)
	c.configure(1, nil, planRoute(), issueRoute(), historyRoute())
	next := 0
	live := map[string][]*server{}
	add := func(zone string) {
		for range perZone {
			next++
			live[zone] = append(live[zone], c.startServer(fmt.Sprintf("i-%04d", next), "llm", zone, "-framing", "connection", "-gap", "17ms", "-slots", "12"))
		}
	}
	for _, zone := range apmeLima.zones {
		add(zone)
	}
	view := c.store.view(nil)
	relays := c.startRelays(apmeLima, machines, func(string) string { return view })
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	for i := range clients {
		r := relays[i%len(relays)]
		tasks.Go(func() {
			k := &client{}
			defer k.close()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.IntN(400)) * time.Millisecond):
				}
				// The sheet and the site file: 76 events in the mean, with a spread of 1.5, ten times as many at most.
				events := int(min(max(76*math.Exp(1.5*rand.NormFloat64()-1.125), 4), 760))
				a := k.do(r.front, call{method: http.MethodPost, path: "/plan/a", events: events, promptTokens: 6670, maxTokens: 6 * 760, deadline: 15 * time.Second, body: "x"})
				outcome := fmt.Sprint(a.status)
				switch whole := a.wholeStream(events); {
				case a.err != nil:
					outcome += " broken off"
				case a.status == http.StatusOK && whole != nil:
					outcome += " complete, but not whole"
					c.breaks("request %s at %s: 200 with signature %s ends as complete; %v", a.id, r.name, a.header.Get("Server-Signature"), whole)
				}
				c.note("request %s at %s: %d events asked for, %s, %d ms", a.id, r.name, events, outcome, a.took.Milliseconds())
				mu.Lock()
				counts[outcome]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	for round := 0; c.trouble && c.at() < lastTime; round++ {
		zone := apmeLima.zone(round)
		leaving := live[zone]
		live[zone] = nil
		for _, s := range leaving {
			s.drain(c)
		}
		time.Sleep(notice)
		for _, s := range leaving {
			s.leave(c)
		}
		time.Sleep(renewal)
		add(zone)
		time.Sleep(pause)
	}
	time.Sleep(time.Until(c.started.Add(runTime)))
	close(stop)
	tasks.Wait()
	c.note("outcomes: %v", counts)
	fmt.Println("outcomes:", counts)
}
