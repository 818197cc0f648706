package wigeondispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"wigeonshift"
)

// fleetSimulation simulates several instances, each with its own reducer, that send a random load to model engines. It
// runs in virtual time with a fixed seed.
type fleetSimulation struct {
	// at is the current virtual time.
	at time.Duration
	// loadRandom generates the load. routingRandom is separate, so that the load doesn't depend on decisions of the
	// instances.
	loadRandom, routingRandom *rand.Rand
	instances                 []*fleetInstance
	engines                   map[string]*fleetEngine
	engineList                []*fleetEngine
	// pending holds the scheduled events in order of time.
	pending  []fleetEvent
	counts   fleetCounts
	nextJob  JobID
	kinds    []fleetKind
	requests []*fleetRequest
	// jobs maps every job to its request, because an event can have effects on any job.
	jobs     map[JobID]*fleetRequest
	duration time.Duration
	// hidesParts is set if the instances aren't told the parts of prompts.
	hidesParts bool
	// readUntil holds the time until which reading each shared part counts as reading it again.
	readUntil map[string]time.Duration
}

// fleetKind describes one kind of request: its rate, mean sizes, time limits and value.
type fleetKind struct {
	tier              int
	requestsPerSecond float64
	promptTokens      float64
	answerTokens      float64
	// sizeSigma is the standard deviation of the logarithm of the sizes.
	sizeSigma float64
	objective time.Duration
	patience  time.Duration
	timeout   time.Duration
	value     float64
	// late is the share of its value that a late answer still earns.
	late float64
	// subjects is the number of different parts with which prompts begin; zero if prompts share none. Each has sharedTokens
	// tokens in addition to promptTokens.
	subjects, sharedTokens int
}

// fleetEvent is a function that is scheduled for a time.
type fleetEvent struct {
	at  time.Duration
	seq int
	run func()
}

// fleetInstance is one instance with its reducer.
type fleetInstance struct {
	name  string
	state *State
}

// fleetRequest is one request of a caller, including its retries.
type fleetRequest struct {
	kind         int
	arrivedAt    time.Duration
	attempts     int
	promptTokens int
	answerTokens int
	value        float64
	// resolved is set once the request was answered, refused for good or abandoned by its caller.
	resolved bool
	isLarge  bool
	// parts are the parts of its prompt.
	parts []wigeonshift.PromptPart
}

// fleetCounts counts the outcomes of requests by kind.
type fleetCounts struct {
	requests, onTime, late, refused, abandoned []int
	offeredValue, earnedValue                  []float64
	largeRequests, largeServed                 int
	callerRetriesRefused                       int
	// tokensReadAgain is the number of tokens in shared parts that an engine read within fleetKeepTime after another, or the same
	// one, had read them; tokensKept the number that the engine had kept.
	tokensReadAgain, tokensKept int
}

// fleetEngine simulates a model engine. It runs up to slots requests at a time and queues the others in order of arrival.
// In each step it prefills a chunk of the prompts and decodes one token of each answer.
type fleetEngine struct {
	id          string
	speedFactor float64
	slots       int
	running     []*fleetRun
	queue       []*fleetRun
	nextStepAt  time.Duration
	// keptUntil holds the time until which the engine keeps each shared part.
	keptUntil map[string]time.Duration
	// busy is the sum of the time that slots were in use, in slot-seconds.
	busy float64
}

// fleetRun is the attempt of a request on an engine.
type fleetRun struct {
	job      JobID
	instance *fleetInstance
	request  *fleetRequest
	// promptTokens is the number of prompt tokens that are not prefilled yet.
	promptTokens   int
	targetTokens   int
	producedTokens int
}

const (
	fleetBaseStepTime                = 3400 * time.Microsecond
	fleetStepTimePerSlot             = 100 * time.Microsecond
	fleetPrefillTokensPerMillisecond = 112
	fleetPrefillChunkTokens          = 2048
	fleetTokensPerEvent              = 5
	fleetReportInterval              = 50 * time.Millisecond
	fleetOtherGroupReportInterval    = 2 * time.Second
	fleetKeepTime                    = 10 * time.Second
)

