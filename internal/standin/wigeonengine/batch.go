package wigeonengine

import (
	"slices"
	"time"
)

// run works on the batch step by step until the engine stops.
func (e *Engine) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := time.Now()
	for {
		length, busy := e.planStep()
		if !busy {
			if !e.waitForWork() {
				return
			}
			due = time.Now()
			continue
		}
		due = due.Add(length)
		if wait := time.Until(due); wait > 0 {
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

// waitForWork waits for a wake-up; it is false when the engine stops.
func (e *Engine) waitForWork() bool {
	select {
	case <-e.work:
		return true
	case <-e.stopped:
		return false
	}
}

// planStep admits waiting sequences, shares out the prefill of the coming step and returns its length.
func (e *Engine) planStep() (length time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.batch = slices.DeleteFunc(e.batch, func(s *sequence) bool { return !s.running() })
	e.admit()
	prefill, decoding := 0, 0
	budget := max(1, e.set.speed.PrefillChunk)
	for _, s := range e.batch {
		if s.phase == phaseDecode {
			decoding++
			continue
		}
		s.planned = min(s.prefillLeft, budget)
		budget -= s.planned
		prefill += s.planned
	}
	return e.stepLength(prefill, decoding), len(e.batch) > 0
}

func (e *Engine) stepLength(prefill, decoding int) time.Duration {
	var length time.Duration
	if speed := e.set.speed.PrefillTokensPerSecond; speed > 0 {
		length = time.Duration(float64(prefill) / speed * float64(time.Second))
	}
	if decoding > 0 {
		slowdown := 1 + e.set.speed.BatchSlowdown*float64(decoding-1)
		length += time.Duration(float64(e.set.speed.DecodeStep) * slowdown)
	}
	return e.faults.Get().ScaleDuration(length)
}

// admit moves waiting sequences into the batch in order of arrival.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.batch) < e.set.speed.MaxBatch {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		if s.phase != phaseWaiting {
			continue
		}
		e.batch = append(e.batch, s)
		if s.produced > 0 {
			s.phase = phaseDecode
			continue
		}
		s.phase = phasePrefill
		s.cachedTokens = min(e.cache.lookup(s.blocks), s.promptTokens-1)
		s.prefillLeft = s.promptTokens - s.cachedTokens
		e.stats.PrefillTokensCached += int64(s.cachedTokens)
	}
}

// applyStep books the work of the step that has just ended.
func (e *Engine) applyStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, s := range e.batch {
		switch s.phase {
		case phasePrefill:
			e.applyPrefill(s, now)
		case phaseDecode:
			s.produced++
			e.stats.DecodeTokens++
		default:
			continue
		}
		if s.phase == phaseDecode && e.set.speed.DecodeStep == 0 {
			e.stats.DecodeTokens += int64(s.answer.total - s.produced)
			s.produced = s.answer.total
		}
		if s.produced >= s.answer.total {
			s.phase = phaseDone
		}
		s.wake()
	}
}

// applyPrefill books prompt work; the end of the prompt gives the first token.
func (e *Engine) applyPrefill(s *sequence, now time.Time) {
	s.prefillLeft -= s.planned
	s.computed += s.planned
	e.stats.PrefillTokensComputed += int64(s.planned)
	s.planned = 0
	if s.prefillLeft > 0 {
		return
	}
	e.stats.PrefillTokensRepeated += int64(e.cache.store(s.blocks, now))
	s.phase = phaseDecode
	s.produced = 1
	e.stats.DecodeTokens++
}
