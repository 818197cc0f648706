package wigeondispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"wigeonshift"

	. "github.com/onsi/gomega"
)

// limitSchedule describes a run of the limit lab: a fleet, its load, the limits of its endpoints, and what happens to it.
type limitSchedule struct {
	instances, endpoints, slots int
	requestsPerSecond           float64
	runTime                     time.Duration
	// limited is the number of endpoints that name limits of perSecond from limitLabStart to limitLabEnd. If changed isn't zero, they
	// name changed from the middle of that time on.
	limited            int
	perSecond, changed float64
	// kills, joins, freezes and cuts are the times at which an instance is killed and started again, is added, stands still, or is
	// cut off from the others.
	kills, joins, freezes, cuts []time.Duration
	// skew is the largest difference of a clock from the true time.
	skew time.Duration
	// maxReportDelay is the longest delay of a report beside the notice interval.
	maxReportDelay time.Duration
}

const (
	limitLabStep  = 5 * time.Millisecond
	limitLabStart = 3 * time.Second
	limitLabEnd   = 13 * time.Second
	limitLabTime  = 18 * time.Second
	// limitLabOutage is the time for which an instance stands still or is cut off.
	limitLabOutage = 2 * time.Second
	// limitLabNotice is the time after which an instance must keep to a limit that it was told.
	limitLabNotice  = 500 * time.Millisecond
	limitLabWindow  = 4 * time.Second
	limitLabContact = 3 * time.Second
)

// limitLab runs the reducers of several instances before endpoints that name limits, in virtual time.
type limitLab struct {
	schedule  limitSchedule
	random    *rand.Rand
	at        time.Duration
	instances []*limitLabInstance
	endpoints []*limitLabEndpoint
	events    labEvents
	sequence  int
	nextJob   JobID
	jobs      map[JobID]*limitLabInstance
	sentAt    map[JobID]time.Duration
	// sent and served count the requests of instances that weren't disrupted.
	sent, served int
}

type limitLabInstance struct {
	id    string
	zone  string
	state *State
	skew  time.Duration
	// disruptedAt is the end of the latest disruption, frozenUntil and cutUntil the end of the present one.
	disruptedAt, frozenUntil, cutUntil time.Duration
	// otherGroupsAt is the time of the latest report to other groups.
	otherGroupsAt time.Duration
}

type limitLabEndpoint struct {
	record   wigeonshift.EndpointRecord
	limited  bool
	running  int
	toldAt   map[*limitLabInstance]time.Duration
	arrivals []limitLabArrival
}

type limitLabArrival struct {
	at   time.Duration
	told bool
}

func runLimitLab(seed uint64, schedule limitSchedule) *limitLab {
	l := &limitLab{schedule: schedule, random: rand.New(rand.NewPCG(seed, 21)), jobs: map[JobID]*limitLabInstance{}, sentAt: map[JobID]time.Duration{}}
	for i := range schedule.endpoints {
		l.endpoints = append(l.endpoints, &limitLabEndpoint{
			limited: i < schedule.limited, toldAt: map[*limitLabInstance]time.Duration{},
			record: wigeonshift.EndpointRecord{ID: fmt.Sprint("e", i), Service: "model", Slots: schedule.slots, Zone: "z", StartedAtMillis: 1},
		})
	}
	for range schedule.instances {
		l.add()
	}
	l.scheduleDisruptions()
	for ; l.at < limitLabTime; l.at += limitLabStep {
		l.step()
	}
	return l
}

// add adds an instance.
func (l *limitLab) add() {
	x := &limitLabInstance{zone: "z", disruptedAt: l.at - limitLabContact}
	if l.at > 0 {
		x.disruptedAt = l.at
	}
	l.instances = append(l.instances, x)
	l.start(x)
}

