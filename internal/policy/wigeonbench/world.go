// Package wigeonbench measures scheduling policies: seeded traces against fake engines in virtual time.
package wigeonbench

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"wigeonshift"
	"wigeonshift/internal/policy/wigeontrace"
	"wigeonshift/internal/services/wigeonscheduler"
)

// Handler is a policy: it answers events with effects like the reducer.
type Handler func(wigeonscheduler.Event) []wigeonscheduler.Effect

// Observer sees every event together with the effects that answer it.
type Observer func(wigeonscheduler.Event, []wigeonscheduler.Effect)

// Times of the world's messages.
const (
	// hop is the time of one message between two instances or an instance and an engine.
	hop = time.Millisecond
	// lossNotice is the time in which an entry sees that an engine's connections broke.
	lossNotice = 5 * time.Millisecond
	loadPeriod = time.Second
	// cachePeriod is the time between two batches of cache events.
	cachePeriod = 500 * time.Millisecond
	// poisonRestart is the time in which an engine restarts after a poisonous request.
	poisonRestart = 15 * time.Second
	// maxAttempts bounds the permits that an entry asks for one request.
	maxAttempts = 4
)

// epoch is the wall-clock time at which virtual time starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// shardID names the benchmark's one shard.
const shardID wigeonshift.ShardID = "product/service/region/0"

// happening is one future action of the world.
type happening struct {
	at    time.Duration
	order uint64
	do    func()
}

// agenda orders happenings by time, equal ones as they were planned.
type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	if a[i].at != a[j].at {
		return a[i].at < a[j].at
	}
	return a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push adds a happening.
func (a *agenda) Push(x any) { *a = append(*a, x.(happening)) }

// Pop removes the last happening.
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// world runs one scenario under one policy.
type world struct {
	scenario *wigeontrace.Scenario
	handle   Handler
	observe  Observer
	random   *rand.Rand
	now      time.Duration
	order    uint64
	agenda   agenda
	engines  []*engine
	byName   map[string]*engine
	calls    map[wigeonshift.RequestID]*call
	ordered  []*call
	ledger   ledger
	wakeAt   time.Duration
	open     int
	events   int
}

// newWorld prepares a scenario.
func newWorld(sc *wigeontrace.Scenario, handle Handler, observe Observer) *world {
	w := &world{
		scenario: sc, handle: handle, observe: observe, random: rand.New(rand.NewPCG(sc.Seed, 7)),
		byName: map[string]*engine{}, calls: map[wigeonshift.RequestID]*call{},
		ledger: ledger{seen: map[wigeonshift.BlockHash]bool{}}, wakeAt: -1,
	}
	for i := range sc.Engines {
		e := newEngine(&sc.Engines[i])
		w.engines = append(w.engines, e)
		w.byName[e.spec.Name] = e
	}
	return w
}

// run plays the scenario to its end.
func (w *world) run() {
	w.deliver(wigeonscheduler.LeaseAcquired{Epoch: 1})
	w.deliver(w.configuration())
	for i := range w.scenario.Requests {
		r := &w.scenario.Requests[i]
		w.plan(r.Arrival, func() { w.arrive(r) })
	}
	for _, f := range w.scenario.Faults {
		w.plan(f.At, func() { w.fault(f) })
	}
	for _, e := range w.engines {
		w.plan(loadPeriod, func() { w.reportLoad(e) })
		w.plan(cachePeriod, func() { w.reportCache(e) })
	}
	w.open = len(w.scenario.Requests)
	end := time.Duration(-1)
	for len(w.agenda) > 0 {
		next := heap.Pop(&w.agenda).(happening)
		w.now = next.at
		if w.open == 0 && end < 0 {
			end = w.now + drainTime
		}
		if end >= 0 && w.now > end {
			return
		}
		next.do()
	}
}

// drainTime is played after the last outcome, so that the last reports arrive.
const drainTime = time.Second

// configuration brings the engines to the policy.
func (w *world) configuration() wigeonscheduler.ConfigurationChanged {
	c := wigeonscheduler.ConfigurationChanged{Version: 1, Endpoints: map[string]wigeonshift.EndpointSpec{}, Product: &wigeonshift.Product{}}
	for i := range w.scenario.Engines {
		e := &w.scenario.Engines[i]
		c.Endpoints[e.Name] = wigeonshift.EndpointSpec{
			Address: e.Name, State: wigeonshift.EndpointActive, Generation: e.Generation, Models: e.Models, CanPause: e.CanPause,
		}
	}
	return c
}

// plan lets something happen at a time.
func (w *world) plan(at time.Duration, do func()) {
	w.order++
	heap.Push(&w.agenda, happening{at: at, order: w.order, do: do})
}

// after lets something happen after a delay.
func (w *world) after(d time.Duration, do func()) { w.plan(w.now+d, do) }

