package wigeonconfig

import (
	"maps"
	"reflect"
	"strings"
	"time"

	"wigeonshift"

	"github.com/samber/oops"
)

// KeyIndex finds the owner of an API key in one configuration without looking at the others. It is never modified.
type KeyIndex struct {
	configuration *wigeonshift.Configuration
	keys          map[string]*indexedKey
}

type indexedKey struct {
	caller Caller
	stored wigeonshift.APIKey
}

// NewKeyIndex returns the index of a configuration's keys.
func NewKeyIndex(c *wigeonshift.Configuration) *KeyIndex {
	x := &KeyIndex{configuration: &wigeonshift.Configuration{}, keys: map[string]*indexedKey{}}
	return x.Update(c)
}

// Update returns the index of another configuration. Its cost beyond a copy of the index grows with the difference.
func (x *KeyIndex) Update(c *wigeonshift.Configuration) *KeyIndex {
	next := &KeyIndex{configuration: c, keys: maps.Clone(x.keys)}
	// An id may move from one organisation to another: what is gone is removed before what is new is added.
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

// remove drops the keys of organisations that are gone or have other keys now.
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

// add enters the keys of organisations that are new or had other keys before.
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

// sameMap reports whether two maps are one and the same. Apply shares the maps that a patch doesn't touch.
func sameMap[T any](a, b map[string]T) bool {
	return reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer()
}

func sameKeys(a, b map[string]wigeonshift.APIKey) bool {
	return sameMap(a, b) || maps.Equal(a, b)
}

// Authenticate returns the caller of a presented key, or an error that wraps ErrUnknownKey.
func (x *KeyIndex) Authenticate(presented string, at time.Time) (Caller, error) {
	id, secret, _ := strings.Cut(presented, ".")
	k, ok := x.keys[id]
	if !ok || !VerifyAPIKey(k.stored, secret, at) {
		return Caller{}, oops.In("configuration").Wrap(ErrUnknownKey)
	}
	return k.caller, nil
}
