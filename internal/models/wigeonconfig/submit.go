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

// ErrVersionGap reports a change whose version does not directly follow the version of the configuration.
var ErrVersionGap = errors.New("change does not directly follow the configuration version")

// StaleBaseError reports a patch against a version that is not the newest. It wraps wigeonshift.ErrStaleBase.
type StaleBaseError struct {
	Base uint64
	// Head is the newest version.
	Head uint64
	// Changes are the changes made since the base, oldest first, at most MaxChangesPage.
	Changes []wigeonshift.Change
}

// Error returns a message with both versions.
func (e *StaleBaseError) Error() string {
	return fmt.Sprintf("%s: base %d, newest %d", wigeonshift.ErrStaleBase, e.Base, e.Head)
}

// Unwrap returns wigeonshift.ErrStaleBase.
func (e *StaleBaseError) Unwrap() error {
	return wigeonshift.ErrStaleBase
}

// Patch is a change to the configuration submitted by an operator.
type Patch struct {
	// ID is chosen by the operator's client, which uses the same id when it sends the patch again.
	ID     string
	Base   uint64
	Author string
	// Document is a JSON merge patch (RFC 7386).
	Document []byte
}

// Submit applies a patch if its base is the newest version, and returns the change and the new configuration. If the
// patch was accepted before, it returns the recorded change. Errors wrap ErrStaleBase, ErrInvalidConfiguration,
// ErrUnavailable, ErrThrottled (all without effect) or ErrOutcomeUnknown.
func (r *Repository) Submit(ctx context.Context, p Patch) (wigeonshift.Change, *wigeonshift.Configuration, error) {
	if err := checkPatchLimits(p); err != nil {
		return wigeonshift.Change{}, nil, err
	}
	h, err := r.Head(ctx)
	if err != nil {
		return wigeonshift.Change{}, nil, err
	}
	if h.Version != p.Base {
		return r.duplicateOrStale(ctx, p, h.Version)
	}
	next, err := r.applyAndCheck(ctx, p)
	if err != nil {
		return wigeonshift.Change{}, nil, err
	}
	ch := wigeonshift.Change{Version: next.Version, PatchID: p.ID, Author: p.Author, At: time.Now().UTC(), Patch: p.Document}
	err = r.commit(ctx, h, ch)
	if errors.Is(err, wigeonshift.ErrConditionFailed) {
		return r.duplicateOrStale(ctx, p, p.Base+1)
	}
	if err != nil {
		return wigeonshift.Change{}, nil, err
	}
	r.CacheIfNewer(next)
	return ch, next, nil
}

// Preview returns the configuration that Submit would store for a patch, without storing it.
func (r *Repository) Preview(ctx context.Context, p Patch) (*wigeonshift.Configuration, error) {
	if err := checkPatchLimits(p); err != nil {
		return nil, err
	}
	h, err := r.Head(ctx)
	if err != nil {
		return nil, err
	}
	if h.Version != p.Base {
		_, next, err := r.duplicateOrStale(ctx, p, h.Version)
		return next, err
	}
	return r.applyAndCheck(ctx, p)
}

// applyAndCheck applies a patch to its base version and checks the result.
func (r *Repository) applyAndCheck(ctx context.Context, p Patch) (*wigeonshift.Configuration, error) {
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

func checkPatchLimits(p Patch) error {
	switch {
	case p.ID == "" || len(p.ID) > MaxNameBytes:
		return invalidError("patchId", "must have 1 to %d bytes", MaxNameBytes)
	case len(p.Document) > MaxPatchBytes:
		return invalidError("patch", "must not exceed %d bytes", MaxPatchBytes)
	}
	return nil
}

// commit writes the change, its patch id and the new head in one transaction. The condition on the head's revision
// ensures that the transaction takes effect only once.
func (r *Repository) commit(ctx context.Context, h Head, ch wigeonshift.Change) error {
	change, err := json.Marshal(ch)
	if err != nil {
		return oops.In("configuration").Wrap(err)
	}
	versionRow, err := json.Marshal(patchRow{Version: ch.Version})
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
			{Key: patchPrefix + ch.PatchID, Value: versionRow},
			{Key: headKey, Value: versionRow},
		},
	}
	_, err = wigeonstore.CommitWithReadBack(ctx, r.table, tx, func(ctx context.Context) (bool, error) {
		found, err := r.findChangeByPatchID(ctx, ch.PatchID)
		if errors.Is(err, wigeonshift.ErrNotFound) {
			return false, nil
		}
		return found.Version == ch.Version, err
	})
	return err
}

// duplicateOrStale handles a patch whose base is no longer the newest version. It returns the recorded change if the
// patch was accepted before, and a StaleBaseError otherwise.
func (r *Repository) duplicateOrStale(ctx context.Context, p Patch, head uint64) (wigeonshift.Change, *wigeonshift.Configuration, error) {
	found, err := r.findChangeByPatchID(ctx, p.ID)
	if err == nil {
		if found.Version != p.Base+1 || string(found.Patch) != string(p.Document) {
			return wigeonshift.Change{}, nil, invalidError("patchId", "already used by another patch, version %d", found.Version)
		}
		c, err := r.LoadVersion(ctx, found.Version)
		return found, c, err
	}
	if !errors.Is(err, wigeonshift.ErrNotFound) {
		return wigeonshift.Change{}, nil, err
	}
	stale := &StaleBaseError{Base: p.Base, Head: head}
	if p.Base < head {
		if stale.Changes, err = r.Changes(ctx, p.Base, MaxChangesPage); err != nil {
			return wigeonshift.Change{}, nil, err
		}
		stale.Head = max(head, p.Base+uint64(len(stale.Changes)))
	}
	return wigeonshift.Change{}, nil, stale
}
