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

// newLargeView returns the view of an instance in a fleet of 1,500 others, the target fleet size, and one of the
// others.
func newLargeView() (*Members, wigeonshift.Instance) {
	m := New(nil, wigeonsession.New(wigeonshift.Instance{ID: "self", State: wigeonshift.InstanceLive}))
	for i := range 1500 {
		m.listed = append(m.listed, wigeonshift.Instance{ID: fmt.Sprintf("node%04d", i), State: wigeonshift.InstanceLive})
	}
	m.recomputeView()
	return m, m.listed[700]
}

// handleMessageAfterPause handles a message from an instance whose previous message came three check periods ago.
func (m *Members) handleMessageAfterPause(from wigeonshift.Instance) {
	m.handleMessage(from, nil)
	m.observations[from.ID].lastMessageAt = time.Now().Add(-3 * expiryCheckPeriod)
	m.handleMessage(from, nil)
}

var _ = Describe("Message handling", func() {
	It("does not rebuild the view if the message does not change it", func() {
		m, from := newLargeView()
		m.handleMessageAfterPause(from)
		Expect(testing.AllocsPerRun(10, func() { m.handleMessageAfterPause(from) })).To(BeZero())
	})

	It("rebuilds the view for instances that are new, changed or were unreachable", func() {
		m, from := newLargeView()
		changed := m.Changed()
		m.handleMessage(wigeonshift.Instance{ID: "late", State: wigeonshift.InstanceLive}, nil)
		Expect(changed).To(BeClosed())
		Expect(m.Live()).To(HaveLen(1502))
		m.handleDialFailure(from)
		Expect(m.Live()).NotTo(ContainElement(from))
		m.handleMessage(from, nil)
		Expect(m.Live()).To(ContainElement(from))
	})
})

func BenchmarkHandleMessage(b *testing.B) {
	m, from := newLargeView()
	for b.Loop() {
		m.handleMessageAfterPause(from)
	}
}
