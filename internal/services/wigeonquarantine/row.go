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
	// Content, Query and Headers are the hexadecimal fingerprints of what the request shares with others; empty if unknown.
	Content string `json:"content,omitempty"`
	Query   string `json:"query,omitempty"`
	Headers string `json:"headers,omitempty"`
}

// keySeparator stands between the fingerprint and the endpoint in a row key.
const keySeparator = "/"

// RowKey returns the key of the row for a crash.
func RowKey(c wigeonshift.Crash) string { return c.Fingerprint.String() + keySeparator + c.Endpoint }

// EncodeRow returns the value of the row for a crash.
func EncodeRow(c wigeonshift.Crash) ([]byte, error) {
	v := rowValue{At: c.At.UTC(), MidRun: c.MidRun}
	if c.Shared.Content != 0 {
		v.Content, v.Query, v.Headers = c.Shared.Content.String(), c.Shared.Query.String(), c.Shared.Headers.String()
	}
	return json.Marshal(v)
}

// DecodeKey returns the fingerprint and the endpoint of a row key. Its error wraps ErrMalformedRow.
func DecodeKey(key string) (f wigeonshift.Fingerprint, endpoint string, err error) {
	hex, endpoint, found := strings.Cut(key, keySeparator)
	f, err = parseFingerprint(hex)
	if err != nil || !found || f == 0 || endpoint == "" {
		return 0, "", errors.Join(ErrMalformedRow, err)
	}
	return f, endpoint, nil
}

// parseFingerprint parses the hexadecimal form of a fingerprint.
func parseFingerprint(text string) (wigeonshift.Fingerprint, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, errors.Join(ErrMalformedRow, err)
	}
	return wigeonshift.Fingerprint(n), nil
}

// shared returns what the request shares with others; zero values if the row doesn't tell.
func (v rowValue) shared() (wigeonshift.SharedFingerprints, error) {
	if v.Content == "" {
		return wigeonshift.SharedFingerprints{}, nil
	}
	content, contentErr := parseFingerprint(v.Content)
	query, queryErr := parseFingerprint(v.Query)
	headers, headersErr := parseFingerprint(v.Headers)
	shared := wigeonshift.SharedFingerprints{Content: content, Query: query, Headers: headers}
	return shared, errors.Join(contentErr, queryErr, headersErr)
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
	shared, err := v.shared()
	if err != nil {
		return wigeonshift.Crash{}, err
	}
	return wigeonshift.Crash{Fingerprint: f, Shared: shared, Endpoint: endpoint, MidRun: v.MidRun, At: v.At}, nil
}
