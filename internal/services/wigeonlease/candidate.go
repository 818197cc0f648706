package wigeonlease

import (
	"slices"

	"wigeonshift"
)

// Candidates returns up to count instances fit to own a shard, best first. Instances of the pool's own region go
// before all others; those serve only when the region has none.
func Candidates(shard wigeonshift.ShardID, live []wigeonshift.Instance, count int) []wigeonshift.Instance {
	pool, _, _ := shard.Pool()
	ranked := wigeonshift.RankCandidates(string(shard), inRegion(live, pool.Region))
	return ranked[:min(count, len(ranked))]
}

// Rank returns an instance's place among the candidates for a shard, -1 when it is none.
func Rank(shard wigeonshift.ShardID, live []wigeonshift.Instance, id string) int {
	pool, _, _ := shard.Pool()
	everywhere := !anyInRegion(live, pool.Region)
	own := wigeonshift.RendezvousScore(string(shard), id)
	rank, found := 0, false
	// Every instance ranks itself for every shard: the list is not copied here.
	for n := range live {
		i := &live[n]
		if !everywhere && i.Region != pool.Region {
			continue
		}
		if i.ID == id {
			found = true
			continue
		}
		score := wigeonshift.RendezvousScore(string(shard), i.ID)
		if score > own || score == own && i.ID < id {
			rank++
		}
	}
	if !found {
		return -1
	}
	return rank
}

// anyInRegion tells whether a region has an instance.
func anyInRegion(live []wigeonshift.Instance, region string) bool {
	return slices.ContainsFunc(live, func(i wigeonshift.Instance) bool { return i.Region == region })
}

// inRegion returns the instances of a region, or all when there are none.
func inRegion(live []wigeonshift.Instance, region string) []wigeonshift.Instance {
	var local []wigeonshift.Instance
	for _, i := range live {
		if i.Region == region {
			local = append(local, i)
		}
	}
	if len(local) == 0 {
		return live
	}
	return local
}
