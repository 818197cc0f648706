package wigeonload

import (
	"encoding/json"
	"fmt"
	"time"

	"wigeonshift/internal/standin/wigeonengine"

	"github.com/valyala/fasthttp"
)

// ledgerTimeout limits each request for a part of a stand-in's ledger.
const ledgerTimeout = 10 * time.Second

// ledger refers to the ledger of one stand-in and holds its state before the run.
type ledger struct {
	address string
	plain   bool
	// baseline is nil if the ledger could not be read before the run.
	baseline *ledgerSnapshot
}

// ledgerSnapshot is the state of a stand-in's ledger at one time.
type ledgerSnapshot struct {
	stats wigeonengine.Stats
	// executions counts the executions of each request content by its ledger key.
	executions map[string]int
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

// readBaselines reads the ledgers before a run. Stand-ins that cannot be read are left out of the checks and counted as
// missing.
func readBaselines(ledgers []ledger) {
	for i := range ledgers {
		if s, err := readSnapshot(ledgers[i].address); err == nil {
			ledgers[i].baseline = s
		}
	}
}

// readSnapshot reads the ledger of a stand-in. The statistics of a plain service are a subset of those of an engine.
func readSnapshot(address string) (*ledgerSnapshot, error) {
	s := &ledgerSnapshot{}
	if err := getJSON("http://"+address+"/standin/stats", &s.stats); err != nil {
		return nil, err
	}
	if err := getJSON("http://"+address+"/standin/contents", &s.executions); err != nil {
		return nil, err
	}
	return s, nil
}

func getJSON(url string, into any) error {
	status, body, err := fasthttp.GetTimeout(nil, url, ledgerTimeout)
	if err != nil {
		return err
	}
	if status != fasthttp.StatusOK {
		return fmt.Errorf("%s returned status %d", url, status)
	}
	return json.Unmarshal(body, into)
}

// checkLedgers checks the invariants against the executions that the stand-ins counted during the run. It also computes
// the prefill totals of the engines.
func (r *Runner) checkLedgers(res *Result) {
	executions := map[string]int{}
	prefill := &Prefill{Needed: r.recorder.neededTokens}
	engines := 0
	for i := range r.ledgers {
		l := &r.ledgers[i]
		after, err := readSnapshot(l.address)
		// A lower count means that the stand-in was restarted and lost its ledger.
		if err != nil || l.baseline == nil || after.stats.Executions < l.baseline.stats.Executions {
			res.Checks.Missing++
			continue
		}
		res.Checks.Ledgers++
		for content, count := range after.executions {
			executions[content] += count - l.baseline.executions[content]
		}
		before := l.baseline.stats
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
	r.recorder.checkExecutions(&res.Checks, executions)
}

// checkExecutions compares the executions of each content with its sends. A content may run once per send, except for
// sends that provably did not run. A non-idempotent call may run only once.
func (r *recorder) checkExecutions(checks *Checks, executions map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for content, counts := range r.sendsByContent {
		executed := executions[content.String()]
		allowed := counts.sends - counts.provenNotRun
		switch {
		case executed > 0 && allowed == 0:
			checks.FalseNotRun++
		case counts.plain && executed > 1:
			checks.NonIdempotentTwice++
		case executed > allowed:
			checks.DispatchedTooOften++
		}
	}
}