// deliver hands an event to the policy and carries its effects out.
func (w *world) deliver(body wigeonscheduler.Body) {
	ev := wigeonscheduler.Event{At: epoch.Add(w.now), Random: w.random.Uint64(), Body: body}
	w.events++
	effects := w.handle(ev)
	if w.observe != nil {
		w.observe(ev, effects)
	}
	for _, ef := range effects {
		w.effect(ef)
	}
}

// send delivers an event to the policy after one hop.
func (w *world) send(body wigeonscheduler.Body) { w.after(hop, func() { w.deliver(body) }) }

// effect carries one effect out.
func (w *world) effect(ef wigeonscheduler.Effect) {
	switch f := ef.(type) {
	case wigeonscheduler.AnswerPermit:
		w.after(hop, func() { w.answered(f) })
	case wigeonscheduler.WakeAt:
		w.wake(f.At.Sub(epoch))
	case wigeonscheduler.ProbeEndpoint:
		w.after(2*hop, func() {
			w.deliver(wigeonscheduler.ProbeAnswered{Endpoint: f.Endpoint, Healthy: w.byName[f.Endpoint].alive, Latency: 2 * hop})
		})
	case wigeonscheduler.ReserveWeight:
		w.after(2*hop, func() { w.deliver(wigeonscheduler.WeightSlotAnswered{Endpoint: f.Endpoint, Model: f.Model}) })
	case wigeonscheduler.SendOrder:
		w.after(orderTime, func() { w.obey(f) })
	}
}

// orderTime is the time an engine takes to load a model.
const orderTime = 10 * time.Second

// obey loads a model.
func (w *world) obey(f wigeonscheduler.SendOrder) {
	e := w.byName[f.Endpoint]
	spec := *e.spec
	spec.Models = []string{f.Order.Subject}
	e.spec = &spec
	w.deliver(wigeonscheduler.OrderAnswered{Endpoint: f.Endpoint, Order: f.Order, Accepted: true})
}

// wake plans a tick; a later request replaces an earlier one.
func (w *world) wake(at time.Duration) {
	w.wakeAt = max(at, w.now)
	w.plan(w.wakeAt, func() {
		if w.wakeAt == w.now {
			w.wakeAt = -1
			w.deliver(wigeonscheduler.Ticked{})
		}
	})
}

// fault changes an engine.
func (w *world) fault(f wigeontrace.Fault) {
	e := w.engines[f.EngineIndex]
	switch f.Kind {
	case wigeontrace.FaultSlow:
		e.slow = f.SlowdownFactor
	case wigeontrace.FaultCrash:
		w.crash(e, f.RestartDelay)
	}
}

// crash kills an engine and starts it again later.
func (w *world) crash(e *engine, restart time.Duration) {
	if !e.alive {
		return
	}
	for _, q := range e.crash() {
		if q.gone {
			continue
		}
		w.after(lossNotice, func() { w.lost(q.attempt) })
	}
	w.after(restart, func() { e.alive = true })
}

// reportLoad takes a load report that arrives with a lag.
func (w *world) reportLoad(e *engine) {
	if e.alive {
		report := e.load(epoch.Add(w.now))
		span := w.scenario.LoadLagMax - w.scenario.LoadLagMin
		lag := w.scenario.LoadLagMin + time.Duration(w.random.Float64()*float64(span))
		w.after(lag, func() { w.deliver(wigeonscheduler.LoadReported{Endpoint: e.spec.Name, Report: report}) })
	}
	w.after(loadPeriod, func() { w.reportLoad(e) })
}

// reportCache publishes a batch of cache events that arrives late or never.
func (w *world) reportCache(e *engine) {
	if e.alive && len(e.events) > 0 {
		batch := wigeonshift.CacheBatch{Incarnation: e.incarnationName(), Events: e.events}
		e.events = nil
		span := w.scenario.CacheLagMax - w.scenario.CacheLagMin
		lag := w.scenario.CacheLagMin + time.Duration(w.random.Float64()*float64(span))
		if w.random.Float64() >= w.scenario.CacheLossRate {
			w.after(lag, func() { w.deliver(wigeonscheduler.CacheReported{Endpoint: e.spec.Name, Batch: batch}) })
		}
	}
	w.after(cachePeriod, func() { w.reportCache(e) })
}

// work starts an engine's next step if it idles.
func (w *world) work(e *engine) {
	if !e.alive || e.plan != nil {
		return
	}
	d := e.start(&w.ledger)
	if d == 0 {
		return
	}
	incarnation := e.incarnation
	w.after(d, func() {
		if e.incarnation == incarnation {
			w.stepped(e)
		}
	})
}

// stepped ends a step: prompts that are complete and decoding streams gain a token.
func (w *world) stepped(e *engine) {
	plan := e.plan
	e.plan = nil
	for _, p := range plan {
		q := p.sequence
		if q.gone || q.paused || q.promptLeft() > 0 {
			continue
		}
		if q.attempt.request.Poison {
			w.crash(e, poisonRestart)
			return
		}
		q.output++
		w.token(e, q)
	}
	w.work(e)
}
