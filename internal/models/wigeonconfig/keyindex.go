package wigeonconfig

import (
	"maps"
	"reflect"
	"strings"
	"time"

	"wigeonshift"

	"github.com/samber/oops"
)

// KeyIndex maps the API key ids of one configuration to their owners, so that a lookup does not search all
// organisations. It is immutable.
type KeyIndex struct {
	configuration *wigeonshift.Configuration
	keys          map[string]*indexedKey
}

type indexedKey struct {
	caller Caller
	stored wigeonshift.APIKey
}

// NewKeyIndex returns the index of the API keys in a configuration.
func NewKeyIndex(c *wigeonshift.Configuration) *KeyIndex {
	x := &KeyIndex{configuration: &wigeonshift.Configuration{}, keys: map[string]*indexedKey{}}
	return x.Update(c)
}

// Update returns the index of another configuration. Apart from copying the index, its cost grows with the difference
// between the configurations.
func (x *KeyIndex) Update(c *wigeonshift.Configuration) *KeyIndex {
	next := &KeyIndex{configuration: c, keys: maps.Clone(x.keys)}
	// Old keys are removed before new ones are added, because a key id may move from one organisation to another.
	for name, p := range x.configuration.Products {
		if after := c.Products[name]; !sameMap(p.Organisations, after.Organisations) {
			next.remove(p, after)
		}
	}
	for name, p := range c.Products {
		if before := x.configuration.Products[name]; !sameMap(p.Organisations, before.Organisations) {
			next.add(name, before, p)
		}
	}
	return next
}

// remove removes the keys of organisations that were removed or whose keys have changed.
func (x *KeyIndex) remove(before, after wigeonshift.Product) {
	for name, o := range before.Organisations {
		if sameKeys(o.APIKeys, after.Organisations[name].APIKeys) {
			continue
		}
		for id := range o.APIKeys {
			delete(x.keys, id)
		}
	}
}

// add adds the keys of organisations that are new or whose keys have changed.
func (x *KeyIndex) add(product string, before, after wigeonshift.Product) {
	for name, o := range after.Organisations {
		if sameKeys(o.APIKeys, before.Organisations[name].APIKeys) {
			continue
		}
		for id, k := range o.APIKeys {
			x.keys[id] = &indexedKey{caller: Caller{Product: product, Organisation: name, KeyID: id}, stored: k}
		}
	}
}

// sameMap reports whether a and b are the same map. Apply reuses the maps that a patch does not change.
func sameMap[T any](a, b map[string]T) bool {
	return reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer()
}

func sameKeys(a, b map[string]wigeonshift.APIKey) bool {
	return sameMap(a, b) || maps.Equal(a, b)
}

// Authenticate returns the owner of an API key, or an error that wraps ErrUnknownKey.
func (x *KeyIndex) Authenticate(presented string, at time.Time) (Caller, error) {
	id, secret, _ := strings.Cut(presented, ".")
	k, ok := x.keys[id]
	if !ok || !VerifyAPIKey(k.stored, secret, at) {
		return Caller{}, oops.In("configuration").Wrap(ErrUnknownKey)
	}
	return k.caller, nil
}
