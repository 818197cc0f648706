package wigeonentry

import (
	"context"

	"wigeonshift/internal/services/wigeonscheduler"

	"github.com/samber/oops"
	"github.com/sourcegraph/conc"
)

// Drain stops the acceptance of requests and waits until those in flight have ended and their outcomes are recorded.
// It logs each request that is left when ctx ends, and cuts none.
func (s *Service) Drain(ctx context.Context) error {
	s.draining.Store(true)
	s.reduce(wigeonscheduler.EntryDrainStarted{})
	for s.inFlight.Load() > 0 || s.background.Load() > 0 {
		select {
		case <-s.ended:
		case <-ctx.Done():
			s.logLeft()
			return oops.In("entry").With("inFlight", s.InFlight()).Wrapf(ctx.Err(), "drain")
		}
	}
	return nil
}

// Stop ends everything still running and returns when its goroutines have ended or ctx has.
func (s *Service) Stop(ctx context.Context) error {
	s.draining.Store(true)
	s.stop()
	w := &taskWaiter{service: s, done: make(chan struct{})}
	// The waiter must not be one of the tasks it waits for.
	w.tasks.Go(w.run)
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return oops.In("entry").Wrapf(ctx.Err(), "stop")
	}
}

// taskWaiter waits for all tasks of a service.
type taskWaiter struct {
	service *Service
	tasks   conc.WaitGroup
	done    chan struct{}
}

func (w *taskWaiter) run() {
	defer close(w.done)
	w.service.tasks.Wait()
}

// logLeft logs each request that overran the drain.
func (s *Service) logLeft() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.state.Entry.Requests {
		s.counters.add("entryDrainOverruns", "", 1)
		s.log.WithFields(requestFields(r.Ask)).WithField("phase", r.Phase).Warn("request overran the drain")
	}
}