// start starts an instance, which knows nothing of limits.
func (l *limitLab) start(x *limitLabInstance) {
	if x.id == "" {
		x.id = fmt.Sprint("instance-", len(l.instances))
		x.skew = time.Duration((2*l.random.Float64() - 1) * float64(l.schedule.skew))
	}
	x.state = New(Settings{
		RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second, Instance: x.id, Zone: x.zone, StartedAt: time.Unix(1, 0).Add(x.skew),
	})
	x.state.Reduce(ConfigurationChanged{At: l.at, Configuration: &wigeonshift.RoutingConfiguration{
		Version: 1, Services: []wigeonshift.RoutedService{{Name: "model"}},
	}})
	var records []wigeonshift.EndpointRecord
	for _, e := range l.endpoints {
		records = append(records, e.record)
	}
	x.state.Reduce(EndpointsListed{At: l.at, Records: records})
	var all []wigeonshift.Instance
	for _, y := range l.instances {
		all = append(all, wigeonshift.Instance{ID: y.id, Address: y.id, Zone: y.zone})
	}
	for _, y := range l.instances {
		if y.state != nil {
			l.reduce(y, InstancesListed{At: l.at, Instances: all, Complete: true})
		}
	}
}

func (l *limitLab) after(d time.Duration, run func()) {
	l.sequence++
	heap.Push(&l.events, labEvent{at: l.at + d, sequence: l.sequence, run: run})
}

func (l *limitLab) scheduleDisruptions() {
	disrupt := func(times []time.Duration, run func(x *limitLabInstance)) {
		for _, at := range times {
			l.after(at, func() { run(l.instances[l.random.IntN(len(l.instances))]) })
		}
	}
	disrupt(l.schedule.kills, func(x *limitLabInstance) {
		for id, y := range l.jobs {
			if y == x {
				delete(l.jobs, id)
			}
		}
		x.disruptedAt = l.at
		l.start(x)
	})
	disrupt(l.schedule.joins, func(*limitLabInstance) { l.add() })
	disrupt(l.schedule.freezes, func(x *limitLabInstance) {
		x.frozenUntil, x.disruptedAt = l.at+limitLabOutage, l.at+limitLabOutage
	})
	disrupt(l.schedule.cuts, func(x *limitLabInstance) { x.cutUntil, x.disruptedAt = l.at+limitLabOutage, l.at+limitLabOutage })
}

func (l *limitLab) step() {
	for len(l.events) > 0 && l.events[0].at <= l.at {
		heap.Pop(&l.events).(labEvent).run()
	}
	for arrivals := l.schedule.requestsPerSecond * limitLabStep.Seconds(); l.random.Float64() < arrivals/(1+arrivals); {
		l.send()
	}
	for i, x := range l.instances {
		if (l.at+time.Duration(i)*limitLabStep)%(50*time.Millisecond) == 0 && x.frozenUntil <= l.at {
			l.reduce(x, Tick{At: l.at})
			l.report(x)
		}
	}
}

// report sends the load of an instance to the others: to those of its group at once, to others from time to time.
func (l *limitLab) report(x *limitLabInstance) {
	if x.cutUntil > l.at {
		return
	}
	load := x.state.Load()
	toOthers := l.at-x.otherGroupsAt >= 2*time.Second
	if toOthers {
		x.otherGroupsAt = l.at
	}
	state := x.state
	for _, y := range l.instances {
		if y == x || y.cutUntil > l.at || !toOthers && !x.state.groups.SameGroup(x.id, y.id) {
			continue
		}
		l.after(time.Millisecond+time.Duration(l.random.Int64N(int64(l.schedule.maxReportDelay)+1)), func() {
			if x.state == state {
				l.reduceLater(y, func() Event { return PeerReported{At: l.at, Peer: x.id, Load: load} })
			}
		})
	}
}

// reduceLater passes an event to an instance, once it no longer stands still.
func (l *limitLab) reduceLater(x *limitLabInstance, event func() Event) {
	if x.frozenUntil > l.at {
		l.after(x.frozenUntil-l.at, func() { l.reduceLater(x, event) })
		return
	}
	l.reduce(x, event())
}

