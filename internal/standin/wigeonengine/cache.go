package wigeonengine

import (
	"math/rand/v2"
	"time"

	"wigeonshift"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxKeptEvents limits the cache events that can still be read. Dropping older ones leaves a gap in the sequence
// numbers.
const maxKeptEvents = 8192

// prefixCache is an LRU cache of prompt blocks with a log of its events. Readers see events late, and some events are
// missing.
type prefixCache struct {
	settings CacheSettings
	blocks   *simplelru.LRU[wigeonshift.BlockHash, struct{}]
	// everStored holds every block that was ever stored. Storing a block again after its eviction counts as repeated
	// work.
	everStored   map[wigeonshift.BlockHash]struct{}
	random       *rand.Rand
	lastSequence uint64
	events       []timedEvent
	evicted      []wigeonshift.BlockHash
}

// timedEvent is a cache event with the time from which EventDelay counts.
type timedEvent struct {
	recordedAt time.Time
	event      wigeonshift.CacheEvent
}

func newPrefixCache(settings CacheSettings, seed uint64) *prefixCache {
	c := &prefixCache{
		settings:   settings,
		everStored: map[wigeonshift.BlockHash]struct{}{},
		random:     rand.New(rand.NewPCG(seed, seed)),
	}
	size := max(1, settings.Tokens/wigeonshift.PrefixBlockTokens)
	// NewLRU fails only for a size below 1.
	c.blocks, _ = simplelru.NewLRU(size, func(b wigeonshift.BlockHash, _ struct{}) {
		c.evicted = append(c.evicted, b)
	})
	return c
}

// cachedPrefixTokens returns the number of prompt tokens in the leading blocks that are cached.
func (c *prefixCache) cachedPrefixTokens(blocks []wigeonshift.BlockHash) int {
	for i, b := range blocks {
		if _, ok := c.blocks.Get(b); !ok {
			return i * wigeonshift.PrefixBlockTokens
		}
	}
	return len(blocks) * wigeonshift.PrefixBlockTokens
}

// store adds blocks to the cache. It returns the number of prompt tokens in blocks that were stored before and have been
// evicted since.
func (c *prefixCache) store(blocks []wigeonshift.BlockHash, now time.Time) (repeated int) {
	var stored []wigeonshift.BlockHash
	for _, b := range blocks {
		if c.blocks.Contains(b) {
			continue
		}
		if _, ok := c.everStored[b]; ok {
			repeated += wigeonshift.PrefixBlockTokens
		}
		c.everStored[b] = struct{}{}
		c.blocks.Add(b, struct{}{})
		stored = append(stored, b)
	}
	c.recordEvent(wigeonshift.CacheStored, stored, now)
	c.recordEvent(wigeonshift.CacheEvicted, c.evicted, now)
	c.evicted = nil
	return repeated
}

// recordEvent appends an event to the log, unless the configured loss drops it. A lost event still uses up its sequence
// number, so that readers can detect the gap.
func (c *prefixCache) recordEvent(kind wigeonshift.CacheEventKind, blocks []wigeonshift.BlockHash, now time.Time) {
	if len(blocks) == 0 {
		return
	}
	c.lastSequence++
	if c.random.Float64() < c.settings.EventLoss {
		return
	}
	c.events = append(c.events, timedEvent{recordedAt: now, event: wigeonshift.CacheEvent{
		Sequence: c.lastSequence, Kind: kind, Blocks: blocks,
	}})
	if len(c.events) > maxKeptEvents {
		c.events = append(c.events[:0], c.events[len(c.events)-maxKeptEvents/2:]...)
	}
}

// readableEvents returns the events after a sequence number that are at least EventDelay old.
func (c *prefixCache) readableEvents(sequence uint64, now time.Time) []wigeonshift.CacheEvent {
	var events []wigeonshift.CacheEvent
	for _, t := range c.events {
		if t.event.Sequence > sequence && now.Sub(t.recordedAt) >= c.settings.EventDelay {
			events = append(events, t.event)
		}
	}
	return events
}

// tokenCount returns the number of cached tokens.
func (c *prefixCache) tokenCount() int {
	return c.blocks.Len() * wigeonshift.PrefixBlockTokens
}
