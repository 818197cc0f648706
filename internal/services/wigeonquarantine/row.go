package wigeonquarantine

import (
	"encoding/binary"
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
	// Features holds the fingerprints of the features, 8 bytes each with the most significant first.
	Features []byte `json:"features,omitempty"`
}

// answerValue is the value of the row of an answer.
type answerValue struct {
	At time.Time `json:"at"`
}

// answerPrefix begins the keys of the rows of answers. No fingerprint looks like it.
const answerPrefix = "answer" + keySeparator

// AnswerKey returns the key of the row for the latest answer of a feature.
func AnswerKey(feature wigeonshift.Fingerprint) string { return answerPrefix + feature.String() }

// DecodeAnswerKey returns the feature of the row of an answer, and whether the key is that of such a row.
func DecodeAnswerKey(key string) (feature wigeonshift.Fingerprint, isAnswer bool) {
	hex, found := strings.CutPrefix(key, answerPrefix)
	if !found {
		return 0, false
	}
	feature, err := parseFingerprint(hex)
	return feature, err == nil && feature != 0
}

// EncodeAnswer returns the value of the row for an answer.
func EncodeAnswer(a wigeonshift.FeatureAnswer) ([]byte, error) {
	return json.Marshal(answerValue{At: a.At.UTC()})
}

// DecodeAnswer returns the answer that a row describes. Its error wraps ErrMalformedRow.
func DecodeAnswer(feature wigeonshift.Fingerprint, value []byte) (wigeonshift.FeatureAnswer, error) {
	var v answerValue
	if err := json.Unmarshal(value, &v); err != nil {
		return wigeonshift.FeatureAnswer{}, errors.Join(ErrMalformedRow, err)
	}
	return wigeonshift.FeatureAnswer{Feature: feature, At: v.At}, nil
}

// FingerprintTexts returns fingerprints as they stand in logs.
func FingerprintTexts(fingerprints []wigeonshift.Fingerprint) []string {
	texts := make([]string, 0, len(fingerprints))
	for _, f := range fingerprints {
		texts = append(texts, f.String())
	}
	return texts
}

// keySeparator stands between the fingerprint and the endpoint in a row key.
const keySeparator = "/"

// RowKey returns the key of the row for a crash.
func RowKey(c wigeonshift.Crash) string { return c.Fingerprint.String() + keySeparator + c.Endpoint }

// EncodeRow returns the value of the row for a crash.
func EncodeRow(c wigeonshift.Crash) ([]byte, error) {
	v := rowValue{At: c.At.UTC(), MidRun: c.MidRun}
	for _, feature := range c.Features {
		v.Features = binary.BigEndian.AppendUint64(v.Features, uint64(feature))
	}
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

// features returns the features of the request. An incomplete one at the end is ignored.
func (v rowValue) features() []wigeonshift.Fingerprint {
	var features []wigeonshift.Fingerprint
	for left := v.Features; len(left) >= fingerprintBytes; left = left[fingerprintBytes:] {
		features = append(features, wigeonshift.Fingerprint(binary.BigEndian.Uint64(left)))
	}
	return features
}

// fingerprintBytes is the length of a fingerprint in a row.
const fingerprintBytes = 8

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
	return wigeonshift.Crash{Fingerprint: f, Shared: shared, Features: v.features(), Endpoint: endpoint, MidRun: v.MidRun, At: v.At}, nil
}
