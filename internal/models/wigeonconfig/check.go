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

// Limits of the configuration check.
const (
	MaxNameBytes = 100
	maxFaults    = 50
	saltBytes    = 16
	hashBytes    = 32
)

// Check checks that a configuration conforms to its schema and that all references in it can be resolved. The error is
// an *InvalidError with the path of each fault, at most maxFaults.
func Check(c *wigeonshift.Configuration) error {
	k := &checker{keys: map[string]keyOwner{}}
	for name, p := range c.Products {
		k.withPath("products", name, func() { k.checkProduct(name, p) })
	}
	if len(k.faults) == 0 {
		return nil
	}
	slices.SortFunc(k.faults, func(a, b Fault) int { return strings.Compare(a.Path+a.Reason, b.Path+b.Reason) })
	return &InvalidError{Faults: k.faults[:min(len(k.faults), maxFaults)]}
}

// checker walks a configuration. It builds path strings only for faults, because a large configuration has hundreds of
// thousands of paths.
type checker struct {
	faults []Fault
	// path holds the parts of the path to the current value.
	path []string
	// keys maps the id of each API key to its owner.
	keys map[string]keyOwner
}

// keyOwner is the organisation that an API key belongs to.
type keyOwner struct {
	product      string
	organisation string
}

func (o keyOwner) path() string {
	return "products." + o.product + ".organisations." + o.organisation
}

// withPath runs a check with the current path extended by a field and a name.
func (k *checker) withPath(field, name string, check func()) {
	k.path = append(k.path, field, name)
	check()
	k.path = k.path[:len(k.path)-2]
}

// addFault records a fault of a field of the current value, or of the value itself if the field is empty.
func (k *checker) addFault(field, format string, args ...any) {
	path := joinPath(strings.Join(k.path, "."), field)
	k.faults = append(k.faults, Fault{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// require records a fault if ok is false.
func (k *checker) require(ok bool, field, reason string) {
	if !ok {
		k.addFault(field, "%s", reason)
	}
}

// checkName checks a map key that is used as a name. A name has no slash because slashes separate the parts of shard
// ids, and no dot because dots separate the parts of paths and API keys.
func (k *checker) checkName(name string) {
	bad := name == "" || len(name) > MaxNameBytes
	for i := range len(name) {
		bad = bad || name[i] <= ' ' || name[i] == '/' || name[i] == '.' || name[i] == 0x7f
	}
	k.require(!bad, "", "name must have 1 to 100 bytes without space, slash or dot")
}

func (k *checker) checkProduct(name string, p wigeonshift.Product) {
	k.checkName(name)
	k.require(len(p.Tiers) > 0, "tiers", "a product needs at least one tier")
	k.checkTiers(p.Tiers)
	for organisation, o := range p.Organisations {
		k.withPath("organisations", organisation, func() { k.checkOrganisation(keyOwner{name, organisation}, o, p.Tiers) })
	}
	for service, s := range p.Services {
		k.withPath("services", service, func() { k.checkService(service, s) })
	}
}

func (k *checker) checkTiers(tiers map[string]wigeonshift.Tier) {
	ranks := map[wigeonshift.TierRank]int{}
	for _, t := range tiers {
		ranks[t.Rank]++
	}
	for name, t := range tiers {
		k.withPath("tiers", name, func() {
			k.checkName(name)
			k.require(t.Rank >= 0, "rank", "must not be negative")
			k.require(ranks[t.Rank] == 1, "rank", "another tier of the product has the same rank")
			k.require(t.DefaultDeadlineMS > 0, "defaultDeadlineMs", "must be positive")
		})
	}
}

func (k *checker) checkOrganisation(owner keyOwner, o wigeonshift.Organisation, tiers map[string]wigeonshift.Tier) {
	k.checkName(owner.organisation)
	k.require(len(o.Tiers) > 0, "tiers", "an organisation needs at least one tier")
	for i, t := range o.Tiers {
		if _, ok := tiers[t]; !ok {
			k.addFault("tiers", "the product has no tier %q", t)
		}
		k.require(!slices.Contains(o.Tiers[:i], t), "tiers", "a tier is listed twice")
	}
	k.require(isFiniteNonNegative(o.Weight), "weight", "must be a finite number of at least 0")
	k.require(o.MaxConcurrent >= 0, "maxConcurrent", "must not be negative")
	k.require(isFiniteNonNegative(o.TokensPerSecond), "tokensPerSecond", "must be a finite number of at least 0")
	for id, key := range o.APIKeys {
		k.withPath("apiKeys", id, func() { k.checkAPIKey(id, owner, key) })
	}
}

func (k *checker) checkAPIKey(id string, owner keyOwner, key wigeonshift.APIKey) {
	k.checkName(id)
	if other, ok := k.keys[id]; ok {
		first, second := min(other.path(), owner.path()), max(other.path(), owner.path())
		reason := first + " has a key with the same id"
		k.faults = append(k.faults, Fault{Path: second + ".apiKeys." + id, Reason: reason})
	}
	k.keys[id] = owner
	k.require(isHex(key.Salt, saltBytes), "salt", "must be 16 bytes as hexadecimal")
	k.require(isHex(key.Hash, hashBytes), "hash", "must be 32 bytes as hexadecimal")
}

func (k *checker) checkService(name string, s wigeonshift.Service) {
	k.checkName(name)
	k.require(s.MaxBodyBytes >= 0, "maxBodyBytes", "must not be negative")
	switch s.Kind {
	case wigeonshift.ServiceModel:
		k.require(len(s.Models) > 0, "models", "a model service needs at least one model")
		k.require(len(s.NonIdempotentMethods) == 0, "nonIdempotentMethods", "only plain services have methods")
	case wigeonshift.ServicePlain:
		k.require(len(s.Models) == 0, "models", "a plain service has no models")
	default:
		k.addFault("kind", "must be model or plain")
	}
	for _, m := range s.NonIdempotentMethods {
		k.require(m != "" && strings.ToUpper(m) == m, "nonIdempotentMethods", "methods must be in upper case")
	}
	addresses := map[string]string{}
	for endpoint, e := range s.Endpoints {
		k.withPath("endpoints", endpoint, func() { k.checkEndpoint(endpoint, e, s) })
		if other, ok := addresses[e.Address]; ok {
			k.addFault("endpoints."+max(other, endpoint)+".address", "%s has the same address", min(other, endpoint))
		}
		addresses[e.Address] = endpoint
	}
}

func (k *checker) checkEndpoint(name string, e wigeonshift.EndpointSpec, s wigeonshift.Service) {
	k.checkName(name)
	_, err := netip.ParseAddrPort(e.Address)
	k.require(err == nil, "address", "must be an IP address and port")
	k.require(e.Region != "" && !strings.Contains(e.Region, "/"), "region", "must be set, without slash")
	k.require(e.Zone != "", "zone", "must be set")
	k.require(e.State == wigeonshift.EndpointActive || e.State == wigeonshift.EndpointLeaving, "state",
		"must be active or leaving")
	k.require(e.MaxConcurrent >= 0, "maxConcurrent", "must not be negative")
	for _, m := range e.Models {
		if !slices.Contains(s.Models, m) {
			k.addFault("models", "the service has no model %q", m)
		}
	}
}

func isFiniteNonNegative(f float64) bool {
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
