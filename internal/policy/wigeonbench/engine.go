package wigeonbench

import (
	"container/list"
	"time"

	"wigeonshift"
	"wigeonshift/internal/policy/wigeontrace"
)

// sequence is an attempt in an engine's queue or batch.
type sequence struct {
	attempt *attempt
	// prefillStarted is set by the first step that computes part of the prompt. This step also looks up the cache.
	prefillStarted bool
	cachedTokens   int
	computedTokens int
	outputTokens   int
	paused         bool
	// removed is set when the sequence is cancelled or has generated its last token. The next step drops it.
	removed bool
}

// remainingPromptTokens returns the number of prompt tokens that are neither cached nor computed.
func (q *sequence) remainingPromptTokens() int {
	return q.attempt.request.PromptTokens - q.cachedTokens - q.computedTokens
}

// stepWork is the work of one step for one sequence. If prefillTokens is zero, the step decodes a token.
type stepWork struct {
	sequence      *sequence
	prefillTokens int
}

// engine simulates an inference engine with continuous batching, chunked prefill in the order of arrival and a prefix
// cache of whole prompt blocks. It has no priorities.
type engine struct {
	spec           *wigeontrace.Engine
	slowdownFactor float64
	alive          bool
	incarnation    int
	waiting        []*sequence
	running        []*sequence
	// step is the work of the current step, or nil if the engine is idle.
	step  []stepWork
	cache blockCache
	// unpublishedEvents are the cache events for the next batch.
	unpublishedEvents []wigeonshift.CacheEvent
	lastEventSequence uint64
}

// newEngine returns an idle engine.
func newEngine(spec *wigeontrace.Engine) *engine {
	e := &engine{spec: spec, slowdownFactor: 1, alive: true, incarnation: 1}
	e.cache.reset(spec.CacheBlocks)
	return e
}

// enqueue adds an attempt to the end of the queue.
func (e *engine) enqueue(a *attempt) *sequence {
	q := &sequence{attempt: a}
	e.waiting = append(e.waiting, q)
	return q
}

