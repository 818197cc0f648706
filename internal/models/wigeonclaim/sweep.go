package wigeonclaim

import (
	"context"
	"time"

	"wigeonshift"
)

// Bounds of the sweep.
const (
	// sweepPage is the number of rows read in one sweep period, which bounds the rate of the sweep.
	sweepPage    = 200
	sweepTimeout = 10 * time.Second
)

// sweeper removes expired claims, page after page over all keys.
type sweeper struct {
	store *Store
	after string
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

// sweep reads one page and removes what has expired in it, unless the row changed meanwhile.
func (w *sweeper) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	rows, err := w.store.table.Scan(ctx, rowPrefix, w.after, sweepPage)
	if err != nil {
		return
	}
	w.after = ""
	if len(rows) == sweepPage {
		w.after = rows[len(rows)-1].Key
	}
	tx := wigeonshift.Transaction{}
	var objects []string
	for _, stored := range rows {
		r, err := decodeRow(stored)
		if err != nil {
			w.store.log.WithError(err).Error("claim can't be read")
			continue
		}
		if time.Now().Before(r.Expires.Add(expiryGrace)) {
			continue
		}
		tx.Conditions = append(tx.Conditions, wigeonshift.Condition{Key: stored.Key, Revision: stored.Revision})
		tx.Writes = append(tx.Writes, wigeonshift.Write{Key: stored.Key, Delete: true})
		if r.BodyObject != "" {
			objects = append(objects, r.BodyObject)
		}
	}
	w.remove(ctx, tx, objects)
}

// remove deletes rows and then their objects. What fails is found again by the next sweep over all keys, except an
// object whose row is gone already.
func (w *sweeper) remove(ctx context.Context, tx wigeonshift.Transaction, objects []string) {
	if len(tx.Writes) == 0 {
		return
	}
	if _, err := w.store.table.Commit(ctx, tx); err != nil {
		w.store.log.WithError(err).Debug("expired claims not removed")
		return
	}
	w.store.scope.Counter("claimExpired").Inc(int64(len(tx.Writes)))
	for _, o := range objects {
		if err := w.store.objects.DeleteObject(ctx, o); err != nil {
			w.store.log.WithError(err).WithField("object", o).Warn("body of an expired claim not removed")
		}
	}
}
