package wigeonentry

import (
	"maps"
	"slices"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonbroker"
)

type serviceKey struct{ product, service string }

type modelKey struct{ product, model string }

// routes is an index of one configuration's models and shards for admission.
type routes struct {
	configuration *wigeonshift.Configuration
	// serviceByModel holds the service that runs each model. If several services list a model, the first in order of
	// their names is used.
	serviceByModel map[modelKey]string
	// shardsByService holds each service's shards in this instance's region, or in the first region that has any.
	shardsByService map[serviceKey][]wigeonshift.ShardID
}

// currentRoutes returns the routes of the current configuration, or nil if there is no configuration yet.
func (s *Service) currentRoutes() *routes {
	c := s.configuration.Current()
	if c == nil {
		return nil
	}
	if r := s.routes.Load(); r != nil && r.configuration == c {
		return r
	}
	r := newRoutes(c, s.self.Region)
	s.routes.Store(r)
	return r
}

func newRoutes(c *wigeonshift.Configuration, region string) *routes {
	r := &routes{
		configuration:   c,
		serviceByModel:  map[modelKey]string{},
		shardsByService: map[serviceKey][]wigeonshift.ShardID{},
	}
	for product, p := range c.Products {
		for _, service := range slices.Sorted(maps.Keys(p.Services)) {
			for _, model := range p.Services[service].Models {
				if _, ok := r.serviceByModel[modelKey{product, model}]; !ok {
					r.serviceByModel[modelKey{product, model}] = service
				}
			}
		}
	}
	for _, pool := range c.Pools() {
		key := serviceKey{pool.Product, pool.Service}
		if r.shardsByService[key] == nil || pool.Region == region {
			r.shardsByService[key] = c.PoolShards(pool)
		}
	}
	return r
}

// chooseShard chooses a service's shard so that requests with the same prefix go to the same shard.
func (r *routes) chooseShard(key serviceKey, a Analysis) (wigeonshift.ShardID, bool) {
	shards := r.shardsByService[key]
	if len(shards) == 0 {
		return "", false
	}
	return wigeonbroker.ChooseShard(shards, a.Prefix, a.Fingerprint), true
}

// isEndpointLeaving reports whether this instance's configuration marks an endpoint as leaving. A leaving endpoint
// finishes its running requests and takes no new ones.
func (s *Service) isEndpointLeaving(pr wigeonshift.PermitRequest, endpoint string) bool {
	c := s.configuration.Current()
	pool, _, ok := pr.Shard.Pool()
	if c == nil || !ok {
		return false
	}
	return c.Products[pool.Product].Services[pool.Service].Endpoints[endpoint].State == wigeonshift.EndpointLeaving
}
