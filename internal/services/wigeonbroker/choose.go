package wigeonbroker

import (
	"strconv"

	"wigeonshift"
)

// ChooseShard returns the shard of a pool that a request asks first. Requests that share the first block of their
// prompts meet at the same shard, and most of them stay there when the number of shards changes.
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
