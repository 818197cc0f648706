package wigeonscheduler

import (
	"math/bits"
	"time"

	"wigeonshift"
)

// maxCacheBlocks is the maximum number of blocks tracked for one endpoint.
const maxCacheBlocks = 4096

// prefixIndex predicts which prompt prefixes the endpoints hold in their caches. The engines' cache events correct it.
// The limit on tracked blocks of each endpoint bounds its memory.
type prefixIndex struct {
	// holders maps each block to the endpoints predicted to hold it.
	holders map[wigeonshift.BlockHash]holderSet
}

// holderSet is a bit set of endpoint indexes.
type holderSet struct {
	// firstWord holds the indexes from 0 to 63.
	firstWord uint64
	// moreWords holds the indexes from 64 on. It is nil in shards of the usual size, up to 64 endpoints.
	moreWords []uint64
}

// set adds or removes an index.
func (h *holderSet) set(index int, held bool) {
	word := &h.firstWord
	if index >= 64 {
		w := index/64 - 1
		for len(h.moreWords) <= w {
			h.moreWords = append(h.moreWords, 0)
		}
		word = &h.moreWords[w]
	}
	if held {
		*word |= 1 << (index % 64)
	} else {
		*word &^= 1 << (index % 64)
	}
}

// empty reports whether the set has no members.
func (h *holderSet) empty() bool {
	for _, w := range h.moreWords {
		if w != 0 {
			return false
		}
	}
	return h.firstWord == 0
}

// cacheNode is one tracked block of an endpoint. The nodes form a list from the most to the least recently used.
type cacheNode struct {
	hash       wigeonshift.BlockHash
	prev, next int32
	// lastUsedMs is the time of the last use in milliseconds since the Unix epoch.
	lastUsedMs int64
}

// prefixCache is the predicted cache of one endpoint, with least-recently-used eviction.
type prefixCache struct {
	prefixIndex   *prefixIndex
	endpointIndex int
	// nodeIndexes maps each block to the index of its node.
	nodeIndexes map[wigeonshift.BlockHash]int32
	nodes       []cacheNode
	// freeNodes holds the indexes of unused nodes.
	freeNodes []int32
	// head and tail are the indexes of the most and the least recently used nodes, -1 if the cache is empty.
	head, tail int32
	// maxBlocks is the maximum number of blocks.
	maxBlocks int
	// trust is the moving average of the part of predicted tokens that the endpoint reported as cached. A gap in its cache
	// events lowers it.
	trust float64
	// incarnation is the engine process that sent the cache events, sequence the number of the last one applied.
	incarnation string
	sequence    uint64
}

// newCache returns an empty cache for an endpoint index.
func (x *prefixIndex) newCache(index int) *prefixCache {
	if x.holders == nil {
		x.holders = map[wigeonshift.BlockHash]holderSet{}
	}
	return &prefixCache{
		prefixIndex: x, endpointIndex: index, nodeIndexes: map[wigeonshift.BlockHash]int32{},
		head: -1, tail: -1, maxBlocks: maxCacheBlocks, trust: 1,
	}
}

// lookup sets lengths[i] to the number of prompt tokens that endpoint i is predicted to hold, so that placement can
// prefer endpoints that need not compute them again. It returns the length of the longest prefix whose blocks are each
// held by some endpoint.
func (x *prefixIndex) lookup(prefix []wigeonshift.BlockHash, lengths []int) int {
	clear(lengths)
	longest := 0
	for i, hash := range prefix {
		set, ok := x.holders[hash]
		if !ok {
			break
		}
		longest = (i + 1) * wigeonshift.PrefixBlockTokens
		extendMatches(lengths, set.firstWord, 0, longest)
		for w, word := range set.moreWords {
			extendMatches(lengths, word, (w+1)*64, longest)
		}
	}
	return longest
}

// extendMatches sets the length of each endpoint in a word of a holder set that also holds all previous blocks. The
// word's lowest bit stands for the endpoint with index base.
func extendMatches(lengths []int, word uint64, base, length int) {
	for word != 0 {
		i := base + bits.TrailingZeros64(word)
		if i < len(lengths) && lengths[i] == length-wigeonshift.PrefixBlockTokens {
			lengths[i] = length
		}
		word &= word - 1
	}
}

// store adds the blocks of a prefix as most recently used. It starts with the last block so that eviction shortens the
// prefix from its end.
func (c *prefixCache) store(blocks []wigeonshift.BlockHash, now time.Time) {
	usedMs := now.UnixMilli()
	for i := len(blocks) - 1; i >= 0; i-- {
		c.storeBlock(blocks[i], usedMs)
	}
}

// leastRecentUse returns the time of the last use of the least recently used block, or the zero time for an empty cache.
func (c *prefixCache) leastRecentUse() time.Time {
	if c.tail < 0 {
		return time.Time{}
	}
	return time.UnixMilli(c.nodes[c.tail].lastUsedMs)
}

