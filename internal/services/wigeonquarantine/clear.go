package wigeonquarantine

import (
	"maps"
	"slices"
	"time"

	"wigeonshift"
)

// MaxTransactionRows is the largest number of rows in one transaction.
const MaxTransactionRows = 64

// RecordOf returns what the rows of the table say, and the number of rows that can't be read.
func RecordOf(rows []wigeonshift.TableRow) (record *Record, unreadable int) {
	record = NewRecord(Limit)
	for _, row := range rows {
		if err := record.addRow(row); err != nil {
			unreadable++
		}
	}
	return record, unreadable
}

// addRow adds what a row says.
func (r *Record) addRow(row wigeonshift.TableRow) error {
	if feature, isAnswer := DecodeAnswerKey(row.Key); isAnswer {
		a, err := DecodeAnswer(feature, row.Value)
		if err != nil {
			return err
		}
		r.AddAnswer(a)
		return nil
	}
	c, err := DecodeRow(row.Key, row.Value)
	if err != nil {
		return err
	}
	r.Add(c)
	return nil
}

// QuarantinedRequests returns the requests that are refused for the crashes under them alone, sorted.
func (r *Record) QuarantinedRequests() []wigeonshift.Fingerprint {
	quarantined := slices.Sorted(maps.Keys(r.crashes))
	return slices.DeleteFunc(quarantined, func(f wigeonshift.Fingerprint) bool { return !r.Quarantined(f) })
}

// ClearingWrites returns the changes of rows that let requests pass again which are refused for a fingerprint: the crashes of a request or
// of all requests with a content are removed, and a feature, with all that explain the same crashes, counts as answered now.
func (r *Record) ClearingWrites(f wigeonshift.Fingerprint, now time.Time) ([]wigeonshift.Write, error) {
	var writes []wigeonshift.Write
	for _, c := range r.All() {
		if c.Fingerprint == f || c.Shared.Content == f {
			writes = append(writes, wigeonshift.Write{Key: RowKey(c), Delete: true})
		}
	}
	features := []wigeonshift.Fingerprint{}
	if len(r.requestsWith[f]) > 0 {
		features = append(features, f)
	}
	for _, c := range r.Causes() {
		if slices.Contains(c.Features, f) {
			features = append(features, c.Features...)
		}
	}
	slices.Sort(features)
	for _, feature := range slices.Compact(features) {
		value, err := EncodeAnswer(wigeonshift.FeatureAnswer{Feature: feature, At: now})
		if err != nil {
			return nil, err
		}
		writes = append(writes, wigeonshift.Write{Key: AnswerKey(feature), Value: value})
	}
	return writes, nil
}