// newFleetSimulation returns a simulation of instances in one zone that all use the same engines, which differ in
// speed.
func newFleetSimulation(seed uint64, instances, engines, slots int, kinds []fleetKind) *fleetSimulation {
	f := &fleetSimulation{loadRandom: rand.New(rand.NewPCG(seed, 1)), routingRandom: rand.New(rand.NewPCG(seed, 2)),
		engines: map[string]*fleetEngine{}, kinds: kinds,
		jobs: map[JobID]*fleetRequest{}, readUntil: map[string]time.Duration{}}
	n := len(kinds)
	f.counts = fleetCounts{
		requests: make([]int, n), onTime: make([]int, n), late: make([]int, n), refused: make([]int, n),
		abandoned: make([]int, n), offeredValue: make([]float64, n), earnedValue: make([]float64, n),
	}
	profile := &wigeonshift.EngineProfile{Slots: slots, CacheTokens: 560_000, EventTokens: fleetTokensPerEvent}
	configuration := &wigeonshift.RoutingConfiguration{
		Version: 1, Services: []wigeonshift.RoutedService{{Name: "model", Engine: profile}},
	}
	speeds := []float64{0.55, 0.8, 1, 1, 1.3, 2.8}
	var records []wigeonshift.EndpointRecord
	for i := range engines {
		e := &fleetEngine{
			id: fmt.Sprintf("engine-%02d", i), speedFactor: speeds[i%len(speeds)], slots: slots, keptUntil: map[string]time.Duration{},
		}
		f.engines[e.id] = e
		f.engineList = append(f.engineList, e)
		records = append(records, wigeonshift.EndpointRecord{ID: e.id, Service: "model", Address: e.id, Slots: slots, Zone: "z"})
	}
	var all []wigeonshift.Instance
	for i := range instances {
		all = append(all, wigeonshift.Instance{ID: fmt.Sprintf("instance-%d", i), Address: fmt.Sprintf("10.0.0.%d", i), Zone: "z"})
	}
	for i := range instances {
		x := &fleetInstance{name: fmt.Sprintf("instance-%d", i)}
		x.state = New(Settings{
			RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second, Instance: x.name, Zone: "z",
		})
		x.state.Reduce(ConfigurationChanged{Configuration: configuration})
		x.state.Reduce(EndpointsListed{Records: records})
		x.state.Reduce(InstancesListed{Instances: all})
		f.instances = append(f.instances, x)
	}
	return f
}

// schedule schedules a function to run after a delay. Functions of the same time run in the order in which they were
// scheduled, so that a seed always gives the same result.
func (f *fleetSimulation) schedule(d time.Duration, run func()) {
	ev := fleetEvent{at: f.at + d, seq: len(f.pending), run: run}
	i := sort.Search(len(f.pending), func(i int) bool { return f.pending[i].at > ev.at })
	f.pending = append(f.pending, fleetEvent{})
	copy(f.pending[i+1:], f.pending[i:])
	f.pending[i] = ev
}

// simulate generates load for a duration and runs for 20 s more so that requests can end. rate returns the factor by which
// the request rates of all kinds are multiplied at a time.
func (f *fleetSimulation) simulate(duration time.Duration, rate func(at time.Duration) float64) {
	const step = time.Millisecond
	f.duration = duration
	for f.at < duration+20*time.Second {
		for len(f.pending) > 0 && f.pending[0].at <= f.at {
			ev := f.pending[0]
			f.pending = f.pending[1:]
			ev.run()
		}
		if f.at < duration {
			f.generateArrivals(step, rate(f.at))
		}
		for _, e := range f.engineList {
			f.runEngine(e)
		}
		if f.at%fleetReportInterval == 0 {
			f.exchangeReports(func(x *fleetInstance, effects []Effect) { f.applyEffects(x, nil, effects) })
		}
		f.at += step
	}
}

