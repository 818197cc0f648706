// Package wigeonroute finds the route and the organisation of a request in one version of the configuration.
package wigeonroute

import (
	"math/rand/v2"
	"net"
	"slices"
	"strings"

	"wigeonshift"
)

// Table is one version of the configuration, ready for look-ups. It never changes.
type Table struct {
	// Configuration is the version that the table was built from.
	Configuration *wigeonshift.RoutingConfiguration
	// hosts lists the routes of a host, longest prefix first.
	hosts map[string][]*wigeonshift.Route
	keys  map[string]*wigeonshift.RoutedOrganisation
}

// New returns the table of a configuration.
func New(c *wigeonshift.RoutingConfiguration) *Table {
	t := &Table{
		Configuration: c,
		hosts:         map[string][]*wigeonshift.Route{},
		keys:          map[string]*wigeonshift.RoutedOrganisation{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *wigeonshift.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			t.keys[key] = &c.Organisations[i]
		}
	}
	return t
}

// Route returns the route with the longest prefix of a path, nil when there is none.
func (t *Table) Route(host, path string) *wigeonshift.Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NeedsKey reports whether requests of a route need an API key.
func (t *Table) NeedsKey(r *wigeonshift.Route) bool {
	return !r.Public && len(t.Configuration.Organisations) > 0
}

// Organisation returns the holder of an API key, nil for unknown keys.
func (t *Table) Organisation(key string) *wigeonshift.RoutedOrganisation {
	if key == "" {
		return nil
	}
	return t.keys[key]
}

// Pick returns the service that takes a request, drawn by the weights of the route's targets.
func Pick(r *wigeonshift.Route) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	n := rand.IntN(total) //nolint:gosec // The draw balances load and protects nothing.
	for _, target := range r.Targets {
		if n < target.Weight {
			return target.Service
		}
		n -= target.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
