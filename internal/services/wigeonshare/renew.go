package wigeonshare

import (
	"context"
	"errors"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonstorecall"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
)

// errNoClock reports a store that doesn't tell the time.
var errNoClock = errors.New("store tells no time")

// errRestored reports that the store returned from an older copy during a renewal.
var errRestored = errors.New("store has returned from an older copy during the renewal")

// renew renews or gives up the lease in one transaction. It returns the time until the next renewal, or zero as
// renewUntilDone does.
func (s *Service) renew(ctx context.Context, release bool) (time.Duration, error) {
	ledger, revision, r, err := s.readLedger(ctx)
	if err != nil {
		return 0, err
	}
	r.release = release
	if !s.renewed {
		s.inherit(ledger, r)
		r.minHolders = s.instanceCount()
	}
	next, parts := ledger.renew(r)
	// Parts that are given up must not be used any more when the others may learn of it.
	s.hold(min(s.heldParts, parts), s.heldUntil)
	if err := s.writeLedger(ctx, next, revision); err != nil {
		return 0, err
	}
	s.renewed = true
	s.inheritedParts = min(s.inheritedParts, parts)
	s.hold(parts, s.leaseEnd(r))
	s.log.WithFields(logrus.Fields{
		"parts": parts, "fairParts": next.fairParts(r), "usedParts": next.usedParts(), "holders": next.otherHolders("", r.nowMillis),
		"inheritedParts": s.inheritedParts, "era": next.Era,
	}).Info("lease of the shared allowance renewed")
	if parts >= next.fairParts(r) {
		return renewInterval, nil
	}
	if free := next.nextFreeMillis(r.nowMillis, s.settings.Cooldown); free > 0 {
		return time.Duration(free-r.nowMillis) * time.Millisecond, nil
	}
	return 0, nil
}

// readLedger lists the ledger. It returns the ledger with its revision, and a renewal at the time of the store's answer.
func (s *Service) readLedger(ctx context.Context) (Ledger, uint64, renewal, error) {
	askedAt := s.settings.Clock()
	wigeonstorecall.Count(s.scope, wigeonshift.TableShares, wigeonstorecall.List)
	page, err := s.store.List(ctx, wigeonshift.TableShares)
	if err != nil {
		return Ledger{}, 0, renewal{}, err
	}
	if page.NowMillis <= 0 {
		return Ledger{}, 0, renewal{}, oops.In("share").Wrap(errNoClock)
	}
	now := s.settings.Clock()
	r := renewal{
		holder: s.settings.Holder, nowMillis: page.NowMillis, askedAt: askedAt, duration: leaseDuration, cooldown: s.settings.Cooldown,
		latestNowMillis: page.NowMillis + (now - askedAt).Milliseconds() + 1,
	}
	if now < s.heldUntil {
		r.heldParts = s.heldParts
	}
	ledger, revision, err := s.findLedger(page)
	switch {
	case err != nil:
		s.log.WithError(err).Error("replacing a malformed ledger")
		ledger = Ledger{GrowFromMillis: s.growFrom(r)}
	case ledger.Era != page.Era, revision == 0 && s.renewed:
		s.log.WithFields(logrus.Fields{"era": page.Era, "before": ledger.Era}).
			Warn("store has returned from an older copy; no lease grows until all lost ones have ended")
		ledger.GrowFromMillis = s.growFrom(r)
	}
	ledger.Era = page.Era
	return ledger, revision, r, nil
}

// findLedger returns the ledger among listed rows and its revision. If there is none, it returns zero and an empty ledger of
// the store's first era, in which the store has lost nothing.
func (s *Service) findLedger(page wigeonshift.TablePage) (Ledger, uint64, error) {
	for _, row := range page.Rows {
		if row.Key == ledgerKey {
			ledger, err := decodeLedger(row.Value)
			return ledger, row.Revision, err // A malformed ledger is replaced, so its revision matters too.
		}
	}
	return Ledger{}, 0, nil
}

// growFrom returns the time on the store's clock by which all leases that the store may have lost are over.
func (s *Service) growFrom(r renewal) int64 {
	return r.latestNowMillis + (r.duration + r.cooldown).Milliseconds()
}

// inherit takes over the lease of an earlier process with the same holder. What that process did may count until a cooldown
// after this one's start, and longer if the store may have lost a change of its lease.
func (s *Service) inherit(l Ledger, r renewal) {
	s.inheritedParts = l.activeLease(r.holder, r.nowMillis).Parts
	s.inheritedFrom = s.startedAt + s.settings.Cooldown
	if l.GrowFromMillis > r.nowMillis {
		s.inheritedFrom = s.settings.Clock() + time.Duration(l.GrowFromMillis-r.nowMillis)*time.Millisecond
	}
}

// writeLedger writes the ledger if it hasn't changed since it was read.
func (s *Service) writeLedger(ctx context.Context, l Ledger, revision uint64) error {
	value, err := l.encode()
	if err != nil {
		return oops.In("share").Wrap(err)
	}
	wigeonstorecall.Count(s.scope, wigeonshift.TableShares, wigeonstorecall.Write)
	era, err := s.store.Commit(ctx, wigeonshift.TableShares, wigeonshift.Transaction{
		Conditions: []wigeonshift.Condition{{Key: ledgerKey, Revision: revision}},
		Writes:     []wigeonshift.Write{{Key: ledgerKey, Value: value}},
	})
	if err == nil && era != l.Era {
		return oops.In("share").With("era", era).Wrap(errRestored)
	}
	return err
}

// leaseEnd returns the end of a new lease on the clock. It is at most as late as the end that the ledger tells.
func (s *Service) leaseEnd(r renewal) time.Duration {
	return r.askedAt + time.Duration(r.latestNowMillis-r.nowMillis)*time.Millisecond + leaseDuration - leaseMargin
}
