package wigeonlease

import (
	"slices"

	"wigeonshift"
)

// Candidates returns up to count instances that may own a shard, best first. If the pool's region has live instances,
// only those are candidates; otherwise all live instances are.
func Candidates(shard wigeonshift.ShardID, live []wigeonshift.Instance, count int) []wigeonshift.Instance {
	pool, _, _ := shard.Pool()
	ranked := wigeonshift.RankCandidates(string(shard), inRegionOrAll(live, pool.Region))
	return ranked[:min(count, len(ranked))]
}

// Rank returns the position of an instance among the candidates for a shard, or -1 if it is not a candidate.
func Rank(shard wigeonshift.ShardID, live []wigeonshift.Instance, id string) int {
	pool, _, _ := shard.Pool()
	allRegions := !anyInRegion(live, pool.Region)
	ownScore := wigeonshift.RendezvousScore(string(shard), id)
	rank, found := 0, false
	// Every instance calls Rank for every shard, so the loop doesn't copy the list.
	for n := range live {
		i := &live[n]
		if !allRegions && i.Region != pool.Region {
			continue
		}
		if i.ID == id {
			found = true
			continue
		}
		score := wigeonshift.RendezvousScore(string(shard), i.ID)
		if score > ownScore || score == ownScore && i.ID < id {
			rank++
		}
	}
	if !found {
		return -1
	}
	return rank
}

func anyInRegion(live []wigeonshift.Instance, region string) bool {
	return slices.ContainsFunc(live, func(i wigeonshift.Instance) bool { return i.Region == region })
}

// inRegionOrAll returns the instances of a region, or all instances if the region has none.
func inRegionOrAll(live []wigeonshift.Instance, region string) []wigeonshift.Instance {
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
