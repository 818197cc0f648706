package wigeonload

import (
	"sync"
	"time"

	"wigeonshift"
	"wigeonshift/internal/load/wigeonscenario"
	"wigeonshift/internal/modules/wigeonprompt"
	"wigeonshift/internal/standin/wigeonengine"
	"wigeonshift/internal/standin/wigeonplain"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// histogramMin and histogramMax bound the recorded times in microseconds.
	histogramMin = 1
	histogramMax = int64(10 * time.Minute / time.Microsecond)
	// histogramDigits is the precision in decimal digits.
	histogramDigits = 3
	// maxFaultSamples bounds the wrong answers described in the result.
	maxFaultSamples = 5
)

// recorder books what happened. It is safe for concurrent use.
type recorder struct {
	mu       sync.Mutex
	start    time.Time
	tiers    map[tierKey]*tierBook
	refusals map[refusalKey]int64
	timeline []Second
	// sent is the number of sends of each content and what the nodes said about them.
	sent map[wigeonshift.Fingerprint]*contentBook
	// blocks holds the distinct prompt blocks of good answers.
	blocks       map[wigeonshift.BlockHash]struct{}
	neededTokens int64
	samples      []string
	notSent      int64
	requests     int64
	finished     int64
}

type tierKey struct {
	// organisation is empty for all together.
	organisation string
	tier         string
	kind         wigeonshift.ServiceKind
}

type refusalKey struct {
	tier   string
	reason wigeonshift.RefusalReason
	state  wigeonshift.RunState
}

// contentBook counts the sends of one content.
type contentBook struct {
	sends        int
	provedNotRun int
	plain        bool
}

// tierBook counts the requests of one tier of an organisation.
type tierBook struct {
	TierCounts
	first, between, total *hdrhistogram.Histogram
}

func newRecorder(start time.Time) *recorder {
	return &recorder{
		start:    start,
		tiers:    map[tierKey]*tierBook{},
		refusals: map[refusalKey]int64{},
		sent:     map[wigeonshift.Fingerprint]*contentBook{},
		blocks:   map[wigeonshift.BlockHash]struct{}{},
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

func (r *recorder) tier(c *wigeonscenario.Class) *tierBook {
	return bookOf(r.tiers, tierKey{organisation: c.Organisation, tier: c.Tier, kind: kindOf(c)})
}

// bookOf returns the book of a key, a new one at first.
func bookOf(books map[tierKey]*tierBook, key tierKey) *tierBook {
	t, ok := books[key]
	if !ok {
		t = &tierBook{first: newHistogram(), between: newHistogram(), total: newHistogram()}
		books[key] = t
	}
	return t
}

// kindOf returns the kind of service that a class calls.
func kindOf(c *wigeonscenario.Class) wigeonshift.ServiceKind {
	if c.Kind == wigeonscenario.KindCall {
		return wigeonshift.ServicePlain
	}
	return wigeonshift.ServiceModel
}

// second returns the timeline's entry of now.
func (r *recorder) second() *Second {
	index := int(time.Since(r.start) / time.Second)
	for len(r.timeline) <= index {
		r.timeline = append(r.timeline, Second{Good: map[string]int64{}})
	}
	return &r.timeline[index]
}

// began books a new request.
func (r *recorder) began(d *wigeonscenario.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	r.tier(d.Class).Requests++
	r.second().Requests++
}

// skipped books a request that the load's own bound kept back.
func (r *recorder) skipped() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notSent++
}

// sending books one send before it happens.
func (r *recorder) sending(d *wigeonscenario.Request, resend bool) {
	content, counted := contentOf(d)
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tier(d.Class)
	t.Sends++
	if resend {
		t.Resends++
	}
	if !counted {
		return
	}
	book, ok := r.sent[content]
	if !ok {
		book = &contentBook{plain: d.Class.Kind == wigeonscenario.KindCall}
		r.sent[content] = book
	}
	book.sends++
}

// answered books the outcome of one send.
func (r *recorder) answered(d *wigeonscenario.Request, o *outcome) {
	content, counted := contentOf(d)
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.ending == EndingRefused {
		r.refusals[refusalKey{d.Class.Tier, o.refusal.Reason, o.refusal.State}]++
		r.second().Refusals++
	}
	if counted && o.provedNotRun() {
		r.sent[content].provedNotRun++
	}
	if o.ending == EndingWrong && len(r.samples) < maxFaultSamples {
		r.samples = append(r.samples, d.Class.Name+": "+o.detail)
	}
}

// ended books the end of a request.
func (r *recorder) ended(d *wigeonscenario.Request, o *outcome, elapsed time.Duration) {
	blocks := promptBlocks(d, o)
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.tier(d.Class)
	r.finished++
	t.end(o.ending)
	if o.ending != EndingGood && o.ending != EndingLate {
		return
	}
	record(t.total, elapsed, 1)
	if o.firstToken > 0 {
		record(t.first, o.firstToken, 1)
	}
	for _, g := range o.gaps {
		record(t.between, g.time/time.Duration(g.tokens), g.tokens)
	}
	if d.Class.Kind != wigeonscenario.KindCall {
		r.need(d, blocks)
		if o.ending == EndingGood {
			t.GoodTokens += int64(wigeonprompt.Tokens(o.text))
		}
	}
	if o.ending == EndingGood {
		r.second().Good[d.Class.Tier]++
	}
}

// need books the prompt tokens that had to be computed at least once.
func (r *recorder) need(d *wigeonscenario.Request, blocks []wigeonshift.BlockHash) {
	needed := wigeonprompt.Tokens(enginePrompt(d)) - len(blocks)*wigeonshift.PrefixBlockTokens
	for _, b := range blocks {
		if _, ok := r.blocks[b]; !ok {
			r.blocks[b] = struct{}{}
			needed += wigeonshift.PrefixBlockTokens
		}
	}
	// Even a prompt that is cached whole takes the work on its last token.
	r.neededTokens += int64(max(1, needed))
}

func promptBlocks(d *wigeonscenario.Request, o *outcome) []wigeonshift.BlockHash {
	whole := o.ending == EndingGood || o.ending == EndingLate
	if !whole || d.Class.Kind == wigeonscenario.KindCall {
		return nil
	}
	return wigeonprompt.PrefixHashes(d.Class.Model, enginePrompt(d))
}

// contentOf returns the content as the stand-ins count it; reads of plain services aren't counted.
func contentOf(d *wigeonscenario.Request) (content wigeonshift.Fingerprint, counted bool) {
	if d.Class.Kind == wigeonscenario.KindCall {
		return wigeonplain.Content(d.Path, d.Body), d.Class.Call.NonIdempotent
	}
	return wigeonengine.Content(d.Class.Model, enginePrompt(d), d.MaxTokens), true
}

func record(h *hdrhistogram.Histogram, d time.Duration, count int) {
	// Clamped values are always recordable.
	_ = h.RecordValues(min(max(d.Microseconds(), histogramMin), histogramMax), int64(count))
}

// Progress is how far a run has come.
type Progress struct {
	Requests int64
	Finished int64
	Good     int64
}

func (r *recorder) progress() Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := Progress{Requests: r.requests, Finished: r.finished}
	for _, t := range r.tiers {
		p.Good += t.Good
	}
	return p
}
