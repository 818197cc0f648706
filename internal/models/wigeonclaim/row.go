package wigeonclaim

import (
	"context"
	"encoding/json"
	"errors"

	"wigeonshift"

	"github.com/samber/oops"
)

// row is a claim as it stands in the table.
type row struct {
	wigeonshift.Claim
	// BodyObject is the object that holds the outcome's body; empty when the body stands in the row.
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

// bodyKey names the object of an outcome's body. The token keeps a later claim of the same key apart.
func bodyKey(c wigeonshift.Claim) string {
	return rowPrefix + c.Key + "/" + string(c.Token)
}

// withBody returns a claim with the body of its outcome. A repeat must get the whole answer or none, so a body that
// can't be read refuses it as not run.
func (s *Store) withBody(ctx context.Context, r row) (existing wigeonshift.Claim, free bool, err error) {
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

// outcomeRow returns the row of a claim's end, with a large body in the object store.
func (s *Store) outcomeRow(ctx context.Context, c wigeonshift.Claim) (row, error) {
	r := row{Claim: c}
	if len(c.Body) <= s.maxRowBody {
		return r, nil
	}
	r.BodyObject, r.Body = bodyKey(c), nil
	if err := s.objects.PutObject(ctx, r.BodyObject, c.Body); err != nil {
		return row{}, oops.In("claim").With("object", r.BodyObject).Wrap(err)
	}
	return r, nil
}
