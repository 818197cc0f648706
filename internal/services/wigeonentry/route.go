package wigeonentry

import (
	"maps"
	"slices"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonbroker"
)

type serviceKey struct{ product, service string }

type modelKey struct{ product, model string }

// routes is what one configuration says about services, looked up for each request.
type routes struct {
	configuration *wigeonshift.Configuration
	// services names the service of each model.
	services map[modelKey]string
	// shards lists the shards in this instance's region, or in the first region that has any.
	shards map[serviceKey][]wigeonshift.ShardID
}

// currentRoutes returns the routes of the configuration in force, nil before the first.
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
		configuration: c,
		services:      map[modelKey]string{},
		shards:        map[serviceKey][]wigeonshift.ShardID{},
	}
	for product, p := range c.Products {
		for _, service := range slices.Sorted(maps.Keys(p.Services)) {
			for _, model := range p.Services[service].Models {
				if _, ok := r.services[modelKey{product, model}]; !ok {
					r.services[modelKey{product, model}] = service
				}
			}
		}
	}
	for _, pool := range c.Pools() {
		key := serviceKey{pool.Product, pool.Service}
		if r.shards[key] == nil || pool.Region == region {
			r.shards[key] = c.PoolShards(pool)
		}
	}
	return r
}

// shard chooses a shard so that requests with the same prefix meet.
func (r *routes) shard(key serviceKey, a Analysis) (wigeonshift.ShardID, bool) {
	shards := r.shards[key]
	if len(shards) == 0 {
		return "", false
	}
	return wigeonbroker.ChooseShard(shards, a.Prefix, a.Fingerprint), true
}

// isLeaving tells whether the configuration in force here lets an endpoint finish what runs and take nothing new.
func (s *Service) isLeaving(ask wigeonshift.PermitRequest, endpoint string) bool {
	c := s.configuration.Current()
	pool, _, ok := ask.Shard.Pool()
	if c == nil || !ok {
		return false
	}
	return c.Products[pool.Product].Services[pool.Service].Endpoints[endpoint].State == wigeonshift.EndpointLeaving
}
