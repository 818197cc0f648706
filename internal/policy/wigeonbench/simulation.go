// Package wigeonbench benchmarks scheduling policies. It runs generated traces against simulated engines in virtual
// time.
package wigeonbench

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"wigeonshift"
	"wigeonshift/internal/policy/wigeontrace"
	"wigeonshift/internal/services/wigeonscheduler"
)

// Handler is a policy. It returns the effects of an event, like wigeonscheduler.Reduce.
type Handler func(wigeonscheduler.Event) []wigeonscheduler.Effect

// Observer is called with every event and its effects.
type Observer func(wigeonscheduler.Event, []wigeonscheduler.Effect)

// Delays and limits of the simulation.
const (
	// messageDelay is the time that a message takes between two instances or between an instance and an engine.
	messageDelay = time.Millisecond
	// lossDetectionDelay is the time after which an entry detects that the connections to an engine broke.
	lossDetectionDelay = 5 * time.Millisecond
	loadReportInterval = time.Second
	// cacheReportInterval is the time between two batches of cache events.
	cacheReportInterval = 500 * time.Millisecond
	// poisonRestartDelay is the time that an engine takes to restart after a poison request.
	poisonRestartDelay = 15 * time.Second
	// maxAttempts is the maximum number of permits that an entry uses for one request.
	maxAttempts = 4
)

// startTime is the wall-clock time at the start of virtual time.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// shardID is the ID of the benchmark's only shard.
const shardID wigeonshift.ShardID = "product/service/region/0"

// action is a function that runs at a virtual time.
type action struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// actionQueue is a heap of actions by time. Actions at the same time run in the order in which they were scheduled.
type actionQueue []action

func (q actionQueue) Len() int { return len(q) }
func (q actionQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q actionQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *actionQueue) Push(x any) { *q = append(*q, x.(action)) }

// Pop implements heap.Interface.
func (q *actionQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// simulation simulates one scenario with one policy.
type simulation struct {
	scenario       *wigeontrace.Scenario
	handle         Handler
	observe        Observer
	random         *rand.Rand
	now            time.Duration
	lastSequence   uint64
	queue          actionQueue
	engines        []*engine
	engineByName   map[string]*engine
	calls          map[wigeonshift.RequestID]*call
	callsByArrival []*call
	prefill        prefillTracker
	// nextTickAt is the time of the next Tick event, or -1 if none is scheduled.
	nextTickAt   time.Duration
	pendingCalls int
	eventCount   int
}

// newSimulation returns a simulation of a scenario that has not started.
func newSimulation(sc *wigeontrace.Scenario, handle Handler, observe Observer) *simulation {
	s := &simulation{
		scenario: sc, handle: handle, observe: observe, random: rand.New(rand.NewPCG(sc.Seed, 7)),
		engineByName: map[string]*engine{}, calls: map[wigeonshift.RequestID]*call{},
		prefill: prefillTracker{computedBlocks: map[wigeonshift.BlockHash]bool{}}, nextTickAt: -1,
	}
	for i := range sc.Engines {
		e := newEngine(&sc.Engines[i])
		s.engines = append(s.engines, e)
		s.engineByName[e.spec.Name] = e
	}
	return s
}

// run simulates the scenario until drainTime after the last call has ended.
func (s *simulation) run() {
	s.deliver(wigeonscheduler.LeaseAcquired{Epoch: 1})
	s.deliver(s.configurationEvent())
	for i := range s.scenario.Requests {
		r := &s.scenario.Requests[i]
		s.schedule(r.Arrival, func() { s.handleArrival(r) })
	}
	for _, f := range s.scenario.Faults {
		s.schedule(f.At, func() { s.applyFault(f) })
	}
	for _, e := range s.engines {
		s.schedule(loadReportInterval, func() { s.reportLoad(e) })
		s.schedule(cacheReportInterval, func() { s.reportCacheEvents(e) })
	}
	s.pendingCalls = len(s.scenario.Requests)
	end := time.Duration(-1)
	for len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(action)
		s.now = next.at
		if s.pendingCalls == 0 && end < 0 {
			end = s.now + drainTime
		}
		if end >= 0 && s.now > end {
			return
		}
		next.run()
	}
}

// drainTime is simulated after the last call has ended, so that the last reports arrive.
const drainTime = time.Second

// configurationEvent returns the event that tells the policy the scenario's engines.
func (s *simulation) configurationEvent() wigeonscheduler.ConfigurationChanged {
	c := wigeonscheduler.ConfigurationChanged{Version: 1, Endpoints: map[string]wigeonshift.EndpointSpec{}, Product: &wigeonshift.Product{}}
	for i := range s.scenario.Engines {
		e := &s.scenario.Engines[i]
		c.Endpoints[e.Name] = wigeonshift.EndpointSpec{
			Address: e.Name, State: wigeonshift.EndpointActive, Generation: e.Generation, Models: e.Models, CanPause: e.CanPause,
		}
	}
	return c
}

// schedule schedules a function to run at a virtual time.
func (s *simulation) schedule(at time.Duration, run func()) {
	s.lastSequence++
	heap.Push(&s.queue, action{at: at, sequence: s.lastSequence, run: run})
}

// scheduleAfter schedules a function to run after a delay.
func (s *simulation) scheduleAfter(d time.Duration, run func()) { s.schedule(s.now+d, run) }

// deliver passes an event to the policy and applies the effects.
func (s *simulation) deliver(body wigeonscheduler.EventBody) {
	ev := wigeonscheduler.Event{At: startTime.Add(s.now), Random: s.random.Uint64(), Body: body}
	s.eventCount++
	effects := s.handle(ev)
	if s.observe != nil {
		s.observe(ev, effects)
	}
	for _, ef := range effects {
		s.applyEffect(ef)
	}
}

