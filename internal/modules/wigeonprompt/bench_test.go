package wigeonprompt

import (
	"bytes"
	"testing"
)

// BenchmarkBodyFingerprint hashes a body as long as that of a full prompt.
func BenchmarkBodyFingerprint(b *testing.B) {
	body := bytes.Repeat([]byte("x"), 32<<10)
	b.ReportAllocs()
	for b.Loop() {
		BodyFingerprint(body, "organisation", "POST", "/v1/completions/")
	}
}
