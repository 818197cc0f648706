package wigeonclaim

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"wigeonshift"
)

// Limits of a sweep.
const (
	// sweepPageSize and maxSweepPages limit the number of claims removed in one sweep.
	sweepPageSize    = 100
	maxSweepPages    = 10
	sweepTimeout     = 10 * time.Second
	secondsPerMinute = 60
)

// sweeper removes expired claims. It finds them through an index of rows ordered by the minute of expiry, so that its
// cost grows with the number of expired claims and not with the number of stored claims.
type sweeper struct {
	store *Store
}

// expiryIndexKey returns the key of a claim's entry in the expiry index.
func expiryIndexKey(expires time.Time, key string) string {
	return fmt.Sprintf("%s%012d/%s", expiryIndexPrefix, max(0, expires.Unix()/secondsPerMinute), key)
}

// parseExpiryIndexKey returns the end of the minute in which the claim expires, and the key of the claim.
func parseExpiryIndexKey(index string) (expires time.Time, key string, ok bool) {
	number, key, ok := strings.Cut(strings.TrimPrefix(index, expiryIndexPrefix), "/")
	minutes, err := strconv.ParseInt(number, 10, 64)
	return time.Unix((minutes+1)*secondsPerMinute, 0), key, ok && err == nil
}

func (w *sweeper) run(ctx context.Context) {
	t := time.NewTicker(w.store.sweepPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if w.store.shouldSweep() {
				w.sweep(ctx)
			}
		}
	}
}

// sweep removes expired claims. It reads only the first index entry to find out whether any claim has expired.
func (w *sweeper) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	first, err := w.store.table.Scan(ctx, expiryIndexPrefix, "", 1)
	if err != nil || len(w.expired(first)) == 0 {
		return
	}
	for range maxSweepPages {
		page, err := w.store.table.Scan(ctx, expiryIndexPrefix, "", sweepPageSize)
		if err != nil {
			return
		}
		expired := w.expired(page)
		if !w.remove(ctx, expired) || len(expired) < sweepPageSize {
			return
		}
	}
}

// expired returns the leading entries of a page whose expiry time plus grace period has passed.
func (w *sweeper) expired(page []wigeonshift.Row) []wigeonshift.Row {
	for n, entry := range page {
		expires, _, ok := parseExpiryIndexKey(entry.Key)
		if ok && time.Now().Before(expires.Add(expiryGrace)) {
			return page[:n]
		}
	}
	return page
}

// remove deletes index entries and their claims in one transaction and reports whether that succeeded. If a claim
// changes in the meantime, the transaction fails and the next sweep handles the claim again.
func (w *sweeper) remove(ctx context.Context, entries []wigeonshift.Row) bool {
	tx := wigeonshift.Transaction{}
	var objects []string
	seen := map[string]bool{}
	for _, entry := range entries {
		tx.Writes = append(tx.Writes, wigeonshift.Write{Key: entry.Key, Delete: true})
		_, key, _ := parseExpiryIndexKey(entry.Key)
		if seen[key] {
			continue
		}
		seen[key] = true
		stored, err := w.store.read(ctx, claimPrefix+key)
		if err != nil {
			return false
		}
		if stored.Revision == 0 {
			continue
		}
		r, err := decodeRow(stored)
		if err != nil {
			w.store.log.WithError(err).Error("failed to decode a claim")
			continue
		}
		tx.Conditions = append(tx.Conditions, wigeonshift.Condition{Key: stored.Key, Revision: stored.Revision})
		if time.Now().Before(r.Expires.Add(expiryGrace)) {
			// The key was claimed again, so it also has a later index entry.
			tx.Writes = append(tx.Writes, wigeonshift.Write{Key: expiryIndexKey(r.Expires, key)})
			continue
		}
		tx.Writes = append(tx.Writes, wigeonshift.Write{Key: stored.Key, Delete: true})
		if r.BodyObject != "" {
			objects = append(objects, r.BodyObject)
		}
	}
	if _, err := w.store.table.Commit(ctx, tx); err != nil {
		w.store.log.WithError(err).Debug("failed to remove expired claims")
		return false
	}
	w.store.scope.Counter("claimExpired").Inc(int64(len(entries)))
	w.removeObjects(ctx, objects)
	return true
}

// removeObjects deletes the body objects of removed claims. An object that cannot be deleted is left behind because no
// row refers to it any more.
func (w *sweeper) removeObjects(ctx context.Context, objects []string) {
	for _, o := range objects {
		if err := w.store.objects.DeleteObject(ctx, o); err != nil {
			w.store.log.WithError(err).WithField("object", o).Warn("failed to remove the body object of an expired claim")
		}
	}
}
