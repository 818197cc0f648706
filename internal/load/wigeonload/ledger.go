package wigeonload

import (
	"encoding/json"
	"fmt"
	"time"

	"wigeonshift/internal/standin/wigeonengine"
	"wigeonshift/internal/standin/wigeonledger"

	"github.com/valyala/fasthttp"
)

// ledgerTimeout bounds the reading of a stand-in's counts.
const ledgerTimeout = 10 * time.Second

// ledger is one stand-in's counts before a run.
type ledger struct {
	address string
	plain   bool
	before  *counts
}

// counts are a stand-in's statistics and contents at one time.
type counts struct {
	stats    wigeonengine.Stats
	contents map[string]int
}

func newLedgers(engines, plains []string) []ledger {
	var ledgers []ledger
	for _, address := range engines {
		ledgers = append(ledgers, ledger{address: address})
	}
	for _, address := range plains {
		ledgers = append(ledgers, ledger{address: address, plain: true})
	}
	return ledgers
}

// readLedgers takes the counts before a run; a stand-in that can't be read is left out of the checks.
func readLedgers(ledgers []ledger) {
	for i := range ledgers {
		if c, err := readCounts(ledgers[i].address); err == nil {
			ledgers[i].before = c
		}
	}
}

// readCounts reads a stand-in's counts. Those of plain services are a part of an engine's.
func readCounts(address string) (*counts, error) {
	c := &counts{}
	if err := getJSON("http://"+address+"/standin/stats", &c.stats); err != nil {
		return nil, err
	}
	if err := getJSON("http://"+address+"/standin/contents", &c.contents); err != nil {
		return nil, err
	}
	return c, nil
}

func getJSON(url string, into any) error {
	status, body, err := fasthttp.GetTimeout(nil, url, ledgerTimeout)
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("%s answered %d", url, status)
	}
	return json.Unmarshal(body, into)
}

// compare checks the invariants against what the stand-ins executed during the run.
func (r *Runner) compare(res *Result) {
	executed := map[string]int{}
	prefill := &Prefill{Needed: r.recorder.neededTokens}
	engines := 0
	for i := range r.ledgers {
		l := &r.ledgers[i]
		after, err := readCounts(l.address)
		// Counts that fell are those of a process that was restarted.
		if err != nil || l.before == nil || after.stats.Executions < l.before.stats.Executions {
			res.Checks.Missing++
			continue
		}
		res.Checks.Ledgers++
		for content, count := range after.contents {
			executed[content] += count - l.before.contents[content]
		}
		before := l.before.stats
		res.Checks.DuplicateTokens += after.stats.DuplicateTokens - before.DuplicateTokens
		if l.plain {
			continue
		}
		engines++
		prefill.Computed += after.stats.PrefillTokensComputed - before.PrefillTokensComputed
		prefill.Cached += after.stats.PrefillTokensCached - before.PrefillTokensCached
		prefill.ThrownAway += after.stats.PrefillTokensThrownAway - before.PrefillTokensThrownAway
		prefill.RepeatedSameEngine += after.stats.PrefillTokensRepeated - before.PrefillTokensRepeated
	}
	if engines > 0 {
		prefill.Wasted = max(0, prefill.Computed-prefill.Needed)
		res.Prefill = prefill
	}
	r.recorder.check(&res.Checks, executed)
}

// check compares the sends of each content with its executions.
func (r *recorder) check(checks *Checks, executed map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for content, book := range r.sent {
		runs := executed[wigeonledger.Key(content)]
		allowed := book.sends - book.provedNotRun
		switch {
		case runs > 0 && allowed == 0:
			checks.FalseNotRun++
		case book.plain && runs > 1:
			checks.NonIdempotentTwice++
		case runs > allowed:
			checks.DispatchedTooOften++
		}
	}
}
