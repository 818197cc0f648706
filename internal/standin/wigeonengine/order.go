package wigeonengine

import (
	"encoding/json"
	"slices"
	"time"

	"wigeonshift"
)

// kvState is the exported state of a paused stream.
type kvState struct {
	Model        string `json:"model"`
	Prompt       string `json:"prompt"`
	MaxTokens    int    `json:"maxTokens"`
	Produced     int    `json:"produced"`
	CachedTokens int    `json:"cachedTokens"`
}

// order carries out an order; a repeat of an accepted one has no effect.
func (e *Engine) order(o wigeonshift.Order) *failure {
	ignore := e.faults.Get().IgnoreFencing
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence {
		e.stats.StaleOrders++
		if !ignore {
			return failStaleFence
		}
	}
	e.fence = max(e.fence, o.Fence)
	if e.orders[o.ID] {
		return nil
	}
	e.orders[o.ID] = true
	switch o.Kind {
	case wigeonshift.OrderLoadModel, wigeonshift.OrderLoadAdapter:
		time.AfterFunc(e.set.loadTime, func() { e.addModel(o.Subject) })
	case wigeonshift.OrderSetRole:
		e.stats.Role = o.Subject
	case wigeonshift.OrderSetVersion:
		e.stats.Version = o.Subject
	default:
		return failUnsupported
	}
	return nil
}

func (e *Engine) addModel(model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.models, model) {
		e.models = append(e.models, model)
	}
}

// load returns a report that lags by up to the configured time.
func (e *Engine) load(now time.Time) wigeonshift.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.report.TakenAt.IsZero() && now.Sub(e.report.TakenAt) < e.set.loadLag {
		return e.report
	}
	previous := e.report
	e.report = wigeonshift.LoadReport{
		TakenAt: now, Running: len(e.batch), Waiting: len(e.waiting),
		CachedTokens: e.cache.tokens(), CacheCapacity: e.set.cache.Tokens,
		Models: slices.Clone(e.models), Draining: e.draining, Incarnation: e.stats.Incarnation,
	}
	if previous.TakenAt.IsZero() {
		return e.report
	}
	return previous
}

// cacheEvents returns the events that can be read by now.
func (e *Engine) cacheEvents(after uint64, now time.Time) wigeonshift.CacheBatch {
	e.mu.Lock()
	defer e.mu.Unlock()
	return wigeonshift.CacheBatch{Incarnation: e.stats.Incarnation, Events: e.cache.after(after, now)}
}

// exportKV returns the state of a paused stream.
func (e *Engine) exportKV(token wigeonshift.AttemptToken) ([]byte, *failure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.sequences[token]
	if !ok || s.phase != phasePaused {
		return nil, failUnknownStream
	}
	document, err := json.Marshal(kvState{
		Model: s.request.Model, Prompt: s.request.Prompt, MaxTokens: s.request.MaxTokens,
		Produced: s.produced, CachedTokens: s.cachedTokens,
	})
	if err != nil {
		return nil, failUnsupported
	}
	return document, nil
}

// importKV installs an exported state as a paused stream under a token of its own.
func (e *Engine) importKV(token wigeonshift.AttemptToken, document []byte) *failure {
	var state kvState
	if err := json.Unmarshal(document, &state); err != nil {
		return failBadRequest
	}
	s := newSequence(wigeonshift.GenerateRequest{
		Token: token, Model: state.Model, Prompt: state.Prompt, MaxTokens: state.MaxTokens,
	})
	s.phase, s.produced, s.cachedTokens = phasePaused, state.Produced, state.CachedTokens
	s.idleSince = time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.models, state.Model) {
		return failModel
	}
	if _, ok := e.sequences[token]; ok {
		return failDuplicate
	}
	e.sequences[token] = s
	if s.produced > 0 {
		// The imported state includes the prompt's blocks.
		e.cache.store(s.blocks, time.Now())
	}
	return nil
}
