package wigeonquarantine

import (
	"strings"
	"testing"
)

// FuzzRow checks that rows of any writer are refused or name a crash that can be written again under the same key.
func FuzzRow(f *testing.F) {
	for _, value := range []string{
		`{"at":"2026-01-02T03:04:05Z","content":"7","query":"8","headers":"9","features":"AAAAAAAAAAc="}`, `{"at":7}`,
		strings.Repeat(`{"at":`, 100), `{"features":"!"}`, ``,
	} {
		f.Add("0000000000000007/i-1", []byte(value))
		f.Add("answer/0000000000000007", []byte(value))
		f.Add("7/", []byte(value))
	}
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		if feature, isAnswer := DecodeAnswerKey(key); isAnswer {
			if a, err := DecodeAnswer(feature, value); err == nil && a.Feature == 0 {
				t.Error("an answer of no feature")
			}
			return
		}
		c, err := DecodeRow(key, value)
		if err != nil {
			return
		}
		f, endpoint, err := DecodeKey(RowKey(c))
		if err != nil || f != c.Fingerprint || endpoint != c.Endpoint {
			t.Errorf("key %q of %q: %v", RowKey(c), key, err)
		}
	})
}
