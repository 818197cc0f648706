package wigeonshare_test

import (
	"container/heap"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing/synctest"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonbudget"
	"wigeonshift/internal/services/wigeondispatch"
	"wigeonshift/internal/services/wigeonshare"
	"wigeonshift/internal/soak/wigeonwindow"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// fleet simulates instances with their reducers and leases before endpoints that fail requests, in virtual time. It records
// when callers send requests and when endpoints receive one again.
type fleet struct {
	random    *rand.Rand
	limit     wigeonwindow.RepeatLimit
	startedAt time.Time
	store     *fakeStore
	log       *logrus.Logger
	machines  []*machine
	record    wigeonwindow.Record
	pending   eventQueue
	lastJob   wigeondispatch.JobID
	// starts is the number of processes that were started.
	starts  int
	arrived map[arrivalKey]bool
	// rejectShare is the share of requests that endpoints reject; the rest of the failing ones lose their answers.
	failShare, rejectShare float64
	// maxSendDelay and maxArrivalDelay bound the random delays of requests and of their arrival at an endpoint.
	maxSendDelay, maxArrivalDelay time.Duration
	// units is the number of units of the organisation's quota that each request uses.
	units float64
	// charged holds the requests that an endpoint ran.
	charged []wigeonwindow.Charge
	// exchangeLoads makes the processes send each other load notices.
	exchangeLoads bool
}

// arrivalKey identifies a request over all instances.
type arrivalKey struct {
	process *process
	job     wigeondispatch.JobID
}

// machine is an address at which processes run one after the other.
type machine struct {
	name    string
	fleet   *fleet
	process *process
	// frozenUntil is the time until which its process doesn't run, cutUntil that until which it doesn't reach the store, and
	// peersCutUntil that until which it doesn't reach the other machines.
	frozenUntil, cutUntil, peersCutUntil time.Time
}

// process is one start of an instance.
type process struct {
	machine *machine
	// id is unique for each start.
	id        string
	startedAt time.Time
	state     *wigeondispatch.State
	share     *wigeonshare.Service
	jobs      map[wigeondispatch.JobID]*wigeondispatch.Job
	dead      bool

	mu sync.Mutex
	// granted holds shares that were published since the latest event, share is the latest one.
	granted        []wigeondispatch.ShareGranted
	publishedShare float64
}

// event is a function that runs at a time.
type event struct {
	at  time.Time
	seq int
	run func()
}

// eventQueue is a heap of events.
type eventQueue struct {
	events []event
	seq    int
}

func (q *eventQueue) Len() int { return len(q.events) }
func (q *eventQueue) Less(i, k int) bool {
	if q.events[i].at.Equal(q.events[k].at) {
		return q.events[i].seq < q.events[k].seq
	}
	return q.events[i].at.Before(q.events[k].at)
}
func (q *eventQueue) Swap(i, k int) { q.events[i], q.events[k] = q.events[k], q.events[i] }
func (q *eventQueue) Push(x any)    { q.events = append(q.events, x.(event)) }
func (q *eventQueue) Pop() any {
	last := q.events[len(q.events)-1]
	q.events = q.events[:len(q.events)-1]
	return last
}

const (
	fleetTick      = 50 * time.Millisecond
	fleetEndpoints = 40
)

func newFleet(seed uint64, machines int, limit wigeonwindow.RepeatLimit) *fleet {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), limit: limit, startedAt: time.Now(), log: log, arrived: map[arrivalKey]bool{},
		failShare: 1, rejectShare: 1, maxSendDelay: 10 * time.Millisecond, maxArrivalDelay: 10 * time.Millisecond,
	}
	f.store = newFakeStore(seed)
	for range machines {
		f.addMachine()
	}
	return f
}

func (f *fleet) since() time.Duration { return time.Since(f.startedAt) }

// after schedules a function.
func (f *fleet) after(d time.Duration, run func()) {
	f.pending.seq++
	heap.Push(&f.pending, event{at: time.Now().Add(d), seq: f.pending.seq, run: run})
}

// run runs the scheduled events for a duration.
func (f *fleet) run(d time.Duration) {
	end := time.Now().Add(d)
	for f.pending.Len() > 0 && f.pending.events[0].at.Before(end) {
		next := heap.Pop(&f.pending).(event)
		time.Sleep(time.Until(next.at))
		synctest.Wait()
		next.run()
	}
	time.Sleep(time.Until(end))
}

func (f *fleet) addMachine() {
	m := &machine{name: fmt.Sprintf("machine-%d", len(f.machines)), fleet: f}
	f.machines = append(f.machines, m)
	m.start()
	for _, other := range f.machines {
		if other.process != nil {
			other.process.share.SetInstanceCount(len(f.machines))
		}
	}
}

