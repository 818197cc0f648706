package wigeonentry

import (
	"context"

	"wigeonshift/internal/services/wigeonscheduler"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc"
)

// Drain stops accepting requests and waits until those in flight have ended and their outcomes are recorded. When ctx
// ends, it logs each remaining request and returns an error. It does not cancel requests.
func (s *Service) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.reduce(wigeonscheduler.EntryDrainStarted{})
	for s.inFlight.Load() > 0 || s.backgroundTasks.Load() > 0 {
		select {
		case <-s.drainWake:
		case <-ctx.Done():
			s.logOverruns()
			return oops.In("entry").With("inFlight", s.InFlight()).Wrapf(ctx.Err(), "drain")
		}
	}
	return nil
}

// Stop cancels all runs and background tasks. It returns when they have ended, or with an error when ctx ends.
func (s *Service) Stop(ctx context.Context) error {
	s.draining.Store(true)
	s.cancelBase()
	w := &taskWaiter{service: s, done: make(chan struct{})}
	// The waiter has its own wait group, because it must not wait for itself.
	w.tasks.Go(w.run)
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return oops.In("entry").Wrapf(ctx.Err(), "stop")
	}
}

// taskWaiter closes done when all tasks of a service have ended.
type taskWaiter struct {
	service *Service
	tasks   conc.WaitGroup
	done    chan struct{}
}

func (w *taskWaiter) run() {
	defer close(w.done)
	w.service.tasks.Wait()
}

// logOverruns logs and counts each request that is still in flight at the end of a drain.
func (s *Service) logOverruns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.state.Entry.Requests {
		s.counters.add("entryDrainOverruns", "", 1)
		s.log.WithFields(requestFields(r.PermitRequest)).WithField("phase", r.Phase).Warn("request overran the drain")
	}
}
