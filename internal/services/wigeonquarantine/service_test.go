package wigeonquarantine

import (
	"context"
	"testing/synctest"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
)

// testService is a running service with what it wrote and published.
type testService struct {
	*Service
	table     *fakeTable
	published []wigeonshift.Crash
}

// runService runs a test with a service in a bubble with a fake clock.
func runService(test func(g Gomega, s *testService)) {
	runWithFakeClock(func(g Gomega) {
		s := &testService{table: &fakeTable{}}
		s.Service = NewService(s.table.commit, func(c []wigeonshift.Crash) { s.published = c }, discardLog(), tally.NoopScope)
		s.Start(context.Background())
		synctest.Wait()
		test(g, s)
		s.Stop()
	})
}

// freshCrash returns a crash that has just happened.
func freshCrash(f wigeonshift.Fingerprint, endpoint string) wigeonshift.Crash {
	return wigeonshift.Crash{Fingerprint: f, Endpoint: endpoint, At: time.Now().UTC()}
}

// rowOf returns the row of a crash as the store shows it.
func rowOf(g Gomega, c wigeonshift.Crash) wigeonshift.TableRow {
	value, err := EncodeRow(c)
	g.Expect(err).NotTo(HaveOccurred())
	return wigeonshift.TableRow{Key: RowKey(c), Value: value}
}

var _ = Describe("Service", func() {
	It("writes a crash that it noticed and offers it to other instances until the store shows it", func() {
		runService(func(g Gomega, s *testService) {
			c := freshCrash(7, "a@1")
			s.table.down = true
			s.ReportCrash(c)
			advance(time.Second)
			g.Expect(s.Unstored()).To(ConsistOf(c))
			s.table.down = false
			advance(time.Second)
			g.Expect(s.table.written).To(Equal([]string{"7/a@1"}))
			s.ApplyChanges([]wigeonshift.TableRow{rowOf(g, c)})
			g.Expect(s.Unstored()).To(BeEmpty())
			g.Expect(s.Crashes()).To(ConsistOf(c))
		})
	})

	It("publishes the crashes that the store and other instances report", func() {
		runService(func(g Gomega, s *testService) {
			stored, offered := freshCrash(7, "a@1"), freshCrash(7, "b@1")
			s.ReplaceRows([]wigeonshift.TableRow{rowOf(g, stored), {Key: "x", Value: []byte("y")}})
			s.Offer([]wigeonshift.Crash{offered, stored})
			synctest.Wait()
			g.Expect(s.published).To(ConsistOf(stored, offered))
			advance(time.Second)
			g.Expect(s.table.written).To(BeEmpty(), "the others write their rows themselves")
		})
	})

	It("removes the rows of a request that is cleared, and forgets crashes whose rows another instance removed", func() {
		runService(func(g Gomega, s *testService) {
			cleared, removed := freshCrash(7, "a@1"), freshCrash(8, "a@1")
			s.ReplaceRows([]wigeonshift.TableRow{rowOf(g, cleared), rowOf(g, removed)})
			s.ClearCrashes(7)
			s.ApplyChanges([]wigeonshift.TableRow{{Key: RowKey(removed), Deleted: true}})
			advance(time.Second)
			g.Expect(s.table.written).To(Equal([]string{"-7/a@1"}))
			g.Expect(s.published).To(BeEmpty())
		})
	})

	It("forgets crashes that a listing no longer has, except those that the store has not shown yet", func() {
		runService(func(g Gomega, s *testService) {
			stored, own, offered := freshCrash(7, "a@1"), freshCrash(8, "a@1"), freshCrash(9, "a@1")
			s.ReplaceRows([]wigeonshift.TableRow{rowOf(g, stored)})
			s.ReportCrash(own)
			s.Offer([]wigeonshift.Crash{offered})
			s.ReplaceRows(nil)
			g.Expect(s.Crashes()).To(ConsistOf(own, offered))
		})
	})

	// A store that returns from an older copy has lost the rows of its last seconds. An instance that starts afterwards would
	// not know them.
	It("writes rows again that the store has lost, within two seconds", func() {
		runService(func(g Gomega, s *testService) {
			stored, rewritten := freshCrash(7, "a@1"), freshCrash(7, "b@1")
			s.ReplaceRows([]wigeonshift.TableRow{rowOf(g, stored), rowOf(g, rewritten)})
			s.HandleStoreRestored()
			s.ReplaceRows(nil)
			g.Expect(s.Crashes()).To(HaveLen(2))
			s.ApplyChanges([]wigeonshift.TableRow{rowOf(g, rewritten)}) // Another instance was first.
			advance(maxRewriteDelay + sweepInterval + batchDelay)
			g.Expect(s.table.written).To(Equal([]string{"7/a@1"}))
			g.Expect(maxRewriteDelay + sweepInterval + batchDelay).To(BeNumerically("<=", 2100*time.Millisecond))
		})
	})

	It("removes rows of expired crashes and rows that can't be decoded", func() {
		runService(func(g Gomega, s *testService) {
			s.ReplaceRows([]wigeonshift.TableRow{rowOf(g, freshCrash(7, "a@1")), {Key: "x", Value: []byte("y")}})
			advance(suspectLifetime + time.Second)
			g.Expect(s.published).To(BeEmpty())
			advance(maxExpiryDelay + time.Second)
			g.Expect(s.table.written).To(ConsistOf("-7/a@1", "-x"))
		})
	})
})
