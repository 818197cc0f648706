package wigeonstream_test

import (
	"testing"

	"wigeonshift/internal/modules/wigeonstream"
)

// BenchmarkTracker follows one event of usual size.
func BenchmarkTracker(b *testing.B) {
	event := []byte("id: 1234\ndata: {\"text\":\" a few words of an answer\",\"tokens\":5}\n\n")
	var t wigeonstream.Tracker
	b.SetBytes(int64(len(event)))
	b.ReportAllocs()
	for b.Loop() {
		t.Consume(event)
	}
}
