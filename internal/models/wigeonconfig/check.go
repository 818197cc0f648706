package wigeonconfig

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"

	"wigeonshift"
)

// Limits of names in the configuration.
const (
	MaxNameLength = 100
	maxFaults     = 50
	saltBytes     = 16
	hashBytes     = 32
)

// Check reports whether a configuration keeps its schema and refers only to what it defines. Its error is an
// *InvalidError with the path of each fault.
func Check(c *wigeonshift.Configuration) error {
	k := &checker{keys: map[string]keyOwner{}}
	for name, p := range c.Products {
		k.within("products", name, func() { k.product(name, p) })
	}
	if len(k.faults) == 0 {
		return nil
	}
	slices.SortFunc(k.faults, func(a, b Fault) int { return strings.Compare(a.Path+a.Reason, b.Path+b.Reason) })
	return &InvalidError{Faults: k.faults[:min(len(k.faults), maxFaults)]}
}

// checker walks a configuration. Paths are built for faults only: a large configuration has hundreds of thousands.
type checker struct {
	faults []Fault
	// path is the place of the value under check.
	path []string
	// keys maps the id of each API key to its owner.
	keys map[string]keyOwner
}

// keyOwner is the organisation of an API key.
type keyOwner struct {
	product      string
	organisation string
}

func (o keyOwner) path() string {
	return "products." + o.product + ".organisations." + o.organisation
}

// within runs a check of the value at a name below a field of the current path.
func (k *checker) within(field, name string, check func()) {
	k.path = append(k.path, field, name)
	check()
	k.path = k.path[:len(k.path)-2]
}

// fault reports a fault of a field of the value under check; an empty field means the value itself.
func (k *checker) fault(field, format string, args ...any) {
	path := join(strings.Join(k.path, "."), field)
	k.faults = append(k.faults, Fault{Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (k *checker) require(ok bool, field, reason string) {
	if !ok {
		k.fault(field, "%s", reason)
	}
}

// name checks a key of a map. Slashes separate the parts of shard ids, and dots those of paths and of caller keys.
func (k *checker) name(name string) {
	bad := name == "" || len(name) > MaxNameLength
	for i := range len(name) {
		bad = bad || name[i] <= ' ' || name[i] == '/' || name[i] == '.' || name[i] == 0x7f
	}
	k.require(!bad, "", "name must have 1 to 100 bytes without space, slash or dot")
}

func (k *checker) product(name string, p wigeonshift.Product) {
	k.name(name)
	k.require(len(p.Tiers) > 0, "tiers", "a product needs at least one tier")
	k.tiers(p.Tiers)
	for organisation, o := range p.Organisations {
		k.within("organisations", organisation, func() { k.organisation(keyOwner{name, organisation}, o, p.Tiers) })
	}
	for service, s := range p.Services {
		k.within("services", service, func() { k.service(service, s) })
	}
}

func (k *checker) tiers(tiers map[string]wigeonshift.Tier) {
	ranks := map[wigeonshift.TierRank]int{}
	for _, t := range tiers {
		ranks[t.Rank]++
	}
	for name, t := range tiers {
		k.within("tiers", name, func() {
			k.name(name)
			k.require(t.Rank >= 0, "rank", "must not be negative")
			k.require(ranks[t.Rank] == 1, "rank", "another tier of the product has the same rank")
			k.require(t.DefaultDeadlineMS > 0, "defaultDeadlineMs", "must be positive")
		})
	}
}

func (k *checker) organisation(owner keyOwner, o wigeonshift.Organisation, tiers map[string]wigeonshift.Tier) {
	k.name(owner.organisation)
	k.require(len(o.Tiers) > 0, "tiers", "an organisation needs at least one tier")
	for i, t := range o.Tiers {
		if _, ok := tiers[t]; !ok {
			k.fault("tiers", "the product has no tier %q", t)
		}
		k.require(!slices.Contains(o.Tiers[:i], t), "tiers", "a tier stands twice")
	}
	k.require(isShare(o.Weight), "weight", "must be a finite number of at least 0")
	k.require(o.MaxConcurrent >= 0, "maxConcurrent", "must not be negative")
	k.require(isShare(o.TokensPerSecond), "tokensPerSecond", "must be a finite number of at least 0")
	for id, key := range o.APIKeys {
		k.within("apiKeys", id, func() { k.apiKey(id, owner, key) })
	}
}

func (k *checker) apiKey(id string, owner keyOwner, key wigeonshift.APIKey) {
	k.name(id)
	if other, ok := k.keys[id]; ok {
		first, second := min(other.path(), owner.path()), max(other.path(), owner.path())
		reason := first + " has a key with the same id"
		k.faults = append(k.faults, Fault{Path: second + ".apiKeys." + id, Reason: reason})
	}
	k.keys[id] = owner
	k.require(isHex(key.Salt, saltBytes), "salt", "must be 16 bytes as hexadecimal")
	k.require(isHex(key.Hash, hashBytes), "hash", "must be 32 bytes as hexadecimal")
}

func (k *checker) service(name string, s wigeonshift.Service) {
	k.name(name)
	k.require(s.MaxBodyBytes >= 0, "maxBodyBytes", "must not be negative")
	switch s.Kind {
	case wigeonshift.ServiceModel:
		k.require(len(s.Models) > 0, "models", "a model service needs at least one model")
		k.require(len(s.NonIdempotentMethods) == 0, "nonIdempotentMethods", "only plain services have methods")
	case wigeonshift.ServicePlain:
		k.require(len(s.Models) == 0, "models", "a plain service has no models")
	default:
		k.fault("kind", "must be model or plain")
	}
	for _, m := range s.NonIdempotentMethods {
		k.require(m != "" && strings.ToUpper(m) == m, "nonIdempotentMethods", "methods are written in capitals")
	}
	addresses := map[string]string{}
	for endpoint, e := range s.Endpoints {
		k.within("endpoints", endpoint, func() { k.endpoint(endpoint, e, s) })
		if other, ok := addresses[e.Address]; ok {
			k.fault("endpoints."+max(other, endpoint)+".address", "%s has the same address", min(other, endpoint))
		}
		addresses[e.Address] = endpoint
	}
}

func (k *checker) endpoint(name string, e wigeonshift.EndpointSpec, s wigeonshift.Service) {
	k.name(name)
	_, err := netip.ParseAddrPort(e.Address)
	k.require(err == nil, "address", "must be an IP number and port")
	k.require(e.Region != "" && !strings.Contains(e.Region, "/"), "region", "must be set, without slash")
	k.require(e.Zone != "", "zone", "must be set")
	k.require(e.State == wigeonshift.EndpointActive || e.State == wigeonshift.EndpointLeaving, "state",
		"must be active or leaving")
	k.require(e.MaxConcurrent >= 0, "maxConcurrent", "must not be negative")
	for _, m := range e.Models {
		if !slices.Contains(s.Models, m) {
			k.fault("models", "the service has no model %q", m)
		}
	}
}

func isShare(f float64) bool {
	return f >= 0 && !math.IsInf(f, 0)
}

func isHex(s string, size int) bool {
	if len(s) != hex.EncodedLen(size) {
		return false
	}
	for i := range len(s) {
		digit := s[i] >= '0' && s[i] <= '9'
		letter := s[i]|0x20 >= 'a' && s[i]|0x20 <= 'f'
		if !digit && !letter {
			return false
		}
	}
	return true
}