// generateArrivals sends the requests that arrive in one time step.
func (f *fleetSimulation) generateArrivals(step time.Duration, factor float64) {
	for k, kind := range f.kinds {
		if f.loadRandom.Float64() >= kind.requestsPerSecond*factor*step.Seconds() {
			continue
		}
		size := f.lognormal(kind.sizeSigma)
		r := &fleetRequest{
			kind: k, arrivedAt: f.at, promptTokens: max(int(kind.promptTokens*size), 16),
			answerTokens: max(int(kind.answerTokens*f.lognormal(kind.sizeSigma)), 5),
		}
		if kind.subjects > 0 {
			r.parts = []wigeonshift.PromptPart{
				{ID: fmt.Sprintf("%d-%d", k, f.loadRandom.IntN(kind.subjects)), Tokens: kind.sharedTokens},
				{ID: fmt.Sprintf("own-%d", len(f.requests)), Tokens: r.promptTokens},
			}
			r.promptTokens += kind.sharedTokens
		}
		r.isLarge = size > 3
		relative := float64(r.promptTokens+10*r.answerTokens) / (kind.promptTokens + 10*kind.answerTokens)
		r.value = 0.3 + 0.7*min(relative, 4)
		f.requests = append(f.requests, r)
		f.counts.requests[k]++
		f.counts.offeredValue[k] += r.value
		if r.isLarge {
			f.counts.largeRequests++
		}
		f.sendAttempt(r)
	}
}

// lognormal returns a random factor with a log-normal distribution of mean 1, cut off at 8.
func (f *fleetSimulation) lognormal(sigma float64) float64 {
	return min(math.Exp(f.loadRandom.NormFloat64()*sigma-sigma*sigma/2), 8)
}

// sendAttempt sends a request to a random instance.
func (f *fleetSimulation) sendAttempt(r *fleetRequest) {
	kind := f.kinds[r.kind]
	x := f.instances[f.routingRandom.IntN(len(f.instances))]
	f.nextJob++
	r.attempts++
	elapsed := f.at - r.arrivedAt
	j := &Job{
		ID: f.nextJob, Service: "model", Route: strconv.Itoa(r.kind), Tier: 1, RouteTier: wigeonshift.TierRank(kind.tier),
		Kind:    wigeonshift.RouteStreaming,
		Arrived: f.at, Deadline: f.at + kind.timeout - elapsed, Elapsed: elapsed, LatencyObjective: kind.objective,
		CallerPatience: kind.patience, MaxAttempts: 1, HasTokens: true, PromptTokens: r.promptTokens, AnswerTokens: r.answerTokens,
		ExpectedAnswerTokens: r.answerTokens, PromptParts: r.parts,
	}
	if f.hidesParts {
		j.PromptParts = nil
	}
	f.applyEffects(x, r, x.state.Reduce(RequestArrived{At: f.at, Job: j}))
	id := j.ID
	f.schedule(kind.patience, func() { f.handlePatienceTimeout(x, r, id) })
}

// handlePatienceTimeout abandons an attempt whose caller has received no event.
func (f *fleetSimulation) handlePatienceTimeout(x *fleetInstance, r *fleetRequest, id JobID) {
	j := x.state.jobs[id]
	if j == nil || j.firstEventLatency > 0 {
		return
	}
	r.resolved = true
	f.counts.abandoned[r.kind]++
	if j.assignedEndpoint == nil {
		f.applyEffects(x, r, x.state.Reduce(RequestWithdrawn{At: f.at, Job: id}))
		return
	}
	f.removeRun(f.engines[j.assignedEndpoint.record.ID], id)
	f.applyEffects(x, r, x.state.Reduce(AttemptEnded{At: f.at, Job: id, Outcome: OutcomeAbandoned}))
}

// removeRun removes a job from the running and queued ones of an engine.
func (f *fleetSimulation) removeRun(e *fleetEngine, id JobID) {
	for _, list := range []*[]*fleetRun{&e.running, &e.queue} {
		for i, run := range *list {
			if run.job == id {
				*list = append((*list)[:i], (*list)[i+1:]...)
				return
			}
		}
	}
}

