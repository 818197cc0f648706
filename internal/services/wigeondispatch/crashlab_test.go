package wigeondispatch

import (
	"container/heap"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonquarantine"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// crashSchedule describes a run of the crash lab: a fleet, its load, and what happens to it.
type crashSchedule struct {
	instances, engines, slots int
	// soundPerSecond is the rate of sound requests. Each has one of soundParts first parts, and runs for about runTime.
	soundPerSecond float64
	soundParts     int
	runTime        time.Duration
	// deadlyParts is the number of parts that crash engines, each in a request every deadlyInterval from deadlyFrom on, beside one of
	// the first parts of sound requests. The engine crashes crashDelay after the first event of the answer, and falls silent if silent
	// is set.
	deadlyParts                int
	deadlyInterval, deadlyFrom time.Duration
	crashDelay                 time.Duration
	silent                     bool
	// soundUntil is the time until which deadly parts are answered like others; they are sent from the start then.
	soundUntil time.Duration
	// cutOff are the times at which an instance loses contact to the store and to all others for labOutageTime.
	cutOff []time.Duration
	// rackCrashes are the times at which a third of the engines end together, restarts those at which an instance is killed and
	// started again, outages those at which the store is down for outageTime.
	rackCrashes, restarts, outages []time.Duration
	duration                       time.Duration
}

const (
	labStep = 5 * time.Millisecond
	// labContactTime is the time without disruption after which an instance is in touch.
	labContactTime  = 3 * time.Second
	labDowntime     = 2 * time.Second
	labSilenceTime  = 3600 * time.Millisecond
	labOutageTime   = 2 * time.Second
	labNoticeTime   = 800 * time.Millisecond
	labFeedDelay    = 40 * time.Millisecond
	labCallerTime   = 3 * time.Second
	labLimitCrashes = 5
)

// crashLab runs the reducers of several instances, with the services that share what they know of crashes, in virtual time.
type crashLab struct {
	schedule  crashSchedule
	random    *rand.Rand
	startedAt time.Time
	instances []*labInstance
	engines   []*labEngine
	events    labEvents
	sequence  int
	jobs      map[JobID]*labRequest
	nextJob   JobID
	// rows is the table of the store.
	rows         map[string]wigeonshift.TableRow
	storeFaultAt time.Duration
	// mu guards storeDown and the rows that were written since the latest step.
	mu        sync.Mutex
	storeDown bool
	written   []wigeonshift.TableRow
	// crashes holds the times of the crashes under each deadly part, late the number of requests with it that reached engines too late.
	crashes map[int][]time.Duration
	late    map[int]int
	// refusedSound is the number of sound requests that were refused for crashes. sound holds all sound requests.
	refusedSound int
	sound        []*labRequest
}

// labInstance is one instance.
type labInstance struct {
	index   int
	id      string
	state   *State
	service *wigeonquarantine.Service
	// upSince is the time since which it runs and is in contact. cutOff is set while it isn't.
	upSince  time.Duration
	cutOff   bool
	mu       sync.Mutex
	evidence *wigeonshift.CrashEvidence
}

// labRequest is one request of a caller.
type labRequest struct {
	instance *labInstance
	// deadlyPart is the number of the part that crashes engines, from 1 on; zero if there is none.
	deadlyPart int
	sentAt     time.Duration
	served     bool
	engine     *labEngine
	// attempt tells the attempts of the request apart.
	attempt int
}

// labEvent is a function that is scheduled for a time.
type labEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

// labEvents is a heap of events.
type labEvents []labEvent

func (e labEvents) Len() int { return len(e) }
func (e labEvents) Less(i, k int) bool {
	return e[i].at < e[k].at || e[i].at == e[k].at && e[i].sequence < e[k].sequence
}
func (e labEvents) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *labEvents) Push(x any)   { *e = append(*e, x.(labEvent)) }
func (e *labEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// runCrashLab plays a schedule and returns what was seen.
func runCrashLab(t *testing.T, seed uint64, schedule crashSchedule) *crashLab {
	l := &crashLab{
		schedule: schedule, random: rand.New(rand.NewPCG(seed, 11)), jobs: map[JobID]*labRequest{}, rows: map[string]wigeonshift.TableRow{},
		crashes: map[int][]time.Duration{}, late: map[int]int{}, storeFaultAt: -labContactTime,
	}
	synctest.Test(t, func(*testing.T) { l.run() })
	return l
}

func (l *crashLab) run() {
	l.startedAt = time.Now()
	for i := range l.schedule.engines {
		l.engines = append(l.engines, &labEngine{up: true, listed: true, running: map[JobID]bool{}, record: wigeonshift.EndpointRecord{
			ID: fmt.Sprint("e", i), Service: "model", Address: fmt.Sprint("a", i), Slots: l.schedule.slots, Zone: "z", StartedAtMillis: 1,
		}})
	}
	for i := range l.schedule.instances {
		l.instances = append(l.instances, &labInstance{index: i, upSince: -labContactTime})
	}
	for _, x := range l.instances {
		l.start(x)
	}
	l.scheduleDisruptions()
	for now := time.Duration(0); now < l.schedule.duration; now += labStep {
		l.step(now)
		time.Sleep(labStep)
		synctest.Wait()
	}
	for _, x := range l.instances {
		x.service.Stop()
	}
}

// start starts an instance, which knows only what the store holds.
func (l *crashLab) start(x *labInstance) {
	x.id = fmt.Sprintf("instance-%d-%d", x.index, l.now()/time.Millisecond)
	x.state = New(Settings{RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second, Instance: x.id, Zone: "z", StartedAt: l.startedAt})
	log := logrus.New()
	log.SetOutput(io.Discard)
	x.service = wigeonquarantine.NewService(
		func(_ context.Context, writes []wigeonshift.Write) error { return l.commit(x, writes) },
		func(e wigeonshift.CrashEvidence) {
			x.mu.Lock()
			x.evidence = &e
			x.mu.Unlock()
		}, log, tally.NoopScope)
	x.service.Start(context.Background())
	x.state.Reduce(ConfigurationChanged{At: l.now(), Configuration: &wigeonshift.RoutingConfiguration{
		Version: 1, Services: []wigeonshift.RoutedService{{Name: "model", Engine: &wigeonshift.EngineProfile{Slots: l.schedule.slots, EventTokens: 1}}},
	}})
	x.state.Reduce(EndpointsListed{At: l.now(), Records: l.listedRecords()})
	x.service.ReplaceRows(l.listedRows())
	l.listInstances()
}

func (l *crashLab) now() time.Duration { return time.Since(l.startedAt) }

func (l *crashLab) listInstances() {
	var all []wigeonshift.Instance
	for _, x := range l.instances {
		all = append(all, wigeonshift.Instance{ID: x.id, Zone: "z"})
	}
	for _, x := range l.instances {
		if x.state != nil {
			l.reduce(x, InstancesListed{At: l.now(), Instances: all, Complete: true})
			x.service.SetInstanceCount(len(all))
		}
	}
}

func (l *crashLab) listedRecords() []wigeonshift.EndpointRecord {
	var records []wigeonshift.EndpointRecord
	for _, e := range l.engines {
		if e.listed {
			records = append(records, e.record)
		}
	}
	return records
}

func (l *crashLab) listedRows() []wigeonshift.TableRow {
	var rows []wigeonshift.TableRow
	for _, key := range slices.Sorted(maps.Keys(l.rows)) {
		rows = append(rows, l.rows[key])
	}
	return rows
}

// commit writes rows. It is called by the services.
func (l *crashLab) commit(x *labInstance, writes []wigeonshift.Write) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.storeDown || x.cutOff {
		return wigeonshift.ErrUnavailable
	}
	for _, w := range writes {
		l.written = append(l.written, wigeonshift.TableRow{Key: w.Key, Value: w.Value, Deleted: w.Delete})
	}
	return nil
}

