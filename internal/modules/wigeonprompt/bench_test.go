package wigeonprompt

import (
	"strings"
	"testing"
)

// BenchmarkFingerprint hashes a body as long as that of a full prompt.
func BenchmarkFingerprint(b *testing.B) {
	body := strings.Repeat("x", 32<<10)
	for b.Loop() {
		Fingerprint("organisation", "POST", "/v1/completions/", body)
	}
}
