package wigeonquarantine

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"wigeonshift"
)

// ErrMalformedRow reports a row that describes no crash.
var ErrMalformedRow = errors.New("malformed crash row")

// rowValue is the value of a crash row. The key holds the fingerprint and the endpoint: instances that notice the same
// crash write the same row, and rows of different crashes never conflict.
type rowValue struct {
	At     time.Time `json:"at"`
	MidRun bool      `json:"midRun,omitempty"`
	// Content, Query and Headers are what the request shares with others.
	Content wigeonshift.Fingerprint `json:"content,omitempty"`
	Query   wigeonshift.Fingerprint `json:"query,omitempty"`
	Headers wigeonshift.Fingerprint `json:"headers,omitempty"`
}

// keySeparator stands between the fingerprint and the endpoint in a row key.
const keySeparator = "/"

// RowKey returns the key of the row for a crash.
func RowKey(c wigeonshift.Crash) string { return c.Fingerprint.String() + keySeparator + c.Endpoint }

// EncodeRow returns the value of the row for a crash.
func EncodeRow(c wigeonshift.Crash) ([]byte, error) {
	return json.Marshal(rowValue{
		At: c.At.UTC(), MidRun: c.MidRun, Content: c.Shared.Content, Query: c.Shared.Query, Headers: c.Shared.Headers,
	})
}

// DecodeKey returns the fingerprint and the endpoint of a row key. Its error wraps ErrMalformedRow.
func DecodeKey(key string) (f wigeonshift.Fingerprint, endpoint string, err error) {
	hex, endpoint, found := strings.Cut(key, keySeparator)
	n, err := strconv.ParseUint(hex, 16, 64)
	if err != nil || !found || n == 0 || endpoint == "" {
		return 0, "", errors.Join(ErrMalformedRow, err)
	}
	return wigeonshift.Fingerprint(n), endpoint, nil
}

// DecodeRow returns the crash that a row describes. Its error wraps ErrMalformedRow.
func DecodeRow(key string, value []byte) (wigeonshift.Crash, error) {
	f, endpoint, err := DecodeKey(key)
	if err != nil {
		return wigeonshift.Crash{}, err
	}
	var v rowValue
	if err := json.Unmarshal(value, &v); err != nil {
		return wigeonshift.Crash{}, errors.Join(ErrMalformedRow, err)
	}
	shared := wigeonshift.SharedFingerprints{Content: v.Content, Query: v.Query, Headers: v.Headers}
	return wigeonshift.Crash{Fingerprint: f, Shared: shared, Endpoint: endpoint, MidRun: v.MidRun, At: v.At}, nil
}
