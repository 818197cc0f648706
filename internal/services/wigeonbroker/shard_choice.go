package wigeonbroker

import (
	"slices"
	"strconv"

	"wigeonshift"
)

// ChooseShard returns the shard of a pool that a request asks first. It uses rendezvous hashing: requests with the same
// first prompt block go to the same shard, and most of them stay there when the number of shards changes.
func ChooseShard(shards []wigeonshift.ShardID, prefix []wigeonshift.BlockHash, f wigeonshift.Fingerprint) wigeonshift.ShardID {
	key := uint64(f)
	if len(prefix) > 0 {
		key = uint64(prefix[0])
	}
	name := strconv.FormatUint(key, 16)
	var best wigeonshift.ShardID
	var bestScore uint64
	for _, id := range shards {
		if score := wigeonshift.RendezvousScore(name, string(id)); best == "" || score > bestScore {
			best, bestScore = id, score
		}
	}
	return best
}

// spillRemovedShard moves the waiting requests of a shard that was removed from the configuration to the remaining
// shards of its pool. The caller holds the lock.
func (b *Broker) spillRemovedShard(st *shardState) {
	if b.configuration == nil || b.configuration.Current() == nil {
		return
	}
	pool, _, ok := st.id.Pool()
	c := b.configuration.Current()
	if !ok || len(c.PoolEndpoints(pool)) == 0 {
		return
	}
	shards := c.PoolShards(pool)
	if slices.Contains(shards, st.id) {
		return
	}
	for _, s := range st.sortedSessions() {
		if s.state == stateWaiting {
			to := ChooseShard(shards, s.request.Prefix, s.request.Fingerprint)
			s.state = stateEnded
			b.countRetry("shardGone")
			s.deliver(wigeonshift.PermitAnswer{Spill: &to})
		}
	}
}
