package wigeonscheduler

import (
	"math/bits"
	"time"

	"wigeonshift"
)

// maxCacheBlocks bounds the blocks remembered for one endpoint.
const maxCacheBlocks = 4096

// prefixIndex predicts which prompt prefixes the endpoints hold in their caches. It is corrected by the engines' own
// events and bounded in memory by the blocks remembered for each endpoint.
type prefixIndex struct {
	// holders tells for each block which endpoints hold it.
	holders map[wigeonshift.BlockHash]holderSet
}

// holderSet is a set of endpoint indexes.
type holderSet struct {
	first uint64
	// rest holds the indexes from 64 on; it is nil in shards of the usual size.
	rest []uint64
}

// set adds or removes an index.
func (h *holderSet) set(index int, held bool) {
	word := &h.first
	if index >= 64 {
		w := index/64 - 1
		for len(h.rest) <= w {
			h.rest = append(h.rest, 0)
		}
		word = &h.rest[w]
	}
	if held {
		*word |= 1 << (index % 64)
	} else {
		*word &^= 1 << (index % 64)
	}
}

// empty reports whether the set has no member.
func (h *holderSet) empty() bool {
	for _, w := range h.rest {
		if w != 0 {
			return false
		}
	}
	return h.first == 0
}

// cacheNode is one remembered block of an endpoint, in a list from the most to the least recently used.
type cacheNode struct {
	hash       wigeonshift.BlockHash
	prev, next int32
	// used is the time of the last use in milliseconds.
	used int64
}

// prefixCache is the predicted cache of one endpoint.
type prefixCache struct {
	owner  *prefixIndex
	index  int
	places map[wigeonshift.BlockHash]int32
	nodes  []cacheNode
	free   []int32
	// head and tail are the most and the least recently used nodes, -1 when empty.
	head, tail int32
	limit      int
	// trust is the fraction of predicted tokens that proved cached, as endpoints answered; gaps lower it.
	trust       float64
	incarnation string
	sequence    uint64
}

// newCache returns an empty cache for an endpoint index.
func (x *prefixIndex) newCache(index int) *prefixCache {
	if x.holders == nil {
		x.holders = map[wigeonshift.BlockHash]holderSet{}
	}
	return &prefixCache{
		owner: x, index: index, places: map[wigeonshift.BlockHash]int32{},
		head: -1, tail: -1, limit: maxCacheBlocks, trust: 1,
	}
}

// lookup sets lengths[i] to the number of prompt tokens that endpoint i is predicted to hold and returns the largest.
func (x *prefixIndex) lookup(prefix []wigeonshift.BlockHash, lengths []int) int {
	clear(lengths)
	longest := 0
	for i, hash := range prefix {
		set, ok := x.holders[hash]
		if !ok {
			break
		}
		longest = (i + 1) * wigeonshift.PrefixBlockTokens
		mark(lengths, set.first, 0, longest)
		for w, word := range set.rest {
			mark(lengths, word, (w+1)*64, longest)
		}
	}
	return longest
}

// mark writes a length for each member of a word of a holder set that holds all blocks before, too.
func mark(lengths []int, word uint64, base, length int) {
	for word != 0 {
		i := base + bits.TrailingZeros64(word)
		if i < len(lengths) && lengths[i] == length-wigeonshift.PrefixBlockTokens {
			lengths[i] = length
		}
		word &= word - 1
	}
}

// store remembers blocks as held and most recently used.
func (c *prefixCache) store(blocks []wigeonshift.BlockHash, now time.Time) {
	used := now.UnixMilli()
	for i := len(blocks) - 1; i >= 0; i-- {
		c.storeBlock(blocks[i], used)
	}
}

// oldest is the time at which the least recently used block was used, zero for an empty cache.
func (c *prefixCache) oldest() time.Time {
	if c.tail < 0 {
		return time.Time{}
	}
	return time.UnixMilli(c.nodes[c.tail].used)
}