// start starts a process on the machine.
func (m *machine) start() {
	f := m.fleet
	f.starts++
	p := &process{machine: m, id: fmt.Sprintf("%s-%d", m.name, f.starts), startedAt: time.Now(), jobs: map[wigeondispatch.JobID]*wigeondispatch.Job{}}
	p.state = wigeondispatch.New(wigeondispatch.Settings{
		RetryRatio: f.limit.Ratio, RetrySlack: f.limit.Slack, RetryWindow: f.limit.Window, Instance: p.id, Zone: "z",
		QuotaOverage: quotaOverage, QuotaSlack: quotaSlack, QuotaWindow: quotaWindow,
	})
	var records []wigeonshift.EndpointRecord
	for i := range fleetEndpoints {
		id := fmt.Sprintf("endpoint-%d", i)
		records = append(records, wigeonshift.EndpointRecord{ID: id, Service: "s", Address: id, Zone: "z", Slots: 1000})
	}
	p.state.Reduce(wigeondispatch.EndpointsListed{Records: records})
	p.state.Reduce(wigeondispatch.ConfigurationChanged{Configuration: &wigeonshift.RoutingConfiguration{
		Organisations: []wigeonshift.RoutedOrganisation{
			{Name: "o", UnitsPerSecond: quotaUnitsPerSecond, Burst: quotaUnitsPerSecond, CountsTokens: true},
		},
	}})
	p.share = wigeonshare.New(wigeonshare.Settings{
		Holder: wigeonshare.HolderOf(m.name), Cooldown: f.limit.Window + wigeonbudget.MaxArrivalDelay, Clock: p.now, Publish: p.publish,
	}, &machineStore{machine: m, process: p, store: f.store}, f.log, tally.NoopScope)
	p.share.SetInstanceCount(len(f.machines))
	p.share.Start(context.Background())
	m.process = p
	f.listInstances()
	p.tick()
}

// kill ends the process of the machine. It can't renew its lease any more.
func (m *machine) kill() {
	if m.process == nil {
		return
	}
	p := m.process
	p.mu.Lock()
	p.dead = true
	p.mu.Unlock()
	m.process = nil
	m.fleet.reportLost(p)
	go p.share.Stop()
}

func (p *process) now() time.Duration { return time.Since(p.startedAt) }

func (p *process) frozen() bool { return time.Now().Before(p.machine.frozenUntil) }

// whenRunning runs a function now, or when the process is no longer frozen, unless it has ended.
func (p *process) whenRunning(run func()) {
	switch {
	case p.dead:
	case p.frozen():
		p.machine.fleet.after(time.Until(p.machine.frozenUntil), func() { p.whenRunning(run) })
	default:
		run()
	}
}

// publish keeps the share for the next event of the process.
func (p *process) publish(share float64, until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.publishedShare = share
	p.granted = append(p.granted, wigeondispatch.ShareGranted{Share: share, Until: until})
}

// reduce passes an event to the reducer and carries out the effects.
func (p *process) reduce(e wigeondispatch.Event) {
	p.mu.Lock()
	granted := p.granted
	p.granted = nil
	p.mu.Unlock()
	for _, g := range granted {
		g.At = p.now()
		p.apply(g)
	}
	p.apply(e)
}

func (p *process) apply(e wigeondispatch.Event) {
	for _, effect := range p.state.Reduce(e) {
		if d, ok := effect.(wigeondispatch.Dispatch); ok {
			p.dispatch(d)
		}
	}
}

func (p *process) tick() {
	p.whenRunning(func() {
		p.reduce(wigeondispatch.Tick{At: p.now()})
		p.sendLoad()
		p.machine.fleet.after(fleetTick, p.tick)
	})
}

// listInstances passes the instances of the fleet to all processes. A machine without a process is still listed.
func (f *fleet) listInstances() {
	var instances []wigeonshift.Instance
	for _, m := range f.machines {
		i := wigeonshift.Instance{ID: m.name, Address: m.name, Zone: "z"}
		if m.process != nil {
			i.ID = m.process.id
		}
		instances = append(instances, i)
	}
	for _, m := range f.machines {
		if p := m.process; p != nil {
			p.whenRunning(func() { p.reduce(wigeondispatch.InstancesListed{At: p.now(), Instances: instances}) })
		}
	}
}

