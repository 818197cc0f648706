package standin

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["poison"] = poison }

// poisonBody is the body of the request that crashes engines.
const poisonBody = `{"order":"7741","item":"twine 210/36","deadly":true}`

// poison: one request crashes each engine that begins to run it. It comes again and again with the same path, caller and body, each try with
// its own Request-Id. Its trace header stays the same for some tries and then changes, as the caller's user starts the work anew. From
// contact_ms after the third crash, at most three more tries may reach an engine.
func poison(c *run) {
	const (
		engines     = 8
		contact     = 3 * time.Second
		allowed     = 3
		runTime     = 75 * time.Second
		tryInterval = 250 * time.Millisecond
		// triesPerTrace is the number of tries with one trace header.
		triesPerTrace = 16
	)
	c.configure(1, []any{map[string]any{"name": "coop", "api_keys": []string{"key-coop"}, "rate_per_s": 0}}, issueRoute())
	next := 0
	var add func()
	var mu sync.Mutex
	var arrivals []time.Time
	var names []string
	seen := map[string]bool{}
	add = func() {
		next++
		s := c.startServer(fmt.Sprintf("i-%04d", next), "records", inrapLofts.zone(next), "-slots", "6", "-crash", "deadly")
		go func() {
			_ = s.process.Wait()
			if c.isEnding() {
				return
			}
			// The engine has crashed. It is back after three seconds, as a new incarnation.
			s.leave(c)
			time.Sleep(3 * time.Second)
			mu.Lock()
			defer mu.Unlock()
			add()
		}()
	}
	c.onReport = func(_ *server, _ time.Time, what, request string) {
		if what != "crash" {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if seen[request] {
			return
		}
		seen[request] = true
		arrivals, names = append(arrivals, time.Now()), append(names, request)
	}
	mu.Lock()
	for range engines {
		add()
	}
	mu.Unlock()
	view := c.store.view(nil)
	relays := c.startRelays(inrapLofts, 6, func(string) string { return view })
	stop := make(chan struct{})
	var tasks sync.WaitGroup
	// Sound requests of the same caller on the same path, with other bodies.
	counts := map[string]int{}
	var countsMu sync.Mutex
	for i := range 12 {
		r := relays[i%len(relays)]
		tasks.Go(func() {
			k := &client{}
			defer k.close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(200+rand.IntN(400)) * time.Millisecond):
				}
				a := k.do(r.front, call{method: http.MethodPost, path: "/issue/parts", key: "key-coop", deadline: time.Second, body: fmt.Sprintf(`{"order":"%d-%d"}`, i, n)})
				countsMu.Lock()
				counts[fmt.Sprint(a.status)]++
				countsMu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	body := poisonBody
	if !c.trouble {
		body = strings.ReplaceAll(body, "deadly", "sound")
	}
	trace := ""
	for n := 0; time.Since(c.started) < runTime; n++ {
		if n%triesPerTrace == 0 {
			trace = fmt.Sprintf("Traceparent: 00-%016x%016x-%016x-01\r\n", rand.Uint64(), rand.Uint64(), rand.Uint64())
		}
		r := relays[rand.IntN(len(relays))]
		k := &client{}
		a := k.do(r.front, call{method: http.MethodPost, path: "/issue/parts", key: "key-coop", deadline: time.Second, body: body, extra: trace})
		k.close()
		c.note("the request as %s at %s: status %d, Retry-After %q; %s", a.id, r.name, a.status, a.header.Get("Retry-After"), strings.TrimSpace(trace))
		time.Sleep(tryInterval)
	}
	close(stop)
	tasks.Wait()
	c.end()
	mu.Lock()
	defer mu.Unlock()
	c.note("sound requests by status: %v", counts)
	fmt.Println("sound requests by status:", counts, "crashes:", len(arrivals))
	late := 0
	for i, at := range arrivals {
		isLate := i >= 3 && at.Sub(arrivals[2]) > contact
		c.note("crash %d: request %s at %.3f s, late %v", i+1, names[i], at.Sub(c.started).Seconds(), isLate)
		if isLate {
			late++
		}
	}
	if late > allowed {
		c.breaks("%d tries reached an engine later than %v after the third crash; %d are allowed", late, contact, allowed)
	}
}