func (l *limitLab) send() {
	x := l.instances[l.random.IntN(len(l.instances))]
	l.nextJob++
	id := l.nextJob
	l.jobs[id], l.sentAt[id] = x, l.at
	if x.frozenUntil > l.at {
		return
	}
	if l.at-x.disruptedAt >= limitLabContact {
		l.sent++
	}
	l.reduce(x, RequestArrived{At: l.at, Job: &Job{
		ID: id, Service: "model", Route: "r", Kind: wigeonshift.RouteIdempotent, Arrived: l.at, Deadline: l.at + 3*time.Second,
		LatencyObjective: 500 * time.Millisecond, CallerPatience: 3 * time.Second, MaxAttempts: 2, Units: 1,
	}})
}

func (l *limitLab) reduce(x *limitLabInstance, e Event) {
	for _, effect := range x.state.Reduce(e) {
		switch f := effect.(type) {
		case Dispatch:
			l.after(time.Millisecond, func() { l.arrive(x, f) })
		case Refuse:
			delete(l.jobs, f.Job)
		case Failure:
			delete(l.jobs, f.Job)
		}
	}
}

// arrive handles the arrival of a request at its endpoint.
func (l *limitLab) arrive(x *limitLabInstance, d Dispatch) {
	for _, e := range l.endpoints {
		if e.record.ID != d.EndpointID {
			continue
		}
		since, told := e.toldAt[x]
		inTouch := l.at-x.disruptedAt >= limitLabContact
		e.arrivals = append(e.arrivals, limitLabArrival{at: l.at, told: told && inTouch && l.at-since >= limitLabNotice})
		e.running++
		run := time.Duration(float64(l.schedule.runTime) * math.Exp(0.5*l.random.NormFloat64()))
		l.after(run, func() { l.answer(x, e, d) })
	}
}

// answer answers a request and says what the endpoint takes.
func (l *limitLab) answer(x *limitLabInstance, e *limitLabEndpoint, d Dispatch) {
	e.running--
	if l.jobs[d.Job] != x {
		return
	}
	delete(l.jobs, d.Job)
	if l.at-x.disruptedAt >= limitLabContact {
		l.served++
	}
	limit := wigeonshift.EndpointLimit{}
	if e.limited && l.at >= limitLabStart && l.at < limitLabEnd {
		limit = limitOf(l.schedule.perSecond)
		if l.schedule.changed > 0 && l.at >= (limitLabStart+limitLabEnd)/2 {
			limit = limitOf(l.schedule.changed)
		}
		if _, told := e.toldAt[x]; !told {
			e.toldAt[x] = l.at
		}
	} else {
		delete(e.toldAt, x)
	}
	l.reduceLater(x, func() Event {
		return EndpointSignalled{
			At: l.at, EndpointID: e.record.ID, StartedAtMillis: 1, Limit: limit, DispatchedAt: d.DecidedAt,
		}
	})
	l.reduceLater(x, func() Event { return AttemptEnded{At: l.at, Job: d.Job, Outcome: OutcomeDone, Succeeded: true} })
}

