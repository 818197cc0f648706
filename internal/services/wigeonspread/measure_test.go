package wigeonspread_test

import (
	"testing"
	"testing/synctest"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Times that messages take in the measurement.
const (
	zoneDelay   = time.Millisecond
	regionDelay = 80 * time.Millisecond
)

// betweenRegions gives messages the delay of their way.
func betweenRegions(h *hub) func(a, b string) time.Duration {
	return func(a, b string) time.Duration {
		if h.nodes[a].self.Region == h.nodes[b].self.Region {
			return zoneDelay
		}
		return regionDelay
	}
}

// The figures of docs/measurements/configuration.md: go test -v ./internal/services/wigeonspread
var _ = DescribeTable("Size", func(count int, quiet time.Duration) {
	synctest.Test(suiteT, func(t *testing.T) {
		g := NewWithT(t)
		h := newHub()
		h.delay = betweenRegions(h)
		nodes := h.start(t, count)
		time.Sleep(3 * time.Second)
		accept(g, nodes[0], 0)
		within(g, nodes, 1)
		time.Sleep(5 * time.Second)

		before, sent := h.core.Counts(), h.messages()
		time.Sleep(quiet)
		after := h.core.Counts()
		reads := float64(after.Reads-before.Reads) / quiet.Seconds()
		messages := float64(h.messages()-sent) / quiet.Seconds() / float64(count)

		before = h.core.Counts()
		accept(g, nodes[count/2], 1)
		spread := reached(g, nodes, 2)
		writes := h.core.Counts().Writes - before.Writes
		alive := h.kill(nodes)
		accept(g, alive[0], 2)
		broken := reached(g, alive, 3)
		t.Logf("%d instances: in force everywhere after %s, after %s with %d dead ones on the list; "+
			"quiet: %.2f store reads/s in all, %.2f messages/s each; %d write a change",
			count, spread, broken, count-len(alive), reads, messages, writes)
		g.Expect(spread).To(BeNumerically("<=", everywhere))
		g.Expect(broken).To(BeNumerically("<=", everywhere))
	})
},
	Entry("7 instances", 7, time.Minute),
	Entry("100 instances", 100, time.Minute),
	Entry("1,500 instances", 1500, 10*time.Second),
)

// kill ends the head of a region, its first child and each hundredth node, which all stay on the list. It returns the
// others.
func (h *hub) kill(nodes []*node) []*node {
	h.mu.Lock()
	defer h.mu.Unlock()
	ranked := wigeonshift.RankCandidates("configuration/tree", h.live)
	inRegion := 0
	for n, i := range ranked {
		if i.Region == ranked[0].Region && inRegion < 2 {
			inRegion++
			h.nodes[i.ID].dead = true
		}
		h.nodes[i.ID].dead = h.nodes[i.ID].dead || n%100 == 99
	}
	var alive []*node
	for _, n := range nodes {
		if !n.dead {
			alive = append(alive, n)
		}
	}
	return alive
}

func (h *hub) messages() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.sent
}

// reached returns how long it took until all nodes had a version in force: to a millisecond at first, then to 50.
func reached(g *WithT, nodes []*node, wanted uint64) time.Duration {
	start := time.Now()
	step := time.Millisecond
	for lowest(nodes) < wanted && time.Since(start) <= everywhere {
		time.Sleep(step)
		if time.Since(start) >= 200*time.Millisecond {
			step = 50 * time.Millisecond
		}
	}
	g.Expect(lowest(nodes)).To(BeNumerically(">=", wanted))
	return time.Since(start)
}
