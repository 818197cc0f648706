package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["rollout"] = rollout }

// rollout: a service's traffic is to be moved to a version that turns bad half-way: half of its answers arrive four times slower. The version
// may get a tenth of the requests that reach the service between the order and its deadline, and 50 more.
func rollout(c *run) {
	const (
		engines   = 12
		relays    = 6
		perSecond = 40.0
		learnTime = 12 * time.Second
		order     = 12 * time.Second
		badAfter  = 6 * time.Second
		share     = 0.1
		slack     = 50
	)
	work := "3500ms"
	c.configure(1, nil, deskRoute())
	var mu sync.Mutex
	arrivals := map[string][]time.Time{}
	cut := 0
	running := map[string]bool{}
	c.onReport = func(s *server, at time.Time, what, request string) {
		mu.Lock()
		defer mu.Unlock()
		switch what {
		case "run":
			arrivals[s.version] = append(arrivals[s.version], at)
			running[s.id+request] = true
		case "end":
			delete(running, s.id+request)
		}
	}
	var old []*server
	for i := range engines {
		old = append(old, c.startServer(fmt.Sprintf("i-1%03d", i), "records", mwakilema.zone(i), "-slots", "16", "-work", work))
	}
	view := c.store.view(nil)
	fronts := c.startRelays(mwakilema, relays, func(string) string { return view })
	counts := map[string]int{}
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
			}
			r := fronts[rand.IntN(len(fronts))]
			tasks.Go(func() {
				k := &client{}
				defer k.close()
				a := k.do(r.front, call{method: http.MethodPost, path: "/desk/a", deadline: 15 * time.Second, body: "x"})
				outcome := fmt.Sprint(a.status)
				if a.err != nil {
					outcome += " broken off"
				}
				c.note("request %s at %s: %s, %d ms", a.id, r.name, outcome, a.took.Milliseconds())
				mu.Lock()
				counts[outcome]++
				mu.Unlock()
			})
		}
	})
	time.Sleep(learnTime)
	begin := time.Now()
	slowFactor := "4"
	if !c.trouble {
		slowFactor = "1"
	}
	for i := range engines {
		c.startServerOf("v2", fmt.Sprintf("i-2%03d", i), "records", mwakilema.zone(i), "-slots", "16", "-work", work,
			"-slow-from", fmt.Sprint(begin.Add(badAfter).UnixMilli()), "-slow-factor", slowFactor)
	}
	begin = time.Now()
	value, err := json.Marshal(map[string]any{"service": "records", "to": "v2", "duration_s": order.Seconds()})
	must(err)
	c.store.put(storeRow{Table: "op", Key: "rollout/records", Value: value})
	c.note("the order is acknowledged")
	state := ""
	for time.Since(begin) < order {
		time.Sleep(20 * time.Millisecond)
		if now := c.store.rolloutState("records"); now != state {
			state = now
			c.note("the state is %q", state)
			if state == "completed" {
				// The old engines stop immediately, without draining.
				for _, s := range old {
					s.leave(c)
				}
				mu.Lock()
				for _, s := range old {
					for key := range running {
						if len(key) > len(s.id) && key[:len(s.id)] == s.id {
							cut++
						}
					}
				}
				mu.Unlock()
			}
		}
	}
	close(stop)
	mu.Lock()
	counted := map[string]int{}
	for version, all := range arrivals {
		for _, at := range all {
			if at.After(begin) && at.Before(begin.Add(order)) {
				counted[version]++
			}
		}
	}
	mu.Unlock()
	tasks.Wait()
	total := counted["v1"] + counted["v2"]
	allowed := share*float64(total) + slack
	summary := fmt.Sprintf("the new version got %d of %d requests; a bad one may get %.0f; state %q; %d requests ran on the old engines as they stopped", counted["v2"], total, allowed, state, cut)
	c.note("outcomes: %v; %s", counts, summary)
	fmt.Println("outcomes:", counts, summary)
	if c.trouble && float64(counted["v2"]) > allowed {
		c.breaks("%s", summary)
	}
}

// deskRoute is that of requests whose answers take seconds and have no events.
func deskRoute() route {
	return route{Name: "desk", Host: host, Prefix: "/desk/", Kind: "non_idempotent", TimeoutMs: 15000, TargetMs: 5000, Service: "records", Attempts: 1}
}

// rolloutState returns the state of a rollout; empty if there is none.
func (s *store) rolloutState(service string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var status struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(s.rows["status"]["rollout/"+service].Value, &status)
	return status.State
}
