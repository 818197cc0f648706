// Package wigeonsettlement writes the states of rollouts to the store, and reads what other instances have written. It decides
// nothing: it carries out the tasks of the dispatch reducer.
package wigeonsettlement

import (
	"context"
	"sync"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeondispatch"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

const (
	// checkInterval is the time between two looks at the tasks.
	checkInterval = 100 * time.Millisecond
	// callTimeout limits one call to the store. It is short, so that several fit into the end of an order.
	callTimeout = 1500 * time.Millisecond
	// failureDelay is the delay after a failed call.
	failureDelay = 300 * time.Millisecond
	// readInterval is the time between two reads by the instance that reads for its group, aloneReadInterval that of one that
	// hears no other. Its reads are its only contact, so that one may fail or be slow.
	readInterval      = 2 * time.Second
	aloneReadInterval = 800 * time.Millisecond
	// writeSpread is the delay of a write for each instance that comes before this one, maxWriteDelay the longest. Usually the
	// first one writes, and the others hear of it.
	writeSpread   = 150 * time.Millisecond
	maxWriteDelay = time.Second
)

// Store is the part of the routing store that holds the states.
type Store interface {
	List(ctx context.Context, table wigeonshift.RoutingTable) (wigeonshift.TablePage, error)
	Commit(ctx context.Context, table wigeonshift.RoutingTable, tx wigeonshift.Transaction) (era uint64, err error)
}

// Codec decodes and encodes the rows of states.
type Codec interface {
	RolloutStatus(row wigeonshift.TableRow) (s wigeonshift.RolloutStatus, ok bool, err error)
	EncodeRolloutStatus(s wigeonshift.RolloutStatus) (key string, value []byte, err error)
}

// Rollouts gives the tasks and learns what the store holds.
type Rollouts interface {
	RolloutTasks() []wigeondispatch.RolloutTask
	RecordRollout(read wigeondispatch.RolloutRead)
}

// Service settles the rollouts of one instance.
type Service struct {
	store    Store
	codec    Codec
	rollouts Rollouts
	log      logrus.FieldLogger
	scope    tally.Scope
	cancel   context.CancelFunc
	tasks    conc.WaitGroup

	mu sync.Mutex
	// progress holds what was done for the order of each service.
	progress map[string]*progress
	// restores counts the returns of the store from an older copy, after each of which all states are read again.
	restores int
}

// progress is what was done for an order.
type progress struct {
	revision uint64
	// busy is set while a call runs.
	busy bool
	// isRead is set once the state was read after the latest of restores returns of the store from an older copy.
	isRead   bool
	restores int
	readAt   time.Time
	// notBefore is the time before which no call is made.
	notBefore time.Time
	// wanted is the state to be written since wantedAt.
	wanted   wigeonshift.RolloutState
	wantedAt time.Time
	failing  bool
}

// New returns a service that has not been started.
func New(store Store, codec Codec, rollouts Rollouts, log logrus.FieldLogger, scope tally.Scope) *Service {
	return &Service{store: store, codec: codec, rollouts: rollouts, log: log, scope: scope, progress: map[string]*progress{}}
}

// Start carries out tasks until Stop.
func (s *Service) Start(ctx context.Context) {
	ctx, s.cancel = context.WithCancel(ctx)
	s.tasks.Go(func() { s.run(ctx) })
}

// Stop ends the work and waits for it.
func (s *Service) Stop() {
	s.cancel()
	s.tasks.Wait()
}

// HandleStoreRestored makes all states be read again, as the store may have lost them.
func (s *Service) HandleStoreRestored() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restores++
}

func (s *Service) run(ctx context.Context) {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		for _, task := range s.rollouts.RolloutTasks() {
			s.start(ctx, task)
		}
	}
}

// start begins the call that a task needs now, if any. Rollouts don't wait for each other's calls.
func (s *Service) start(ctx context.Context, task wigeondispatch.RolloutTask) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.progress[task.Order.Service]
	if p == nil || p.revision != task.Order.Revision {
		p = &progress{revision: task.Order.Revision, restores: s.restores}
		s.progress[task.Order.Service] = p
	}
	now := time.Now()
	if p.busy || now.Before(p.notBefore) {
		return
	}
	write := p.isWriteDue(task, now)
	if !write && !p.isReadDue(task, s.restores, now) {
		return
	}
	p.busy = true
	restores := s.restores
	s.tasks.Go(func() {
		err := s.settle(ctx, task, write || restores != p.restores)
		s.finish(task, p, restores, err)
	})
}

// isWriteDue reports whether the store is to hold another state. Instances wait for each other in the order of their ranks.
func (p *progress) isWriteDue(task wigeondispatch.RolloutTask, now time.Time) bool {
	if task.Wanted == task.Known || !task.IsAgeKnown {
		p.wanted = ""
		return false
	}
	if p.wanted != task.Wanted {
		p.wanted, p.wantedAt = task.Wanted, now
	}
	return now.Sub(p.wantedAt) >= min(time.Duration(task.Rank)*writeSpread, maxWriteDelay)
}

// isReadDue reports whether the state is to be read: if the time of the order isn't known, after a return of the store from an older
// copy, and from time to time by one instance of each group.
func (p *progress) isReadDue(task wigeondispatch.RolloutTask, restores int, now time.Time) bool {
	if p.restores != restores || !task.IsAgeKnown && !p.isRead {
		return true
	}
	interval := readInterval
	if task.IsAlone {
		interval = aloneReadInterval
	}
	return !task.Known.Final() && task.Leads && now.Sub(p.readAt) >= interval
}

// finish records the result of a call.
func (s *Service) finish(task wigeondispatch.RolloutTask, p *progress, restores int, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.busy = false
	now := time.Now()
	if err == nil {
		p.failing, p.isRead, p.readAt, p.restores = false, true, now, restores
		return
	}
	p.notBefore = now.Add(failureDelay)
	s.scope.Counter("rolloutCallsFailed").Inc(1)
	if !p.failing {
		p.failing = true
		s.log.WithError(err).WithField("service", task.Order.Service).Warn("failed to settle a rollout; retrying")
	}
}