// applyEffects carries out the effects that a reducer returned. r is the request of the latest job, or nil if the event
// doesn't belong to a single request.
func (f *fleetSimulation) applyEffects(x *fleetInstance, r *fleetRequest, effects []Effect) {
	if r != nil {
		if _, known := f.jobs[f.nextJob]; !known {
			f.jobs[f.nextJob] = r
		}
	}
	for _, effect := range effects {
		switch e := effect.(type) {
		case Dispatch:
			request := f.jobs[e.Job]
			run := &fleetRun{job: e.Job, instance: x, request: request, promptTokens: request.promptTokens,
				targetTokens: request.answerTokens}
			f.schedule(2*time.Millisecond, func() { f.enqueueRun(f.engines[e.EndpointID], run) })
		case Refuse:
			f.refused(f.jobs[e.Job], e.RetryAfter)
		case Failure:
			f.jobs[e.Job].resolved = true
		}
	}
}

// refused schedules a retry after a refusal. The request ends instead if it was a retry already, or if the delay is more
// than a third of its remaining time.
func (f *fleetSimulation) refused(r *fleetRequest, wait time.Duration) {
	if r.attempts > 1 || wait > (f.kinds[r.kind].timeout-(f.at-r.arrivedAt))/3 {
		if r.attempts > 1 {
			f.counts.callerRetriesRefused++
		}
		r.resolved = true
		f.counts.refused[r.kind]++
		return
	}
	f.schedule(wait, func() { f.sendAttempt(r) })
}

// enqueueRun adds a run to the queue of an engine when the request reaches it, unless the request was resolved
// meanwhile.
func (f *fleetSimulation) enqueueRun(e *fleetEngine, run *fleetRun) {
	if run.request.resolved {
		return
	}
	e.queue = append(e.queue, run)
}

