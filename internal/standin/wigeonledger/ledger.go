// Package wigeonledger counts what a stand-in service executed, so that at-most-once can be checked from outside.
package wigeonledger

import (
	"strconv"

	"wigeonshift"

	"github.com/cespare/xxhash/v2"
)

// Counts are the totals of a ledger.
type Counts struct {
	// Executions is the number of requests begun.
	Executions int64 `json:"executions"`
	// DistinctTokens is the number of attempt tokens seen.
	DistinctTokens int64 `json:"distinctTokens"`
	// DuplicateTokens counts requests under a token that had been seen before.
	DuplicateTokens int64 `json:"duplicateTokens"`
	// RepeatedContents counts requests whose content had been seen before, resends of callers included.
	RepeatedContents int64 `json:"repeatedContents"`
}

// Ledger counts executions by attempt token and by content. Its owner guards it.
type Ledger struct {
	Counts
	tokens   map[uint64]struct{}
	contents map[wigeonshift.Fingerprint]int
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{tokens: map[uint64]struct{}{}, contents: map[wigeonshift.Fingerprint]int{}}
}

// Add books one execution and reports whether its token was seen before.
func (l *Ledger) Add(token wigeonshift.AttemptToken, content wigeonshift.Fingerprint) (duplicate bool) {
	key := xxhash.Sum64String(string(token))
	_, duplicate = l.tokens[key]
	l.tokens[key] = struct{}{}
	l.Executions++
	if duplicate {
		l.DuplicateTokens++
	} else {
		l.DistinctTokens++
	}
	if l.contents[content] > 0 {
		l.RepeatedContents++
	}
	l.contents[content]++
	return duplicate
}

// Contents returns the number of executions of each content by its fingerprint in hexadecimal.
func (l *Ledger) Contents() map[string]int {
	contents := make(map[string]int, len(l.contents))
	for content, count := range l.contents {
		contents[Key(content)] = count
	}
	return contents
}

// Key is the name of a content in Contents.
func Key(content wigeonshift.Fingerprint) string {
	return strconv.FormatUint(uint64(content), 16)
}