// setStoreDown begins or ends an outage of the store.
func (l *crashLab) setStoreDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeDown, l.storeFaultAt = down, l.now()
}

// showWritten lets all instances see the rows that were written, a little later.
func (l *crashLab) showWritten() {
	l.mu.Lock()
	rows := l.written
	l.written = nil
	l.mu.Unlock()
	if len(rows) == 0 {
		return
	}
	slices.SortStableFunc(rows, func(a, b wigeonshift.TableRow) int { return strings.Compare(a.Key, b.Key) })
	for _, row := range rows {
		l.rows[row.Key] = row
		if row.Deleted {
			delete(l.rows, row.Key)
		}
	}
	for _, x := range l.instances {
		service := x.service
		l.after(labFeedDelay, func() {
			if !x.cutOff {
				service.ApplyChanges(rows)
			}
		})
	}
}

// setCutOff cuts an instance off or ends that. It then reads the whole table.
func (l *crashLab) setCutOff(x *labInstance, cutOff bool) {
	l.mu.Lock()
	x.cutOff, x.upSince = cutOff, l.now()
	l.mu.Unlock()
	if !cutOff {
		x.service.ReplaceRows(l.listedRows())
	}
}

// after schedules a function.
func (l *crashLab) after(d time.Duration, run func()) {
	l.sequence++
	heap.Push(&l.events, labEvent{at: l.now() + d, sequence: l.sequence, run: run})
}

