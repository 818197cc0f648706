package wigeonengine

import (
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonprompt"
)

// phase is the state of a sequence.
type phase int

const (
	phaseWaiting phase = iota
	phasePrefill
	phaseDecode
	phasePaused
	phaseDone
	// phaseDropped is the final phase of a cancelled or expired sequence.
	phaseDropped
)

// sequence is one completion in the engine. The engine's mutex guards it.
type sequence struct {
	request    wigeonshift.GenerateRequest
	completion completion
	blocks     []wigeonshift.BlockHash
	phase      phase
	// promptTokens is the length of the prompt: cachedTokens plus the tokens that the engine must compute.
	promptTokens     int
	cachedTokens     int
	prefillRemaining int
	// plannedPrefill is the number of prompt tokens that the current step computes.
	plannedPrefill int
	// computedPrefill is the number of prompt tokens that this engine has computed.
	computedPrefill int
	// producedTokens is the number of generated tokens.
	producedTokens int
	// updates signals changes to the attached stream. It is closed when another stream replaces that stream.
	updates chan struct{}
	// unreadSince is the time since which no stream reads the sequence; it is zero while one does.
	unreadSince time.Time
}

func newSequence(r wigeonshift.GenerateRequest) *sequence {
	return &sequence{
		request:      r,
		completion:   newCompletion(r.Model, r.Prompt, r.MaxTokens),
		blocks:       wigeonprompt.PrefixHashes(r.Model, r.Prompt),
		promptTokens: wigeonprompt.Tokens(r.Prompt),
		updates:      make(chan struct{}, 1),
	}
}

// notifyStream signals a change to the attached stream.
func (s *sequence) notifyStream() {
	select {
	case s.updates <- struct{}{}:
	default:
	}
}

// attachStream ends the attached stream and returns the update channel for the new one.
func (s *sequence) attachStream() chan struct{} {
	close(s.updates)
	s.updates = make(chan struct{}, 1)
	s.unreadSince = time.Time{}
	return s.updates
}

// inBatch reports whether the sequence has a place in the batch.
func (s *sequence) inBatch() bool {
	return s.phase == phasePrefill || s.phase == phaseDecode
}

// result returns the result that ends a stream of the sequence.
func (s *sequence) result() wigeonshift.GenerateResult {
	finish := s.completion.finish
	if s.phase == phasePaused {
		finish = wigeonshift.FinishPaused
	}
	return wigeonshift.GenerateResult{
		Token: s.request.Token, Finish: finish, PromptTokens: s.promptTokens,
		CachedTokens: s.cachedTokens, TokensDone: s.producedTokens,
	}
}
