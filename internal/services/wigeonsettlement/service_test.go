package wigeonsettlement_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeondispatch"
	"wigeonshift/internal/services/wigeonsettlement"
	"wigeonshift/platform"

	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// fakeStore holds one row of the table of states.
type fakeStore struct {
	mu    sync.Mutex
	row   *wigeonshift.TableRow
	start time.Time
	era   uint64
	// down makes all calls fail. losesAnswers makes a write succeed without an answer.
	down, losesAnswers bool
	calls, writes      int
	// onList runs after the table was listed; nil if nothing does.
	onList func()
}

func (s *fakeStore) List(context.Context, wigeonshift.RoutingTable) (wigeonshift.TablePage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return wigeonshift.TablePage{}, wigeonshift.ErrUnavailable
	}
	page := wigeonshift.TablePage{Era: s.era, NowMillis: 1 + time.Since(s.start).Milliseconds()}
	if s.row != nil {
		page.Rows = append(page.Rows, *s.row)
	}
	if s.onList != nil {
		s.onList()
	}
	return page, nil
}

func (s *fakeStore) Commit(_ context.Context, _ wigeonshift.RoutingTable, tx wigeonshift.Transaction) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	revision := uint64(0)
	if s.row != nil {
		revision = s.row.Revision
	}
	switch {
	case s.down:
		return 0, wigeonshift.ErrUnavailable
	case tx.Conditions[0].Revision != revision:
		return 0, wigeonshift.ErrConditionFailed
	}
	s.writes++
	s.row = &wigeonshift.TableRow{Key: tx.Writes[0].Key, Value: tx.Writes[0].Value, Revision: revision + 1}
	if s.losesAnswers {
		return 0, wigeonshift.ErrOutcomeUnknown
	}
	return s.era, nil
}

// set replaces the row as another instance would.
func (s *fakeStore) set(status wigeonshift.RolloutStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key, value, _ := platform.Codec{}.EncodeRolloutStatus(status)
	revision := uint64(1)
	if s.row != nil {
		revision += s.row.Revision
	}
	s.row = &wigeonshift.TableRow{Key: key, Value: value, Revision: revision}
}

// state returns the state in the row; empty if there is none.
func (s *fakeStore) state() wigeonshift.RolloutState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.row == nil {
		return ""
	}
	status, _, _ := platform.Codec{}.RolloutStatus(*s.row)
	return status.State
}

// fakeRollouts holds one task.
type fakeRollouts struct {
	mu    sync.Mutex
	tasks []wigeondispatch.RolloutTask
	reads []wigeondispatch.RolloutRead
}

func (r *fakeRollouts) RolloutTasks() []wigeondispatch.RolloutTask {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]wigeondispatch.RolloutTask{}, r.tasks...)
}

func (r *fakeRollouts) RecordRollout(read wigeondispatch.RolloutRead) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads = append(r.reads, read)
	r.tasks[0].IsAgeKnown = r.tasks[0].IsAgeKnown || read.IsAgeKnown
	if read.State != "" && !r.tasks[0].Known.Final() {
		r.tasks[0].Known = read.State
	}
	if r.tasks[0].Known.Final() {
		r.tasks[0].Wanted = r.tasks[0].Known
	}
}

func (r *fakeRollouts) want(state wigeonshift.RolloutState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tasks[0].Wanted = state
}

func (r *fakeRollouts) known() wigeonshift.RolloutState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tasks[0].Known
}

func runCase(t *testing.T, run func(g *WithT, s *fakeStore, r *fakeRollouts, service *wigeonsettlement.Service)) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(t.Output())
		s := &fakeStore{start: time.Now(), era: 1}
		r := &fakeRollouts{tasks: []wigeondispatch.RolloutTask{{
			Order:      wigeonshift.RolloutOrder{Service: "s", Target: "v2", Duration: 10 * time.Second, Revision: 5},
			IsAgeKnown: true, Age: time.Second, Wanted: wigeonshift.RolloutRunning,
		}}}
		service := wigeonsettlement.New(s, platform.Codec{}, r, log, tally.NoopScope)
		service.Start(t.Context())
		defer service.Stop()
		run(NewWithT(t), s, r, service)
	})
}