func (l *crashLab) scheduleDisruptions() {
	for _, at := range l.schedule.rackCrashes {
		l.after(at, l.crashRack)
	}
	for _, at := range l.schedule.restarts {
		l.after(at, func() { l.restart(l.instances[l.random.IntN(len(l.instances))]) })
	}
	for _, at := range l.schedule.outages {
		l.after(at, func() { l.setStoreDown(true) })
		l.after(at+labOutageTime, func() { l.setStoreDown(false) })
	}
	for _, at := range l.schedule.cutOff {
		x := l.instances[l.random.IntN(len(l.instances))]
		l.after(at, func() { l.setCutOff(x, true) })
		l.after(at+labOutageTime, func() { l.setCutOff(x, false) })
	}
	for part := range l.schedule.deadlyParts {
		l.after(l.schedule.deadlyFrom, func() { l.sendDeadly(part + 1) })
	}
}

// restart kills an instance and starts it again.
func (l *crashLab) restart(x *labInstance) {
	for id, r := range l.jobs {
		if r.instance == x {
			delete(l.jobs, id)
		}
	}
	x.service.Stop()
	x.upSince = l.now()
	l.start(x)
}

func (l *crashLab) crashRack() {
	for _, e := range l.engines[:len(l.engines)/3] {
		l.crash(e, false)
	}
}

// step does what is due.
func (l *crashLab) step(now time.Duration) {
	l.showWritten()
	for len(l.events) > 0 && l.events[0].at <= now {
		heap.Pop(&l.events).(labEvent).run()
	}
	for l.random.Float64() < l.schedule.soundPerSecond*labStep.Seconds()/2 {
		l.send(l.soundPrompt(), 0)
	}
	for _, x := range l.instances {
		x.mu.Lock()
		evidence := x.evidence
		x.evidence = nil
		x.mu.Unlock()
		if evidence != nil {
			l.reduce(x, CrashesListed{At: now, CrashEvidence: *evidence})
		}
		if now%(50*time.Millisecond) == 0 {
			l.reduce(x, Tick{At: now})
		}
	}
	if now%(100*time.Millisecond) == 0 {
		l.exchangeNotices(now)
	}
}

// exchangeNotices sends the load of each instance to the others, and from time to time what it knows of crashes.
func (l *crashLab) exchangeNotices(now time.Duration) {
	for _, from := range l.instances {
		load := from.state.Load()
		withCrashes := now%labNoticeTime == 0
		if withCrashes {
			load.CrashEvidence = from.service.Unstored()
		}
		for _, to := range l.instances {
			if to == from || to.cutOff || from.cutOff {
				continue
			}
			l.reduce(to, PeerReported{At: now, Peer: from.id, Load: load})
			if withCrashes {
				to.service.Offer(load.CrashEvidence)
			}
		}
	}
}

// soundPrompt returns the shared parts of the prompt of a sound request.
func (l *crashLab) soundPrompt() []wigeonshift.Fingerprint {
	return []wigeonshift.Fingerprint{
		wigeonshift.Fingerprint(100 + l.random.IntN(l.schedule.soundParts)), wigeonshift.Fingerprint(200 + l.random.IntN(20)),
	}
}

