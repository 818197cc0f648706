package wigeonmember

import (
	"fmt"
	"testing"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonsession"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// largeView returns the view of a fleet of the target's size, and one of its other instances.
func largeView() (*Members, wigeonshift.Instance) {
	m := New(nil, wigeonsession.New(wigeonshift.Instance{ID: "self", State: wigeonshift.InstanceLive}))
	for i := range 1500 {
		m.listed = append(m.listed, wigeonshift.Instance{ID: fmt.Sprintf("node%04d", i), State: wigeonshift.InstanceLive})
	}
	m.recompute()
	return m, m.listed[700]
}

// hearAgain hears an instance that last spoke some seconds ago.
func (m *Members) hearAgain(from wigeonshift.Instance) {
	m.heard(from, nil)
	m.evidence[from.ID].spokeAt = time.Now().Add(-3 * recheckPeriod)
	m.heard(from, nil)
}

var _ = Describe("heard", func() {
	It("does not rebuild the view for a message that confirms it", func() {
		m, from := largeView()
		m.hearAgain(from)
		Expect(testing.AllocsPerRun(10, func() { m.hearAgain(from) })).To(BeZero())
	})

	It("rebuilds it for instances that are new, moved or were out of reach", func() {
		m, from := largeView()
		changed := m.Changed()
		m.heard(wigeonshift.Instance{ID: "late", State: wigeonshift.InstanceLive}, nil)
		Expect(changed).To(BeClosed())
		Expect(m.Live()).To(HaveLen(1502))
		m.failed(from)
		Expect(m.Live()).NotTo(ContainElement(from))
		m.heard(from, nil)
		Expect(m.Live()).To(ContainElement(from))
	})
})

func BenchmarkHeard(b *testing.B) {
	m, from := largeView()
	for b.Loop() {
		m.hearAgain(from)
	}
}
