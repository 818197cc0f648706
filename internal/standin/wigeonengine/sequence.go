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
	// phaseDropped is the end of a cancelled or expired sequence.
	phaseDropped
)

// sequence is one completion. The engine's mutex guards it.
type sequence struct {
	request wigeonshift.GenerateRequest
	answer  answer
	blocks  []wigeonshift.BlockHash
	phase   phase
	// promptTokens is cachedTokens plus all that is or was to be computed.
	promptTokens int
	cachedTokens int
	prefillLeft  int
	// planned is the number of prompt tokens of the step under way.
	planned int
	// computed is the number of prompt tokens computed here.
	computed int
	// produced is the number of tokens generated.
	produced int
	// notify wakes the stream; it is closed when another stream takes over.
	notify chan struct{}
	// idleSince is the time from which nobody reads the stream; zero while somebody does.
	idleSince time.Time
}

func newSequence(r wigeonshift.GenerateRequest) *sequence {
	return &sequence{
		request:      r,
		answer:       newAnswer(r.Model, r.Prompt, r.MaxTokens),
		blocks:       wigeonprompt.PrefixHashes(r.Model, r.Prompt),
		promptTokens: wigeonprompt.Tokens(r.Prompt),
		notify:       make(chan struct{}, 1),
	}
}

// wake tells the stream that something changed.
func (s *sequence) wake() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// takeOver ends the stream that reads now and returns the channel for the next one.
func (s *sequence) takeOver() chan struct{} {
	close(s.notify)
	s.notify = make(chan struct{}, 1)
	s.idleSince = time.Time{}
	return s.notify
}

// running reports whether the sequence is in the batch.
func (s *sequence) running() bool {
	return s.phase == phasePrefill || s.phase == phaseDecode
}

// result closes a stream of the sequence.
func (s *sequence) result() wigeonshift.GenerateResult {
	finish := s.answer.finish
	if s.phase == phasePaused {
		finish = wigeonshift.FinishPaused
	}
	return wigeonshift.GenerateResult{
		Token: s.request.Token, Finish: finish, PromptTokens: s.promptTokens,
		CachedTokens: s.cachedTokens, TokensDone: s.produced,
	}
}
