package wigeonconfig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonstore"

	"github.com/samber/oops"
)

// ErrGap reports changes that don't follow the configuration at hand.
var ErrGap = errors.New("change doesn't follow the configuration")

// StaleBaseError reports a patch against a version that is not the newest. It wraps wigeonshift.ErrStaleBase.
type StaleBaseError struct {
	Base uint64
	// Head is the newest version.
	Head uint64
	// Changes are those made since the base, oldest first, at most MaxHistory.
	Changes []wigeonshift.Change
}

// Error names both versions.
func (e *StaleBaseError) Error() string {
	return fmt.Sprintf("%s: base %d, newest %d", wigeonshift.ErrStaleBase, e.Base, e.Head)
}

// Unwrap returns the sentinel.
func (e *StaleBaseError) Unwrap() error {
	return wigeonshift.ErrStaleBase
}

// Patch is an operator's wish to change the configuration.
type Patch struct {
	// ID is chosen by the operator's client and stays the same when it sends the patch again.
	ID     string
	Base   uint64
	Author string
	// Document is a JSON merge patch (RFC 7386).
	Document []byte
}

// Submit applies a patch to the newest configuration if that is the patch's base, and returns the change and the new
// configuration. A patch that was accepted before is answered like the first time. Errors wrap ErrStaleBase,
// ErrInvalidConfiguration, ErrUnavailable, ErrThrottled (all without effect) or ErrOutcomeUnknown.
func (r *Repository) Submit(ctx context.Context, p Patch) (wigeonshift.Change, *wigeonshift.Configuration, error) {
	if err := checkPatch(p); err != nil {
		return wigeonshift.Change{}, nil, err
	}
	h, err := r.Head(ctx)
	if err != nil {
		return wigeonshift.Change{}, nil, err
	}
	if h.Version != p.Base {
		return r.repeatedOrStale(ctx, p, h.Version)
	}
	next, err := r.patched(ctx, p)
	if err != nil {
		return wigeonshift.Change{}, nil, err
	}
	ch := wigeonshift.Change{Version: next.Version, PatchID: p.ID, Author: p.Author, At: time.Now().UTC(), Patch: p.Document}
	err = r.commit(ctx, h, ch)
	if errors.Is(err, wigeonshift.ErrConditionFailed) {
		return r.repeatedOrStale(ctx, p, p.Base+1)
	}
	if err != nil {
		return wigeonshift.Change{}, nil, err
	}
	r.Observe(next)
	return ch, next, nil
}

// Preview returns the configuration that Submit would make of a patch, and changes nothing.
func (r *Repository) Preview(ctx context.Context, p Patch) (*wigeonshift.Configuration, error) {
	if err := checkPatch(p); err != nil {
		return nil, err
	}
	h, err := r.Head(ctx)
	if err != nil {
		return nil, err
	}
	if h.Version != p.Base {
		_, next, err := r.repeatedOrStale(ctx, p, h.Version)
		return next, err
	}
	return r.patched(ctx, p)
}

// patched applies a patch to its base and checks the result.
func (r *Repository) patched(ctx context.Context, p Patch) (*wigeonshift.Configuration, error) {
	current, err := r.LoadVersion(ctx, p.Base)
	if err != nil {
		return nil, err
	}
	next, err := Apply(current, p.Document)
	if err != nil {
		return nil, err
	}
	return next, Check(next)
}

func checkPatch(p Patch) error {
	switch {
	case p.ID == "" || len(p.ID) > MaxNameLength:
		return invalid("patchId", "must have 1 to %d bytes", MaxNameLength)
	case len(p.Document) > MaxPatchBytes:
		return invalid("patch", "must not exceed %d bytes", MaxPatchBytes)
	}
	return nil
}

// commit writes the change, its patch id and the moved head in one transaction. The head's revision makes sure that
// it takes effect only once.
func (r *Repository) commit(ctx context.Context, h Head, ch wigeonshift.Change) error {
	change, err := json.Marshal(ch)
	if err != nil {
		return oops.In("configuration").Wrap(err)
	}
	number, err := json.Marshal(patchRow{Version: ch.Version})
	if err != nil {
		return oops.In("configuration").Wrap(err)
	}
	tx := wigeonshift.Transaction{
		Conditions: []wigeonshift.Condition{
			{Key: headKey, Revision: h.revision},
			{Key: changeKey(ch.Version)},
			{Key: patchPrefix + ch.PatchID},
		},
		Writes: []wigeonshift.Write{
			{Key: changeKey(ch.Version), Value: change},
			{Key: patchPrefix + ch.PatchID, Value: number},
			{Key: headKey, Value: number},
		},
	}
	_, err = wigeonstore.CommitSettled(ctx, r.table, tx, func(ctx context.Context) (bool, error) {
		found, err := r.findPatch(ctx, ch.PatchID)
		if errors.Is(err, wigeonshift.ErrNotFound) {
			return false, nil
		}
		return found.Version == ch.Version, err
	})
	return err
}

// repeatedOrStale answers a patch whose base is no longer the newest: either it was accepted before, or it is stale.
func (r *Repository) repeatedOrStale(ctx context.Context, p Patch, head uint64) (wigeonshift.Change, *wigeonshift.Configuration, error) {
	found, err := r.findPatch(ctx, p.ID)
	if err == nil {
		if found.Version != p.Base+1 || string(found.Patch) != string(p.Document) {
			return wigeonshift.Change{}, nil, invalid("patchId", "used before for another patch, version %d", found.Version)
		}
		c, err := r.LoadVersion(ctx, found.Version)
		return found, c, err
	}
	if !errors.Is(err, wigeonshift.ErrNotFound) {
		return wigeonshift.Change{}, nil, err
	}
	stale := &StaleBaseError{Base: p.Base, Head: head}
	if p.Base < head {
		if stale.Changes, err = r.Changes(ctx, p.Base, MaxHistory); err != nil {
			return wigeonshift.Change{}, nil, err
		}
		stale.Head = max(head, p.Base+uint64(len(stale.Changes)))
	}
	return wigeonshift.Change{}, nil, stale
}
