package wigeonclaim

import (
	"context"
	"errors"

	"wigeonshift"

	"github.com/samber/oops"
)

// Settle records the outcome or the release of a claim. Releasing a claim that is not in the table writes a released
// row, so that a delayed write of the same claim can no longer take effect.
func (s *Store) Settle(ctx context.Context, c wigeonshift.Claim) error {
	r, err := s.newOutcomeRow(ctx, c)
	if err != nil {
		return err
	}
	value, err := encodeRow(r)
	if err != nil {
		return err
	}
	key := claimPrefix + c.Key
	revision, known := s.revisions.Get(c.Token)
	if !known || revision == 0 {
		current, err := s.table.Get(ctx, key)
		if err != nil && !errors.Is(err, wigeonshift.ErrNotFound) {
			return oops.In("claim").Wrap(err)
		}
		if done, err := s.alreadySettled(current, c); done || err != nil {
			return err
		}
		revision = current.Revision
	}
	for range maxWriteAttempts {
		o := &conditionalWrite{key: key, revision: revision, value: value}
		if revision == 0 {
			o.indexKey = expiryIndexKey(c.Expires, c.Key)
		}
		result := s.write(ctx, o)
		if result.err == nil {
			s.revisions.Remove(c.Token)
			s.count("claimSettled", string(c.State))
			return nil
		}
		if !errors.Is(result.err, wigeonshift.ErrConditionFailed) {
			return result.err
		}
		if done, err := s.alreadySettled(result.current, c); done || err != nil {
			return err
		}
		revision = result.current.Revision
	}
	return oops.In("claim").Wrap(wigeonshift.ErrThrottled)
}

// alreadySettled reports whether the current row makes the write of claim c unnecessary. It returns an error if c is an
// outcome and another attempt holds the key.
func (s *Store) alreadySettled(current wigeonshift.Row, c wigeonshift.Claim) (bool, error) {
	if current.Revision == 0 {
		return false, nil
	}
	r, err := decodeRow(current)
	if err != nil {
		return false, err
	}
	switch {
	case r.Token == c.Token:
		return r.State == c.State, nil
	case c.State == wigeonshift.ClaimReleased:
		// Another attempt holds the key, so nothing of this attempt is stored.
		return true, nil
	default:
		return false, oops.In("claim").With("key", c.Key).Wrap(errors.Join(wigeonshift.ErrConditionFailed, errHeldByOther))
	}
}

var errHeldByOther = errors.New("another attempt holds the claim key")
