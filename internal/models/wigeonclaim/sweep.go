package wigeonclaim

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"wigeonshift"
)

// Bounds of the sweep.
const (
	// sweepPage and sweepPages bound the claims removed in one period.
	sweepPage    = 100
	sweepPages   = 10
	sweepTimeout = 10 * time.Second
	minute       = 60
)

// sweeper removes expired claims. It finds them by rows that order all claims by the minute of their expiry, so that
// its cost grows with the claims that expire and not with those that stand.
type sweeper struct {
	store *Store
}

// indexKey names the entry of a claim by its expiry.
func indexKey(expires time.Time, key string) string {
	return fmt.Sprintf("%s%012d/%s", indexPrefix, max(0, expires.Unix()/minute), key)
}

// parseIndexKey returns the minute of expiry, in its end, and the claim's key.
func parseIndexKey(index string) (expires time.Time, key string, ok bool) {
	number, key, ok := strings.Cut(strings.TrimPrefix(index, indexPrefix), "/")
	minutes, err := strconv.ParseInt(number, 10, 64)
	return time.Unix((minutes+1)*minute, 0), key, ok && err == nil
}

func (w *sweeper) run(ctx context.Context) {
	t := time.NewTicker(w.store.sweepPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if w.store.sweeps() {
				w.sweep(ctx)
			}
		}
	}
}

// sweep removes what has expired. It looks at the first entry alone to see whether there is any.
func (w *sweeper) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	first, err := w.store.table.Scan(ctx, indexPrefix, "", 1)
	if err != nil || len(w.due(first)) == 0 {
		return
	}
	for range sweepPages {
		page, err := w.store.table.Scan(ctx, indexPrefix, "", sweepPage)
		if err != nil {
			return
		}
		due := w.due(page)
		if !w.remove(ctx, due) || len(due) < sweepPage {
			return
		}
	}
}

// due returns the entries whose time and grace have passed.
func (w *sweeper) due(page []wigeonshift.Row) []wigeonshift.Row {
	for n, entry := range page {
		expires, _, ok := parseIndexKey(entry.Key)
		if ok && time.Now().Before(expires.Add(expiryGrace)) {
			return page[:n]
		}
	}
	return page
}

// remove deletes entries and the claims they name, and reports whether it did. A claim that changed meanwhile makes
// the transaction fail, and the next sweep sees it anew.
func (w *sweeper) remove(ctx context.Context, due []wigeonshift.Row) bool {
	tx := wigeonshift.Transaction{}
	var objects []string
	seen := map[string]bool{}
	for _, entry := range due {
		tx.Writes = append(tx.Writes, wigeonshift.Write{Key: entry.Key, Delete: true})
		_, key, _ := parseIndexKey(entry.Key)
		if seen[key] {
			continue
		}
		seen[key] = true
		stored, err := w.store.read(ctx, rowPrefix+key)
		if err != nil {
			return false
		}
		if stored.Revision == 0 {
			continue
		}
		r, err := decodeRow(stored)
		if err != nil {
			w.store.log.WithError(err).Error("claim can't be read")
			continue
		}
		tx.Conditions = append(tx.Conditions, wigeonshift.Condition{Key: stored.Key, Revision: stored.Revision})
		if time.Now().Before(r.Expires.Add(expiryGrace)) {
			// The key was claimed anew, and has a later entry too.
			tx.Writes = append(tx.Writes, wigeonshift.Write{Key: indexKey(r.Expires, key)})
			continue
		}
		tx.Writes = append(tx.Writes, wigeonshift.Write{Key: stored.Key, Delete: true})
		if r.BodyObject != "" {
			objects = append(objects, r.BodyObject)
		}
	}
	if _, err := w.store.table.Commit(ctx, tx); err != nil {
		w.store.log.WithError(err).Debug("expired claims not removed")
		return false
	}
	w.store.scope.Counter("claimExpired").Inc(int64(len(due)))
	w.removeObjects(ctx, objects)
	return true
}

// removeObjects deletes the bodies of removed claims. One that fails stays behind, as nothing names it any more.
func (w *sweeper) removeObjects(ctx context.Context, objects []string) {
	for _, o := range objects {
		if err := w.store.objects.DeleteObject(ctx, o); err != nil {
			w.store.log.WithError(err).WithField("object", o).Warn("body of an expired claim not removed")
		}
	}
}
