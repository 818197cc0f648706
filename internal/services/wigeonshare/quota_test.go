package wigeonshare_test

import (
	"time"

	"wigeonshift/internal/soak/wigeonknown"
	"wigeonshift/internal/soak/wigeonwindow"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// The quota of a large organisation of the users' deployment apme-lima, and the tolerance of the deployment.
const (
	quotaUnitsPerSecond = 197_738.0
	quotaOverage        = 0.1
	quotaSlack          = 140_000.0
	quotaWindow         = 8 * time.Second
	quotaRequestUnits   = 7_000.0
)

// quotaLimit is the number of units that may run in a window.
var quotaLimit = (quotaUnitsPerSecond*quotaWindow.Seconds()+quotaUnitsPerSecond)*(1+quotaOverage) + quotaSlack

// worstQuotaUse returns the largest number of units that were both sent and run in a window.
func (f *fleet) worstQuotaUse() float64 {
	most, _ := wigeonwindow.MostCharges(f.charged, quotaWindow)
	return float64(most) * quotaRequestUnits
}

// Faults that concern the quotas.
func restartOne(f *fleet) { f.restart(f.anyMachine()) }

func restartAll(f *fleet) {
	for _, m := range f.machines {
		f.restart(m)
	}
}

func freezeOne(f *fleet) { f.anyMachine().frozenUntil = time.Now().Add(f.randomDelay(5 * time.Second)) }

// cutOffOne cuts a machine off from the others, cutOffAll all of them from each other.
func cutOffOne(f *fleet) {
	f.anyMachine().peersCutUntil = time.Now().Add(f.randomDelay(6 * time.Second))
}

func cutOffAll(f *fleet) {
	until := time.Now().Add(f.randomDelay(6 * time.Second))
	for _, m := range f.machines {
		m.peersCutUntil = until
	}
}

func join(f *fleet) {
	if len(f.machines) < 10 {
		f.addMachine()
	}
}

// repeatFault injects one of the faults again and again, at random times.
func (f *fleet) repeatFault(faults []func(f *fleet), end time.Duration) {
	if f.since() >= end {
		return
	}
	f.after(f.randomDelay(5*time.Second), func() {
		faults[f.random.IntN(len(faults))](f)
		f.repeatFault(faults, end)
	})
}

var _ = Describe("Quota of a fleet", func() {
	DescribeTable("holds in every window", func(seeds int, faults ...func(f *fleet)) {
		skipIfKnownRed()
		worst, worstSeed := 0.0, uint64(0)
		for seed := range uint64(seeds) {
			withFleet(seed, 6, repeatLimit, func(_ Gomega, f *fleet) {
				f.units, f.exchangeLoads, f.failShare = quotaRequestUnits, true, 0
				f.sendSurges(60 * time.Second)
				f.repeatFault(faults, 60*time.Second)
				f.run(60 * time.Second)
				if use := f.worstQuotaUse(); use > worst {
					worst, worstSeed = use, seed
				}
			})
		}
		AddReportEntry("used part of the limit in the worst window", worst/quotaLimit)
		Expect(worst).To(BeNumerically("<=", quotaLimit), "seed %d", worstSeed)
	},
		Entry("while instances restart, freeze, join and are cut off", 20, restartOne, restartAll, freezeOne, cutOffOne, cutOffAll, join),
		Entry("while one instance after the other is cut off", 60, cutOffOne),
		Entry("while all instances are cut off from each other again and again", 60, cutOffAll),
	)
})

// skipIfKnownRed skips a spec that KNOWN-RED.txt lists and prints its entry.
func skipIfKnownRed() {
	entry, err := wigeonknown.Failure(wigeonknown.Path, "wigeonshare", CurrentSpecReport().FullText())
	Expect(err).NotTo(HaveOccurred())
	if entry != "" {
		Skip("known failure: " + entry)
	}
}

// sendSurges sends requests of the organisation at a rate from half of its quota to eight times as much, which changes every
// few seconds.
func (f *fleet) sendSurges(end time.Duration) {
	if f.since() >= end {
		return
	}
	phase := time.Second + f.randomDelay(8*time.Second)
	factor := []float64{0.1, 0.5, 2, 8}[f.random.IntN(4)]
	f.sendRequests(factor*quotaUnitsPerSecond/quotaRequestUnits, min(f.since()+phase, end), f.anyMachine)
	f.after(phase, func() { f.sendSurges(end) })
}
