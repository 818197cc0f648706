// Package wigeonengine is a stand-in for a model engine: an HTTP server that simulates continuous batching and a prefix
// cache, and injects faults. Its completions depend only on the request, so that callers can verify the complete text.
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

// sweepPeriod is the interval at which runSweep looks for sequences to drop.
const sweepPeriod = time.Second

// Engine is one stand-in engine.
type Engine struct {
	settings settings
	faults   *wigeonfault.Injector
	server   *wigeonfault.Server
	wg       conc.WaitGroup
	// workReady wakes run when a sequence was queued.
	workReady chan struct{}
	stopped   chan struct{}
	stopOnce  sync.Once

	mu           sync.Mutex
	draining     bool
	sequences    map[wigeonshift.AttemptToken]*sequence
	waiting      []*sequence
	batch        []*sequence
	cache        *prefixCache
	ledger       *wigeonledger.Ledger
	stats        Stats
	models       []string
	highestFence uint64
	seenOrders   map[string]bool
	latestReport wigeonshift.LoadReport
	// lastToken is the newest attempt token. Crossed replies carry it instead of their own.
	lastToken wigeonshift.AttemptToken
}

// New returns an engine for an address; port 0 selects a free port.
func New(address string, opts ...Option) *Engine {
	settings := defaultSettings()
	for _, o := range opts {
		o(&settings)
	}
	settings.speed.MaxBatch = max(1, settings.speed.MaxBatch)
	e := &Engine{
		settings:   settings,
		faults:     wigeonfault.NewInjector(settings.faults),
		workReady:  make(chan struct{}, 1),
		stopped:    make(chan struct{}),
		sequences:  map[wigeonshift.AttemptToken]*sequence{},
		cache:      newPrefixCache(settings.cache, settings.seed),
		ledger:     wigeonledger.New(),
		models:     slices.Clone(settings.models),
		seenOrders: map[string]bool{},
	}
	e.stats.Incarnation = uuid.NewString()
	e.server = wigeonfault.NewServer(address, e.newApp)
	return e
}

// Start listens and runs the engine in the background.
func (e *Engine) Start(_ context.Context) error {
	if err := e.server.Start(); err != nil {
		return err
	}
	e.wg.Go(e.run)
	e.wg.Go(e.runSweep)
	return nil
}

// Stop refuses new requests, lets streams finish until the context ends, and stops the engine.
func (e *Engine) Stop(ctx context.Context) error {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	err := e.server.Stop(ctx)
	e.stopOnce.Do(func() { close(e.stopped) })
	e.wg.Wait()
	return err
}

// Address returns the address that the engine listens at.
func (e *Engine) Address() string {
	return e.server.Address()
}

// SetFaults replaces the active faults, and crashes the engine if f.Crash is set.
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

// crash simulates a crash of the process: the engine loses all state except its counts. It also keeps the cache's record
// of stored blocks, on which the count of repeated prefill depends.
func (e *Engine) crash() {
	e.server.Crash(time.Duration(e.faults.Get().RestartMS) * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.sequences {
		e.drop(s)
	}
	e.sequences = map[wigeonshift.AttemptToken]*sequence{}
	e.waiting, e.batch = nil, nil
	everStored := e.cache.everStored
	e.cache = newPrefixCache(e.settings.cache, e.settings.seed)
	e.cache.everStored = everStored
	e.models = slices.Clone(e.settings.models)
	e.highestFence = 0
	e.seenOrders = map[string]bool{}
	e.latestReport = wigeonshift.LoadReport{}
	e.stats.Incarnation = uuid.NewString()
	e.stats.Crashes++
}

// enqueue records a completion request in the ledger and queues it. It returns the sequence and the channel of its
// updates.
func (e *Engine) enqueue(r wigeonshift.GenerateRequest) (*sequence, chan struct{}, *failure) {
	s := newSequence(r)
	content := CompletionFingerprint(r.Model, r.Prompt, r.MaxTokens)
	e.mu.Lock()
	defer e.mu.Unlock()
	if f := e.checkAdmission(r); f != nil {
		e.stats.Refused++
		return nil, nil, f
	}
	if e.ledger.Add(r.Token, content) {
		return nil, nil, failDuplicateToken
	}
	e.sequences[r.Token] = s
	e.waiting = append(e.waiting, s)
	e.lastToken = r.Token
	e.wakeBatch()
	return s, s.updates, nil
}

// checkAdmission returns the failure with which to refuse a request, or nil to accept it.
func (e *Engine) checkAdmission(r wigeonshift.GenerateRequest) *failure {
	switch {
	case e.draining:
		return failDraining
	case !slices.Contains(e.models, r.Model):
		return failModelNotLoaded
	case e.faults.TakeRefusal():
		return failRefused
	}
	return nil
}

// resume attaches a new stream to a sequence, and queues the sequence again if it is paused.
func (e *Engine) resume(token wigeonshift.AttemptToken, offset int) (*sequence, chan struct{}, *failure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.sequences[token]
	if !ok || offset < 0 || offset > s.producedTokens {
		return nil, nil, failUnknownStream
	}
	updates := s.attachStream()
	if s.phase == phasePaused {
		s.phase = phaseWaiting
		e.waiting = append(e.waiting, s)
		e.wakeBatch()
	}
	return s, updates, nil
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
		// The prefill done so far is lost, because the engine keeps state only for complete prompts.
		e.stats.PrefillTokensThrownAway += int64(s.computedPrefill)
		s.computedPrefill, s.prefillRemaining = 0, 0
	}
	s.phase = phasePaused
	s.unreadSince = time.Now()
	s.notifyStream()
	return nil
}

// cancel ends a sequence and discards its state.
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

// drop ends a sequence. If it was not finished, its computed and generated tokens count as thrown away.
func (e *Engine) drop(s *sequence) {
	if s.phase != phaseDone {
		e.stats.PrefillTokensThrownAway += int64(s.computedPrefill)
		e.stats.DecodeTokensThrownAway += int64(s.producedTokens)
	}
	s.phase = phaseDropped
	s.notifyStream()
}

// wakeBatch wakes run to look for waiting sequences.
func (e *Engine) wakeBatch() {
	select {
	case e.workReady <- struct{}{}:
	default:
	}
}

// runSweep regularly drops sequences that no stream has read for the retention time.
func (e *Engine) runSweep() {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.dropUnread(time.Now())
		case <-e.stopped:
			return
		}
	}
}

// dropUnread drops the sequences whose retention time has passed. Paused sequences have their own retention time.
func (e *Engine) dropUnread(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for token, s := range e.sequences {
		retention := e.settings.retention
		if s.phase == phasePaused {
			retention = e.settings.pausedRetention
		}
		if !s.unreadSince.IsZero() && now.Sub(s.unreadSince) > retention {
			e.drop(s)
			delete(e.sequences, token)
		}
	}
}
