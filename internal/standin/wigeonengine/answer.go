package wigeonengine

import (
	"math/rand/v2"
	"strconv"
	"strings"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonprompt"
)

// letters of generated text; a power of two of them so that bits choose evenly.
const letters = "abcdefghijklmnoprstuvwyzeaiou.-,"

// earlyStopShare is the part of the asked length by which an answer may end early: 1 in 4.
const earlyStopShare = 4

// Answer returns the whole answer that every stand-in engine gives to a prompt.
func Answer(model, prompt string, maxTokens int) string {
	return newAnswer(model, prompt, maxTokens).text(0, -1)
}

// AnswerTokens returns the number of tokens of Answer.
func AnswerTokens(model, prompt string, maxTokens int) int {
	return newAnswer(model, prompt, maxTokens).total
}

// Content identifies a completion in the engine's ledger.
func Content(model, prompt string, maxTokens int) wigeonshift.Fingerprint {
	return wigeonprompt.Fingerprint(model, prompt, strconv.Itoa(maxTokens))
}

// answer generates the tokens of one answer, each by its index alone.
type answer struct {
	seed uint64
	// total is the number of tokens, at least 1.
	total  int
	finish wigeonshift.FinishReason
}

func newAnswer(model, prompt string, maxTokens int) answer {
	maxTokens = max(1, maxTokens)
	seed := uint64(Content(model, prompt, maxTokens))
	early := int(seed % uint64(maxTokens/earlyStopShare+1))
	a := answer{seed: seed, total: maxTokens - early, finish: wigeonshift.FinishLength}
	if early > 0 {
		a.finish = wigeonshift.FinishStop
	}
	return a
}

// text returns the tokens from one index up to another; a negative end means all.
func (a answer) text(from, to int) string {
	if to < 0 {
		to = a.total
	}
	var b strings.Builder
	b.Grow((to - from) * wigeonprompt.BytesPerToken)
	for i := from; i < to; i++ {
		bits := rand.NewPCG(a.seed, uint64(i)).Uint64()
		for range wigeonprompt.BytesPerToken - 1 {
			b.WriteByte(letters[bits%uint64(len(letters))])
			bits >>= 5
		}
		b.WriteByte(' ')
	}
	return b.String()
}
