package wigeonfollow

import (
	"strings"
	"testing"

	"wigeonshift/internal/modules/wigeonsocket"
)

// FuzzInstance checks that a row of any writer is refused or names an instance to which a session can be opened.
func FuzzInstance(f *testing.F) {
	for _, seed := range []string{
		`{"id":"a","address":"192.0.2.1:80","zone":"z"}`, `{"id":"a","address":"192.0.2.1:99999"}`, `{"id":"a","address":"x"}`,
		strings.Repeat(`{"id":`, 100), `[]`, ``,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		i, err := decodeInstance(value)
		if err != nil {
			return
		}
		if _, err := wigeonsocket.ParseAddress(i.Address); err != nil || i.ID == "" || len(i.ID) > maxInstanceText {
			t.Errorf("instance %q at %q", i.ID, i.Address)
		}
	})
}
