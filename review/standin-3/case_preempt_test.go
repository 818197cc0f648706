package standin

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["preempt"] = preempt }

// engineRun is the work of one engine on a request.
type engineRun struct {
	server     *server
	begin, end time.Time
}

// preempt: engines preempt streams, and a quarter of them go on with a request whose connection was closed. A request must not go on at another
// engine while the engine before still works on it 400 ms later.
func preempt(c *run) {
	const (
		engines      = 12
		kept         = 3
		perSecond    = 31.5
		runTime      = 45 * time.Second
		allowed      = 400 * time.Millisecond
		preemptEvery = "8"
	)
	preemptTime := "2900ms"
	if !c.trouble {
		preemptTime = "0ms"
	}
	c.configure(1, nil, questionRoute())
	var mu sync.Mutex
	runs := map[string][]*engineRun{}
	c.onReport = func(s *server, at time.Time, what, request string) {
		mu.Lock()
		defer mu.Unlock()
		if what == "run" {
			runs[request] = append(runs[request], &engineRun{server: s, begin: at})
			return
		}
		for _, r := range runs[request] {
			if r.server == s && (what == "end" || what == "cut") {
				r.end = at
			}
		}
	}
	for i := range engines {
		arguments := []string{"-gap", "18ms", "-preempt-every", preemptEvery, "-preempt-time", preemptTime}
		if i < kept {
			arguments = append(arguments, "-keeps")
		}
		c.startServer(fmt.Sprintf("i-%04d", i), "llm", inrapLofts.zone(i), arguments...)
	}
	view := c.store.view(nil)
	relays := c.startRelays(inrapLofts, 6, func(string) string { return view })
	counts := map[string]int{}
	var tasks sync.WaitGroup
	for c.at() < runTime {
		time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		r := relays[rand.IntN(len(relays))]
		tasks.Go(func() {
			events := int(min(max(49*math.Exp(rand.NormFloat64()-0.5), 2), 300))
			k := &client{}
			defer k.close()
			a := k.do(r.front, call{method: http.MethodPost, path: "/question/a", events: events, promptTokens: 688, maxTokens: 6 * 490, deadline: 12 * time.Second, body: "x"})
			outcome := fmt.Sprint(a.status)
			if a.err != nil {
				outcome += " broken off"
			} else if a.status == http.StatusOK && a.wholeStream(events) != nil {
				outcome += " not whole"
			}
			c.note("request %s at %s: %d events, %s, %d ms", a.id, r.name, events, outcome, a.took.Milliseconds())
			mu.Lock()
			defer mu.Unlock()
			counts[outcome]++
		})
	}
	tasks.Wait()
	time.Sleep(5 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	moved := 0
	for id, all := range runs {
		for i := 1; i < len(all); i++ {
			moved++
			before, next := all[i-1], all[i]
			if overlap := before.end.Sub(next.begin); overlap > allowed {
				c.breaks("request %s began at %s while %s worked on it for another %d ms", id, next.server.id, before.server.id, overlap.Milliseconds())
			}
		}
	}
	c.note("outcomes: %v; %d moves to another engine", counts, moved)
	fmt.Println("outcomes:", counts, "moves:", moved)
}

// questionRoute is that of streams that may be resumed.
func questionRoute() route {
	return route{Name: "question", Host: host, Prefix: "/question/", Kind: "streaming", TimeoutMs: 12000, TargetMs: 400, GapMs: 400, Priority: 1, Service: "llm", Attempts: 2, Sticky: true, Resumable: true}
}