// most returns the largest number of requests in a window at an endpoint, from instances that were told its limit.
func (e *limitLabEndpoint) most() int {
	most := 0
	for i, last := range e.arrivals {
		if last.at < limitLabStart+limitLabContact || last.at >= limitLabEnd {
			continue
		}
		n := 0
		for _, a := range e.arrivals[:i+1] {
			if a.told && last.at-a.at < limitLabWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// between returns the number of requests at an endpoint in a period.
func (e *limitLabEndpoint) between(from, until time.Duration) int {
	n := 0
	for _, a := range e.arrivals {
		if a.at >= from && a.at < until {
			n++
		}
	}
	return n
}

// randomLimitSchedule returns a random schedule.
func randomLimitSchedule(random *rand.Rand) limitSchedule {
	s := limitSchedule{
		instances: 6 + random.IntN(7), endpoints: 8, slots: 4 + random.IntN(12), requestsPerSecond: 150 + 200*random.Float64(),
		runTime:        time.Duration(10+random.IntN(60)) * time.Millisecond,
		limited:        []int{1, 2, 4, 8}[random.IntN(4)],
		perSecond:      math.Exp(math.Log(0.5) + random.Float64()*math.Log(400)),
		skew:           time.Duration(random.IntN(30)) * time.Millisecond,
		maxReportDelay: time.Duration(5+random.IntN(40)) * time.Millisecond,
	}
	if random.IntN(4) == 0 {
		s.instances = 13 + random.IntN(18)
		s.endpoints = 16
	}
	if random.IntN(3) == 0 {
		s.changed = math.Exp(math.Log(0.5) + random.Float64()*math.Log(400))
	}
	for _, times := range []*[]time.Duration{&s.kills, &s.joins, &s.freezes, &s.cuts} {
		if random.IntN(3) > 0 {
			continue
		}
		for range 1 + random.IntN(3) {
			*times = append(*times, limitLabStart+time.Duration(random.Int64N(int64(limitLabEnd-limitLabStart))))
		}
	}
	return s
}

func (s limitSchedule) isDisrupted() bool {
	return len(s.kills)+len(s.joins)+len(s.freezes)+len(s.cuts) > 0
}

// TestLimits plays random schedules and checks both sides: no endpoint gets more than its limit allows, and what the limits allow is
// used.
func TestLimits(t *testing.T) {
	skipTestIfKnownRed(t)
	seeds := 60
	if n, err := strconv.Atoi(os.Getenv("WIGEONSHIFT_LAB_SEEDS")); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(strconv.Itoa(seed), func(t *testing.T) {
			skipTestIfKnownRed(t)
			t.Parallel()
			schedule := randomLimitSchedule(rand.New(rand.NewPCG(uint64(seed), 22)))
			checkLimitLab(t, runLimitLab(uint64(seed), schedule))
		})
	}
}

// checkLimitsEnded checks that all instances know of the end of the limits, and that together the endpoints get about as much as before.
func checkLimitsEnded(g *WithT, l *limitLab) {
	const period = 2 * time.Second
	before, after := 0, 0
	for _, e := range l.endpoints[:l.schedule.limited] {
		before += e.between(limitLabStart-period, limitLabStart)
		after += e.between(limitLabTime-period, limitLabTime)
		for _, x := range l.instances {
			g.Expect(x.state.endpoints[e.record.ID].isLimited()).To(BeFalse(), "%s at %s: %+v", x.id, e.record.ID, l.schedule)
		}
	}
	g.Expect(float64(after)).To(BeNumerically(">=", 0.5*float64(before)), "%+v", l.schedule)
}

func checkLimitLab(t *testing.T, l *limitLab) {
	g, s := NewWithT(t), l.schedule
	limit := max(s.perSecond, s.changed)
	for _, e := range l.endpoints[:s.limited] {
		g.Expect(e.most()).To(BeNumerically("<=", int(1.5*limit*limitLabWindow.Seconds())+5), "%+v", s)
	}
	used := 0
	for _, e := range l.endpoints[:s.limited] {
		used += e.between(limitLabStart+limitLabContact, limitLabEnd)
	}
	sum := s.perSecond * float64(s.limited) * (limitLabEnd - limitLabStart - limitLabContact).Seconds()
	if s.limited == s.endpoints && !s.isDisrupted() && s.changed == 0 {
		asked := s.requestsPerSecond * (limitLabEnd - limitLabStart - limitLabContact).Seconds()
		g.Expect(float64(used)).To(BeNumerically(">=", 0.8*min(sum, asked)), "%+v", s)
	}
	if s.limited < s.endpoints/2 {
		g.Expect(float64(l.served)).To(BeNumerically(">=", 0.99*float64(l.sent)), "%+v", s)
	}
	checkLimitsEnded(g, l)
}

// TestManyLimits plays a fleet of several groups before more endpoints with limits than a report holds.
func TestManyLimits(t *testing.T) {
	skipTestIfKnownRed(t)
	const endpoints = maxLimitReports + 16
	checkLimitLab(t, runLimitLab(1, limitSchedule{
		instances: 14, endpoints: endpoints, limited: endpoints, slots: 4, perSecond: 2, requestsPerSecond: 500,
		runTime: 30 * time.Millisecond, maxReportDelay: 20 * time.Millisecond,
	}))
}
