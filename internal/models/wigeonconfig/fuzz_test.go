package wigeonconfig_test

import (
	"bytes"
	"testing"

	"wigeonshift"
	"wigeonshift/internal/models/wigeonconfig"
)

// FuzzApply checks that no patch from an operator or a peer makes the process panic, modifies the base configuration or
// results in a configuration that an instance cannot decode after a restart.
func FuzzApply(f *testing.F) {
	f.Add([]byte(loft))
	f.Add([]byte(`{"products":{"loft":{"services":{"assistant":{"endpoints":{"e1":null,"e2":{"models":["m1",null]}}}}}}}`))
	f.Add([]byte(`{"products":{"loft":{"organisations":{"sipacate":{"apiKeys":{"k":{"notAfter":"2026-12-03T00:00:00Z"}}}}}}}`))
	f.Add([]byte(`{"products":null}`))
	f.Add([]byte(`{"products":{"":{"tiers":{"\u0000":{"rank":1e3}}}}}`))
	f.Add([]byte(`[[[[`))
	base, err := wigeonconfig.Apply(&wigeonshift.Configuration{}, []byte(loft))
	if err != nil {
		f.Fatal(err)
	}
	before, _ := wigeonconfig.Encode(base)
	f.Fuzz(func(t *testing.T, patch []byte) {
		next, err := wigeonconfig.Apply(base, patch)
		if after, _ := wigeonconfig.Encode(base); !bytes.Equal(before, after) {
			t.Fatal("the base configuration was modified")
		}
		if err != nil {
			return
		}
		_ = wigeonconfig.Check(next)
		document, err := wigeonconfig.Encode(next)
		if err != nil {
			t.Fatal(err)
		}
		again, err := wigeonconfig.Decode(document)
		if err != nil {
			t.Fatal(err)
		}
		if repeated, _ := wigeonconfig.Encode(again); !bytes.Equal(document, repeated) {
			t.Fatalf("encoded again as %s instead of %s", repeated, document)
		}
	})
}

// FuzzDecode checks that no snapshot from a peer or from the object store makes the process panic.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"version":3,"products":{"a":{"tiers":{"t":{"rank":0,"defaultDeadlineMs":1}}}}}`))
	f.Add([]byte(`{"version":-1}`))
	f.Add([]byte(`{"products":{"a":null}}`))
	f.Fuzz(func(_ *testing.T, document []byte) {
		if c, err := wigeonconfig.Decode(document); err == nil {
			_ = wigeonconfig.Check(c)
			wigeonconfig.NewKeyIndex(c)
		}
	})
}
