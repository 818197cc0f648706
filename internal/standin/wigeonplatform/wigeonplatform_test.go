package wigeonplatform_test

import (
	"testing"
	"testing/synctest"
	"time"

	"wigeonshift"
	"wigeonshift/internal/standin/wigeonplatform"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var suiteT *testing.T

func TestWigeonplatform(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "wigeonplatform")
}

var _ = Describe("Core", func() {
	It("lists added, leaving and removed instances after the lag", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			core := wigeonplatform.NewCore(wigeonplatform.WithListLag(3 * time.Second))
			listedStates := func() map[string]wigeonshift.InstanceState {
				list, err := core.Instances(t.Context())
				g.Expect(err).NotTo(HaveOccurred())
				states := map[string]wigeonshift.InstanceState{}
				for _, i := range list {
					states[i.ID] = i.State
				}
				return states
			}
			core.PutInstance(wigeonshift.Instance{ID: "a", Address: "10.0.0.1:1"})
			time.Sleep(2 * time.Second)
			g.Expect(listedStates()).To(BeEmpty())
			core.PutInstance(wigeonshift.Instance{ID: "a", Address: "10.0.0.1:1", State: wigeonshift.InstanceLeaving})
			time.Sleep(time.Second)
			g.Expect(listedStates()).To(HaveKeyWithValue("a", wigeonshift.InstanceLive))
			time.Sleep(2 * time.Second)
			g.Expect(listedStates()).To(HaveKeyWithValue("a", wigeonshift.InstanceLeaving))
			// A process with a new ID at the same address replaces the old instance.
			core.PutInstance(wigeonshift.Instance{ID: "b", Address: "10.0.0.1:1"})
			time.Sleep(2 * time.Second)
			g.Expect(listedStates()).To(HaveKey("a"))
			time.Sleep(time.Second)
			g.Expect(listedStates()).To(And(HaveLen(1), HaveKey("b")))
			core.RemoveInstance("b")
			g.Expect(listedStates()).To(HaveKey("b"))
			time.Sleep(3 * time.Second)
			g.Expect(listedStates()).To(BeEmpty())
		})
	})

	It("grants weight slots at a fixed rate shared by all models", func() {
		synctest.Test(suiteT, func(t *testing.T) {
			g := NewWithT(t)
			core := wigeonplatform.NewCore(wigeonplatform.WithWeightSlot(2 * time.Second))
			g.Expect(core.Reserve(t.Context(), "m1")).To(BeZero())
			wait, err := core.Reserve(t.Context(), "m2")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(wait).To(BeNumerically("~", 2*time.Second, time.Millisecond))
			time.Sleep(wait)
			g.Expect(core.Reserve(t.Context(), "m2")).To(BeZero())
		})
	})

	It("commits transactions atomically and keeps increasing revisions after a deletion", func() {
		core := wigeonplatform.NewCore()
		ctx := suiteT.Context()
		first, err := core.Commit(ctx, wigeonshift.Transaction{Writes: []wigeonshift.Write{{Key: "a", Value: []byte("1")}}})
		Expect(err).NotTo(HaveOccurred())
		both := wigeonshift.Transaction{
			Conditions: []wigeonshift.Condition{{Key: "a", Revision: first[0]}, {Key: "b", Revision: 9}},
			Writes:     []wigeonshift.Write{{Key: "a", Delete: true}, {Key: "c"}},
		}
		_, err = core.Commit(ctx, both)
		Expect(err).To(MatchError(wigeonshift.ErrConditionFailed))
		Expect(core.Scan(ctx, "", "", 9)).To(HaveLen(1))
		both.Conditions = both.Conditions[:1]
		_, err = core.Commit(ctx, both)
		Expect(err).NotTo(HaveOccurred())
		again, err := core.Commit(ctx, wigeonshift.Transaction{
			Conditions: []wigeonshift.Condition{{Key: "a"}}, Writes: []wigeonshift.Write{{Key: "a"}},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(again[0]).To(BeNumerically(">", first[0]))
	})

	It("fails only calls to the stores during a store outage", func() {
		core := wigeonplatform.NewCore(wigeonplatform.WithInstances(wigeonshift.Instance{ID: "a"}))
		core.SetFaults(wigeonplatform.Faults{StoreOutage: true})
		_, err := core.Get(suiteT.Context(), "a")
		Expect(err).To(MatchError(wigeonshift.ErrUnavailable))
		Expect(core.PutObject(suiteT.Context(), "o", nil)).To(MatchError(wigeonshift.ErrUnavailable))
		Expect(core.Instances(suiteT.Context())).To(HaveLen(1))
	})
})
