package wigeonconfig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"wigeonshift"

	"github.com/samber/oops"
)

// Table and object keys of the configuration.
const (
	headKey        = "config/head"
	changePrefix   = "config/change/"
	patchPrefix    = "config/patch/"
	snapshotPrefix = "config/snapshot/"
)

// Limits of the change log.
const (
	// MaxPatchBytes is the maximum size of a patch; it keeps a change below the platform's row size limit.
	MaxPatchBytes = 512 << 10
	// MaxChangesPage is the maximum number of changes in one page of the change log.
	MaxChangesPage = 200
	// changePageSize is the number of changes read per scan when a configuration is loaded.
	changePageSize = 100
)

// Head is the row that holds the newest version.
type Head struct {
	Version uint64 `json:"version"`
	// revision is the revision of the head row; 0 before the first patch.
	revision uint64
}

// patchRow is the row stored under a patch id. It shows whether a patch with an unknown outcome was accepted.
type patchRow struct {
	Version uint64 `json:"version"`
}

func changeKey(version uint64) string {
	return fmt.Sprintf("%s%020d", changePrefix, version)
}

func snapshotKey(version uint64) string {
	return fmt.Sprintf("%s%020d", snapshotPrefix, version)
}

func snapshotVersion(key string) (uint64, error) {
	return strconv.ParseUint(strings.TrimPrefix(key, snapshotPrefix), 10, 64)
}

// Head reads the head row. Its version is 0 before the first patch.
func (r *Repository) Head(ctx context.Context) (Head, error) {
	row, err := r.table.Get(ctx, headKey)
	if errors.Is(err, wigeonshift.ErrNotFound) {
		return Head{}, nil
	}
	if err != nil {
		return Head{}, oops.In("configuration").Wrap(err)
	}
	h := Head{revision: row.Revision}
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return Head{}, oops.In("configuration").With("key", headKey).Wrap(err)
	}
	return h, nil
}

// Changes reads up to limit changes after a version, oldest first. A gap between versions is an error.
func (r *Repository) Changes(ctx context.Context, after uint64, limit int) ([]wigeonshift.Change, error) {
	rows, err := r.table.Scan(ctx, changePrefix, changeKey(after), limit)
	if err != nil {
		return nil, oops.In("configuration").Wrap(err)
	}
	changes := make([]wigeonshift.Change, len(rows))
	for i, row := range rows {
		if err := json.Unmarshal(row.Value, &changes[i]); err != nil {
			return nil, oops.In("configuration").With("key", row.Key).Wrap(err)
		}
		if changes[i].Version != after+uint64(i)+1 {
			return nil, oops.In("configuration").With("key", row.Key).Errorf("change log has a gap after version %d", after+uint64(i))
		}
	}
	return changes, nil
}

// findChangeByPatchID returns the change made by the patch with an id, or ErrNotFound.
func (r *Repository) findChangeByPatchID(ctx context.Context, patchID string) (wigeonshift.Change, error) {
	row, err := r.table.Get(ctx, patchPrefix+patchID)
	if err != nil {
		return wigeonshift.Change{}, oops.In("configuration").Wrap(err)
	}
	var p patchRow
	if err := json.Unmarshal(row.Value, &p); err != nil {
		return wigeonshift.Change{}, oops.In("configuration").With("key", row.Key).Wrap(err)
	}
	return r.loadChange(ctx, p.Version)
}

func (r *Repository) loadChange(ctx context.Context, version uint64) (wigeonshift.Change, error) {
	var ch wigeonshift.Change
	row, err := r.table.Get(ctx, changeKey(version))
	if err != nil {
		return ch, oops.In("configuration").Wrap(err)
	}
	if err := json.Unmarshal(row.Value, &ch); err != nil {
		return ch, oops.In("configuration").With("key", row.Key).Wrap(err)
	}
	return ch, nil
}

// newestSnapshot returns the version of the newest snapshot that is not newer than a version, or 0 if there is none.
func (r *Repository) newestSnapshot(ctx context.Context, version uint64) (uint64, error) {
	newest := uint64(0)
	after := ""
	for {
		keys, err := r.objects.ListObjects(ctx, snapshotPrefix, after, MaxChangesPage)
		if err != nil {
			return 0, oops.In("configuration").Wrap(err)
		}
		for _, k := range keys {
			v, err := snapshotVersion(k)
			if err == nil && v <= version {
				newest = max(newest, v)
			}
		}
		if len(keys) < MaxChangesPage {
			return newest, nil
		}
		after = slices.Max(keys)
	}
}
