package wigeonengine

import (
	"encoding/json"
	"slices"
	"time"

	"wigeonshift"
)

// kvState is the exported KV cache state of a paused stream.
type kvState struct {
	Model        string `json:"model"`
	Prompt       string `json:"prompt"`
	MaxTokens    int    `json:"maxTokens"`
	Produced     int    `json:"produced"`
	CachedTokens int    `json:"cachedTokens"`
}

// applyOrder executes an order, unless it has seen the order's ID before. It refuses an order whose fencing number is
// below the highest one so far, unless the IgnoreFencing fault is active.
func (e *Engine) applyOrder(o wigeonshift.Order) *failure {
	ignoreFencing := e.faults.Get().IgnoreFencing
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.highestFence {
		e.stats.StaleOrders++
		if !ignoreFencing {
			return failStaleFence
		}
	}
	e.highestFence = max(e.highestFence, o.Fence)
	if e.seenOrders[o.ID] {
		return nil
	}
	e.seenOrders[o.ID] = true
	switch o.Kind {
	case wigeonshift.OrderLoadModel, wigeonshift.OrderLoadAdapter:
		time.AfterFunc(e.settings.modelLoadTime, func() { e.addModel(o.Subject) })
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

// laggedLoadReport returns an outdated load report, as a real engine may. Once the latest report is older than the
// configured lag, the engine takes a new one but still returns the previous one.
func (e *Engine) laggedLoadReport(now time.Time) wigeonshift.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.latestReport.TakenAt.IsZero() && now.Sub(e.latestReport.TakenAt) < e.settings.loadLag {
		return e.latestReport
	}
	previous := e.latestReport
	e.latestReport = wigeonshift.LoadReport{
		TakenAt: now, Running: len(e.batch), Waiting: len(e.waiting),
		CachedTokens: e.cache.tokenCount(), CacheCapacity: e.settings.cache.Tokens,
		Models: slices.Clone(e.models), Draining: e.draining, Incarnation: e.stats.Incarnation,
	}
	if previous.TakenAt.IsZero() {
		return e.latestReport
	}
	return previous
}

// cacheEvents returns the readable events after a sequence number.
func (e *Engine) cacheEvents(after uint64, now time.Time) wigeonshift.CacheBatch {
	e.mu.Lock()
	defer e.mu.Unlock()
	return wigeonshift.CacheBatch{Incarnation: e.stats.Incarnation, Events: e.cache.readableEvents(after, now)}
}

// exportKV returns the encoded state of a paused stream.
func (e *Engine) exportKV(token wigeonshift.AttemptToken) ([]byte, *failure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.sequences[token]
	if !ok || s.phase != phasePaused {
		return nil, failUnknownStream
	}
	document, err := json.Marshal(kvState{
		Model: s.request.Model, Prompt: s.request.Prompt, MaxTokens: s.request.MaxTokens,
		Produced: s.producedTokens, CachedTokens: s.cachedTokens,
	})
	if err != nil {
		return nil, failUnsupported
	}
	return document, nil
}

// importKV creates a paused stream from an exported state, under a new attempt token.
func (e *Engine) importKV(token wigeonshift.AttemptToken, document []byte) *failure {
	var state kvState
	if err := json.Unmarshal(document, &state); err != nil {
		return failBadRequest
	}
	s := newSequence(wigeonshift.GenerateRequest{
		Token: token, Model: state.Model, Prompt: state.Prompt, MaxTokens: state.MaxTokens,
	})
	s.phase, s.producedTokens, s.cachedTokens = phasePaused, state.Produced, state.CachedTokens
	s.unreadSince = time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.models, state.Model) {
		return failModelNotLoaded
	}
	if _, ok := e.sequences[token]; ok {
		return failDuplicateToken
	}
	e.sequences[token] = s
	if s.producedTokens > 0 {
		// The imported state includes the cache blocks of the prompt.
		e.cache.store(s.blocks, time.Now())
	}
	return nil
}
