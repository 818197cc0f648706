package wigeonshare_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"wigeonshift/internal/services/wigeonshare"
	"wigeonshift/internal/soak/wigeonwindow"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suiteT is the *testing.T of the suite, from which bubbles with virtual time are made.
var suiteT *testing.T

func TestShare(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonshare")
}

// withFleet runs a test with a fleet in virtual time.
func withFleet(seed uint64, machines int, limit wigeonwindow.RepeatLimit, test func(g Gomega, f *fleet)) {
	GinkgoHelper()
	var failure string
	synctest.Test(suiteT, func(t *testing.T) {
		g := NewGomega(func(message string, _ ...int) { failure += message + "\n" })
		f := newFleet(seed, machines, limit)
		test(g, f)
		f.stop()
		time.Sleep(time.Minute)
	})
	Expect(failure).To(BeEmpty(), "seed %d", seed)
}

// expectWithinLimit checks every sliding window.
func (f *fleet) expectWithinLimit(g Gomega) {
	f.record.Sort()
	worst := f.limit.Worst(f.record)
	g.Expect(worst.Exceeded()).To(BeFalse(), "%+v", worst)
}

var repeatLimit = wigeonwindow.RepeatLimit{Window: 10 * time.Second, Ratio: 0.2, Slack: 52}

var _ = Describe("Repeats of a fleet", func() {
	DescribeTable("use most of the limit while nothing is disturbed", func(machines int, perSecond float64) {
		withFleet(1, machines, repeatLimit, func(g Gomega, f *fleet) {
			f.sendRequests(perSecond, 90*time.Second, f.anyMachine)
			f.run(90 * time.Second)
			f.expectWithinLimit(g)
			g.Expect(f.limit.Use(f.record, 30*time.Second, 90*time.Second)).To(BeNumerically(">=", 0.85))
		})
	},
		Entry("three instances", 3, 38.0), Entry("six instances", 6, 78.0), Entry("nine instances", 9, 38.0),
		Entry("nine instances with much load", 9, 400.0),
	)

	// A limit without the ratio or without the fixed number shows faults that the rest of the limit would cover.
	DescribeTable("stay within the limit in every window, whatever happens to the instances, the store and the paths between them",
		func(limit wigeonwindow.RepeatLimit, load func(f *fleet, end time.Duration)) {
			repeats := 0
			for seed := range uint64(20) {
				withFleet(seed, 2+int(seed)%5, limit, func(g Gomega, f *fleet) {
					f.maxSendDelay, f.maxArrivalDelay = 450*time.Millisecond, 450*time.Millisecond
					f.store.latency, f.store.lossShare, f.store.lateShare = 200*time.Millisecond, 0.1, 0.5
					load(f, 100*time.Second)
					f.disturb(100 * time.Second)
					f.run(100 * time.Second)
					f.expectWithinLimit(g)
					repeats += len(f.record.Repeats)
				})
			}
			AddReportEntry("repeats", repeats)
			Expect(repeats).To(BeNumerically(">", 1000), "repeats are allowed at all")
		},
		Entry("users' limit", repeatLimit, (*fleet).sendInBursts),
		Entry("fixed number only", wigeonwindow.RepeatLimit{Window: 10 * time.Second, Slack: 60}, (*fleet).sendSteadily),
		Entry("ratio only", wigeonwindow.RepeatLimit{Window: 10 * time.Second, Ratio: 1}, (*fleet).sendInBursts),
	)
})

var _ = Describe("Lease", func() {
	It("is used no more before the ledger tells that it is given up, and divided evenly in the end", func() {
		withFleet(1, 1, repeatLimit, func(g Gomega, f *fleet) {
			f.run(20 * time.Second)
			g.Expect(f.machines[0].process.publishedShare).To(Equal(1.0))
			commits := 0
			f.store.beforeCommit = func(value []byte) {
				var ledger struct {
					Holders []string
					Parts   []int
				}
				g.Expect(json.Unmarshal(value, &ledger)).To(Succeed())
				for _, m := range f.machines {
					parts := 0
					for i, holder := range ledger.Holders {
						if holder == wigeonshare.HolderOf(m.name) {
							parts = ledger.Parts[i]
						}
					}
					g.Expect(m.process.publishedShare*wigeonshare.WholeParts).To(BeNumerically("<=", parts), m.name)
				}
				commits++
			}
			f.addMachine()
			f.run(60 * time.Second)
			g.Expect(commits).To(BeNumerically(">=", 3))
			for _, m := range f.machines {
				g.Expect(m.process.publishedShare).To(Equal(0.5), m.name)
			}
		})
	})

	It("needs few calls to the store", func() {
		withFleet(1, 6, repeatLimit, func(g Gomega, f *fleet) {
			f.run(time.Minute)
			f.store.calls = 0
			f.run(20 * time.Minute)
			g.Expect(float64(f.store.calls)/6/20/60).To(BeNumerically("<=", 0.05), "calls a second of one instance")
		})
	})
})

// sendSteadily sends requests that all fail to all machines.
func (f *fleet) sendSteadily(end time.Duration) { f.sendRequests(60, end, f.anyMachine) }

// sendInBursts sends requests at a rate that changes every few seconds, and to machines that change as well.
func (f *fleet) sendInBursts(end time.Duration) {
	if f.since() >= end {
		return
	}
	phase := time.Second + f.randomDelay(11*time.Second)
	perSecond := []float64{2, 20, 40, 200}[f.random.IntN(4)]
	only := f.anyMachine()
	pick := f.anyMachine
	if f.random.IntN(2) == 0 {
		pick = func() *machine { return only }
	}
	f.failShare = []float64{0, 0.3, 1}[f.random.IntN(3)]
	f.rejectShare = []float64{0.2, 1}[f.random.IntN(2)]
	f.sendRequests(perSecond, min(f.since()+phase, end), pick)
	f.after(phase, func() { f.sendInBursts(end) })
}

// disturb injects faults at random times.
func (f *fleet) disturb(end time.Duration) {
	if f.since() >= end {
		return
	}
	f.after(f.randomDelay(4*time.Second), func() {
		f.injectFault()
		f.disturb(end)
	})
}

func (f *fleet) injectFault() {
	m, now := f.anyMachine(), time.Now()
	switch f.random.IntN(8) {
	case 0:
		f.restart(m)
	case 1:
		for _, m := range f.machines {
			f.restart(m)
		}
	case 2:
		m.frozenUntil = now.Add(f.randomDelay(8 * time.Second))
	case 3:
		m.cutUntil = now.Add(f.randomDelay(20 * time.Second))
	case 4:
		f.store.mu.Lock()
		f.store.downUntil = now.Add(f.randomDelay(10 * time.Second))
		f.store.mu.Unlock()
	case 5:
		if f.random.IntN(3) > 0 {
			return
		}
		f.store.restore(f.randomDelay(6 * time.Second))
		for _, m := range f.machines {
			if m.process != nil {
				m.process.share.RenewSoon()
			}
		}
	case 6:
		if len(f.machines) < 10 {
			f.addMachine()
		}
	case 7:
		m.kill()
	}
}

// restart kills a process and starts another one on the machine a little later.
func (f *fleet) restart(m *machine) {
	m.kill()
	f.after(f.randomDelay(2*time.Second), func() {
		if m.process == nil {
			m.start()
		}
	})
}
