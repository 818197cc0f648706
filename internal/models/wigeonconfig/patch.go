package wigeonconfig

import (
	"bytes"
	"encoding/json"
	"maps"

	"wigeonshift"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Apply applies a JSON merge patch (RFC 7386) and returns the new configuration with the next version. The given one
// is not modified; parts that the patch doesn't touch are shared. The result is not checked.
//
// The patch is applied to the typed document piece by piece, so that its cost grows with the size of the maps it
// touches and not with the size of the whole document.
func Apply(c *wigeonshift.Configuration, patch []byte) (*wigeonshift.Configuration, error) {
	if err := checkKeys(patch); err != nil {
		return nil, err
	}
	fields, err := object("", patch)
	if err != nil {
		return nil, err
	}
	next := *c
	next.Version++
	if raw, ok := fields["products"]; ok {
		next.Products, err = mergeMap("products", c.Products, raw, mergeProduct)
	}
	return &next, err
}

// merge applies a patch that is not null to one value.
type merge[T any] func(path string, value T, patch json.RawMessage) (T, error)

// mergeMap applies a patch to a map: null removes a key, anything else is merged into it.
func mergeMap[T any](path string, current map[string]T, patch json.RawMessage, m merge[T]) (map[string]T, error) {
	if isNull(patch) {
		return nil, nil
	}
	fields, err := object(path, patch)
	if err != nil {
		return nil, err
	}
	next := maps.Clone(current)
	if next == nil {
		next = make(map[string]T, len(fields))
	}
	for key, raw := range fields {
		if isNull(raw) {
			delete(next, key)
			continue
		}
		value, err := m(join(path, key), current[key], raw)
		if err != nil {
			return nil, err
		}
		next[key] = value
	}
	return next, nil
}

func mergeProduct(path string, p wigeonshift.Product, patch json.RawMessage) (wigeonshift.Product, error) {
	fields, err := object(path, patch)
	if err != nil {
		return p, err
	}
	if raw, ok := fields["tiers"]; ok {
		if p.Tiers, err = mergeMap(join(path, "tiers"), p.Tiers, raw, mergeLeaf[wigeonshift.Tier]); err != nil {
			return p, err
		}
	}
	if raw, ok := fields["organisations"]; ok {
		p.Organisations, err = mergeMap(join(path, "organisations"), p.Organisations, raw, mergeLeaf[wigeonshift.Organisation])
		if err != nil {
			return p, err
		}
	}
	if raw, ok := fields["services"]; ok {
		p.Services, err = mergeMap(join(path, "services"), p.Services, raw, mergeService)
	}
	return p, err
}

// mergeService merges the endpoints, which may be many, apart from the rest of a service.
func mergeService(path string, s wigeonshift.Service, patch json.RawMessage) (wigeonshift.Service, error) {
	fields, err := object(path, patch)
	if err != nil {
		return s, err
	}
	endpoints := s.Endpoints
	if raw, ok := fields["endpoints"]; ok {
		endpoints, err = mergeMap(join(path, "endpoints"), s.Endpoints, raw, mergeLeaf[wigeonshift.EndpointSpec])
		if err != nil {
			return s, err
		}
		delete(fields, "endpoints")
	}
	if len(fields) > 0 {
		rest, err := json.Marshal(fields)
		if err != nil {
			return s, invalid(path, "%s", err)
		}
		s.Endpoints = nil
		if s, err = mergeLeaf(path, s, rest); err != nil {
			return s, err
		}
	}
	s.Endpoints = endpoints
	return s, nil
}

// mergeLeaf merges a patch into one small value by way of its JSON.
func mergeLeaf[T any](path string, value T, patch json.RawMessage) (T, error) {
	var next T
	if _, err := object(path, patch); err != nil {
		return next, err
	}
	document, err := json.Marshal(value)
	if err != nil {
		return next, invalid(path, "%s", err)
	}
	merged, err := jsonpatch.MergePatch(document, patch)
	if err != nil {
		return next, invalid(path, "%s", err)
	}
	return next, decodeStrict(path, merged, &next)
}

// object decodes a JSON object one level deep.
func object(path string, raw []byte) (map[string]json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil || fields == nil {
		return nil, invalid(path, "expected an object")
	}
	return fields, nil
}

func isNull(raw []byte) bool {
	return bytes.Equal(bytes.TrimSpace(raw), []byte("null"))
}
