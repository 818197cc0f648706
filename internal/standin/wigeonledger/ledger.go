// Package wigeonledger counts the requests that a stand-in service executed, so that tests can verify at-most-once
// execution.
package wigeonledger

import (
	"wigeonshift"

	"github.com/cespare/xxhash/v2"
)

// Counts are the totals of a ledger.
type Counts struct {
	// Executions is the number of requests that started.
	Executions int64 `json:"executions"`
	// DistinctTokens is the number of different attempt tokens.
	DistinctTokens int64 `json:"distinctTokens"`
	// DuplicateTokens counts requests whose attempt token was used before.
	DuplicateTokens int64 `json:"duplicateTokens"`
	// RepeatedContents counts requests whose content was executed before, including requests that callers resent.
	RepeatedContents int64 `json:"repeatedContents"`
}

// Ledger counts executions by attempt token and by content. It is not safe for concurrent use.
type Ledger struct {
	Counts
	tokens   map[uint64]struct{}
	contents map[wigeonshift.Fingerprint]int
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{tokens: map[uint64]struct{}{}, contents: map[wigeonshift.Fingerprint]int{}}
}

// Add records one execution and reports whether its token was used before.
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

// Contents returns the number of executions of each content, by the hexadecimal form of its fingerprint.
func (l *Ledger) Contents() map[string]int {
	contents := make(map[string]int, len(l.contents))
	for content, count := range l.contents {
		contents[content.String()] = count
	}
	return contents
}
