package wigeonshare

import (
	"strings"
	"testing"
)

// FuzzLedger checks that the row of any writer is refused or is a ledger whose parts are in range.
func FuzzLedger(f *testing.F) {
	for _, seed := range []string{
		`{"holders":["a"],"parts":[5],"endsAtMillis":[7]}`, `{"holders":["a"],"parts":[-5],"endsAtMillis":[7]}`,
		`{"holders":["a"],"parts":[1e20],"endsAtMillis":[7]}`, `{"holders":["a"]}`, strings.Repeat(`{"era":`, 100), ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		l, err := decodeLedger(value)
		if err != nil {
			return
		}
		for _, lease := range l.Leases {
			if lease.Parts < 0 || lease.Parts > WholeParts {
				t.Errorf("%d parts", lease.Parts)
			}
		}
	})
}