// admit drops removed sequences and moves waiting ones into the batch until it is full. Paused sequences stay in the
// batch, but do not count against its size.
func (e *engine) admit() {
	kept := e.running[:0]
	active := 0
	for _, q := range e.running {
		if q.removed {
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
		if q.removed {
			continue
		}
		e.running = append(e.running, q)
		active++
	}
}

// startStep sets the work of the next step and returns the step's duration, or zero if there is no work. Each decoding
// sequence gets one token; the others share the prefill tokens of the step in batch order.
func (e *engine) startStep(p *prefillTracker) time.Duration {
	e.admit()
	e.step = nil
	tokensLeft, decodingStreams, prefillTokens := e.spec.PrefillChunkTokens, 0, 0
	for _, q := range e.running {
		if q.paused {
			continue
		}
		if q.prefillStarted && q.remainingPromptTokens() == 0 {
			e.step = append(e.step, stepWork{sequence: q})
			decodingStreams++
			continue
		}
		if tokensLeft == 0 {
			continue
		}
		if !q.prefillStarted {
			q.prefillStarted = true
			q.cachedTokens = min(e.cache.lookup(q.attempt.request.Prefix), q.attempt.request.PromptTokens-1)
		}
		tokens := min(tokensLeft, q.remainingPromptTokens())
		tokensLeft -= tokens
		prefillTokens += tokens
		p.count(q, tokens)
		q.computedTokens += tokens
		if q.remainingPromptTokens() == 0 {
			e.cachePrompt(q)
		}
		e.step = append(e.step, stepWork{sequence: q, prefillTokens: tokens})
	}
	if len(e.step) == 0 {
		return 0
	}
	seconds := e.spec.BaseStepTime.Seconds() + float64(decodingStreams)*e.spec.StepTimePerStream.Seconds() + float64(prefillTokens)/e.spec.PrefillTokensPerSecond
	return time.Duration(seconds * e.slowdownFactor * float64(time.Second))
}

// cachePrompt stores the blocks of a computed prompt in the cache and adds the resulting cache events.
func (e *engine) cachePrompt(q *sequence) {
	stored, evicted := e.cache.store(q.attempt.request.Prefix)
	if len(stored) > 0 {
		e.addCacheEvent(wigeonshift.CacheStored, stored)
	}
	if len(evicted) > 0 {
		e.addCacheEvent(wigeonshift.CacheEvicted, evicted)
	}
}

// addCacheEvent adds an event to the next batch of cache events.
func (e *engine) addCacheEvent(kind wigeonshift.CacheEventKind, blocks []wigeonshift.BlockHash) {
	e.lastEventSequence++
	e.unpublishedEvents = append(e.unpublishedEvents, wigeonshift.CacheEvent{Sequence: e.lastEventSequence, Kind: kind, Blocks: blocks})
}

// loadReport returns the engine's current load.
func (e *engine) loadReport(now time.Time) wigeonshift.LoadReport {
	r := wigeonshift.LoadReport{
		TakenAt: now, Waiting: len(e.waiting), CacheCapacity: e.spec.CacheBlocks * wigeonshift.PrefixBlockTokens,
		CachedTokens: len(e.cache.elements) * wigeonshift.PrefixBlockTokens, Models: e.spec.Models, Incarnation: e.incarnationName(),
	}
	for _, q := range e.running {
		if !q.removed && !q.paused {
			r.Running++
		}
	}
	return r
}

// incarnationName returns a name that changes each time the engine restarts.
func (e *engine) incarnationName() string {
	return e.spec.Name + "." + string(rune('0'+e.incarnation))
}

// crash stops the engine, clears its state and returns the sequences that were running or waiting.
func (e *engine) crash() []*sequence {
	lost := append(append([]*sequence{}, e.running...), e.waiting...)
	e.running, e.waiting, e.step, e.unpublishedEvents = nil, nil, nil, nil
	e.alive = false
	e.lastEventSequence = 0
	e.incarnation++
	e.cache.reset(e.spec.CacheBlocks)
	return lost
}

// blockCache is a least recently used (LRU) cache of prompt blocks.
type blockCache struct {
	maxBlocks int
	elements  map[wigeonshift.BlockHash]*list.Element
	// recency lists the blocks from the most to the least recently used.
	recency *list.List
}

// reset empties the cache and sets its capacity.
func (c *blockCache) reset(maxBlocks int) {
	c.maxBlocks, c.elements, c.recency = maxBlocks, map[wigeonshift.BlockHash]*list.Element{}, list.New()
}

// lookup returns the number of tokens in the longest cached prefix and marks its blocks as recently used.
func (c *blockCache) lookup(prefix []wigeonshift.BlockHash) int {
	n := 0
	for n < len(prefix) && c.elements[prefix[n]] != nil {
		n++
	}
	for i := n - 1; i >= 0; i-- {
		c.recency.MoveToFront(c.elements[prefix[i]])
	}
	return n * wigeonshift.PrefixBlockTokens
}

// store adds blocks and returns the added and the evicted ones.
func (c *blockCache) store(blocks []wigeonshift.BlockHash) (stored, evicted []wigeonshift.BlockHash) {
	for i := len(blocks) - 1; i >= 0; i-- {
		hash := blocks[i]
		if element := c.elements[hash]; element != nil {
			c.recency.MoveToFront(element)
			continue
		}
		c.elements[hash] = c.recency.PushFront(hash)
		stored = append(stored, hash)
	}
	for len(c.elements) > c.maxBlocks {
		last := c.recency.Back()
		hash := last.Value.(wigeonshift.BlockHash)
		c.recency.Remove(last)
		delete(c.elements, hash)
		evicted = append(evicted, hash)
	}
	return stored, evicted
}

// prefillTracker counts computed prompt tokens over all engines to detect repeated computation of the same block.
type prefillTracker struct {
	computedBlocks map[wigeonshift.BlockHash]bool
}

// count counts the next tokens that a sequence computes. Tokens of blocks that any engine has computed before count as
// repeated, too.
func (p *prefillTracker) count(q *sequence, tokens int) {
	r := q.attempt.request
	from := q.cachedTokens + q.computedTokens
	q.attempt.computedTokens += tokens
	const blockTokens = wigeonshift.PrefixBlockTokens
	for i := from / blockTokens; i < (from+tokens)/blockTokens && i < len(r.Prefix); i++ {
		if p.computedBlocks[r.Prefix[i]] {
			q.attempt.repeatedTokens += blockTokens
		}
		p.computedBlocks[r.Prefix[i]] = true
	}
}