// runEngine runs the next step of an engine if it is due. It starts queued runs in free slots, and then prefills
// prompts or decodes one token of each answer. The next step is due after the time that this work takes at the speed
// of the engine.
func (f *fleetSimulation) runEngine(e *fleetEngine) {
	if e.nextStepAt > f.at {
		return
	}
	for len(e.running) < e.slots && len(e.queue) > 0 {
		f.skipKeptPart(e, e.queue[0])
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
	if len(e.running) == 0 {
		return
	}
	work := fleetBaseStepTime + time.Duration(len(e.running))*fleetStepTimePerSlot
	chunk := fleetPrefillChunkTokens
	var done []*fleetRun
	for _, run := range e.running {
		if run.promptTokens > 0 {
			n := min(run.promptTokens, chunk)
			chunk -= n
			run.promptTokens -= n
			work += time.Duration(float64(n) / fleetPrefillTokensPerMillisecond * float64(time.Millisecond))
			continue
		}
		run.producedTokens++
		if run.producedTokens == 1 {
			f.handleFirstToken(run)
		}
		if run.producedTokens >= run.targetTokens {
			done = append(done, run)
		}
	}
	work = time.Duration(float64(work) / e.speedFactor)
	e.busy += float64(len(e.running)) * work.Seconds()
	e.nextStepAt = f.at + work
	for _, run := range done {
		f.removeRun(e, run.job)
		f.applyEffects(run.instance, nil, run.instance.state.Reduce(AttemptEnded{
			At: f.at, Job: run.job, Outcome: OutcomeDone, Events: run.targetTokens / fleetTokensPerEvent,
		}))
	}
}

// skipKeptPart removes the shared part of a prompt from the tokens that a run reads if the engine keeps it.
func (f *fleetSimulation) skipKeptPart(e *fleetEngine, run *fleetRun) {
	if len(run.request.parts) == 0 {
		return
	}
	part := run.request.parts[0]
	switch {
	case e.keptUntil[part.ID] > f.at:
		run.promptTokens -= part.Tokens
		f.counts.tokensKept += part.Tokens
	case f.readUntil[part.ID] > f.at:
		f.counts.tokensReadAgain += part.Tokens
	}
	e.keptUntil[part.ID], f.readUntil[part.ID] = f.at+fleetKeepTime, f.at+fleetKeepTime
}

// handleFirstToken records the first token of an answer: whether it is on time and what value it earns.
func (f *fleetSimulation) handleFirstToken(run *fleetRun) {
	r := run.request
	kind := f.kinds[r.kind]
	r.resolved = true
	if f.at-r.arrivedAt <= kind.objective {
		f.counts.onTime[r.kind]++
		f.counts.earnedValue[r.kind] += r.value
	} else {
		f.counts.late[r.kind]++
		f.counts.earnedValue[r.kind] += r.value * kind.late
	}
	if r.isLarge {
		f.counts.largeServed++
	}
	f.applyEffects(run.instance, nil, run.instance.state.Reduce(FirstEventReceived{At: f.at, Job: run.job}))
}

// exchangeReports sends the load of every instance to the others of its group and, less often, to those of other groups.
// carryOut carries out the effects of an instance.
func (f *fleetSimulation) exchangeReports(carryOut func(x *fleetInstance, effects []Effect)) {
	for i, x := range f.instances {
		load := x.state.Load()
		toAll := (f.at+time.Duration(i)*fleetReportInterval)%fleetOtherGroupReportInterval == 0
		for _, y := range f.instances {
			if x != y && (toAll || x.state.groups.SameGroup(x.name, y.name)) {
				f.schedule(2*time.Millisecond, func() {
					carryOut(y, y.state.Reduce(PeerReported{At: f.at, Peer: x.name, Load: load}))
				})
			}
		}
		carryOut(x, x.state.Reduce(Tick{At: f.at}))
	}
}

// valueShare returns the earned value as a share of the offered value.
func (f *fleetSimulation) valueShare() float64 {
	offeredValue, earnedValue := 0.0, 0.0
	for k, kind := range f.kinds {
		offeredValue += kind.value * f.counts.offeredValue[k]
		earnedValue += kind.value * f.counts.earnedValue[k]
	}
	return earnedValue / offeredValue
}

// served returns the share of the requests that were served, late or not.
func (f *fleetSimulation) served() float64 {
	requests, served := 0, 0
	for k := range f.kinds {
		requests += f.counts.requests[k]
		served += f.counts.onTime[k] + f.counts.late[k]
	}
	return float64(served) / float64(requests)
}

// valueShareBound returns an upper bound of the value share. It is the share of a scheduler that knows all requests in
// advance and can run them at any time: it runs those with the highest ratio of value to cost first, until the time of the
// engines is used up.
func (f *fleetSimulation) valueShareBound() float64 {
	perToken := fleetBaseStepTime.Seconds()/float64(f.engineList[0].slots) + fleetStepTimePerSlot.Seconds()
	cost := func(r *fleetRequest) float64 {
		return float64(r.promptTokens)/fleetPrefillTokensPerMillisecond/1000 + float64(r.answerTokens)*perToken
	}
	value := func(r *fleetRequest) float64 { return f.kinds[r.kind].value * r.value }
	order := append([]*fleetRequest(nil), f.requests...)
	sort.SliceStable(order, func(i, k int) bool { return value(order[i])/cost(order[i]) > value(order[k])/cost(order[k]) })
	left := 0.0
	for _, e := range f.engineList {
		left += e.speedFactor * (f.duration + time.Second).Seconds()
	}
	offeredValue, earnedValue := 0.0, 0.0
	for _, r := range order {
		offeredValue += value(r)
		if left > 0 {
			earnedValue += value(r)
			left -= cost(r)
		}
	}
	return earnedValue / offeredValue
}

// summary returns the results of the simulation as a text.
func (f *fleetSimulation) summary() string {
	out := fmt.Sprintf("value share %.3f of at most %.3f", f.valueShare(), f.valueShareBound())
	for k := range f.kinds {
		c := f.counts
		out += fmt.Sprintf("; tier %d: %d requests, on time %d, late %d, refused %d, abandoned %d", f.kinds[k].tier,
			c.requests[k], c.onTime[k], c.late[k], c.refused[k], c.abandoned[k])
	}
	busy := 0.0
	for _, e := range f.engineList {
		busy += e.busy / float64(e.slots) / f.duration.Seconds() / float64(len(f.engineList))
	}
	return out + fmt.Sprintf("; large requests served %d of %d; retries refused %d; slot utilisation %.2f",
		f.counts.largeServed, f.counts.largeRequests, f.counts.callerRetriesRefused, busy)
}