// storeBlock adds one block, or marks it as most recently used if it is cached already. A full cache evicts its least
// recently used block to make room.
func (c *prefixCache) storeBlock(hash wigeonshift.BlockHash, usedMs int64) {
	if index, ok := c.nodeIndexes[hash]; ok {
		c.nodes[index].lastUsedMs = usedMs
		c.unlink(index)
		c.pushFront(index)
		return
	}
	if len(c.nodeIndexes) >= c.maxBlocks {
		c.evict(c.nodes[c.tail].hash)
	}
	index := int32(len(c.nodes))
	if n := len(c.freeNodes); n > 0 {
		index = c.freeNodes[n-1]
		c.freeNodes = c.freeNodes[:n-1]
		c.nodes[index].hash = hash
	} else {
		c.nodes = append(c.nodes, cacheNode{hash: hash})
	}
	c.nodes[index].lastUsedMs = usedMs
	c.nodeIndexes[hash] = index
	c.pushFront(index)
	set := c.prefixIndex.holders[hash]
	set.set(c.endpointIndex, true)
	c.prefixIndex.holders[hash] = set
}

// evict removes one block, also from the index of holders. The index drops a block without holders, so that the
// endpoints' caches bound its size.
func (c *prefixCache) evict(hash wigeonshift.BlockHash) {
	index, ok := c.nodeIndexes[hash]
	if !ok {
		return
	}
	c.unlink(index)
	c.freeNodes = append(c.freeNodes, index)
	delete(c.nodeIndexes, hash)
	set := c.prefixIndex.holders[hash]
	set.set(c.endpointIndex, false)
	if set.empty() {
		delete(c.prefixIndex.holders, hash)
		return
	}
	c.prefixIndex.holders[hash] = set
}

// clear removes every block.
func (c *prefixCache) clear() {
	for c.tail >= 0 {
		c.evict(c.nodes[c.tail].hash)
	}
}

// pushFront inserts a node as the most recently used.
func (c *prefixCache) pushFront(index int32) {
	n := &c.nodes[index]
	n.prev, n.next = -1, c.head
	if c.head >= 0 {
		c.nodes[c.head].prev = index
	}
	c.head = index
	if c.tail < 0 {
		c.tail = index
	}
}

// unlink removes a node from the list.
func (c *prefixCache) unlink(index int32) {
	n := &c.nodes[index]
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

// Parameters of the correction of a predicted cache.
const (
	// minTrust is the lower bound of prefixCache.trust. gapTrustFactor lowers it after a gap in the cache events or an
	// attempt that did not run. trustGain is the weight of a new observation.
	minTrust       = 0.2
	gapTrustFactor = 0.9
	trustGain      = 0.1
	// maxEventLag is how long a use by the shard's own dispatches overrides an eviction event, because events arrive late.
	maxEventLag = 3 * time.Second
)

// applyEvents corrects the prediction with an engine's cache events. A gap in their sequence numbers lowers the trust,
// because the prediction lacks the lost events. A new incarnation, the ID of the engine process, clears the cache.
func (c *prefixCache) applyEvents(b wigeonshift.CacheBatch, now time.Time) {
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
			c.trust = max(minTrust, c.trust*gapTrustFactor)
		}
		c.sequence = ev.Sequence
		c.applyEvent(ev, now)
	}
}

// applyEvent applies one cache event. Events arrive late, so an eviction is ignored for blocks that the shard's own
// dispatches used within maxEventLag, and a store event does not count as a new use of a cached block.
func (c *prefixCache) applyEvent(ev wigeonshift.CacheEvent, now time.Time) {
	switch ev.Kind {
	case wigeonshift.CacheStored:
		for i := len(ev.Blocks) - 1; i >= 0; i-- {
			if _, ok := c.nodeIndexes[ev.Blocks[i]]; !ok {
				c.storeBlock(ev.Blocks[i], now.UnixMilli())
			}
		}
	case wigeonshift.CacheEvicted:
		for _, hash := range ev.Blocks {
			if index, ok := c.nodeIndexes[hash]; ok && now.UnixMilli()-c.nodes[index].lastUsedMs > maxEventLag.Milliseconds() {
				c.evict(hash)
			}
		}
	case wigeonshift.CacheCleared:
		c.clear()
	}
}

// updateTrust updates the trust with the number of cached tokens that the endpoint reported. Placement counts predicted
// tokens only as far as they are trusted.
func (c *prefixCache) updateTrust(predicted, actual int) {
	if predicted <= 0 {
		return
	}
	hit := min(1, float64(actual)/float64(predicted))
	c.trust = max(minTrust, c.trust+trustGain*(hit-c.trust))
}
