package main

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"wigeonshift"
	"wigeonshift/internal/services/wigeonquarantine"

	. "github.com/onsi/gomega"
)

func TestQuarantineList(t *testing.T) {
	g := NewWithT(t)
	start := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	record := wigeonquarantine.NewRecord(wigeonquarantine.Limit)
	for k := range 4 {
		request := wigeonshift.Fingerprint(0x100 + k)
		record.Add(wigeonshift.Crash{
			Fingerprint: request, Shared: wigeonshift.SharedFingerprints{Content: request + 0x100}, Features: []wigeonshift.Fingerprint{0xabc},
			Endpoint: fmt.Sprint("e", k, "@1"), At: start.Add(time.Duration(k) * time.Second),
		})
	}
	for k := range 3 {
		record.Add(wigeonshift.Crash{Fingerprint: 7, Shared: wigeonshift.SharedFingerprints{Content: 8}, Endpoint: fmt.Sprint("f", k, "@1"), At: start})
	}
	var out bytes.Buffer
	g.Expect(printQuarantine(&out, record)).To(Succeed())
	g.Expect(out.String()).To(Equal(
		"cause\tabc\trefused\tcrashes=4\tlatest=2026-12-04T08:00:03Z\tanswered=never\tendpoints=e0@1,e1@1,e2@1,e3@1\n" +
			"request\t7\trefused\tcrashes=3\tcontent=8\tuntil=2026-12-05T08:00:00Z\n"))
}