// sendDeadly sends a request with a deadly part, and the next one later.
func (l *crashLab) sendDeadly(part int) {
	prompt := l.soundPrompt()[:1]
	prompt = slices.Insert(prompt, l.random.IntN(2), wigeonshift.Fingerprint(900+part))
	l.send(prompt, part)
	l.after(l.schedule.deadlyInterval/2+time.Duration(l.random.Int64N(int64(l.schedule.deadlyInterval))), func() { l.sendDeadly(part) })
}

// send sends a request to an instance. No two requests are alike.
func (l *crashLab) send(parts []wigeonshift.Fingerprint, deadlyPart int) {
	x := l.instances[l.random.IntN(len(l.instances))]
	l.nextJob++
	id := l.nextJob
	unique := wigeonshift.Fingerprint(id) << 20
	kind := wigeonshift.RouteIdempotent
	if l.random.IntN(2) == 0 {
		kind = wigeonshift.RouteStreaming
	}
	r := &labRequest{instance: x, deadlyPart: deadlyPart, sentAt: l.now()}
	l.jobs[id] = r
	if deadlyPart == 0 {
		l.sound = append(l.sound, r)
	}
	l.reduce(x, RequestArrived{At: l.now(), Job: &Job{
		ID: id, Service: "model", Route: "r", Kind: kind, Arrived: l.now(), Deadline: l.now() + labCallerTime,
		LatencyObjective: 500 * time.Millisecond, CallerPatience: labCallerTime, MaxAttempts: 2, HasTokens: true, PromptTokens: 100,
		AnswerTokens: 20, ExpectedAnswerTokens: 20, Units: 1, Fingerprint: unique,
		Shared:   wigeonshift.SharedFingerprints{Content: unique + 1, Query: unique + 2, Headers: unique + 3},
		Features: parts,
	}})
}

// reduce passes an event to the reducer of an instance and carries out the effects.
func (l *crashLab) reduce(x *labInstance, e Event) {
	for _, effect := range x.state.Reduce(e) {
		switch f := effect.(type) {
		case Dispatch:
			l.dispatch(x, f)
		case Refuse:
			if r := l.jobs[f.Job]; r != nil && r.deadlyPart == 0 && f.Reason == ReasonQuarantined {
				l.refusedSound++
			}
			delete(l.jobs, f.Job)
		case Failure:
			delete(l.jobs, f.Job)
		case Abandon:
			l.after(0, func() { l.endAttempt(f.Job, OutcomeLost) })
		case CheckEndpoint:
			l.after(labStep, func() { l.check(x, f) })
		case ReportCrash:
			x.service.ReportCrash(f.Crash)
		case ReportAnswer:
			x.service.ReportAnswer(f.Answer)
		case ClearCrashes:
			x.service.ClearCrashes(f.Fingerprint)
		}
	}
}

// countArrival counts a request with a deadly part that reaches an engine too late.
func (l *crashLab) countArrival(r *labRequest) {
	crashes := l.crashes[r.deadlyPart]
	inTouch := !r.instance.cutOff && l.now()-r.instance.upSince >= labContactTime && !l.storeDown && l.now()-l.storeFaultAt >= labContactTime
	if r.deadlyPart > 0 && inTouch && len(crashes) >= labLimitCrashes && l.now()-crashes[labLimitCrashes-1] > labContactTime {
		l.late[r.deadlyPart]++
	}
}

// endAttempt ends the running attempt of a request.
func (l *crashLab) endAttempt(id JobID, o Outcome) {
	r := l.jobs[id]
	if r == nil {
		return
	}
	if r.engine != nil {
		delete(r.engine.running, id)
		r.engine = nil
	}
	r.attempt++
	if o == OutcomeDone || o == OutcomeAbandoned {
		delete(l.jobs, id)
	}
	l.reduce(r.instance, AttemptEnded{At: l.now(), Job: id, Outcome: o, Succeeded: o == OutcomeDone, Answerable: true})
}

// servedShare returns the number of sound requests sent in a period, and the share of them that was served.
func (l *crashLab) servedShare(from, to time.Duration) (sent int, share float64) {
	served := 0
	for _, r := range l.sound {
		if r.sentAt < from || r.sentAt >= to {
			continue
		}
		sent++
		if r.served {
			served++
		}
	}
	return sent, float64(served) / float64(max(sent, 1))
}
