// Package wigeonengine is a stand-in model engine: an HTTP server that batches continuously, caches prompt prefixes
// and fails on command. Its answers are a function of the request, so that callers can verify them whole.
package wigeonengine

import (
	"context"
	"slices"
	"sync"
	"time"

	"wigeonshift"
	"wigeonshift/internal/standin/wigeonfault"
	"wigeonshift/internal/standin/wigeonledger"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"
)

// sweepPeriod is the time between two looks for states that nobody needs any more.
const sweepPeriod = time.Second

// Engine is one stand-in engine.
type Engine struct {
	set    settings
	faults *wigeonfault.Injector
	server *wigeonfault.Server
	wg     conc.WaitGroup
	// work wakes the batch.
	work     chan struct{}
	stopped  chan struct{}
	stopOnce sync.Once

	mu        sync.Mutex
	draining  bool
	sequences map[wigeonshift.AttemptToken]*sequence
	waiting   []*sequence
	batch     []*sequence
	cache     *prefixCache
	ledger    *wigeonledger.Ledger
	stats     Stats
	models    []string
	fence     uint64
	orders    map[string]bool
	report    wigeonshift.LoadReport
	// lastToken is the newest attempt token, for crossed replies.
	lastToken wigeonshift.AttemptToken
}

// New returns an engine for an address; port 0 takes a free port.
func New(address string, opts ...Option) *Engine {
	set := defaultSettings()
	for _, o := range opts {
		o(&set)
	}
	set.speed.MaxBatch = max(1, set.speed.MaxBatch)
	e := &Engine{
		set:       set,
		faults:    wigeonfault.NewInjector(set.faults),
		work:      make(chan struct{}, 1),
		stopped:   make(chan struct{}),
		sequences: map[wigeonshift.AttemptToken]*sequence{},
		cache:     newPrefixCache(set.cache, set.seed),
		ledger:    wigeonledger.New(),
		models:    slices.Clone(set.models),
		orders:    map[string]bool{},
	}
	e.stats.Incarnation = uuid.NewString()
	e.server = wigeonfault.NewServer(address, e.newApp)
	return e
}

// Start listens and begins to work.
func (e *Engine) Start(_ context.Context) error {
	if err := e.server.Start(); err != nil {
		return err
	}
	e.wg.Go(e.run)
	e.wg.Go(e.runSweep)
	return nil
}

// Stop refuses new work, lets streams finish until the context ends, and ends.
func (e *Engine) Stop(ctx context.Context) error {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	err := e.server.Stop(ctx)
	e.stopOnce.Do(func() { close(e.stopped) })
	e.wg.Wait()
	return err
}

// Address returns the address listened at.
func (e *Engine) Address() string {
	return e.server.Address()
}

// SetFaults replaces the faults in force.
func (e *Engine) SetFaults(f wigeonfault.Faults) {
	e.faults.Set(f)
	if f.Crash {
		e.crash()
	}
}

// Stats returns the engine's counts.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.stats
	st.Counts = e.ledger.Counts
	return st
}

// Contents returns the number of executions of each content.
func (e *Engine) Contents() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ledger.Contents()
}

// crash loses all state but the counts, as the death of the process would.
func (e *Engine) crash() {
	e.server.Crash(time.Duration(e.faults.Get().RestartMS) * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.sequences {
		e.drop(s)
	}
	e.sequences = map[wigeonshift.AttemptToken]*sequence{}
	e.waiting, e.batch = nil, nil
	known := e.cache.known
	e.cache = newPrefixCache(e.set.cache, e.set.seed)
	e.cache.known = known
	e.models = slices.Clone(e.set.models)
	e.fence = 0
	e.orders = map[string]bool{}
	e.report = wigeonshift.LoadReport{}
	e.stats.Incarnation = uuid.NewString()
	e.stats.Crashes++
}

// start books a completion and puts it in line.
func (e *Engine) start(r wigeonshift.GenerateRequest) (*sequence, chan struct{}, *failure) {
	s := newSequence(r)
	content := Content(r.Model, r.Prompt, r.MaxTokens)
	e.mu.Lock()
	defer e.mu.Unlock()
	if f := e.refuse(r); f != nil {
		e.stats.Refused++
		return nil, nil, f
	}
	if e.ledger.Add(r.Token, content) {
		return nil, nil, failDuplicate
	}
	e.sequences[r.Token] = s
	e.waiting = append(e.waiting, s)
	e.lastToken = r.Token
	e.wake()
	return s, s.notify, nil
}

// refuse returns why a request can't begin.
func (e *Engine) refuse(r wigeonshift.GenerateRequest) *failure {
	switch {
	case e.draining:
		return failDraining
	case !slices.Contains(e.models, r.Model):
		return failModel
	case e.faults.TakeRefusal():
		return failRefused
	}
	return nil
}

// resume continues a sequence for a new stream.
func (e *Engine) resume(token wigeonshift.AttemptToken, offset int) (*sequence, chan struct{}, *failure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.sequences[token]
	if !ok || offset < 0 || offset > s.produced {
		return nil, nil, failUnknownStream
	}
	notify := s.takeOver()
	if s.phase == phasePaused {
		s.phase = phaseWaiting
		e.waiting = append(e.waiting, s)
		e.wake()
	}
	return s, notify, nil
}

// pause takes a sequence out of the batch and keeps its state.
func (e *Engine) pause(token wigeonshift.AttemptToken) *failure {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.sequences[token]
	if !ok {
		return failUnknownStream
	}
	if s.phase == phaseDone || s.phase == phasePaused {
		return nil
	}
	if s.phase == phasePrefill {
		// Prompt work done so far is lost: only whole prompts have state worth keeping.
		e.stats.PrefillTokensThrownAway += int64(s.computed)
		s.computed, s.prefillLeft = 0, 0
	}
	s.phase = phasePaused
	s.idleSince = time.Now()
	s.wake()
	return nil
}

// cancel ends a sequence and drops its state.
func (e *Engine) cancel(token wigeonshift.AttemptToken) *failure {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.sequences[token]
	if !ok {
		return failUnknownStream
	}
	e.drop(s)
	delete(e.sequences, token)
	return nil
}

// drop ends a sequence and books what is thrown away with it.
func (e *Engine) drop(s *sequence) {
	if s.phase != phaseDone {
		e.stats.PrefillTokensThrownAway += int64(s.computed)
		e.stats.DecodeTokensThrownAway += int64(s.produced)
	}
	s.phase = phaseDropped
	s.wake()
}

// wake lets the batch look for work.
func (e *Engine) wake() {
	select {
	case e.work <- struct{}{}:
	default:
	}
}

// runSweep drops states that nobody has read for the retention period.
func (e *Engine) runSweep() {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.sweep(time.Now())
		case <-e.stopped:
			return
		}
	}
}

func (e *Engine) sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for token, s := range e.sequences {
		retention := e.set.retention
		if s.phase == phasePaused {
			retention = e.set.pausedRetention
		}
		if !s.idleSince.IsZero() && now.Sub(s.idleSince) > retention {
			e.drop(s)
			delete(e.sequences, token)
		}
	}
}
