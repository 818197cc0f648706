package main

import (
	"bytes"
	"testing"

	"wigeonshift"
	"wigeonshift/platform"

	. "github.com/onsi/gomega"
)

// Guards against a command that shows the state of an earlier order for the present one.
func TestRolloutCommand(t *testing.T) {
	g := NewWithT(t)
	order := func(service string, revision uint64) wigeonshift.TableRow {
		return wigeonshift.TableRow{Key: "rollout/" + service, Value: []byte(`{"to":"v2","duration_s":12}`), Revision: revision}
	}
	state := func(service string, orderRevision uint64) wigeonshift.TableRow {
		key, value, err := platform.Codec{}.EncodeRolloutStatus(wigeonshift.RolloutStatus{
			Service: service, Target: "v2", State: wigeonshift.RolloutRolledBack, OrderRevision: orderRevision, StartedAtMillis: 1000, Reason: "failed: 5 of 9",
		})
		g.Expect(err).NotTo(HaveOccurred())
		return wigeonshift.TableRow{Key: key, Value: value, Revision: 1}
	}
	orders := wigeonshift.TablePage{Rows: []wigeonshift.TableRow{{Key: "config", Value: []byte("{}")}, order("a", 3), order("b", 4)}}
	states := wigeonshift.TablePage{Rows: []wigeonshift.TableRow{state("a", 3), state("b", 2), state("c", 1)}, NowMillis: 5000}
	var out bytes.Buffer
	g.Expect(printRollouts(&out, orders, states)).To(Succeed())
	g.Expect(out.String()).To(Equal("a\tto=v2\trolledBack\tduration=12s\tleft=8s\treason=failed: 5 of 9\n" +
		"b\tto=v2\tnot begun\tduration=12s\n" +
		"c\tto=v2\trolledBack\twithout an order\treason=failed: 5 of 9\n"))
}
