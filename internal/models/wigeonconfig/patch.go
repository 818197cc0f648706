package wigeonconfig

import (
	"bytes"
	"encoding/json"
	"maps"

	"wigeonshift"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Apply applies a JSON merge patch (RFC 7386) and returns the new configuration with the next version. It does not
// modify c, and the result shares the parts that the patch does not change. The result is not checked.
//
// The patch is applied to the typed document map by map, so that the cost grows with the size of the changed maps and
// not with the size of the document.
func Apply(c *wigeonshift.Configuration, patch []byte) (*wigeonshift.Configuration, error) {
	if err := checkPatchKeys(patch); err != nil {
		return nil, err
	}
	fields, err := decodeObject("", patch)
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

// mergeFunc applies a non-null patch to one value.
type mergeFunc[T any] func(path string, value T, patch json.RawMessage) (T, error)

// mergeMap applies a patch to a map. A null value removes its key; any other value is merged into the existing entry.
func mergeMap[T any](path string, current map[string]T, patch json.RawMessage, m mergeFunc[T]) (map[string]T, error) {
	if isNull(patch) {
		return nil, nil
	}
	fields, err := decodeObject(path, patch)
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
		value, err := m(joinPath(path, key), current[key], raw)
		if err != nil {
			return nil, err
		}
		next[key] = value
	}
	return next, nil
}

func mergeProduct(path string, p wigeonshift.Product, patch json.RawMessage) (wigeonshift.Product, error) {
	fields, err := decodeObject(path, patch)
	if err != nil {
		return p, err
	}
	if raw, ok := fields["tiers"]; ok {
		if p.Tiers, err = mergeMap(joinPath(path, "tiers"), p.Tiers, raw, mergeValue[wigeonshift.Tier]); err != nil {
			return p, err
		}
	}
	if raw, ok := fields["organisations"]; ok {
		p.Organisations, err = mergeMap(joinPath(path, "organisations"), p.Organisations, raw, mergeValue[wigeonshift.Organisation])
		if err != nil {
			return p, err
		}
	}
	if raw, ok := fields["services"]; ok {
		p.Services, err = mergeMap(joinPath(path, "services"), p.Services, raw, mergeService)
	}
	return p, err
}

// mergeService merges the endpoints one by one, because there may be many, and the other fields as one JSON value.
func mergeService(path string, s wigeonshift.Service, patch json.RawMessage) (wigeonshift.Service, error) {
	fields, err := decodeObject(path, patch)
	if err != nil {
		return s, err
	}
	endpoints := s.Endpoints
	if raw, ok := fields["endpoints"]; ok {
		endpoints, err = mergeMap(joinPath(path, "endpoints"), s.Endpoints, raw, mergeValue[wigeonshift.EndpointSpec])
		if err != nil {
			return s, err
		}
		delete(fields, "endpoints")
	}
	if len(fields) > 0 {
		rest, err := json.Marshal(fields)
		if err != nil {
			return s, invalidError(path, "%s", err)
		}
		s.Endpoints = nil
		if s, err = mergeValue(path, s, rest); err != nil {
			return s, err
		}
	}
	s.Endpoints = endpoints
	return s, nil
}

// mergeValue merges a patch into a small value by encoding the value as JSON and decoding the result.
func mergeValue[T any](path string, value T, patch json.RawMessage) (T, error) {
	var next T
	if _, err := decodeObject(path, patch); err != nil {
		return next, err
	}
	document, err := json.Marshal(value)
	if err != nil {
		return next, invalidError(path, "%s", err)
	}
	merged, err := jsonpatch.MergePatch(document, patch)
	if err != nil {
		return next, invalidError(path, "%s", err)
	}
	return next, decodeStrict(path, merged, &next)
}

// decodeObject decodes the top level of a JSON object.
func decodeObject(path string, raw []byte) (map[string]json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil || fields == nil {
		return nil, invalidError(path, "expected an object")
	}
	return fields, nil
}

func isNull(raw []byte) bool {
	return bytes.Equal(bytes.TrimSpace(raw), []byte("null"))
}