// send delivers an event to the policy after messageDelay.
func (s *simulation) send(body wigeonscheduler.EventBody) {
	s.scheduleAfter(messageDelay, func() { s.deliver(body) })
}

// applyEffect applies one effect of the policy.
func (s *simulation) applyEffect(ef wigeonscheduler.Effect) {
	switch f := ef.(type) {
	case wigeonscheduler.AnswerPermit:
		s.scheduleAfter(messageDelay, func() { s.handleAnswer(f) })
	case wigeonscheduler.WakeAt:
		s.scheduleTick(f.At.Sub(startTime))
	case wigeonscheduler.ProbeEndpoint:
		s.scheduleAfter(2*messageDelay, func() {
			s.deliver(wigeonscheduler.ProbeAnswered{Endpoint: f.Endpoint, Healthy: s.engineByName[f.Endpoint].alive, Latency: 2 * messageDelay})
		})
	case wigeonscheduler.ReserveWeightSlot:
		s.scheduleAfter(2*messageDelay, func() { s.deliver(wigeonscheduler.WeightSlotAnswered{Endpoint: f.Endpoint, Model: f.Model}) })
	case wigeonscheduler.SendOrder:
		s.scheduleAfter(modelLoadDelay, func() { s.loadModel(f) })
	}
}

// modelLoadDelay is the time that an engine takes to load a model.
const modelLoadDelay = 10 * time.Second

// loadModel replaces the models of an engine by the one that the order names, and acknowledges the order.
func (s *simulation) loadModel(f wigeonscheduler.SendOrder) {
	e := s.engineByName[f.Endpoint]
	spec := *e.spec
	spec.Models = []string{f.Order.Subject}
	e.spec = &spec
	s.deliver(wigeonscheduler.OrderAnswered{Endpoint: f.Endpoint, Order: f.Order, Accepted: true})
}

// scheduleTick schedules a Tick event. It replaces a tick that was scheduled before.
func (s *simulation) scheduleTick(at time.Duration) {
	s.nextTickAt = max(at, s.now)
	s.schedule(s.nextTickAt, func() {
		if s.nextTickAt == s.now {
			s.nextTickAt = -1
			s.deliver(wigeonscheduler.Tick{})
		}
	})
}

// applyFault applies a fault of the scenario to its engine.
func (s *simulation) applyFault(f wigeontrace.Fault) {
	e := s.engines[f.EngineIndex]
	switch f.Kind {
	case wigeontrace.FaultSlow:
		e.slowdownFactor = f.SlowdownFactor
	case wigeontrace.FaultCrash:
		s.crashEngine(e, f.RestartDelay)
	}
}

// crashEngine crashes an engine and restarts it after a delay.
func (s *simulation) crashEngine(e *engine, restartDelay time.Duration) {
	if !e.alive {
		return
	}
	for _, q := range e.crash() {
		if q.removed {
			continue
		}
		s.scheduleAfter(lossDetectionDelay, func() { s.handleEngineLoss(q.attempt) })
	}
	s.scheduleAfter(restartDelay, func() { e.alive = true })
}

// reportLoad sends a load report that arrives after a random lag, and schedules the next one.
func (s *simulation) reportLoad(e *engine) {
	if e.alive {
		report := e.loadReport(startTime.Add(s.now))
		span := s.scenario.LoadLagMax - s.scenario.LoadLagMin
		lag := s.scenario.LoadLagMin + time.Duration(s.random.Float64()*float64(span))
		s.scheduleAfter(lag, func() { s.deliver(wigeonscheduler.LoadReported{Endpoint: e.spec.Name, Report: report}) })
	}
	s.scheduleAfter(loadReportInterval, func() { s.reportLoad(e) })
}

// reportCacheEvents sends a batch of cache events that arrives after a random lag or is lost, and schedules the next
// one.
func (s *simulation) reportCacheEvents(e *engine) {
	if e.alive && len(e.unpublishedEvents) > 0 {
		batch := wigeonshift.CacheBatch{Incarnation: e.incarnationName(), Events: e.unpublishedEvents}
		e.unpublishedEvents = nil
		span := s.scenario.CacheLagMax - s.scenario.CacheLagMin
		lag := s.scenario.CacheLagMin + time.Duration(s.random.Float64()*float64(span))
		if s.random.Float64() >= s.scenario.CacheLossRate {
			s.scheduleAfter(lag, func() { s.deliver(wigeonscheduler.CacheReported{Endpoint: e.spec.Name, Batch: batch}) })
		}
	}
	s.scheduleAfter(cacheReportInterval, func() { s.reportCacheEvents(e) })
}

// startStep starts an engine's next step if the engine is idle. The step's end is ignored if the engine has crashed by
// then.
func (s *simulation) startStep(e *engine) {
	if !e.alive || e.step != nil {
		return
	}
	stepTime := e.startStep(&s.prefill)
	if stepTime == 0 {
		return
	}
	incarnation := e.incarnation
	s.scheduleAfter(stepTime, func() {
		if e.incarnation == incarnation {
			s.finishStep(e)
		}
	})
}

// finishStep ends a step. Every sequence of the step whose prompt is computed generates a token. A poison request
// crashes the engine instead.
func (s *simulation) finishStep(e *engine) {
	step := e.step
	e.step = nil
	for _, work := range step {
		q := work.sequence
		if q.removed || q.paused || q.remainingPromptTokens() > 0 {
			continue
		}
		if q.attempt.request.Poison {
			s.crashEngine(e, poisonRestartDelay)
			return
		}
		q.outputTokens++
		s.handleToken(e, q)
	}
	s.startStep(e)
}
