package wigeonspread_test

import (
	"testing"
	"testing/synctest"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Message delays in the measurement.
const (
	sameRegionDelay  = time.Millisecond
	crossRegionDelay = 80 * time.Millisecond
)

// delayByRegion returns a function that delays messages between regions longer than those within a region.
func delayByRegion(tn *testNetwork) func(a, b string) time.Duration {
	return func(a, b string) time.Duration {
		if tn.nodes[a].self.Region == tn.nodes[b].self.Region {
			return sameRegionDelay
		}
		return crossRegionDelay
	}
}

// Logs the figures of docs/measurements/configuration.md: go test -v ./internal/services/wigeonspread
var _ = DescribeTable("Spread time by fleet size", func(count int, idle time.Duration) {
	synctest.Test(suiteT, func(t *testing.T) {
		g := NewWithT(t)
		tn := newTestNetwork()
		tn.messageDelay = delayByRegion(tn)
		nodes := tn.start(t, count)
		time.Sleep(3 * time.Second)
		submitPatch(g, nodes[0], 0)
		waitForVersion(g, nodes, 1)
		time.Sleep(5 * time.Second)

		before, sent := tn.platform.Counts(), tn.messageCount()
		time.Sleep(idle)
		after := tn.platform.Counts()
		reads := float64(after.Reads-before.Reads) / idle.Seconds()
		messages := float64(tn.messageCount()-sent) / idle.Seconds() / float64(count)

		before = tn.platform.Counts()
		submitPatch(g, nodes[count/2], 1)
		spreadTime := measureSpreadTime(g, nodes, 2)
		writes := tn.platform.Counts().Writes - before.Writes
		alive := tn.killSomeNodes(nodes)
		submitPatch(g, alive[0], 2)
		spreadTimeWithDead := measureSpreadTime(g, alive, 3)
		t.Logf("%d instances: change active on all after %s, after %s with %d dead ones on the list; "+
			"idle: %.2f store reads/s in total, %.2f messages/s per instance; %d writes per change",
			count, spreadTime, spreadTimeWithDead, count-len(alive), reads, messages, writes)
		g.Expect(spreadTime).To(BeNumerically("<=", maxSpreadTime))
		g.Expect(spreadTimeWithDead).To(BeNumerically("<=", maxSpreadTime))
	})
},
	Entry("7 instances", 7, time.Minute),
	Entry("100 instances", 100, time.Minute),
	Entry("1,500 instances", 1500, 10*time.Second),
)

// killSomeNodes marks the root of a region, its first child and every hundredth node as dead but keeps them on the list.
// It returns the other nodes.
func (tn *testNetwork) killSomeNodes(nodes []*node) []*node {
	tn.mu.Lock()
	defer tn.mu.Unlock()
	ranked := wigeonshift.RankCandidates("configuration/tree", tn.live)
	inRegion := 0
	for n, i := range ranked {
		if i.Region == ranked[0].Region && inRegion < 2 {
			inRegion++
			tn.nodes[i.ID].dead = true
		}
		tn.nodes[i.ID].dead = tn.nodes[i.ID].dead || n%100 == 99
	}
	var alive []*node
	for _, n := range nodes {
		if !n.dead {
			alive = append(alive, n)
		}
	}
	return alive
}

func (tn *testNetwork) messageCount() int {
	tn.mu.Lock()
	defer tn.mu.Unlock()
	return tn.sentCount
}

// measureSpreadTime returns the time until a version is active on all nodes. The resolution is 1 ms for the first
// 200 ms and 50 ms after that.
func measureSpreadTime(g *WithT, nodes []*node, wanted uint64) time.Duration {
	start := time.Now()
	step := time.Millisecond
	for lowestVersion(nodes) < wanted && time.Since(start) <= maxSpreadTime {
		time.Sleep(step)
		if time.Since(start) >= 200*time.Millisecond {
			step = 50 * time.Millisecond
		}
	}
	g.Expect(lowestVersion(nodes)).To(BeNumerically(">=", wanted))
	return time.Since(start)
}
