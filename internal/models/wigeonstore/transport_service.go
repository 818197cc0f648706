package wigeonstore

import (
	"context"
	"encoding/json"
	"net/url"
	"time"

	"wigeonshift"

	"github.com/samber/oops"
	"github.com/valyala/fasthttp"
)

// Paths of the platform's HTTP protocol.
const (
	pathRow          = "/v1/table/row"
	pathRows         = "/v1/table/rows"
	pathTransactions = "/v1/table/transactions"
	pathObject       = "/v1/objects/object"
	pathObjects      = "/v1/objects"
	pathInstances    = "/v1/instances"
	pathReservations = "/v1/weights/reservations"
)

// Get returns a row.
func (t *Transport) Get(ctx context.Context, key string) (wigeonshift.Row, error) {
	c := call{method: fasthttp.MethodGet, path: pathRow, query: url.Values{"key": {key}}}
	body, err := t.do(ctx, c)
	return decodeResponse[wigeonshift.Row](c, body, err)
}

// Scan returns the rows with a key prefix in key order.
func (t *Transport) Scan(ctx context.Context, prefix, after string, limit int) ([]wigeonshift.Row, error) {
	c := call{method: fasthttp.MethodGet, path: pathRows, query: listQuery(prefix, after, limit)}
	body, err := t.do(ctx, c)
	response, err := decodeResponse[struct {
		Rows []wigeonshift.Row `json:"rows"`
	}](c, body, err)
	return response.Rows, err
}

// Commit applies a transaction.
func (t *Transport) Commit(ctx context.Context, tx wigeonshift.Transaction) ([]uint64, error) {
	payload, err := json.Marshal(tx)
	if err != nil {
		return nil, oops.In("store").Wrap(err)
	}
	c := call{method: fasthttp.MethodPost, path: pathTransactions, body: payload, write: true}
	body, err := t.do(ctx, c)
	response, err := decodeResponse[struct {
		Revisions []uint64 `json:"revisions"`
	}](c, body, err)
	return response.Revisions, err
}

// PutObject stores an object.
func (t *Transport) PutObject(ctx context.Context, key string, value []byte) error {
	query := url.Values{"key": {key}}
	_, err := t.do(ctx, call{method: fasthttp.MethodPut, path: pathObject, query: query, body: value, write: true})
	return err
}

// GetObject returns an object.
func (t *Transport) GetObject(ctx context.Context, key string) ([]byte, error) {
	return t.do(ctx, call{method: fasthttp.MethodGet, path: pathObject, query: url.Values{"key": {key}}})
}

// ListObjects returns object keys in order.
func (t *Transport) ListObjects(ctx context.Context, prefix, after string, limit int) ([]string, error) {
	c := call{method: fasthttp.MethodGet, path: pathObjects, query: listQuery(prefix, after, limit)}
	body, err := t.do(ctx, c)
	response, err := decodeResponse[struct {
		Keys []string `json:"keys"`
	}](c, body, err)
	return response.Keys, err
}

// DeleteObject removes an object.
func (t *Transport) DeleteObject(ctx context.Context, key string) error {
	query := url.Values{"key": {key}}
	_, err := t.do(ctx, call{method: fasthttp.MethodDelete, path: pathObject, query: query, write: true})
	return err
}

// Instances returns the platform's list of instances, which may be out of date.
func (t *Transport) Instances(ctx context.Context) ([]wigeonshift.Instance, error) {
	c := call{method: fasthttp.MethodGet, path: pathInstances}
	body, err := t.do(ctx, c)
	response, err := decodeResponse[struct {
		Instances []wigeonshift.Instance `json:"instances"`
	}](c, body, err)
	return response.Instances, err
}

// Reserve requests a slot to load the weights of a model.
func (t *Transport) Reserve(ctx context.Context, model string) (time.Duration, error) {
	payload, err := json.Marshal(struct {
		Model string `json:"model"`
	}{model})
	if err != nil {
		return 0, oops.In("store").Wrap(err)
	}
	c := call{method: fasthttp.MethodPost, path: pathReservations, body: payload, write: true}
	body, err := t.do(ctx, c)
	response, err := decodeResponse[struct {
		WaitMS int64 `json:"waitMs"`
	}](c, body, err)
	return time.Duration(response.WaitMS) * time.Millisecond, err
}