// storeBlock remembers one block.
func (c *prefixCache) storeBlock(hash wigeonshift.BlockHash, used int64) {
	if at, ok := c.places[hash]; ok {
		c.nodes[at].used = used
		c.unlink(at)
		c.push(at)
		return
	}
	if len(c.places) >= c.limit {
		c.evict(c.nodes[c.tail].hash)
	}
	at := int32(len(c.nodes))
	if n := len(c.free); n > 0 {
		at = c.free[n-1]
		c.free = c.free[:n-1]
		c.nodes[at].hash = hash
	} else {
		c.nodes = append(c.nodes, cacheNode{hash: hash})
	}
	c.nodes[at].used = used
	c.places[hash] = at
	c.push(at)
	set := c.owner.holders[hash]
	set.set(c.index, true)
	c.owner.holders[hash] = set
}

// evict forgets one block.
func (c *prefixCache) evict(hash wigeonshift.BlockHash) {
	at, ok := c.places[hash]
	if !ok {
		return
	}
	c.unlink(at)
	c.free = append(c.free, at)
	delete(c.places, hash)
	set := c.owner.holders[hash]
	set.set(c.index, false)
	if set.empty() {
		delete(c.owner.holders, hash)
		return
	}
	c.owner.holders[hash] = set
}

// clear forgets every block.
func (c *prefixCache) clear() {
	for c.tail >= 0 {
		c.evict(c.nodes[c.tail].hash)
	}
}

// push makes a node the most recently used.
func (c *prefixCache) push(at int32) {
	n := &c.nodes[at]
	n.prev, n.next = -1, c.head
	if c.head >= 0 {
		c.nodes[c.head].prev = at
	}
	c.head = at
	if c.tail < 0 {
		c.tail = at
	}
}

// unlink takes a node out of the list.
func (c *prefixCache) unlink(at int32) {
	n := &c.nodes[at]
	if n.prev >= 0 {
		c.nodes[n.prev].next = n.next
	} else {
		c.head = n.next
	}
	if n.next >= 0 {
		c.nodes[n.next].prev = n.prev
	} else {
		c.tail = n.prev
	}
}

// Bounds and steps of the trust in a predicted cache.
const (
	minTrust  = 0.2
	gapTrust  = 0.9
	trustGain = 0.1
	// eventLag is the age up to which own dispatches outweigh a cache event.
	eventLag = 3 * time.Second
)

// apply corrects the prediction by an engine's events. A jump of the sequence lowers the trust; a new incarnation
// clears the cache.
func (c *prefixCache) apply(b wigeonshift.CacheBatch, now time.Time) {
	if b.Incarnation != c.incarnation {
		if c.incarnation != "" {
			c.clear()
		}
		c.incarnation, c.sequence = b.Incarnation, 0
	}
	for _, ev := range b.Events {
		if ev.Sequence <= c.sequence {
			continue
		}
		if c.sequence != 0 && ev.Sequence != c.sequence+1 {
			c.trust = max(minTrust, c.trust*gapTrust)
		}
		c.sequence = ev.Sequence
		c.applyEvent(ev, now)
	}
}

// applyEvent applies one event. Events come late: an eviction is not believed for blocks that own dispatches used
// within the lag, and a stored block does not count as used again.
func (c *prefixCache) applyEvent(ev wigeonshift.CacheEvent, now time.Time) {
	switch ev.Kind {
	case wigeonshift.CacheStored:
		for i := len(ev.Blocks) - 1; i >= 0; i-- {
			if _, ok := c.places[ev.Blocks[i]]; !ok {
				c.storeBlock(ev.Blocks[i], now.UnixMilli())
			}
		}
	case wigeonshift.CacheEvicted:
		for _, hash := range ev.Blocks {
			if at, ok := c.places[hash]; ok && now.UnixMilli()-c.nodes[at].used > eventLag.Milliseconds() {
				c.evict(hash)
			}
		}
	case wigeonshift.CacheCleared:
		c.clear()
	}
}

// confirm compares a prediction with what the endpoint answered.
func (c *prefixCache) confirm(predicted, actual int) {
	if predicted <= 0 {
		return
	}
	hit := min(1, float64(actual)/float64(predicted))
	c.trust = max(minTrust, c.trust+trustGain*(hit-c.trust))
}