// wait lets the service run for some virtual time.
func wait(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// Guards against a state that isn't written, or written more than once.
func TestStatesAreWritten(t *testing.T) {
	runCase(t, func(g *WithT, s *fakeStore, r *fakeRollouts, _ *wigeonsettlement.Service) {
		wait(time.Second)
		g.Expect(s.state()).To(Equal(wigeonshift.RolloutRunning))
		r.want(wigeonshift.RolloutCompleted)
		wait(time.Second)
		g.Expect(s.state()).To(Equal(wigeonshift.RolloutCompleted))
		g.Expect(s.writes).To(Equal(2))
		calls := s.calls
		wait(time.Minute)
		g.Expect(s.calls).To(Equal(calls), "a final state costs no calls")
	})
}

// Guards against calls to the store without an order.
func TestNoOrderCostsNoCalls(t *testing.T) {
	runCase(t, func(g *WithT, s *fakeStore, r *fakeRollouts, _ *wigeonsettlement.Service) {
		r.mu.Lock()
		r.tasks = nil
		r.mu.Unlock()
		wait(time.Minute)
		g.Expect(s.calls).To(BeZero())
	})
}

// Guards against a state that is lost in an outage of the store.
func TestStoreAway(t *testing.T) {
	runCase(t, func(g *WithT, s *fakeStore, r *fakeRollouts, _ *wigeonsettlement.Service) {
		s.mu.Lock()
		s.down = true
		s.mu.Unlock()
		r.want(wigeonshift.RolloutRolledBack)
		wait(5 * time.Second)
		s.mu.Lock()
		s.down = false
		s.mu.Unlock()
		wait(time.Second)
		g.Expect(s.state()).To(Equal(wigeonshift.RolloutRolledBack))
	})
}

// Guards against a second final state when the answer of the first write is lost, or another instance was first.
func TestLostAnswersAndConflicts(t *testing.T) {
	runCase(t, func(g *WithT, s *fakeStore, r *fakeRollouts, _ *wigeonsettlement.Service) {
		s.mu.Lock()
		s.losesAnswers = true
		s.mu.Unlock()
		r.want(wigeonshift.RolloutCompleted)
		wait(150 * time.Millisecond)
		r.want(wigeonshift.RolloutRolledBack)
		wait(2 * time.Second)
		g.Expect(s.state()).To(Equal(wigeonshift.RolloutCompleted))
		g.Expect(r.known()).To(Equal(wigeonshift.RolloutCompleted))
		g.Expect(s.writes).To(Equal(1))
	})
	runCase(t, func(g *WithT, s *fakeStore, r *fakeRollouts, _ *wigeonsettlement.Service) {
		s.set(wigeonshift.RolloutStatus{Service: "s", Target: "v2", State: wigeonshift.RolloutRolledBack, OrderRevision: 5})
		r.want(wigeonshift.RolloutCompleted)
		wait(time.Second)
		g.Expect(s.state()).To(Equal(wigeonshift.RolloutRolledBack))
		g.Expect(r.known()).To(Equal(wigeonshift.RolloutRolledBack))
	})
}

// Guards against a version that is completed although a verdict came while the store answered, and against a state that is
// written for an order that went meanwhile.
func TestTaskChangesDuringRead(t *testing.T) {
	runCase(t, func(g *WithT, s *fakeStore, r *fakeRollouts, _ *wigeonsettlement.Service) {
		s.onList = func() { r.want(wigeonshift.RolloutRolledBack) }
		r.want(wigeonshift.RolloutCompleted)
		wait(2 * time.Second)
		g.Expect(s.state()).To(Equal(wigeonshift.RolloutRolledBack))
		g.Expect(r.known()).To(Equal(wigeonshift.RolloutRolledBack))
		g.Expect(s.writes).To(Equal(1))
	})
	runCase(t, func(g *WithT, s *fakeStore, r *fakeRollouts, _ *wigeonsettlement.Service) {
		s.onList = func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.tasks[0].Order.Revision++
			s.onList = nil
		}
		r.want(wigeonshift.RolloutCompleted)
		wait(150 * time.Millisecond)
		g.Expect(s.writes).To(BeZero())
	})
}

// Guards against the state of an earlier order that is taken for that of the present one.
func TestReplacedOrder(t *testing.T) {
	runCase(t, func(g *WithT, s *fakeStore, r *fakeRollouts, _ *wigeonsettlement.Service) {
		s.set(wigeonshift.RolloutStatus{Service: "s", Target: "v2", State: wigeonshift.RolloutRolledBack, OrderRevision: 4})
		wait(time.Second)
		g.Expect(s.state()).To(Equal(wigeonshift.RolloutRunning))
		g.Expect(r.known()).To(Equal(wigeonshift.RolloutRunning))
	})
}

// Guards against a final state that the store has lost by its return from an older copy.
func TestRestoredStore(t *testing.T) {
	runCase(t, func(g *WithT, s *fakeStore, r *fakeRollouts, service *wigeonsettlement.Service) {
		r.want(wigeonshift.RolloutCompleted)
		wait(time.Second)
		s.mu.Lock()
		s.row, s.era = nil, 2
		s.mu.Unlock()
		service.HandleStoreRestored()
		wait(time.Second)
		g.Expect(s.state()).To(Equal(wigeonshift.RolloutCompleted))
	})
}

// Guards against an instance that starts again and takes an old order for a new one.
func TestAgeIsRead(t *testing.T) {
	runCase(t, func(g *WithT, s *fakeStore, r *fakeRollouts, _ *wigeonsettlement.Service) {
		wait(4 * time.Second)
		s.set(wigeonshift.RolloutStatus{
			Service: "s", Target: "v2", State: wigeonshift.RolloutRunning, OrderRevision: 5, StartedAtMillis: 1,
		})
		r.mu.Lock()
		r.tasks[0].IsAgeKnown, r.tasks[0].Order.Revision = false, 5
		r.tasks[0].Leads, r.reads = true, nil
		r.mu.Unlock()
		wait(3 * time.Second)
		r.mu.Lock()
		defer r.mu.Unlock()
		g.Expect(r.reads).NotTo(BeEmpty())
		g.Expect(r.reads[0].IsAgeKnown).To(BeTrue())
		g.Expect(r.reads[0].Age).To(BeNumerically(">=", 4*time.Second))
	})
}
