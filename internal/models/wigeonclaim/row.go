package wigeonclaim

import (
	"context"
	"encoding/json"
	"errors"

	"wigeonshift"

	"github.com/samber/oops"
)

// row is the stored form of a claim in the table.
type row struct {
	wigeonshift.Claim
	// BodyObject is the key of the object that holds the body of the outcome; empty if the body is in the row.
	BodyObject string `json:"bodyObject,omitempty"`
}

func encodeRow(r row) ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, oops.In("claim").Wrap(err)
	}
	return value, nil
}

func decodeRow(stored wigeonshift.Row) (row, error) {
	var r row
	if err := json.Unmarshal(stored.Value, &r); err != nil {
		return row{}, oops.In("claim").With("key", stored.Key).Wrap(err)
	}
	return r, nil
}

// bodyObjectKey returns the object key for the body of an outcome. It contains the attempt token because the same
// idempotency key may be claimed again later.
func bodyObjectKey(c wigeonshift.Claim) string {
	return claimPrefix + c.Key + "/" + string(c.Token)
}

// loadBody returns the claim of a row together with the body of its outcome. A repeated request must get the complete
// recorded response or none, so a body that cannot be read is an error that wraps ErrUnavailable. free is always false.
func (s *Store) loadBody(ctx context.Context, r row) (existing wigeonshift.Claim, free bool, err error) {
	if r.BodyObject == "" {
		return r.Claim, false, nil
	}
	body, err := s.objects.GetObject(ctx, r.BodyObject)
	if err != nil {
		return wigeonshift.Claim{}, false, oops.In("claim").With("object", r.BodyObject).
			Wrap(errors.Join(wigeonshift.ErrUnavailable, err))
	}
	r.Body = body
	return r.Claim, false, nil
}

// newOutcomeRow returns the row for a settled claim. It stores a body larger than maxRowBodyBytes as an object.
func (s *Store) newOutcomeRow(ctx context.Context, c wigeonshift.Claim) (row, error) {
	r := row{Claim: c}
	if len(c.Body) <= s.maxRowBodyBytes {
		return r, nil
	}
	r.BodyObject, r.Body = bodyObjectKey(c), nil
	if err := s.objects.PutObject(ctx, r.BodyObject, c.Body); err != nil {
		return row{}, oops.In("claim").With("object", r.BodyObject).Wrap(err)
	}
	return r, nil
}
