// Package wigeonentry carries accepted requests from the caller to the endpoint and back: it drives the entry side of
// the reducer and turns its effects into permits, dispatches, claims and answers.
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

// Service accepts requests of callers.
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
	// background counts settlements and cancellations that outlive their request.
	background atomic.Int64
	draining   atomic.Bool
	// ended is signalled when a request or background task ends during a drain.
	ended chan struct{}
	tasks conc.WaitGroup
	// work reaches an idle worker; idle counts them.
	work chan *run
	idle atomic.Int64
	stop context.CancelFunc
	// running ends when the service is stopped; attempts hang on it.
	running context.Context //nolint:containedctx // attempts outlive the caller's context but not the service

	mu    sync.Mutex
	state wigeonscheduler.State
	// flights holds the flights of the state's requests; guarded by mu.
	flights map[wigeonshift.RequestID]*flight
}

// New returns a service that is ready to accept requests.
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
		log:           discardLog(),
		counters:      newCounters(tally.NoopScope),
		backOff:       func() backoff.BackOff { return backoff.NewExponentialBackOff() },
		ended:         make(chan struct{}, 1),
		work:          make(chan *run),
		flights:       map[wigeonshift.RequestID]*flight{},
	}
	for _, opt := range opts {
		opt(s)
	}
	s.state.Entry = &wigeonscheduler.EntryState{MaxRequests: s.settings.MaxConcurrent}
	s.running, s.stop = context.WithCancel(context.Background())
	return s
}

// Do carries one request to its final answer. It returns when the answer is final; ctx ends when the caller is gone.
func (s *Service) Do(ctx context.Context, r Request, sink Sink) Result {
	id := r.ID
	if id == "" {
		id = s.NextID()
	}
	s.inFlight.Add(1)
	defer s.finished(&s.inFlight)
	ask, refusal := s.admit(id, r, time.Now())
	if refusal != nil {
		return s.refuse(id, refusal)
	}
	f := newFlight(s, r, ask, sink)
	s.enter(f)
	f.begin(ctx)
	f.logEnd()
	result := f.result
	if f.ended {
		s.leave(f)
	} else {
		s.inBackground(f.loop)
	}
	return result
}

// ReadyForCallers tells whether new requests are accepted.
func (s *Service) ReadyForCallers() bool {
	return !s.draining.Load() && s.configuration.Current() != nil
}

// Draining tells whether Drain or Stop was called.
func (s *Service) Draining() bool { return s.draining.Load() }

// InFlight returns the number of requests in flight.
func (s *Service) InFlight() int { return int(s.inFlight.Load()) }

func (s *Service) enter(f *flight) {
	s.mu.Lock()
	s.flights[f.ask.ID] = f
	s.mu.Unlock()
}

func (s *Service) leave(f *flight) {
	s.mu.Lock()
	delete(s.flights, f.ask.ID)
	s.mu.Unlock()
}

// displace tells a request that it has to give way.
func (s *Service) displace(id wigeonshift.RequestID) {
	s.mu.Lock()
	f := s.flights[id]
	s.mu.Unlock()
	if f == nil {
		return
	}
	select {
	case f.displaced <- struct{}{}:
	default:
	}
}

// reduce applies an event to the reducer.
func (s *Service) reduce(b wigeonscheduler.Body) []wigeonscheduler.Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wigeonscheduler.Reduce(&s.state, wigeonscheduler.Event{At: time.Now(), Random: rand.Uint64(), Body: b})
}

// Refuse counts a request that its router does not accept and returns the answer to it.
func (s *Service) Refuse(reason wigeonshift.RefusalReason) Result {
	return s.refuse(s.NextID(), refused(reason))
}

// Models returns the models of a product by name with the service that runs each.
func (s *Service) Models(product string) map[string]string {
	models := map[string]string{}
	if rt := s.currentRoutes(); rt != nil {
		for key, service := range rt.services {
			if key.product == product {
				models[key.model] = service
			}
		}
	}
	return models
}

// refuse answers a request that was not accepted.
func (s *Service) refuse(id wigeonshift.RequestID, r *wigeonshift.Refusal) Result {
	s.counters.add(wigeonscheduler.CountEntryRefusals, string(r.Reason), 1)
	return Result{ID: id, Refusal: r}
}

// NextID returns an id for a request. It is unique across instances because the instance's own id is.
func (s *Service) NextID() wigeonshift.RequestID {
	return wigeonshift.RequestID(s.self.ID + "-" + strconv.FormatUint(s.lastID.Add(1), 36))
}

// finished lowers a count of running work and wakes a drain.
func (s *Service) finished(count *atomic.Int64) {
	count.Add(-1)
	if !s.draining.Load() {
		return
	}
	select {
	case s.ended <- struct{}{}:
	default:
	}
}

// inBackground starts a task that may outlive its request.
func (s *Service) inBackground(task func()) {
	s.background.Add(1)
	s.tasks.Go(task)
}
