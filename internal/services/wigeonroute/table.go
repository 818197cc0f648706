// Package wigeonroute looks up the route and the organisation of a request in one version of the routing configuration.
package wigeonroute

import (
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"wigeonshift"
)

// Table indexes one version of the routing configuration for look-ups. It is immutable after New.
type Table struct {
	// Configuration is the version that the table was built from.
	Configuration *wigeonshift.RoutingConfiguration
	// BuiltAt is the time of New, from which on the version is in force.
	BuiltAt time.Time
	// routesByHost maps a lower-case host name to its routes, longest path prefix first.
	routesByHost map[string][]*wigeonshift.Route
	// organisationsByKey maps an API key to the organisation that it belongs to.
	organisationsByKey map[string]*wigeonshift.RoutedOrganisation
}

// New builds the table of a routing configuration. It sorts the routes of a host by the length of their prefix, so
// that Route can return the first one that matches.
func New(c *wigeonshift.RoutingConfiguration) *Table {
	t := &Table{
		Configuration:      c,
		BuiltAt:            time.Now(),
		routesByHost:       map[string][]*wigeonshift.Route{},
		organisationsByKey: map[string]*wigeonshift.RoutedOrganisation{},
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *wigeonshift.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			t.organisationsByKey[key] = &c.Organisations[i]
		}
	}
	return t
}

// Route returns the route of the host with the longest prefix that matches the path, or nil if no route matches. It
// ignores a port in host and the case of host. The first match is the longest, because the routes are sorted.
func (t *Table) Route(host, path string) *wigeonshift.Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// NeedsKey reports whether requests of a route need an API key. Public routes need none, and no route needs one if the
// configuration has no organisations.
func (t *Table) NeedsKey(r *wigeonshift.Route) bool {
	return !r.Public && len(t.Configuration.Organisations) > 0
}

// Organisation returns the organisation that an API key belongs to, or nil if the key is empty or unknown.
func (t *Table) Organisation(key string) *wigeonshift.RoutedOrganisation {
	if key == "" {
		return nil
	}
	return t.organisationsByKey[key]
}

// PickService returns the service for a request: a random target of the route, so that the requests are divided in
// proportion to the weights of the targets. It returns the first target if all weights are zero.
func PickService(r *wigeonshift.Route) string {
	totalWeight := 0
	for _, target := range r.Targets {
		totalWeight += target.Weight
	}
	if totalWeight <= 0 {
		return r.Targets[0].Service
	}
	n := rand.IntN(totalWeight) //nolint:gosec // The random number only balances load; security doesn't depend on it.
	for _, target := range r.Targets {
		if n < target.Weight {
			return target.Service
		}
		n -= target.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}
