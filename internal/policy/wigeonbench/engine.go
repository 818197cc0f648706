package wigeonbench

import (
	"container/list"
	"time"

	"wigeonshift"
	"wigeonshift/internal/policy/wigeontrace"
)

// sequence is one attempt at an engine.
type sequence struct {
	attempt *attempt
	// begun is set when the prompt's first token was planned; the cache is looked up then.
	begun    bool
	cached   int
	computed int
	output   int
	paused   bool
	// gone sequences were cancelled and are dropped at the next step.
	gone bool
}

// promptLeft is the number of prompt tokens still to compute.
func (q *sequence) promptLeft() int {
	return q.attempt.request.PromptTokens - q.cached - q.computed
}

// work is what one step does for one sequence.
type work struct {
	sequence *sequence
	prefill  int
}

// engine is a fake model engine: it batches continuously, computes prompts in chunks in the order of arrival, knows no
// priorities and keeps whole prompt blocks in a cache of bounded size.
type engine struct {
	spec        *wigeontrace.Engine
	slow        float64
	alive       bool
	incarnation int
	waiting     []*sequence
	running     []*sequence
	// plan is the step under way, nil when the engine idles.
	plan  []work
	cache blockCache
	// events are the cache events not yet published.
	events   []wigeonshift.CacheEvent
	sequence uint64
}

// newEngine returns an idle engine.
func newEngine(spec *wigeontrace.Engine) *engine {
	e := &engine{spec: spec, slow: 1, alive: true, incarnation: 1}
	e.cache.reset(spec.CacheBlocks)
	return e
}

// add queues an attempt.
func (e *engine) add(a *attempt) *sequence {
	q := &sequence{attempt: a}
	e.waiting = append(e.waiting, q)
	return q
}

// admit moves waiting sequences into the batch.
func (e *engine) admit() {
	kept := e.running[:0]
	active := 0
	for _, q := range e.running {
		if q.gone {
			continue
		}
		if !q.paused {
			active++
		}
		kept = append(kept, q)
	}
	e.running = kept
	for len(e.waiting) > 0 && active < e.spec.MaxBatchSize {
		q := e.waiting[0]
		e.waiting = e.waiting[1:]
		if q.gone {
			continue
		}
		e.running = append(e.running, q)
		active++
	}
}

// start plans the next step and returns its time; zero means that there is nothing to do.
func (e *engine) start(l *ledger) time.Duration {
	e.admit()
	e.plan = nil
	budget, decoding, prefill := e.spec.PrefillChunkTokens, 0, 0
	for _, q := range e.running {
		if q.paused {
			continue
		}
		if q.begun && q.promptLeft() == 0 {
			e.plan = append(e.plan, work{sequence: q})
			decoding++
			continue
		}
		if budget == 0 {
			continue
		}
		if !q.begun {
			q.begun = true
			q.cached = min(e.cache.lookup(q.attempt.request.Prefix), q.attempt.request.PromptTokens-1)
		}
		tokens := min(budget, q.promptLeft())
		budget -= tokens
		prefill += tokens
		l.computed(q, tokens)
		q.computed += tokens
		if q.promptLeft() == 0 {
			e.storePrompt(q)
		}
		e.plan = append(e.plan, work{sequence: q, prefill: tokens})
	}
	if len(e.plan) == 0 {
		return 0
	}
	seconds := e.spec.BaseStepTime.Seconds() + float64(decoding)*e.spec.StepTimePerStream.Seconds() + float64(prefill)/e.spec.PrefillTokensPerSecond
	return time.Duration(seconds * e.slow * float64(time.Second))
}

// storePrompt puts a computed prompt into the cache and notes the events.
func (e *engine) storePrompt(q *sequence) {
	stored, evicted := e.cache.store(q.attempt.request.Prefix)
	if len(stored) > 0 {
		e.note(wigeonshift.CacheStored, stored)
	}
	if len(evicted) > 0 {
		e.note(wigeonshift.CacheEvicted, evicted)
	}
}

// note adds a cache event.
func (e *engine) note(kind wigeonshift.CacheEventKind, blocks []wigeonshift.BlockHash) {
	e.sequence++
	e.events = append(e.events, wigeonshift.CacheEvent{Sequence: e.sequence, Kind: kind, Blocks: blocks})
}

// load returns the engine's view of its load.
func (e *engine) load(now time.Time) wigeonshift.LoadReport {
	r := wigeonshift.LoadReport{
		TakenAt: now, Waiting: len(e.waiting), CacheCapacity: e.spec.CacheBlocks * wigeonshift.PrefixBlockTokens,
		CachedTokens: len(e.cache.places) * wigeonshift.PrefixBlockTokens, Models: e.spec.Models, Incarnation: e.incarnationName(),
	}
	for _, q := range e.running {
		if !q.gone && !q.paused {
			r.Running++
		}
	}
	return r
}

// incarnationName names the engine's present start.
func (e *engine) incarnationName() string {
	return e.spec.Name + "." + string(rune('0'+e.incarnation))
}

// crash drops everything and returns what was on the engine.
func (e *engine) crash() []*sequence {
	lost := append(append([]*sequence{}, e.running...), e.waiting...)
	e.running, e.waiting, e.plan, e.events = nil, nil, nil, nil
	e.alive = false
	e.sequence = 0
	e.incarnation++
	e.cache.reset(e.spec.CacheBlocks)
	return lost
}

// blockCache holds prompt blocks, the least recently used leave first.
type blockCache struct {
	limit  int
	places map[wigeonshift.BlockHash]*list.Element
	order  *list.List
}

// reset empties the cache.
func (c *blockCache) reset(limit int) {
	c.limit, c.places, c.order = limit, map[wigeonshift.BlockHash]*list.Element{}, list.New()
}

// lookup returns the number of prompt tokens held and makes their blocks the most recently used.
func (c *blockCache) lookup(prefix []wigeonshift.BlockHash) int {
	n := 0
	for n < len(prefix) && c.places[prefix[n]] != nil {
		n++
	}
	for i := n - 1; i >= 0; i-- {
		c.order.MoveToFront(c.places[prefix[i]])
	}
	return n * wigeonshift.PrefixBlockTokens
}

// store adds blocks and returns those that are new and those that had to leave.
func (c *blockCache) store(blocks []wigeonshift.BlockHash) (stored, evicted []wigeonshift.BlockHash) {
	for i := len(blocks) - 1; i >= 0; i-- {
		hash := blocks[i]
		if at := c.places[hash]; at != nil {
			c.order.MoveToFront(at)
			continue
		}
		c.places[hash] = c.order.PushFront(hash)
		stored = append(stored, hash)
	}
	for len(c.places) > c.limit {
		last := c.order.Back()
		hash := last.Value.(wigeonshift.BlockHash)
		c.order.Remove(last)
		delete(c.places, hash)
		evicted = append(evicted, hash)
	}
	return stored, evicted
}

// ledger counts prompt tokens computed over all engines.
type ledger struct {
	seen map[wigeonshift.BlockHash]bool
}

// computed counts the tokens that a sequence is about to compute.
func (l *ledger) computed(q *sequence, tokens int) {
	r := q.attempt.request
	from := q.cached + q.computed
	q.attempt.computed += tokens
	const size = wigeonshift.PrefixBlockTokens
	for i := from / size; i < (from+tokens)/size && i < len(r.Prefix); i++ {
		if l.seen[r.Prefix[i]] {
			q.attempt.repeated += size
		}
		l.seen[r.Prefix[i]] = true
	}
}
