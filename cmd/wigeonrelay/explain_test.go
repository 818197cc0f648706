package main

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestExplain(t *testing.T) {
	g := NewWithT(t)
	c := explainCommand{Request: "r1"}
	found, err := c.readLines(strings.NewReader(strings.Join([]string{
		`1.5 node-b {"time":"2","request":"r1","msg":"request ended","outcome":"refused","reason":"quota"}`,
		`1.2 node-a {"time":"1","request":"r1","msg":"request dispatched"}`,
		`1.3 node-a {"time":"1","request":"r2","msg":"about r1"}`,
		"a line of another program with r1",
	}, "\n")))
	g.Expect(err).NotTo(HaveOccurred())
	var out bytes.Buffer
	g.Expect(c.printLines(&out, found)).To(Succeed())
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	g.Expect(lines).To(HaveLen(2))
	g.Expect(lines[0]).To(ContainSubstring("dispatched"))
	g.Expect(c.printLines(&out, nil)).To(MatchError(ContainSubstring("r1")))
}

// Each resend by the caller has its own ID, and it may change the query, so only the fingerprint of the content leads from
// one to all others.
func TestExplainFingerprint(t *testing.T) {
	g := NewWithT(t)
	c := explainCommand{Request: "9c41"}
	found, err := c.readLines(strings.NewReader(strings.Join([]string{
		`1.2 node-a {"time":"1","request":"r1","fingerprint":"9c41","msg":"request dispatched"}`,
		`1.5 node-b {"time":"2","request":"r2","fingerprint":"9c41","msg":"request dispatched"}`,
		`1.6 node-b {"time":"3","request":"r3","fingerprint":"77ab","msg":"request dispatched"}`,
	}, "\n")))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(HaveLen(2))
	found, err = c.readLines(strings.NewReader(`1.7 node-b {"request":"r4","fingerprint":"77ac","content":"9c41","msg":"request ended"}`))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(found).To(HaveLen(1))
}