// reportLost tells the other processes that the sessions with a process have ended, unless they are cut off from it.
func (f *fleet) reportLost(lost *process) {
	for _, m := range f.machines {
		p := m.process
		if p == nil || time.Now().Before(m.peersCutUntil) || time.Now().Before(lost.machine.peersCutUntil) {
			continue
		}
		f.after(f.randomDelay(4*time.Millisecond), func() {
			p.whenRunning(func() { p.reduce(wigeondispatch.PeerLost{At: p.now(), Peer: lost.id}) })
		})
	}
}

// sendLoad sends a load notice to the other machines that can be reached.
func (p *process) sendLoad() {
	f := p.machine.fleet
	if !f.exchangeLoads {
		return
	}
	notice := p.state.Load()
	for _, m := range f.machines {
		if m == p.machine || time.Now().Before(m.peersCutUntil) || time.Now().Before(p.machine.peersCutUntil) {
			continue
		}
		f.after(f.randomDelay(4*time.Millisecond), func() {
			if other := m.process; other != nil {
				other.whenRunning(func() {
					other.reduce(wigeondispatch.PeerReported{At: other.now(), Peer: p.id, Load: notice})
				})
			}
		})
	}
}

// dispatch sends a request to an endpoint. A resend that is delayed too long is not sent.
func (p *process) dispatch(d wigeondispatch.Dispatch) {
	f := p.machine.fleet
	f.after(f.randomDelay(f.maxArrivalDelay/4), func() {
		p.whenRunning(func() {
			if d.MaxSendDelay > 0 && p.now()-d.DecidedAt > d.MaxSendDelay {
				p.endAttempt(d, wigeondispatch.OutcomeDelayed)
				return
			}
			f.after(f.randomDelay(f.maxArrivalDelay/2), func() { f.arrive(p, d) })
		})
	})
}

// arrive records the arrival of a request at an endpoint, which answers, rejects it or loses the answer.
func (f *fleet) arrive(p *process, d wigeondispatch.Dispatch) {
	key := arrivalKey{process: p, job: d.Job}
	if f.arrived[key] {
		f.record.Repeats = append(f.record.Repeats, f.since())
	}
	f.arrived[key] = true
	outcome := wigeondispatch.OutcomeDone
	if job := p.jobs[d.Job]; job != nil {
		f.charged = append(f.charged, wigeonwindow.Charge{Sent: p.startedAt.Sub(f.startedAt) + job.Arrived, Arrived: f.since()})
		delete(p.jobs, d.Job)
	}
	if f.random.Float64() < f.failShare {
		outcome = wigeondispatch.OutcomeLost
		if f.random.Float64() < f.rejectShare {
			outcome = wigeondispatch.OutcomeRejected
		}
	}
	f.after(f.randomDelay(f.maxArrivalDelay/2), func() { p.whenRunning(func() { p.endAttempt(d, outcome) }) })
}

func (p *process) endAttempt(d wigeondispatch.Dispatch, outcome wigeondispatch.Outcome) {
	p.reduce(wigeondispatch.AttemptEnded{At: p.now(), Job: d.Job, Outcome: outcome, Answerable: true})
}

func (f *fleet) randomDelay(longest time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(longest) + 1))
}

// sendRequests sends requests at a mean rate to the machines that pick returns, until the virtual time end.
func (f *fleet) sendRequests(perSecond float64, end time.Duration, pick func() *machine) {
	if f.since() >= end {
		return
	}
	f.sendRequest(pick())
	wait := time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second))
	f.after(wait, func() { f.sendRequests(perSecond, end, pick) })
}

// sendRequest sends a request to a machine. It counts even if no process runs there.
func (f *fleet) sendRequest(m *machine) {
	f.record.Requests = append(f.record.Requests, f.since())
	f.after(f.randomDelay(f.maxSendDelay), func() {
		if p := m.process; p != nil {
			p.whenRunning(func() { p.accept() })
		}
	})
}

// accept passes a new request to the reducer.
func (p *process) accept() {
	f := p.machine.fleet
	f.lastJob++
	j := &wigeondispatch.Job{
		ID: f.lastJob, Service: "s", Route: "r", Kind: wigeonshift.RouteIdempotent, Arrived: p.now(), Deadline: p.now() + 30*time.Second,
		LatencyObjective: 10 * time.Second, CallerPatience: 30 * time.Second, MaxAttempts: 3,
	}
	if f.units > 0 {
		j.Organisation, j.Units = "o", f.units
		p.jobs[j.ID] = j
	}
	p.reduce(wigeondispatch.RequestArrived{At: p.now(), Job: j})
}

func (f *fleet) anyMachine() *machine { return f.machines[f.random.IntN(len(f.machines))] }

// stop ends all processes.
func (f *fleet) stop() {
	for _, m := range f.machines {
		m.kill()
	}
}
