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
	k := &checker{keys: map[string]string{}}
	for name, p := range c.Products {
		k.product(join("products", name), name, p)
	}
	if len(k.faults) == 0 {
		return nil
	}
	slices.SortFunc(k.faults, func(a, b Fault) int { return strings.Compare(a.Path+a.Reason, b.Path+b.Reason) })
	return &InvalidError{Faults: k.faults[:min(len(k.faults), maxFaults)]}
}

type checker struct {
	faults []Fault
	// keys maps the id of each API key to the path of its organisation.
	keys map[string]string
}

func (k *checker) fault(path, format string, args ...any) {
	k.faults = append(k.faults, Fault{Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (k *checker) require(ok bool, path, reason string) {
	if !ok {
		k.fault(path, "%s", reason)
	}
}

// name checks a key of a map. Slashes separate the parts of shard ids, and dots those of paths and of caller keys.
func (k *checker) name(path, name string) {
	bad := name == "" || len(name) > MaxNameLength || strings.ContainsFunc(name, func(r rune) bool {
		return r <= ' ' || r == '/' || r == '.' || r == 0x7f
	})
	k.require(!bad, path, "name must have 1 to 100 bytes without space, slash or dot")
}

func (k *checker) product(path, name string, p wigeonshift.Product) {
	k.name(path, name)
	k.require(len(p.Tiers) > 0, path+".tiers", "a product needs at least one tier")
	k.tiers(path+".tiers", p.Tiers)
	for organisation, o := range p.Organisations {
		k.organisation(path+".organisations."+organisation, organisation, o, p.Tiers)
	}
	for service, s := range p.Services {
		k.service(path+".services."+service, service, s)
	}
}

func (k *checker) tiers(path string, tiers map[string]wigeonshift.Tier) {
	ranks := map[wigeonshift.TierRank]int{}
	for _, t := range tiers {
		ranks[t.Rank]++
	}
	for name, t := range tiers {
		at := join(path, name)
		k.name(at, name)
		k.require(t.Rank >= 0, at+".rank", "must not be negative")
		k.require(ranks[t.Rank] == 1, at+".rank", "another tier of the product has the same rank")
		k.require(t.DefaultDeadlineMS > 0, at+".defaultDeadlineMs", "must be positive")
	}
}

func (k *checker) organisation(path, name string, o wigeonshift.Organisation, tiers map[string]wigeonshift.Tier) {
	k.name(path, name)
	k.require(len(o.Tiers) > 0, path+".tiers", "an organisation needs at least one tier")
	for i, t := range o.Tiers {
		if _, ok := tiers[t]; !ok {
			k.fault(path+".tiers", "the product has no tier %q", t)
		}
		k.require(!slices.Contains(o.Tiers[:i], t), path+".tiers", "a tier stands twice")
	}
	k.require(isShare(o.Weight), path+".weight", "must be a finite number of at least 0")
	k.require(o.MaxConcurrent >= 0, path+".maxConcurrent", "must not be negative")
	k.require(isShare(o.TokensPerSecond), path+".tokensPerSecond", "must be a finite number of at least 0")
	for id, key := range o.APIKeys {
		k.apiKey(path+".apiKeys."+id, id, path, key)
	}
}

func (k *checker) apiKey(path, id, organisation string, key wigeonshift.APIKey) {
	k.name(path, id)
	if other, ok := k.keys[id]; ok {
		k.fault(max(other, organisation)+".apiKeys."+id, "%s has a key with the same id", min(other, organisation))
	}
	k.keys[id] = organisation
	k.require(isHex(key.Salt, saltBytes), path+".salt", "must be 16 bytes as hexadecimal")
	k.require(isHex(key.Hash, hashBytes), path+".hash", "must be 32 bytes as hexadecimal")
}

func (k *checker) service(path, name string, s wigeonshift.Service) {
	k.name(path, name)
	k.require(s.MaxBodyBytes >= 0, path+".maxBodyBytes", "must not be negative")
	switch s.Kind {
	case wigeonshift.ServiceModel:
		k.require(len(s.Models) > 0, path+".models", "a model service needs at least one model")
		k.require(len(s.NonIdempotentMethods) == 0, path+".nonIdempotentMethods", "only plain services have methods")
	case wigeonshift.ServicePlain:
		k.require(len(s.Models) == 0, path+".models", "a plain service has no models")
	default:
		k.fault(path+".kind", "must be model or plain")
	}
	for _, m := range s.NonIdempotentMethods {
		k.require(m != "" && strings.ToUpper(m) == m, path+".nonIdempotentMethods", "methods are written in capitals")
	}
	addresses := map[string]string{}
	for endpoint, e := range s.Endpoints {
		at := path + ".endpoints." + endpoint
		k.endpoint(at, endpoint, e, s)
		if other, ok := addresses[e.Address]; ok {
			k.fault(path+".endpoints."+max(other, endpoint)+".address", "%s has the same address", min(other, endpoint))
		}
		addresses[e.Address] = endpoint
	}
}

func (k *checker) endpoint(path, name string, e wigeonshift.EndpointSpec, s wigeonshift.Service) {
	k.name(path, name)
	_, err := netip.ParseAddrPort(e.Address)
	k.require(err == nil, path+".address", "must be an IP number and port")
	k.require(e.Region != "" && !strings.Contains(e.Region, "/"), path+".region", "must be set, without slash")
	k.require(e.Zone != "", path+".zone", "must be set")
	k.require(e.State == wigeonshift.EndpointActive || e.State == wigeonshift.EndpointLeaving, path+".state",
		"must be active or leaving")
	k.require(e.MaxConcurrent >= 0, path+".maxConcurrent", "must not be negative")
	for _, m := range e.Models {
		if !slices.Contains(s.Models, m) {
			k.fault(path+".models", "the service has no model %q", m)
		}
	}
}

func isShare(f float64) bool {
	return f >= 0 && !math.IsInf(f, 0)
}

func isHex(s string, size int) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == size
}
