package wigeondispatch

import (
	"fmt"
	"math/rand/v2"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// sharedSimulation sends random load to the few plain endpoints of a service through a large fleet of instances, in virtual time.
type sharedSimulation struct {
	fleetSimulation
	endpoints map[string]*sharedEndpoint
	// onTime, late, refused and rejected count requests and rejected attempts.
	onTime, late, refused, rejected int
	arrivedAt                       map[JobID]time.Duration
}

// sharedEndpoint runs up to sharedSlots requests at a time, queues up to sharedQueue and rejects the others.
type sharedEndpoint struct {
	running int
	queue   []func()
}

const (
	sharedSlots, sharedQueue  = 6, 24
	sharedServiceTime         = 60 * time.Millisecond
	sharedObjective           = 300 * time.Millisecond
	sharedTimeout             = 1500 * time.Millisecond
	sharedInstances           = 80
	sharedEndpoints           = 4
	sharedRequestsPerSecond   = 240.0
	sharedSimulationDuration  = 20 * time.Second
	sharedNetworkDelay        = 3400 * time.Microsecond
	sharedSimulationIncrement = time.Millisecond
)

func newSharedSimulation(seed uint64) *sharedSimulation {
	f := &sharedSimulation{endpoints: map[string]*sharedEndpoint{}, arrivedAt: map[JobID]time.Duration{}}
	f.loadRandom, f.jobs = rand.New(rand.NewPCG(seed, 1)), map[JobID]*fleetRequest{}
	var records []wigeonshift.EndpointRecord
	for i := range sharedEndpoints {
		id := fmt.Sprintf("e%d", i)
		f.endpoints[id] = &sharedEndpoint{}
		records = append(records, wigeonshift.EndpointRecord{ID: id, Service: "plain", Slots: sharedSlots, Zone: fmt.Sprintf("z%d", i)})
	}
	var all []wigeonshift.Instance
	for i := range sharedInstances {
		all = append(all, wigeonshift.Instance{
			ID: fmt.Sprintf("i%d", i), Address: fmt.Sprintf("10.0.0.%d", i), Zone: fmt.Sprintf("z%d", i%sharedEndpoints),
		})
	}
	for i, instance := range all {
		x := &fleetInstance{name: instance.ID, state: New(Settings{Instance: instance.ID, Zone: all[i].Zone, RetryWindow: 10 * time.Second})}
		x.state.Reduce(ConfigurationChanged{Configuration: &wigeonshift.RoutingConfiguration{
			Services: []wigeonshift.RoutedService{{Name: "plain"}},
		}})
		x.state.Reduce(InstancesListed{Instances: all})
		x.state.Reduce(EndpointsListed{Records: records})
		f.instances = append(f.instances, x)
	}
	return f
}

// run sends load at a rate that is multiplied by factor in the second quarter of the time.
func (f *sharedSimulation) run(factor float64) {
	for f.at < sharedSimulationDuration+sharedTimeout {
		for len(f.pending) > 0 && f.pending[0].at <= f.at {
			ev := f.pending[0]
			f.pending = f.pending[1:]
			ev.run()
		}
		rate := sharedRequestsPerSecond
		if f.at >= sharedSimulationDuration/4 && f.at < sharedSimulationDuration/2 {
			rate *= factor
		}
		if f.at < sharedSimulationDuration && f.loadRandom.Float64() < rate*sharedSimulationIncrement.Seconds() {
			f.arrive(f.instances[f.loadRandom.IntN(sharedInstances)])
		}
		if f.at%fleetReportInterval == 0 {
			f.exchangeReports(f.carryOut)
		}
		f.at += sharedSimulationIncrement
	}
}

func (f *sharedSimulation) arrive(x *fleetInstance) {
	f.nextJob++
	id := f.nextJob
	f.arrivedAt[id] = f.at
	f.carryOut(x, x.state.Reduce(RequestArrived{At: f.at, Job: &Job{
		ID: id, Service: "plain", Route: "r", Kind: wigeonshift.RouteNonIdempotent, Arrived: f.at, Deadline: f.at + sharedTimeout,
		LatencyObjective: sharedObjective, CallerPatience: sharedTimeout, MaxAttempts: 1,
	}}))
}

func (f *sharedSimulation) carryOut(x *fleetInstance, effects []Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case Dispatch:
			f.schedule(sharedNetworkDelay, func() { f.receive(x, f.endpoints[e.EndpointID], e.Job) })
		case Refuse:
			f.refused++
		}
	}
}

// receive starts, queues or rejects a request at an endpoint.
func (f *sharedSimulation) receive(x *fleetInstance, e *sharedEndpoint, id JobID) {
	end := func(outcome Outcome) {
		f.carryOut(x, x.state.Reduce(AttemptEnded{At: f.at, Job: id, Outcome: outcome, Answerable: true, Succeeded: outcome == OutcomeDone}))
	}
	start := func() {
		e.running++
		f.schedule(sharedServiceTime, func() {
			e.running--
			if len(e.queue) > 0 {
				next := e.queue[0]
				e.queue = e.queue[1:]
				next()
			}
		})
		f.schedule(sharedServiceTime+sharedNetworkDelay, func() {
			if f.at-f.arrivedAt[id] <= sharedObjective {
				f.onTime++
			} else {
				f.late++
			}
			f.carryOut(x, x.state.Reduce(FirstEventReceived{At: f.at, Job: id}))
			end(OutcomeDone)
		})
	}
	switch {
	case e.running < sharedSlots:
		start()
	case len(e.queue) < sharedQueue:
		e.queue = append(e.queue, start)
	default:
		f.rejected++
		f.schedule(sharedNetworkDelay, func() { end(OutcomeRejected) })
	}
}

