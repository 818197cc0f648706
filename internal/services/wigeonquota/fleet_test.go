package wigeonquota

import (
	"fmt"
	"math/rand/v2"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// quotaSimulation simulates the use of one organisation's quota by instances in groups. Instances send frequent reports
// within their group and rare reports to the other groups.
type quotaSimulation struct {
	random            *rand.Rand
	quotaLimit        Limit
	instances         []*Quota
	instancesPerGroup int
	// requestedUnits and grantedUnits hold the units of each time step.
	requestedUnits, grantedUnits []float64
}

const (
	quotaSimulationStep      = 10 * time.Millisecond
	quotaGroupReportInterval = 50 * time.Millisecond
	quotaFleetReportInterval = 2 * time.Second
	quotaRequestUnits        = 7000
)

// newQuotaSimulation returns a simulation whose instances all receive each other's reports and start with the full
// burst instead of an empty bucket.
func newQuotaSimulation(seed uint64, instances, instancesPerGroup int, l Limit) *quotaSimulation {
	f := &quotaSimulation{random: rand.New(rand.NewPCG(seed, 2)), quotaLimit: l, instancesPerGroup: instancesPerGroup}
	for range instances {
		q := New(l, 0)
		q.SetShares(Shares{Share: 1, GroupFairShare: float64(instancesPerGroup) / float64(instances), MemberShare: 1 / float64(instancesPerGroup)}, 0)
		q.awaitingBalance, q.balance, q.groupBalance = false, l.burstUnits, groupBurstShare*l.burstUnits*q.currentGroupShare(0)
		f.instances = append(f.instances, q)
	}
	return f
}

// simulate requests units at a rate in units per second. It sends the requests to random instances among the first ones,
// whose share of all instances is instanceShare.
func (f *quotaSimulation) simulate(from, to time.Duration, rate, instanceShare float64) {
	users := int(instanceShare * float64(len(f.instances)))
	for at := from; at < to; at += quotaSimulationStep {
		requestedUnits, grantedUnits := 0.0, 0.0
		for f.random.Float64() < rate*quotaSimulationStep.Seconds()/(quotaRequestUnits+rate*quotaSimulationStep.Seconds()) {
			requestedUnits += quotaRequestUnits
			if f.instances[f.random.IntN(users)].TryConsume(quotaRequestUnits, at) {
				grantedUnits += quotaRequestUnits
			}
		}
		f.requestedUnits = append(f.requestedUnits, requestedUnits)
		f.grantedUnits = append(f.grantedUnits, grantedUnits)
		f.sendReports(at)
	}
}

// sendReports sends the reports that are due at a time. The members of a group report at the same times; the reports
// to other groups are due at a different time for each instance.
func (f *quotaSimulation) sendReports(at time.Duration) {
	for i, q := range f.instances {
		groupReport := at%quotaGroupReportInterval == 0
		fleetReport := (at+time.Duration(i)*quotaSimulationStep)%quotaFleetReportInterval == 0
		if !groupReport && !fleetReport {
			continue
		}
		for k, other := range f.instances {
			sameGroup := i/f.instancesPerGroup == k/f.instancesPerGroup
			if i != k && (sameGroup && groupReport || fleetReport) {
				other.HandlePeerReport(fmt.Sprint(i), q.used, at, sameGroup)
			}
		}
		if groupReport {
			q.StartRound(at)
		}
	}
}

// totals returns the sums of the requested and granted units from a time on.
func (f *quotaSimulation) totals(from time.Duration) (requestedUnits, grantedUnits float64) {
	for i := int(from / quotaSimulationStep); i < len(f.requestedUnits); i++ {
		requestedUnits += f.requestedUnits[i]
		grantedUnits += f.grantedUnits[i]
	}
	return requestedUnits, grantedUnits
}

// maxGranted returns the largest number of units granted in any window of the given length.
func (f *quotaSimulation) maxGranted(window time.Duration) float64 {
	n, sum, maxGranted := int(window/quotaSimulationStep), 0.0, 0.0
	for i, units := range f.grantedUnits {
		sum += units
		if i >= n {
			sum -= f.grantedUnits[i-n]
		}
		maxGranted = max(maxGranted, sum)
	}
	return maxGranted
}

var _ = Describe("Quota in a fleet of 72 instances", func() {
	const (
		rate, burst = 125_000.0, 125_000.0
		window      = 8 * time.Second
		// allowedUnits is the maximum use in a window, including the users' tolerance of 10 % and 140,000 units.
		allowedUnits = (rate*8+burst)*1.1 + 140_000
	)
	grantedLimit := Tolerance{Overage: 0.1, Slack: 140_000, Window: window}.LimitOf(
		wigeonshift.RoutedOrganisation{UnitsPerSecond: rate, Burst: burst, CountsTokens: true},
	)

	It("grants nearly all requests below the limit, whichever instances receive them", func() {
		for _, instanceShare := range []float64{0.15, 0.5, 1} {
			f := newQuotaSimulation(1, 72, 8, grantedLimit)
			f.simulate(0, 12*time.Second, 0.55*rate, instanceShare)
			requestedUnits, grantedUnits := f.totals(2 * time.Second)
			Expect(grantedUnits/requestedUnits).To(BeNumerically(">", 0.98), "on %v of the instances", instanceShare)
		}
	})

	It("enforces the limit during a surge of an organisation that was idle", func() {
		for seed := range uint64(3) {
			for _, loadFactor := range []float64{2, 4} {
				f := newQuotaSimulation(seed, 72, 8, grantedLimit)
				f.simulate(0, 5*time.Second, 0, 1)
				f.simulate(5*time.Second, 15*time.Second, loadFactor*rate, 1)
				Expect(f.maxGranted(window)).To(BeNumerically("<=", allowedUnits), "seed %v, %v times the limit", seed, loadFactor)
			}
		}
	})

	It("enforces the limit during surges of any size and grants most of it", func() {
		for seed := range uint64(3) {
			for _, loadFactor := range []float64{2, 4, 8} {
				for _, instanceShare := range []float64{0.3, 1} {
					surge := fmt.Sprintf("seed %v, %v times the limit on %v of the instances", seed, loadFactor, instanceShare)
					f := newQuotaSimulation(seed, 72, 8, grantedLimit)
					f.simulate(0, 5*time.Second, 0.55*rate, instanceShare)
					f.simulate(5*time.Second, 15*time.Second, loadFactor*rate, instanceShare)
					Expect(f.maxGranted(window)).To(BeNumerically("<=", allowedUnits), surge)
					_, grantedUnits := f.totals(7 * time.Second)
					Expect(grantedUnits/(rate*8)).To(BeNumerically(">", 0.8), surge)
				}
			}
		}
	})
})
