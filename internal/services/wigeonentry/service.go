// Package wigeonentry handles callers' requests from admission to the final answer. It feeds events to the entry side of
// the scheduler's reducer and executes the effects: permit requests, dispatches to endpoints, claims and answers.
package wigeonentry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonscheduler"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
)

// Service admits and handles callers' requests.
type Service struct {
	self          wigeonshift.Instance
	configuration wigeonshift.ConfigurationSource
	broker        wigeonshift.PermitBroker
	dialer        wigeonshift.EndpointDialer
	claims        wigeonshift.ClaimStore
	analyze       Analyzer
	settings      Settings
	log           logrus.FieldLogger
	counters      *counters
	backOff       func() backoff.BackOff

	routes   atomic.Pointer[routes]
	lastID   atomic.Uint64
	inFlight atomic.Int64
	// backgroundTasks counts tasks that may continue after Do has returned, such as recording a claim's outcome.
	backgroundTasks atomic.Int64
	draining        atomic.Bool
	// drainWake is signalled when a request or background task ends during a drain.
	drainWake chan struct{}
	tasks     conc.WaitGroup
	// idleWork passes a run to an idle worker. It has no buffer, so a send succeeds only if a worker is waiting.
	idleWork    chan *attemptRun
	idleWorkers atomic.Int64
	cancelBase  context.CancelFunc
	// baseCtx ends when the service is stopped. It is the parent context of runs and background tasks.
	baseCtx context.Context //nolint:containedctx // attempts outlive the caller's context but not the service

	mu    sync.Mutex
	state wigeonscheduler.State
	// handlers holds the handlers of the requests in state. It is guarded by mu.
	handlers map[wigeonshift.RequestID]*requestHandler
}

// New returns a service that can accept requests at once.
func New(self wigeonshift.Instance, configuration wigeonshift.ConfigurationSource, broker wigeonshift.PermitBroker,
	dialer wigeonshift.EndpointDialer, claims wigeonshift.ClaimStore, opts ...Option,
) *Service {
	s := &Service{
		self:          self,
		configuration: configuration,
		broker:        broker,
		dialer:        dialer,
		claims:        claims,
		analyze:       defaultAnalyzer,
		settings:      DefaultSettings(),
		log:           discardLogger(),
		counters:      newCounters(tally.NoopScope),
		backOff:       func() backoff.BackOff { return backoff.NewExponentialBackOff() },
		drainWake:     make(chan struct{}, 1),
		idleWork:      make(chan *attemptRun),
		handlers:      map[wigeonshift.RequestID]*requestHandler{},
	}
	for _, opt := range opts {
		opt(s)
	}
	s.state.Entry = &wigeonscheduler.EntryState{MaxRequests: s.settings.MaxConcurrent}
	s.baseCtx, s.cancelBase = context.WithCancel(context.Background())
	return s
}

// Do handles one request and returns its final answer. ctx must end when the caller disconnects. Work that remains after
// the answer, such as a run whose outcome must be recorded, continues in the background.
func (s *Service) Do(ctx context.Context, r Request, sink Sink) Result {
	id := r.ID
	if id == "" {
		id = s.NextID()
	}
	s.inFlight.Add(1)
	defer s.taskDone(&s.inFlight)
	pr, refusal := s.admit(id, r, time.Now())
	if refusal != nil {
		return s.refuse(id, refusal)
	}
	h := newRequestHandler(s, r, pr, sink)
	s.register(h)
	h.runUntilAnswered(ctx)
	h.logRefusal()
	result := h.result
	if h.ended {
		s.unregister(h)
	} else {
		s.startBackground(h.loop)
	}
	return result
}

// ReadyForCallers reports whether new requests are accepted.
func (s *Service) ReadyForCallers() bool {
	return !s.draining.Load() && s.configuration.Current() != nil
}

// Draining reports whether Drain or Stop was called.
func (s *Service) Draining() bool { return s.draining.Load() }

// InFlight returns the number of Do calls that have not returned.
func (s *Service) InFlight() int { return int(s.inFlight.Load()) }

// register makes a handler reachable for signalDisplaced until unregister is called.
func (s *Service) register(h *requestHandler) {
	s.mu.Lock()
	s.handlers[h.permitRequest.ID] = h
	s.mu.Unlock()
}

func (s *Service) unregister(h *requestHandler) {
	s.mu.Lock()
	delete(s.handlers, h.permitRequest.ID)
	s.mu.Unlock()
}

// signalDisplaced tells a request's handler to end the request in favour of one of a higher tier.
func (s *Service) signalDisplaced(id wigeonshift.RequestID) {
	s.mu.Lock()
	h := s.handlers[id]
	s.mu.Unlock()
	if h == nil {
		return
	}
	select {
	case h.displaced <- struct{}{}:
	default:
	}
}

// reduce passes an event to the reducer and returns the effects to execute.
func (s *Service) reduce(b wigeonscheduler.EventBody) []wigeonscheduler.Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wigeonscheduler.Reduce(&s.state, wigeonscheduler.Event{At: time.Now(), Random: rand.Uint64(), Body: b})
}

// Refuse counts a request that the router refused before Do, and returns the answer for it.
func (s *Service) Refuse(reason wigeonshift.RefusalReason) Result {
	return s.refuse(s.NextID(), newRefusal(reason))
}

// Models returns the names of a product's models, each with the service that runs it.
func (s *Service) Models(product string) map[string]string {
	models := map[string]string{}
	if rt := s.currentRoutes(); rt != nil {
		for key, service := range rt.serviceByModel {
			if key.product == product {
				models[key.model] = service
			}
		}
	}
	return models
}

// refuse counts a refused request and returns its answer.
func (s *Service) refuse(id wigeonshift.RequestID, r *wigeonshift.Refusal) Result {
	s.counters.add(wigeonscheduler.CountEntryRefusals, string(r.Reason), 1)
	return Result{ID: id, Refusal: r}
}

// NextID returns a new request ID. It is unique across instances because it contains the instance's ID.
func (s *Service) NextID() wigeonshift.RequestID {
	return wigeonshift.RequestID(s.self.ID + "-" + strconv.FormatUint(s.lastID.Add(1), 36))
}

// taskDone decrements a count of running work and wakes a waiting Drain.
func (s *Service) taskDone(count *atomic.Int64) {
	count.Add(-1)
	if !s.draining.Load() {
		return
	}
	select {
	case s.drainWake <- struct{}{}:
	default:
	}
}

// startBackground starts a task that may continue after Do has returned. The task must call taskDone when it ends.
func (s *Service) startBackground(task func()) {
	s.backgroundTasks.Add(1)
	s.tasks.Go(task)
}
