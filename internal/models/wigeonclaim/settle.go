package wigeonclaim

import (
	"context"
	"errors"

	"wigeonshift"

	"github.com/samber/oops"
)

// Settle records the end of a claim. Releasing a claim that isn't there leaves a released row, so that a write of
// the claim that is still on its way can't take effect any more.
func (s *Store) Settle(ctx context.Context, c wigeonshift.Claim) error {
	r, err := s.outcomeRow(ctx, c)
	if err != nil {
		return err
	}
	value, err := encodeRow(r)
	if err != nil {
		return err
	}
	key := rowPrefix + c.Key
	revision, known := s.revisions.Get(c.Token)
	if !known || revision == 0 {
		current, err := s.table.Get(ctx, key)
		if err != nil && !errors.Is(err, wigeonshift.ErrNotFound) {
			return oops.In("claim").Wrap(err)
		}
		if done, err := s.settled(current, c); done || err != nil {
			return err
		}
		revision = current.Revision
	}
	for range maxRounds {
		o := &operation{key: key, revision: revision, value: value}
		if revision == 0 {
			o.index = indexKey(c.Expires, c.Key)
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
		if done, err := s.settled(result.current, c); done || err != nil {
			return err
		}
		revision = result.current.Revision
	}
	return oops.In("claim").Wrap(wigeonshift.ErrThrottled)
}

// settled reports whether nothing is left to write, seeing the row that stands.
func (s *Store) settled(current wigeonshift.Row, c wigeonshift.Claim) (bool, error) {
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
		// The key belongs to another attempt: nothing of this one stands.
		return true, nil
	default:
		return false, oops.In("claim").With("key", c.Key).Wrap(errors.Join(wigeonshift.ErrConditionFailed, errLostClaim))
	}
}

var errLostClaim = errors.New("another attempt holds the key")
