package wigeonrollout

import (
	"fmt"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var (
	caseOrder    = wigeonshift.RolloutOrder{Service: "s", Target: "v2", Duration: 10 * time.Second, Revision: 5}
	caseSettings = Settings{ExposeShare: 0.1, ExposeSlack: 50, RollbackWithin: 5 * time.Second}
	bothVersions = Capacity{TargetSlots: 10, OtherSlots: 10, TargetEndpoints: 2}
)

// newCase returns a rollout that has just started at one of n instances.
func newCase(n int) *Rollout {
	r := New(caseOrder, caseSettings)
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprint("i", i)
	}
	r.SetInstances("i0", ids)
	r.Start(0, 0)
	r.Contact(0)
	r.Update(0, bothVersions)
	return r
}

// advance updates a rollout every 100 ms while it hears from the store.
func advance(r *Rollout, from, to time.Duration, c Capacity) {
	for now := from; now <= to; now += 100 * time.Millisecond {
		r.Contact(now)
		r.Update(now, c)
	}
}

var _ = Describe("A rollout at one instance", func() {
	// Guards against an instance that gives a version more than its part while nobody tells it that the version is bad.
	It("gives the target nothing without contact to peers and the store", func() {
		r := newCase(2)
		Expect(r.MayUseTarget(2 * time.Second)).To(BeTrue())
		Expect(r.MayUseTarget(3 * time.Second)).To(BeFalse())
		Expect(r.MayUseOthers(3 * time.Second)).To(BeTrue())
		r.Update(9*time.Second, bothVersions)
		Expect(r.Stage()).To(Equal(wigeonshift.RolloutCanary))
		state, _ := r.Decide(9 * time.Second)
		Expect(state).To(Equal(wigeonshift.RolloutRunning))
	})

	// Guards against requests to a version of which nobody knows whether it was rolled back.
	It("gives the target nothing before the age of the order is known", func() {
		r := New(caseOrder, caseSettings)
		r.SetInstances("i0", []string{"i0"})
		r.Contact(0)
		r.Update(0, bothVersions)
		Expect(r.MayUseTarget(0)).To(BeFalse())
		r.Merge("peer", wigeonshift.RolloutReport{Service: "s", OrderRevision: 5, Age: time.Second}, 0)
		Expect(r.Age(0)).To(Equal(time.Second))
		Expect(r.MayUseTarget(0)).To(BeFalse(), "the order isn't new, so there is no slack")
		for range 20 {
			r.Sent(false)
		}
		Expect(r.MayUseTarget(0)).To(BeTrue())
	})

	// Guards against a service without endpoints after a restart at the end of a rollout.
	It("uses the target before the state is known if no other version is left", func() {
		r := New(caseOrder, caseSettings)
		r.Update(0, Capacity{TargetSlots: 10, TargetEndpoints: 2})
		Expect(r.MayUseTarget(0)).To(BeTrue())
	})

	// Guards against reports on an order that was replaced.
	It("ignores reports on another order", func() {
		r := newCase(2)
		r.Merge("peer", wigeonshift.RolloutReport{OrderRevision: 4, Condemned: "failed", State: wigeonshift.RolloutRolledBack}, 0)
		Expect(r.Condemned()).To(BeEmpty())
		Expect(r.State()).To(BeEmpty())
	})

	// Guards against messages of any size, and counts that are added twice.
	It("bounds its counts and takes those of others as cumulative", func() {
		r := newCase(2)
		for i := range 200 {
			r.End(&Attempt{Route: fmt.Sprint("r", i), OnTarget: i%2 == 0, Expected: time.Second}, Succeeded, time.Second)
		}
		Expect(len(r.Report(0).Counts)).To(BeNumerically("<=", wigeonshift.MaxRolloutCounts))
		report := wigeonshift.RolloutReport{Service: "s", OrderRevision: 5, Counts: []wigeonshift.RolloutCount{{Route: "r", OnTarget: true, Answers: 3}}}
		r.Merge("peer", report, 0)
		r.Merge("peer", report, 0)
		Expect(r.evidence.total[group{route: "r"}].target.answers).To(Equal(3))
	})

	// Guards against a rollback for failures that both versions have, such as those of a request that crashes endpoints.
	It("doesn't blame the target for what fails on both versions or has failed on another before", func() {
		r := newCase(1)
		for i := range 60 {
			r.End(&Attempt{Route: "r", OnTarget: i%2 == 0}, Failed, time.Second)
			r.End(&Attempt{Route: "x", OnTarget: false}, Succeeded, time.Second)
			r.End(&Attempt{Route: "x", OnTarget: true, IsExcused: true}, Failed, time.Second)
		}
		r.Update(0, bothVersions)
		Expect(r.Condemned()).To(BeEmpty())
	})

	// Guards against the release of the old version while requests run on it.
	It("completes once no instance runs requests on other versions", func() {
		r := newCase(2)
		advance(r, 0, 8*time.Second, bothVersions)
		Expect(r.Stage()).To(Equal(wigeonshift.RolloutFull))
		Expect(r.MayUseOthers(8 * time.Second)).To(BeFalse())
		state, _ := r.Decide(8 * time.Second)
		Expect(state).To(Equal(wigeonshift.RolloutRunning), "the peer has not reported")
		peer := wigeonshift.RolloutReport{Service: "s", OrderRevision: 5, Age: 8 * time.Second, Stage: wigeonshift.RolloutFull, OthersRunning: 1}
		r.Merge("peer", peer, 8*time.Second)
		state, _ = r.Decide(8 * time.Second)
		Expect(state).To(Equal(wigeonshift.RolloutRunning))
		peer.OthersRunning = 0
		r.Merge("peer", peer, 8*time.Second)
		state, _ = r.Decide(8 * time.Second)
		Expect(state).To(Equal(wigeonshift.RolloutCompleted))
	})

	// Guards against a rollout that ends without a state when an instance was killed or is cut off.
	It("completes in time without a report of every instance", func() {
		r := newCase(2)
		advance(r, 0, 8800*time.Millisecond, bothVersions)
		state, _ := r.Decide(8800 * time.Millisecond)
		Expect(state).To(Equal(wigeonshift.RolloutCompleted))
	})

	// Guards against the release of the old version without capacity of the new one, and against orders that never end.
	It("rolls back if the endpoints never come or the service is unknown", func() {
		for _, c := range []Capacity{{OtherSlots: 10}, {}, {TargetSlots: 5, OtherSlots: 10, TargetEndpoints: 1}} {
			r := newCase(2)
			advance(r, 0, 9*time.Second, c)
			Expect(r.Stage()).To(Equal(wigeonshift.RolloutCanary))
			state, _ := r.Decide(9 * time.Second)
			Expect(state).To(Equal(wigeonshift.RolloutRolledBack))
		}
	})

	// Guards against a rollback of the only version that runs.
	It("completes at once if the target runs already and no other version does", func() {
		r := New(caseOrder, caseSettings)
		r.SetInstances("i0", []string{"i0", "i1"})
		r.Start(0, 0)
		r.Contact(0)
		r.Update(0, Capacity{TargetSlots: 10, TargetEndpoints: 2})
		state, _ := r.Decide(0)
		Expect(state).To(Equal(wigeonshift.RolloutCompleted))
		Expect(r.TargetShare(0)).To(Equal(1.0))
	})

	// Guards against a release of the old version when all its rows are missing for a moment.
	It("doesn't complete in the first stage if another version was seen before", func() {
		r := newCase(2)
		alone := bothVersions
		alone.OtherSlots = 0
		r.Update(time.Second, alone)
		state, _ := r.Decide(time.Second)
		Expect(state).To(Equal(wigeonshift.RolloutRunning))
		Expect(r.TargetShare(time.Second)).To(BeNumerically("<", 0.1))
		r = New(caseOrder, caseSettings)
		r.Contact(0)
		r.Update(0, bothVersions)
		r.Start(0, time.Second)
		r.Update(0, alone)
		state, _ = r.Decide(0)
		Expect(state).To(Equal(wigeonshift.RolloutRunning), "it was seen before the age was known")
		Expect(r.TargetShare(0)).To(BeNumerically("<", 0.1))
	})

	// Guards against an instance that takes itself for the only one, uses the whole slack and releases the old version.
	It("uses no slack, decides nothing and stays in the first stage until it knows the other instances", func() {
		r := New(caseOrder, caseSettings)
		r.Start(0, 0)
		advance(r, 0, 9*time.Second, bothVersions)
		Expect(r.MayUseTarget(9 * time.Second)).To(BeFalse())
		Expect(r.Stage()).To(Equal(wigeonshift.RolloutCanary))
		state, _ := r.Decide(9 * time.Second)
		Expect(state).To(Equal(wigeonshift.RolloutRunning))
		r.SetInstances("i0", []string{"i0", "i1"})
		Expect(r.MayUseTarget(9 * time.Second)).To(BeTrue())
		r = New(caseOrder, caseSettings)
		r.Start(0, 0)
		r.Contact(0)
		r.Update(0, Capacity{TargetSlots: 10, TargetEndpoints: 2})
		state, _ = r.Decide(0)
		Expect(state).To(Equal(wigeonshift.RolloutRunning), "no other version runs")
	})

	// Guards against a state that changes back, as after a late answer of the store.
	It("keeps a final state", func() {
		r := newCase(2)
		r.Settle(wigeonshift.RolloutRolledBack)
		r.Settle(wigeonshift.RolloutRunning)
		r.Settle(wigeonshift.RolloutCompleted)
		Expect(r.State()).To(Equal(wigeonshift.RolloutRolledBack))
		Expect(r.MayUseTarget(0)).To(BeFalse())
	})

	// Guards against a wait for evidence that can't come.
	It("completes with too little traffic to judge by", func() {
		r := newCase(1)
		for range 3 {
			r.End(&Attempt{Route: "r", OnTarget: true}, Succeeded, time.Second)
		}
		advance(r, 0, 9*time.Second, bothVersions)
		state, _ := r.Decide(9 * time.Second)
		Expect(state).To(Equal(wigeonshift.RolloutCompleted))
	})
})
