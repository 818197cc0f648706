package wigeonshift

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaxShardEndpoints is the target for the largest number of endpoints of a shard. Hashing may exceed it.
const MaxShardEndpoints = 64

// ShardID identifies a shard as product/service/region/index.
type ShardID string

// Pool identifies the endpoints of one service of one product in one region.
type Pool struct {
	Product string
	Service string
	Region  string
}

// String returns the pool as product/service/region.
func (p Pool) String() string {
	return p.Product + "/" + p.Service + "/" + p.Region
}

// Shard returns the ID of the pool's shard with the given index.
func (p Pool) Shard(index int) ShardID {
	return ShardID(fmt.Sprintf("%s/%d", p, index))
}

// Pool returns the pool and the index of the shard; ok is false for a malformed ID.
func (s ShardID) Pool() (pool Pool, index int, ok bool) {
	parts := strings.Split(string(s), "/")
	if len(parts) != 4 {
		return Pool{}, 0, false
	}
	index, err := strconv.Atoi(parts[3])
	if err != nil || index < 0 {
		return Pool{}, 0, false
	}
	return Pool{Product: parts[0], Service: parts[1], Region: parts[2]}, index, true
}

// ShardCount returns the number of shards of a pool with the given number of endpoints.
func ShardCount(endpoints int) int {
	return max(1, (endpoints+MaxShardEndpoints-1)/MaxShardEndpoints)
}

// PoolEndpoints returns the sorted names of a pool's endpoints.
func (c *Configuration) PoolEndpoints(p Pool) []string {
	var names []string
	for name, e := range c.Products[p.Product].Services[p.Service].Endpoints {
		if e.Region == p.Region {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Pools returns all pools of the configuration, sorted by product/service/region.
func (c *Configuration) Pools() []Pool {
	seen := map[Pool]bool{}
	var pools []Pool
	for product, pr := range c.Products {
		for service, s := range pr.Services {
			for _, e := range s.Endpoints {
				p := Pool{Product: product, Service: service, Region: e.Region}
				if seen[p] {
					continue
				}
				seen[p] = true
				pools = append(pools, p)
			}
		}
	}
	slices.SortFunc(pools, func(a, b Pool) int { return strings.Compare(a.String(), b.String()) })
	return pools
}

// PoolShards returns the IDs of a pool's shards, ordered by index.
func (c *Configuration) PoolShards(p Pool) []ShardID {
	shards := make([]ShardID, ShardCount(len(c.PoolEndpoints(p))))
	for i := range shards {
		shards[i] = p.Shard(i)
	}
	return shards
}

// Shards returns all shards of the configuration, ordered by pool and index.
func (c *Configuration) Shards() []ShardID {
	var shards []ShardID
	for _, p := range c.Pools() {
		shards = append(shards, c.PoolShards(p)...)
	}
	return shards
}

// ShardEndpoints returns the endpoints of one shard by name. Rendezvous hashing over the pool's shards
// keeps most endpoints in their shard when the number of shards changes.
func (c *Configuration) ShardEndpoints(id ShardID) map[string]EndpointSpec {
	p, index, ok := id.Pool()
	if !ok {
		return nil
	}
	names := c.PoolEndpoints(p)
	count := ShardCount(len(names))
	specs := c.Products[p.Product].Services[p.Service].Endpoints
	endpoints := map[string]EndpointSpec{}
	for _, name := range names {
		if rendezvousIndex(name, count) == index {
			endpoints[name] = specs[name]
		}
	}
	return endpoints
}

// rendezvousIndex returns the index of the shard with the highest rendezvous score for a name.
func rendezvousIndex(name string, count int) int {
	best, bestScore := 0, uint64(0)
	for i := range count {
		score := RendezvousScore(name, strconv.Itoa(i))
		if score >= bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// RendezvousScore returns the rendezvous hash of a key and a candidate. The candidate with the highest score is
// selected.
func RendezvousScore(key, candidate string) uint64 {
	return xxhash.Sum64String(key + "\x00" + candidate)
}

// RankCandidates orders instances by their rendezvous score for a key, highest first.
func RankCandidates(key string, instances []Instance) []Instance {
	type candidate struct {
		score uint64
		index int
	}
	candidates := make([]candidate, len(instances))
	for n, i := range instances {
		candidates[n] = candidate{score: RendezvousScore(key, i.ID), index: n}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return strings.Compare(instances[a.index].ID, instances[b.index].ID)
	})
	ranked := make([]Instance, len(instances))
	for n, c := range candidates {
		ranked[n] = instances[c.index]
	}
	return ranked
}
