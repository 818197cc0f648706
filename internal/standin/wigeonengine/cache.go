package wigeonengine

import (
	"math/rand/v2"
	"time"

	"wigeonshift"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxKeptEvents bounds the cache events that can still be read; older ones leave a gap.
const maxKeptEvents = 8192

// prefixCache is a bounded cache of prompt blocks with a log of late and gappy events.
type prefixCache struct {
	settings CacheSettings
	blocks   *simplelru.LRU[wigeonshift.BlockHash, struct{}]
	// known holds every block ever stored; storing one again after its eviction is repeated work.
	known    map[wigeonshift.BlockHash]struct{}
	random   *rand.Rand
	sequence uint64
	events   []timedEvent
	evicted  []wigeonshift.BlockHash
}

type timedEvent struct {
	at    time.Time
	event wigeonshift.CacheEvent
}

func newPrefixCache(settings CacheSettings, seed uint64) *prefixCache {
	c := &prefixCache{
		settings: settings,
		known:    map[wigeonshift.BlockHash]struct{}{},
		random:   rand.New(rand.NewPCG(seed, seed)),
	}
	size := max(1, settings.Tokens/wigeonshift.PrefixBlockTokens)
	// NewLRU fails only for a size below 1.
	c.blocks, _ = simplelru.NewLRU(size, func(b wigeonshift.BlockHash, _ struct{}) {
		c.evicted = append(c.evicted, b)
	})
	return c
}

// lookup returns the number of prompt tokens in leading cached blocks.
func (c *prefixCache) lookup(blocks []wigeonshift.BlockHash) int {
	for i, b := range blocks {
		if _, ok := c.blocks.Get(b); !ok {
			return i * wigeonshift.PrefixBlockTokens
		}
	}
	return len(blocks) * wigeonshift.PrefixBlockTokens
}

// store keeps blocks and returns the number of prompt tokens computed here before and evicted since.
func (c *prefixCache) store(blocks []wigeonshift.BlockHash, now time.Time) (repeated int) {
	var stored []wigeonshift.BlockHash
	for _, b := range blocks {
		if c.blocks.Contains(b) {
			continue
		}
		if _, ok := c.known[b]; ok {
			repeated += wigeonshift.PrefixBlockTokens
		}
		c.known[b] = struct{}{}
		c.blocks.Add(b, struct{}{})
		stored = append(stored, b)
	}
	c.record(wigeonshift.CacheStored, stored, now)
	c.record(wigeonshift.CacheEvicted, c.evicted, now)
	c.evicted = nil
	return repeated
}

func (c *prefixCache) record(kind wigeonshift.CacheEventKind, blocks []wigeonshift.BlockHash, now time.Time) {
	if len(blocks) == 0 {
		return
	}
	c.sequence++
	if c.random.Float64() < c.settings.EventLoss {
		return
	}
	c.events = append(c.events, timedEvent{at: now, event: wigeonshift.CacheEvent{
		Sequence: c.sequence, Kind: kind, Blocks: blocks,
	}})
	if len(c.events) > maxKeptEvents {
		c.events = append(c.events[:0], c.events[len(c.events)-maxKeptEvents/2:]...)
	}
}

// after returns the events later than a sequence number that are old enough to be shown.
func (c *prefixCache) after(sequence uint64, now time.Time) []wigeonshift.CacheEvent {
	var events []wigeonshift.CacheEvent
	for _, t := range c.events {
		if t.event.Sequence > sequence && now.Sub(t.at) >= c.settings.EventDelay {
			events = append(events, t.event)
		}
	}
	return events
}

// tokens returns the number of tokens held.
func (c *prefixCache) tokens() int {
	return c.blocks.Len() * wigeonshift.PrefixBlockTokens
}
