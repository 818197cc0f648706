package wigeonshift

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaxShardEndpoints is the largest number of endpoints aimed at for one shard.
const MaxShardEndpoints = 64

// ShardID names one shard as product/service/region/index.
type ShardID string

// Pool names the endpoints of one service of one product in one region.
type Pool struct {
	Product string
	Service string
	Region  string
}

// String returns the pool as product/service/region.
func (p Pool) String() string {
	return p.Product + "/" + p.Service + "/" + p.Region
}

// Shard returns the id of the pool's shard with an index.
func (p Pool) Shard(index int) ShardID {
	return ShardID(fmt.Sprintf("%s/%d", p, index))
}

// Pool returns the pool and index that the id names; ok is false for a malformed id.
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

// ShardCount returns the number of shards for a number of endpoints.
func ShardCount(endpoints int) int {
	return max(1, (endpoints+MaxShardEndpoints-1)/MaxShardEndpoints)
}

// PoolEndpoints returns the names of a pool's endpoints in order.
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

// Pools returns every pool of the configuration in order.
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

// PoolShards returns the ids of a pool's shards in order.
func (c *Configuration) PoolShards(p Pool) []ShardID {
	shards := make([]ShardID, ShardCount(len(c.PoolEndpoints(p))))
	for i := range shards {
		shards[i] = p.Shard(i)
	}
	return shards
}

// Shards returns every shard of the configuration in order.
func (c *Configuration) Shards() []ShardID {
	var shards []ShardID
	for _, p := range c.Pools() {
		shards = append(shards, c.PoolShards(p)...)
	}
	return shards
}

// ShardEndpoints returns the endpoints of one shard by name. Rendezvous hashing over the pool's shards
// keeps most endpoints in place when the number of shards changes.
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

// rendezvousIndex returns the shard index with the highest hash for a name.
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

// RendezvousScore is the weight of a candidate for a key; the highest wins.
func RendezvousScore(key, candidate string) uint64 {
	return xxhash.Sum64String(key + "\x00" + candidate)
}

// RankCandidates orders instances for a key, best first.
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
