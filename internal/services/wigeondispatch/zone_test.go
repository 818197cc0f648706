package wigeondispatch

import (
	"fmt"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Availability zones", func() {
	// newZoneHarness returns an instance of zone z with one endpoint in each of the given zones.
	newZoneHarness := func(price time.Duration, zones ...string) *reducerHarness {
		var records []wigeonshift.EndpointRecord
		for i, zone := range zones {
			r := newRecord(fmt.Sprint(i))
			r.Zone = zone
			records = append(records, r)
		}
		h := newHarness()
		h.state.settings.CrossZonePrice = price
		h.state.Reduce(EndpointsListed{Records: records})
		return h
	}
	markOtherGroup := func(h *reducerHarness, from int) {
		for i, e := range h.state.pool("model").endpoints {
			e.otherGroup = i >= from
		}
		h.state.pool("model").listOwnEndpoints()
	}

	It("adds the price of the settings to the cost of an endpoint in another zone", func() {
		h := newZoneHarness(7*time.Millisecond, "y", "z")
		j := h.newJob()
		far, near := h.state.endpoints["0"], h.state.endpoints["1"]
		Expect(h.state.estimate(far, j).cost - h.state.estimate(near, j).cost).To(Equal(float64(7 * time.Millisecond)))
	})

	// Guards against requests that cross zones although another group of the zone has free slots.
	It("prefers endpoints of other groups in the own zone", func() {
		h := newZoneHarness(2*time.Millisecond, "z", "x", "y", "z", "x", "y")
		markOtherGroup(h, 1)
		for range 50 {
			Expect(h.state.chooseOtherGroupEndpoint(h.state.pool("model"), h.newJob(), placementRound{}).record.ID).To(Equal("3"))
		}
	})

	// Guards against a request that crosses zones to save less than crossing costs.
	It("crosses zones only if waiting for a slot takes longer", func() {
		h := newZoneHarness(20*time.Millisecond, "z", "y")
		markOtherGroup(h, 1)
		p := h.state.pool("model")
		p.meanSlotTime = 10 * time.Millisecond
		Expect(h.state.chooseOtherGroupEndpoint(p, h.newJob(), placementRound{})).To(BeNil())
		p.meanSlotTime = 30 * time.Millisecond
		Expect(h.state.chooseOtherGroupEndpoint(p, h.newJob(), placementRound{}).record.ID).To(Equal("1"))
	})

	It("crosses zones if the own group has no endpoint that is available", func() {
		h := newZoneHarness(time.Hour, "z", "y")
		markOtherGroup(h, 1)
		p := h.state.pool("model")
		h.state.endpoints["0"].record.Leaving = true
		Expect(h.state.chooseOtherGroupEndpoint(p, h.newJob(), placementRound{}).record.ID).To(Equal("1"))
	})
})