// 80 instances in groups share four endpoints of a plain service that have room for 400 requests per second. Groups know of each
// other's requests only after seconds: they all sent to the endpoint that was idle last, while the others were idle and most
// requests were refused.
var _ = DescribeTable("Endpoints that several groups share", func(factor, onTime float64) {
	total := sharedSimulation{}
	for seed := range uint64(3) {
		f := newSharedSimulation(seed)
		f.run(factor)
		total.onTime, total.late = total.onTime+f.onTime, total.late+f.late
		total.refused, total.rejected = total.refused+f.refused, total.rejected+f.rejected
	}
	AddReportEntry("requests", fmt.Sprintf("on time %d, late %d, refused %d, rejected attempts %d",
		total.onTime, total.late, total.refused, total.rejected))
	all := float64(total.onTime + total.late + total.refused)
	Expect(float64(total.onTime) / all).To(BeNumerically(">=", onTime))
	Expect(float64(total.rejected)/all).To(BeNumerically("<=", 0.03), "endpoints reject at most 3 %")
},
	// The load is 0.6 of what the endpoints can do.
	Entry("serve a steady load in time", 1.0, 0.99),
	// The burst is 1.2 times what they can do, so that a sixth of its requests can't be served.
	Entry("serve what they can in a burst", 2.0, 0.85),
)

var _ = Describe("The parts of groups at a shared endpoint", func() {
	It("add up to what the endpoint may have", func() {
		g := NewGroups(newSharedSimulation(0).instanceList())
		for _, n := range []int{1, 7, 18, 100} {
			sum := 0
			for _, name := range g.names {
				sum += g.part("e", name, n)
			}
			Expect(sum).To(Equal(n))
		}
	})
})

func (f *sharedSimulation) instanceList() []wigeonshift.Instance {
	var out []wigeonshift.Instance
	for i, x := range f.instances {
		out = append(out, wigeonshift.Instance{ID: x.name, Address: fmt.Sprintf("10.0.0.%d", i), Zone: x.state.settings.Zone})
	}
	return out
}

// All groups see the same reports of an endpoint that was idle two seconds ago. In a burst each of them took it for free, and
// endpoints had nearly twice as many requests as slots.
var _ = Describe("An endpoint of another group", func() {
	const slots, groups = 8, 6

	It("gets no more from all other groups together than was free by the latest reports", func() {
		var all []wigeonshift.Instance
		for i := range groups * groupSize {
			all = append(all, wigeonshift.Instance{ID: fmt.Sprintf("i%d", i), Address: fmt.Sprintf("10.0.0.%d", i), Zone: "z"})
		}
		var records []wigeonshift.EndpointRecord
		for i := range minEndpointsPerGroup * groups {
			records = append(records, wigeonshift.EndpointRecord{ID: fmt.Sprintf("e%d", i), Service: "model", Slots: slots, Zone: "z"})
		}
		g := NewGroups(all)
		owners := g.assignEndpoints(records)
		idle := records[0].ID
		states := map[string]*State{}
		for _, i := range all {
			x := New(Settings{Instance: i.ID, Zone: "z", RetryWindow: 10 * time.Second})
			x.Reduce(InstancesListed{Instances: all})
			x.Reduce(EndpointsListed{Records: records})
			// The owners of all other endpoints use all slots.
			load := wigeonshift.LoadNotice{}
			for _, r := range records[1:] {
				load.Endpoints = append(load.Endpoints, wigeonshift.EndpointLoad{Endpoint: r.ID, Running: slots + maxEndpointQueue})
			}
			x.Reduce(PeerReported{At: time.Second, Peer: "owner", Load: load})
			states[i.ID] = x
		}
		sent := 0
		for n, i := range all {
			if g.groupByInstance[i.ID] == owners[idle] {
				continue
			}
			for _, effect := range states[i.ID].Reduce(RequestArrived{At: time.Second, Job: &Job{
				ID: JobID(n + 1), Service: "model", Route: "r", Arrived: time.Second, Deadline: time.Minute, CallerPatience: time.Minute,
				MaxAttempts: 1, HasTokens: true, PromptTokens: 100, AnswerTokens: 10, ExpectedAnswerTokens: 10,
			}}) {
				if d, ok := effect.(Dispatch); ok {
					Expect(d.EndpointID).To(Equal(idle))
					sent++
				}
			}
			for _, k := range all {
				if k.ID != i.ID && g.SameGroup(k.ID, i.ID) {
					states[k.ID].Reduce(PeerReported{At: time.Second, Peer: i.ID, Load: states[i.ID].Load()})
				}
			}
		}
		Expect(sent).To(BeNumerically("<=", int(otherGroupMaxLoadShare*slots)))
		Expect(sent).To(BeNumerically(">=", int(otherGroupMaxLoadShare*slots)-1), "unused slots stay usable")
	})
})
