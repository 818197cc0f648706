package wigeonconfig

import (
	"context"
	"encoding/json"
	"reflect"

	"wigeonshift"

	jsonpatch "github.com/evanphx/json-patch/v5"
	"github.com/samber/oops"
)

// diffFunc returns the merge patch that turns a into b, which must differ.
type diffFunc[T any] func(a, b T) (any, error)

// Diff returns the JSON merge patch that turns the content of configuration a into that of b.
func Diff(a, b *wigeonshift.Configuration) ([]byte, error) {
	products, err := diffMap(a.Products, b.Products, diffProduct)
	if err != nil {
		return nil, err
	}
	patch := map[string]any{}
	if len(products) > 0 {
		patch["products"] = products
	}
	return json.Marshal(patch)
}

func diffMap[T any](a, b map[string]T, d diffFunc[T]) (map[string]any, error) {
	patch := map[string]any{}
	for key := range a {
		if _, ok := b[key]; !ok {
			patch[key] = nil
		}
	}
	for key, to := range b {
		from, ok := a[key]
		if !ok {
			patch[key] = to
			continue
		}
		if reflect.DeepEqual(from, to) {
			continue
		}
		change, err := d(from, to)
		if err != nil {
			return nil, err
		}
		patch[key] = change
	}
	return patch, nil
}

func diffProduct(a, b wigeonshift.Product) (any, error) {
	tiers, err := diffMap(a.Tiers, b.Tiers, diffValue[wigeonshift.Tier])
	if err != nil {
		return nil, err
	}
	organisations, err := diffMap(a.Organisations, b.Organisations, diffValue[wigeonshift.Organisation])
	if err != nil {
		return nil, err
	}
	services, err := diffMap(a.Services, b.Services, diffService)
	if err != nil {
		return nil, err
	}
	patch := map[string]any{}
	for name, part := range map[string]map[string]any{"tiers": tiers, "organisations": organisations, "services": services} {
		if len(part) > 0 {
			patch[name] = part
		}
	}
	return patch, nil
}

func diffService(a, b wigeonshift.Service) (any, error) {
	endpoints, err := diffMap(a.Endpoints, b.Endpoints, diffValue[wigeonshift.EndpointSpec])
	if err != nil {
		return nil, err
	}
	a.Endpoints, b.Endpoints = nil, nil
	rest, err := createMergePatch(a, b)
	if err != nil {
		return nil, err
	}
	if len(endpoints) > 0 {
		rest["endpoints"] = endpoints
	}
	return rest, nil
}

func diffValue[T any](a, b T) (any, error) {
	return createMergePatch(a, b)
}

func createMergePatch(a, b any) (map[string]any, error) {
	from, err := json.Marshal(a)
	if err != nil {
		return nil, oops.In("configuration").Wrap(err)
	}
	to, err := json.Marshal(b)
	if err != nil {
		return nil, oops.In("configuration").Wrap(err)
	}
	raw, err := jsonpatch.CreateMergePatch(from, to)
	if err != nil {
		return nil, oops.In("configuration").Wrap(err)
	}
	var patch map[string]any
	if err := json.Unmarshal(raw, &patch); err != nil {
		return nil, oops.In("configuration").Wrap(err)
	}
	return patch, nil
}

// DiffVersions returns the JSON merge patch between two versions.
func (r *Repository) DiffVersions(ctx context.Context, from, to uint64) ([]byte, error) {
	a, err := r.LoadVersion(ctx, from)
	if err != nil {
		return nil, err
	}
	b, err := r.LoadVersion(ctx, to)
	if err != nil {
		return nil, err
	}
	return Diff(a, b)
}

// Rollback submits a patch that restores the content of version target. Like any patch, it needs the newest version as
// its base.
func (r *Repository) Rollback(ctx context.Context, p Patch, target uint64) (wigeonshift.Change, *wigeonshift.Configuration, error) {
	document, err := r.DiffVersions(ctx, p.Base, target)
	if err != nil {
		return wigeonshift.Change{}, nil, err
	}
	p.Document = document
	return r.Submit(ctx, p)
}
