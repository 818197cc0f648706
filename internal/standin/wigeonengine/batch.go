package wigeonengine

import (
	"slices"
	"time"
)

// run executes the batch step by step until the engine stops. Step ends are computed from the previous step end, so
// that late timers don't add up.
func (e *Engine) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	stepEnd := time.Now()
	for {
		duration, busy := e.planStep()
		if !busy {
			if !e.waitForWork() {
				return
			}
			stepEnd = time.Now()
			continue
		}
		stepEnd = stepEnd.Add(duration)
		if wait := time.Until(stepEnd); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-e.stopped:
				return
			}
		}
		e.applyStep()
	}
}

// waitForWork waits until a sequence may be waiting. It returns false if the engine stops.
func (e *Engine) waitForWork() bool {
	select {
	case <-e.workReady:
		return true
	case <-e.stopped:
		return false
	}
}

// planStep admits waiting sequences and divides the prefill budget of the next step among them. It returns the duration
// of the step, and false if the batch is empty.
func (e *Engine) planStep() (duration time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch = slices.DeleteFunc(e.batch, func(s *sequence) bool { return !s.inBatch() })
	e.admitWaiting()
	prefill, decoding := 0, 0
	budget := max(1, e.settings.speed.PrefillChunk)
	for _, s := range e.batch {
		if s.phase == phaseDecode {
			decoding++
			continue
		}
		s.plannedPrefill = min(s.prefillRemaining, budget)
		budget -= s.plannedPrefill
		prefill += s.plannedPrefill
	}
	return e.stepDuration(prefill, decoding), len(e.batch) > 0
}

// stepDuration returns the duration of a step with this many prefill tokens and decoding sequences.
func (e *Engine) stepDuration(prefill, decoding int) time.Duration {
	var duration time.Duration
	if speed := e.settings.speed.PrefillTokensPerSecond; speed > 0 {
		duration = time.Duration(float64(prefill) / speed * float64(time.Second))
	}
	if decoding > 0 {
		slowdown := 1 + e.settings.speed.BatchSlowdown*float64(decoding-1)
		duration += time.Duration(float64(e.settings.speed.DecodeStep) * slowdown)
	}
	return e.faults.Get().ScaleDuration(duration)
}

// admitWaiting moves waiting sequences into the batch in order of arrival, until the batch is full.
func (e *Engine) admitWaiting() {
	for len(e.waiting) > 0 && len(e.batch) < e.settings.speed.MaxBatch {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if s.phase != phaseWaiting {
			continue
		}
		e.batch = append(e.batch, s)
		if s.producedTokens > 0 {
			s.phase = phaseDecode
			continue
		}
		s.phase = phasePrefill
		s.cachedTokens = min(e.cache.cachedPrefixTokens(s.blocks), s.promptTokens-1)
		s.prefillRemaining = s.promptTokens - s.cachedTokens
		e.stats.PrefillTokensCached += int64(s.cachedTokens)
	}
}

// applyStep applies the results of the step that has just ended to its sequences.
func (e *Engine) applyStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, s := range e.batch {
		switch s.phase {
		case phasePrefill:
			e.applyPrefill(s, now)
		case phaseDecode:
			s.producedTokens++
			e.stats.DecodeTokens++
		default:
			continue
		}
		if s.phase == phaseDecode && e.settings.speed.DecodeStep == 0 {
			e.stats.DecodeTokens += int64(s.completion.tokenCount - s.producedTokens)
			s.producedTokens = s.completion.tokenCount
		}
		if s.producedTokens >= s.completion.tokenCount {
			s.phase = phaseDone
		}
		s.notifyStream()
	}
}

// applyPrefill applies the prefill part of a step. The step that completes the prompt also generates the first token.
func (e *Engine) applyPrefill(s *sequence, now time.Time) {
	s.prefillRemaining -= s.plannedPrefill
	s.computedPrefill += s.plannedPrefill
	e.stats.PrefillTokensComputed += int64(s.plannedPrefill)
	s.plannedPrefill = 0
	if s.prefillRemaining > 0 {
		return
	}
	e.stats.PrefillTokensRepeated += int64(e.cache.store(s.blocks, now))
	s.phase = phaseDecode
	s.producedTokens = 1
	e.stats.DecodeTokens++
}
