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
		s.Service = NewService(s.table.commit, func(e wigeonshift.CrashEvidence) { s.published = e.Crashes }, discardLog(), tally.NoopScope)
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
	It("writes crashes that it noticed and offers them to other instances until the store shows them", func() {
		runService(func(g Gomega, s *testService) {
			first, second := freshCrash(7, "a@1"), freshCrash(7, "b@1")
			s.table.down = true
			s.ReportCrash(first)
			s.ReportCrash(second)
			advance(time.Second)
			g.Expect(s.Unstored().Crashes).To(ConsistOf(first, second))
			s.table.down = false
			advance(time.Second)
			g.Expect(s.table.written).To(Equal([]string{"7/a@1", "7/b@1"}))
			s.ApplyChanges([]wigeonshift.TableRow{rowOf(g, first)})
			g.Expect(s.Unstored().Crashes).To(ConsistOf(second))
			g.Expect(s.Evidence().Crashes).To(ConsistOf(first, second))
		})
	})

	It("shares the second crash of a request within a tenth of a second", func() {
		runService(func(g Gomega, s *testService) {
			s.Offer(wigeonshift.CrashEvidence{Crashes: []wigeonshift.Crash{freshCrash(7, "a@1")}})
			s.ReportCrash(freshCrash(7, "b@1"))
			advance(100 * time.Millisecond)
			g.Expect(s.table.written).To(Equal([]string{"7/b@1"}))
		})
	})

	// Each crash of an endpoint is the first one of every request that was there. All but one are innocent and run to their
	// end elsewhere, mostly within a second.
	It("shares the first crash of a request only if the request isn't cleared, within two seconds", func() {
		runService(func(g Gomega, s *testService) {
			s.ReportCrash(freshCrash(7, "a@1"))
			s.ReportCrash(freshCrash(8, "a@1"))
			advance(shareDelay / 2)
			s.ClearCrashes(8)
			advance(2*time.Second - shareDelay/2)
			g.Expect(s.table.written).To(Equal([]string{"7/a@1"}))
		})
	})

	It("shares the first crash of a request at a planned stop", func() {
		runService(func(g Gomega, s *testService) {
			s.ReportCrash(freshCrash(7, "a@1"))
			s.Stop()
			g.Expect(s.table.written).To(Equal([]string{"7/a@1"}))
		})
	})

	It("shares a first crash at once when another instance reports a crash of the request", func() {
		runService(func(g Gomega, s *testService) {
			s.ReportCrash(freshCrash(7, "a@1"))
			s.ApplyChanges([]wigeonshift.TableRow{rowOf(g, freshCrash(7, "b@1"))})
			advance(100 * time.Millisecond)
			g.Expect(s.table.written).To(Equal([]string{"7/a@1"}))
		})
	})

	It("shares few of the first crashes when many endpoints crash at once before a large fleet", func() {
		runService(func(g Gomega, s *testService) {
			s.SetInstanceCount(1500)
			for f := range wigeonshift.Fingerprint(1000) {
				s.ReportCrash(freshCrash(f+1, "a@1"))
			}
			advance(10 * time.Second)
			g.Expect(s.table.written).To(HaveLen(3))
			s.ReportCrash(freshCrash(900, "b@1"))
			advance(time.Second)
			g.Expect(s.table.written).To(ContainElements("384/a@1", "384/b@1"), "the second crash shares the first as well")
		})
	})

	It("publishes the crashes that the store and other instances report", func() {
		runService(func(g Gomega, s *testService) {
			stored, offered := freshCrash(7, "a@1"), freshCrash(7, "b@1")
			s.ReplaceRows([]wigeonshift.TableRow{rowOf(g, stored), {Key: "x", Value: []byte("y")}})
			s.Offer(wigeonshift.CrashEvidence{Crashes: []wigeonshift.Crash{offered, stored}})
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
			advance(2 * shareDelay)
			s.Offer(wigeonshift.CrashEvidence{Crashes: []wigeonshift.Crash{offered}})
			s.ReplaceRows(nil)
			g.Expect(s.Evidence().Crashes).To(ConsistOf(own, offered))
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
			g.Expect(s.Evidence().Crashes).To(HaveLen(2))
			s.ApplyChanges([]wigeonshift.TableRow{rowOf(g, rewritten)}) // Another instance was first.
			advance(maxRewriteDelay + sweepInterval + batchDelay)
			g.Expect(s.table.written).To(Equal([]string{"7/a@1"}))
			g.Expect(maxRewriteDelay + sweepInterval + batchDelay).To(BeNumerically("<=", 2100*time.Millisecond))
		})
	})

	// The row of a writer whose clock was a year ahead kept a request refused for a year.
	It("keeps no crash for longer because its time lies ahead", func() {
		for name, learn := range map[string]func(g Gomega, s *testService, c wigeonshift.Crash){
			"store": func(g Gomega, s *testService, c wigeonshift.Crash) {
				s.ApplyChanges([]wigeonshift.TableRow{rowOf(g, c)})
			},
			"peer": func(_ Gomega, s *testService, c wigeonshift.Crash) {
				s.Offer(wigeonshift.CrashEvidence{Crashes: []wigeonshift.Crash{c}})
			},
		} {
			runService(func(g Gomega, s *testService) {
				ahead := freshCrash(7, "a@1")
				ahead.At = ahead.At.AddDate(1, 0, 0)
				learn(g, s, ahead)
				advance(suspectLifetime - time.Minute)
				g.Expect(s.published).To(HaveLen(1), name)
				advance(2 * time.Minute)
				g.Expect(s.published).To(BeEmpty(), name)
			})
		}
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

var _ = Describe("Service with features", func() {
	It("shares the first crash of a request at once if another endpoint crashed under one of its features", func() {
		runService(func(g Gomega, s *testService) {
			first, second := partCrash(0, 0, deadly), partCrash(1, time.Second, deadly, other)
			first.At, second.At = time.Now(), time.Now().Add(time.Millisecond)
			s.ReportCrash(first)
			advance(shareDelay / 4)
			g.Expect(s.table.written).To(BeEmpty())
			s.ApplyChanges([]wigeonshift.TableRow{rowOf(g, second)})
			advance(shareDelay / 4)
			g.Expect(s.table.written).To(Equal([]string{RowKey(first)}))
			third := partCrash(2, 2*time.Second, deadly)
			third.At = time.Now()
			s.ReportCrash(third)
			advance(shareDelay / 4)
			g.Expect(s.table.written).To(Equal([]string{RowKey(first), RowKey(third)}))
		})
	})

	It("shares answers, and forgets them with their rows", func() {
		runService(func(g Gomega, s *testService) {
			a := wigeonshift.FeatureAnswer{Feature: popular, At: time.Now().UTC()}
			s.ReportAnswer(a)
			s.ReportAnswer(a)
			advance(time.Second)
			g.Expect(s.table.written).To(Equal([]string{AnswerKey(popular)}))
			g.Expect(s.Unstored().Answers).To(ConsistOf(a))
			value, err := EncodeAnswer(a)
			g.Expect(err).NotTo(HaveOccurred())
			s.ApplyChanges([]wigeonshift.TableRow{{Key: AnswerKey(popular), Value: value}})
			g.Expect(s.Unstored().Answers).To(BeEmpty())
			g.Expect(s.Evidence().Answers).To(ConsistOf(a))
			s.ReplaceRows(nil)
			g.Expect(s.Evidence().Answers).To(BeEmpty())
		})
	})

	It("offers the crashes first that have a feature in common with most others", func() {
		runService(func(g Gomega, s *testService) {
			s.table.down = true
			for k := range 2 * maxUnstored {
				c := partCrash(k, 0, wigeonshift.Fingerprint(3_000_000+k))
				if k < 3 {
					c = partCrash(k, 0, deadly)
				}
				c.At = time.Now().Add(time.Duration(k) * time.Second)
				s.ReportCrash(c)
			}
			advance(2 * shareDelay)
			crashes := s.Unstored().Crashes
			g.Expect(crashes).To(HaveLen(maxUnstored))
			for _, c := range crashes[:3] {
				g.Expect(c.Features).To(Equal([]wigeonshift.Fingerprint{deadly}))
			}
		})
	})

	It("learns answers from other instances and from the store, and ignores a row that it can't read", func() {
		runService(func(g Gomega, s *testService) {
			a := wigeonshift.FeatureAnswer{Feature: popular, At: time.Now().UTC()}
			s.Offer(wigeonshift.CrashEvidence{Answers: []wigeonshift.FeatureAnswer{a}})
			g.Expect(s.Evidence().Answers).To(ConsistOf(a))
			s.ApplyChanges([]wigeonshift.TableRow{{Key: AnswerKey(other), Value: []byte("?")}})
			g.Expect(s.Evidence().Answers).To(ConsistOf(a))
		})
	})

	It("writes answers again that the store has lost", func() {
		runService(func(g Gomega, s *testService) {
			a := wigeonshift.FeatureAnswer{Feature: popular, At: time.Now().UTC()}
			s.ReportAnswer(a)
			advance(time.Second)
			value, err := EncodeAnswer(a)
			g.Expect(err).NotTo(HaveOccurred())
			s.ApplyChanges([]wigeonshift.TableRow{{Key: AnswerKey(popular), Value: value}})
			s.HandleStoreRestored()
			s.ReplaceRows(nil)
			advance(time.Second)
			g.Expect(s.table.written).To(HaveLen(2))
			g.Expect(s.Evidence().Answers).To(ConsistOf(a))
		})
	})

	It("forgets answers after a while", func() {
		runService(func(g Gomega, s *testService) {
			s.ReportAnswer(wigeonshift.FeatureAnswer{Feature: popular, At: time.Now().UTC()})
			advance(suspectLifetime + time.Second)
			g.Expect(s.Evidence().Answers).To(BeEmpty())
		})
	})
})

var _ = Describe("Rows", func() {
	It("hold the features of a request", func() {
		c := partCrash(0, 0, deadly, other)
		key, value := RowKey(c), rowOf(Default, c).Value
		Expect(DecodeRow(key, value)).To(Equal(c))
	})
})
